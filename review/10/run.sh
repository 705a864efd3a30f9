#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. Writes
# review/10/record.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}" RECORD=review/10/record.txt
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review/lib2
python3 -c 'import deployment, wire' || exit 2
exec python3 review/10/case.py
