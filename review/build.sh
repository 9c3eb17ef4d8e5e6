#!/bin/sh
# Builds the stand-ins of the cases: they are Python and need the standard library only,
# so this checks that Python is 3.11 or later and that every file compiles.
cd "$(dirname "$0")" || exit 1
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || exit 1
for file in standins.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
