#!/bin/sh
# The stand-ins are Python sources that use Python's own library only; compiling them is all that there is to build.
cd "$(dirname "$0")" && exec python3 -m compileall -q .
