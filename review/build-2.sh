#!/bin/bash
# Builds the stand-ins of the cases 4 to 8: they are Python without dependencies, so this compiles them once.
cd "$(dirname "$0")" && exec python3 -m compileall -q harness-2 4 5 6 7 8
