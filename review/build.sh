#!/usr/bin/env bash
# The stand-ins are Python sources of the standard library and need no build; checks
# that this machine's Python can run them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - *.py [1-5]/case.py <<'CHECK'
import sys

assert sys.version_info >= (3, 11), sys.version
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
CHECK
