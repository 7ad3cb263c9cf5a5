#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python without
# dependencies, so this only checks that they compile.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q standins_3 11 12 13 14
