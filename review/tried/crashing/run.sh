#!/bin/sh
# Runs this trial; TROUBLE=0 leaves the disruption out. Exit: 1 rule broken, 0 held, 2 could not run.
cd "$(dirname "$0")" && exec node run.mjs
