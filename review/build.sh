#!/bin/sh
# The stand-ins of the cases are plain JavaScript modules without dependencies. Nothing has
# to be compiled; this checks that Node.js can read each of them.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do
  node --check "$file"
done
echo "review: $(ls lib/*.mjs [0-9]/*.mjs | wc -l) modules checked"
