#!/bin/sh
# Installs the locked run-time requirements and jayswitch itself below target/.
set -eu
deps=target/deps
stamp=target/.installed
if [ ! "$stamp" -nt deploy/requirements.lock ]; then
    python3 -m pip install --quiet --upgrade --target "$deps" \
        --requirement deploy/requirements.lock
    touch "$stamp"
fi
rm -rf "$deps/jayswitch"
cp -R src/jayswitch "$deps/jayswitch"
# Processes cannot write below the repository, and compiling is most of a start.
python3 -m compileall -q "$deps/jayswitch"
