#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. They need nothing
# but the standard library of Python, so their code is only compiled.
set -euo pipefail
python3 -m compileall -q "$(dirname "$0")/standins_2"
