#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 and of tried-2/ are plain modules of Node.js in lib-2/; there is nothing to compile, so this checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs {6,7,8,9,10}/run.mjs tried-2/*/run.mjs; do node --check "$file"; done
