#!/bin/bash
# Builds what the scripts of review/4 to review/8 start. Their stand-ins are Python files that use
# the standard library alone, so there is nothing to compile; this checks that they can be loaded.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"'
for file in standins_2.py [4-8]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
