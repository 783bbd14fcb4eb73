#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out. Exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" && TROUBLE="${TROUBLE:-1}" exec node run.mjs
