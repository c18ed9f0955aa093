#!/bin/sh
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")" && exec python3 -B case.py
