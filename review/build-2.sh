#!/bin/sh
# Checks that all that the scripts of cases 7 to 10 start can be started after the build
# of the deploy file. They are Python programs, so nothing is compiled: the project's
# stand-in for the store runs on the libraries in target/deps, and the other stand-ins
# need the standard library alone.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/cassiaspread_platform
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:.:review/lib2" python3 -c \
    "import deployment, engine_process, wire, tests.users_platform.standins.store"
