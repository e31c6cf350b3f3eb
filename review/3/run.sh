#!/bin/bash
# Runs the case; TROUBLE=0 leaves the disruption out. Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/3/case.py
