#!/bin/sh
# Builds the stand-ins of the cases 6 and later: plain Python on the interpreter that the deploy file's build leaves.
set -e
cd "$(dirname "$0")/.."
exec .venv/bin/python -m compileall -q review/common-2 review/6 review/7 review/8 review/9 review/10
