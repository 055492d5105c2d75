#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They need the standard library only.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/standins_two
