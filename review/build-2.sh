#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are plain scripts: nothing is compiled, only checked.
set -eu
cd "$(dirname "$0")"
for file in stand-ins-2/*.cjs 6/case.cjs 7/case.cjs 8/case.cjs 9/case.cjs 10/case.cjs; do
  [ ! -e "$file" ] || node --check "$file"
done
[ -f ../target/eelgrasswind-front.mjs ] || { echo 'run the build of deploy/system.toml first' >&2; exit 1; }
