#!/usr/bin/env bash
# The stand-ins use Python's standard library only: nothing has to be built but the
# project itself, by the line `build` of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review
