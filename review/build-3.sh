#!/bin/sh
# Builds the stand-ins that the cases 11, 12, 14 and 15 start: the project's own (fakes/) into dist/.
cd "$(dirname "$0")/.." || exit 2
npm run --silent build
