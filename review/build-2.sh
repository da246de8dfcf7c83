#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: plain Python, which only has to compile.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
python3 - <<'END'
import py_compile, pathlib
for path in sorted(pathlib.Path("review").glob("standins-2/*.py")):
    py_compile.compile(str(path), cfile=f"target/review-2/{path.stem}.pyc", doraise=True)
for path in sorted(pathlib.Path("review").glob("[0-9]*/case.py")):
    py_compile.compile(str(path), cfile=f"target/review-2/case-{path.parent.name}.pyc", doraise=True)
END
