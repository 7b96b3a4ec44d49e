#!/usr/bin/env bash
# Builds what the platform runs into target/: libraries, sources and byte code.
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
rm -rf "$deps/savorypond"
cp -r src/savorypond "$deps/savorypond"
find "$deps/savorypond" -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q "$deps/savorypond"
