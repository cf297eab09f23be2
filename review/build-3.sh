#!/bin/sh
# Builds the stand-ins of the cases of this review: they are Python without dependencies, so it
# checks that they compile.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'END'
import pathlib

for path in sorted(pathlib.Path("review").glob("lib_3/*.py")) + sorted(
    pathlib.Path("review").glob("1[1-5]/*.py")
):
    compile(path.read_text(), str(path), "exec")
END
