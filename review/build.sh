#!/usr/bin/env bash
# The stand-ins are plain modules of Node.js; nothing has to be generated. Checks that all of them can be read.
set -eu
cd "$(dirname "$0")"
for file in *.mjs [1-5]/*.mjs; do node --check "$file"; done
