#!/bin/sh
# The stand-ins need only Python's standard library; this compiles them.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins
