#!/bin/sh
# Builds the stand-ins of all cases. They need the standard library only; the deploy file's build has made .venv.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
