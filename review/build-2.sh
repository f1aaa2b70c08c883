#!/bin/sh
# Build the stand-ins that the scripts in review/4 and later start: modules that use the
# standard library alone, which are only compiled. The daemons are built by the line
# `build` of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
python3 -m py_compile review/platform_2.py review/other_writer.py
