#!/usr/bin/env bash
# The stand-ins of the cases are plain scripts of Node.js: building them is a check of their syntax.
set -eu
cd "$(dirname "$0")"
for file in stand-ins/*.cjs [1-5]/*.cjs; do node --check "$file"; done
