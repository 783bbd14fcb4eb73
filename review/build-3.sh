#!/usr/bin/env bash
# The stand-ins of cases 11 to 15 are plain modules of Node.js in lib-3/; there is nothing to compile, so this checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/run.mjs tried-3/*/*.mjs; do node --check "$file"; done
