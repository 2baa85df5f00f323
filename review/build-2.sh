#!/bin/sh
# Builds the stand-ins and the cases of the second review; after the build of
# the deploy file. They need the standard library of Python 3.11 only.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q -f review/second review/6 review/7 review/8 review/9 review/10
