#!/bin/bash
# Builds the stand-ins that the cases start. They are Python without further parts, so this only compiles them.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q harness 1 2 3
