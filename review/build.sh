#!/usr/bin/env bash
# The stand-ins of all cases are Python programs that need its standard library only: this checks that they can be read.
# The project's own programs come from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 - <<'P'
import ast
import pathlib
import sys

assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"
for file in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(file.read_text(), str(file))
P
