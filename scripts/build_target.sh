#!/usr/bin/env bash
# Builds the deployment directory target/: libraries, sources and byte code.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
stamp=target/.libraries
if [ ! -e "$stamp" ] || [ requirements.txt -nt "$stamp" ] || [ constraints.txt -nt "$stamp" ]; then
    rm -rf "$deps"
    python3 -m pip install -q --target "$deps" -c constraints.txt -r requirements.txt
    python3 -m compileall -q "$deps" || true # some libraries ship templates
    touch "$stamp"
fi
# Running processes may still import from the folder, so it is replaced in one step,
# and only if a source has changed.
if ! diff -rq -x __pycache__ src/savorypond "$deps/savorypond" >/dev/null 2>&1; then
    rm -rf target/new target/old
    mkdir -p target/new
    cp -r src/savorypond target/new/savorypond
    find target/new -name __pycache__ -prune -exec rm -rf {} +
    python3 -m compileall -q -s target/new -p "$deps" target/new/savorypond
    if [ -e "$deps/savorypond" ]; then mv "$deps/savorypond" target/old; fi
    mv target/new/savorypond "$deps/savorypond"
    rm -rf target/new target/old
fi
