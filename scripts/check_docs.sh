#!/usr/bin/env bash
# Runs what the README's quick start promises: the demonstration, and the tests
# that compare the pages with the code.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-.venv/bin}
BIN=$bin scripts/demo.sh
"$bin/python" -m nose2 tests.test_docs
