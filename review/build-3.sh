#!/bin/sh
# Prepares the stand-ins of review/11 and review/12. They are Python programs without dependencies, so there is
# nothing to compile: this checks that the interpreter is there and takes the files.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import asyncio
import glob

for path in ["kit3.py"] + sorted(glob.glob("1[1-5]/case.py")):
    with open(path) as file:
        ast.parse(file.read(), path)
CHECK
