#!/bin/sh
# The stand-ins are Python files without dependencies; compiling them is all.
cd "$(dirname "$0")" && exec python3 -m compileall -q .
