#!/bin/sh
# Installs libraries and packages into target/deps, from the lock file.
set -eu
if [ ! -f target/deps/.installed ] || [ requirements.lock -nt target/deps/.installed ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --target target/deps \
        -r requirements.lock
    touch target/deps/.installed
fi
PYTHONPATH="$PWD/target/deps" python3 -m pip install --quiet --disable-pip-version-check --no-deps \
    --no-build-isolation --upgrade --target target/deps \
    packages/cassiaspread-core packages/cassiaspread-daemon ./platform
