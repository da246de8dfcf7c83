#!/bin/sh
# The stand-ins are plain Python 3.11 without dependencies; this checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import sys
from pathlib import Path

assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in sorted(Path().glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
PY
