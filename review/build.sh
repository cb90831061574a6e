#!/usr/bin/env bash
# The stand-ins are plain modules that need no build: checks that the deployed runtime can load each of them.
set -euo pipefail
cd "$(dirname "$0")/.."
for module in review/stand-ins/*.js review/[1-5]/*.js; do
	target/node --check "$module"
done
