#!/bin/sh
# The stand-ins need the standard library of Python 3.11 or newer and nothing else: compile them, to find errors.
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q review
