#!/usr/bin/env bash
# Builds what the scripts of review/6 and later start: the build of the deploy file.
# Their stand-ins are in review/standins_2.py and need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
[ target/deps -nt deploy/requirements.txt ] || python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt
python3 -m py_compile review/standins_2.py
