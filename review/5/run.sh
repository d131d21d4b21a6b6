#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
exec node case.cjs
