#!/usr/bin/env bash
# Builds the stand-ins of the cases: Python sources of the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins ./[1-5]
