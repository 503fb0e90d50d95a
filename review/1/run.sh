#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption. Writes record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
python3 -c 'import tomllib' || exit 2
exec python3 review/1/case.py
