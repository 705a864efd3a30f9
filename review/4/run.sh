#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# What was sent, answered and run is in record.txt.
cd "$(dirname "$0")" || exit 2
[ -d ../../target/deps/cassiaspread_platform ] || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
