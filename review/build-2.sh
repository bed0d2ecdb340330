#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are plain modules for Node.js and need no build; this checks that they load.
set -eu
cd "$(dirname "$0")"
for file in store-2.mjs server-2.mjs deployment-2.mjs [6-9]/run.mjs 10/run.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
