#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They are Python programs without dependencies, so this checks
# that the interpreter has what they use and compiles them. The programs under test come from the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import asyncio, sys, tomllib; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile kit2.py
for case in 6 7 8 9 10; do
    if [ -f "$case/case.py" ]; then
        python3 -m py_compile "$case/case.py"
    fi
done
