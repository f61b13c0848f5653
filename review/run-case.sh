#!/bin/sh
# Runs one case from the repository's root: `run-case.sh N`. Exit code 1: the rule was broken, 0: it held, 2: it could not run.
number=$1
cd "$(dirname "$0")/.." || exit 2
[ -f target/archpost.mjs ] && [ -f "target/review/$number.mjs" ] || { echo "the case could not run: not built"; exit 2; }
RECORD="review/$number/record.txt" node "target/review/$number.mjs"
code=$?
[ "$code" -eq 0 ] || [ "$code" -eq 1 ] || code=2
exit "$code"
