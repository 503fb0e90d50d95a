#!/bin/sh
# The stand-ins of these cases are Python programs of the standard library
# (review/lib and the folders of the cases), so there is nothing to compile.
cd "$(dirname "$0")/.." || exit 2
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 11) else 1)' || {
  echo "Python 3.11 or later is needed" >&2
  exit 2
}
for file in review/lib/*.py review/[1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 2
done
