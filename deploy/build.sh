#!/bin/sh
# Installs the package and its dependencies for the users' platform into target/deps.
set -eu
cd "$(dirname "$0")/.."
requirements=requirements/runtime.txt
stamp=target/requirements.installed
if ! cmp -s "$requirements" "$stamp"; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --target target/deps -r "$requirements"
    cp "$requirements" "$stamp"
fi
# Left alone if nothing has changed: processes may be starting from it.
if ! diff -rq --exclude=__pycache__ src/pearshed target/deps/pearshed > /dev/null 2>&1; then
    rm -rf target/deps/pearshed
    cp -r src/pearshed target/deps/pearshed
fi
python3 -m compileall -q target/deps
