#!/bin/sh
# Builds the stand-ins: plain Python on the standard library, compiled here
# only to find errors early.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path().rglob('*.py')):
    compile(path.read_text(encoding='utf-8'), str(path), 'exec')
PY
