#!/usr/bin/env bash
# The stand-ins are Python scripts that need no package beyond the standard
# library; this checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
import pathlib

for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
END
