#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library alone; there is nothing to compile. This checks that they load.
set -eu
cd "$(dirname "$0")"
for file in lib/*.py */case.py; do
  /usr/bin/python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
/usr/bin/python3 -B -c 'import sys; sys.path.insert(0, "lib"); import site_stand, workers'
