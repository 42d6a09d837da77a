#!/bin/sh
# Builds what the scripts start beside the program of the deploy file. All stand-ins are in review/common/lab.py, which
# needs python3 with its standard library only; it is compiled here, so that an error shows before a case is run.
set -e
folder=$(cd "$(dirname "$0")" && pwd)
python3 - "$folder" <<'CHECK'
import pathlib
import sys

for path in sorted(pathlib.Path(sys.argv[1]).rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
CHECK
