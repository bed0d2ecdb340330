#!/bin/sh
# The stand-ins are plain JavaScript without dependencies: there is nothing to compile, only to check.
cd "$(dirname "$0")" || exit 1
for file in *.mjs [1-5]/*.mjs; do
  node --check "$file" || exit 1
done
