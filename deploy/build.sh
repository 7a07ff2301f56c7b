#!/bin/sh
# Puts the programs and their libraries under target/deps.
set -eu
deps=target/deps
if [ ! -e target/locked ] || ! cmp -s deploy/requirements.lock target/locked; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check --target "$deps" \
        -r deploy/requirements.lock
    python3 -m compileall -q "$deps"
    cp deploy/requirements.lock target/locked
fi
rm -rf "$deps/magnoliahold"
cp -R src/magnoliahold "$deps/magnoliahold"
python3 -m compileall -q "$deps/magnoliahold"
