#!/bin/sh
# Builds what the scripts of the cases start: compiles the stand-ins, which need the standard library alone.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review
