#!/bin/sh
# Builds the stand-ins of the cases: plain Python on the interpreter that the deploy file's build leaves in .venv.
set -e
cd "$(dirname "$0")/.."
exec .venv/bin/python -m compileall -q review
