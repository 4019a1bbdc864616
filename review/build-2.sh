#!/bin/sh
# Builds the stand-ins of the cases 4 to 6. They use Python's standard library alone, so this only compiles them.
set -e
cd "$(dirname "$0")"
python3 -m py_compile small_gateway.py
for play in 4 5 6; do
    if [ -f "$play/play.py" ]; then python3 -m py_compile "$play/play.py"; fi
done
