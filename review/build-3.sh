#!/bin/sh
# Builds the stand-ins of cases 9 to 11: they need the standard library only.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/standin_3.py review/9 review/10 review/11
