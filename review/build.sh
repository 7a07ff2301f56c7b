#!/bin/sh
# Builds the stand-ins of the review: they are Python files of the standard library, so
# that it is enough to compile them.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
