#!/usr/bin/env bash
# Runs the case with the given number on the deployed runtime.
cd "$(dirname "$0")/../.." || exit 2
target/node "review/$1/case.js"
case $? in
	0) exit 0 ;;
	10) exit 1 ;;
	*) exit 2 ;;
esac
