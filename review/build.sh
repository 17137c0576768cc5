#!/usr/bin/env bash
# Checks the stand-ins, which need Python 3 and nothing else; nothing is left to compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins/deployment.py 1/case.py 2/case.py <<'PROGRAM'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
PROGRAM
echo "stand-ins checked"
