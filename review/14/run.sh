#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 otherwise.
cd "$(dirname "$0")" && PYTHONPATH=../rig3 exec python3 case.py
