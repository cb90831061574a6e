#!/bin/bash
# Builds the stand-ins of the scripts of this review. They are plain JavaScript for the runtime that the build of the
# deploy file puts into target/, so this only checks that they can be read.
cd "$(dirname "$0")/.." || exit 2
for file in review/stand-ins-[23]/*.*js review/[6-9]/*.*js review/10/*.*js; do
	[ -e "$file" ] || continue
	target/node --check "$file" || exit 1
done
