#!/usr/bin/env bash
# Runs the demo of the README's quick start and the tests that compare the
# documentation with the code.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-.venv/bin}
BIN=$bin scripts/demo.sh
"$bin/python" -m nose2 tests.test_docs
