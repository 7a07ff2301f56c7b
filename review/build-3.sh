#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: Python of the standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q rig3
for case in 11 12 13 14 15; do
    if [ -d "$case" ]; then
        python3 -m compileall -q "$case"
    fi
done
