"""Builds the one-file program: ``python -m tools.build_binary dist/pearshed``.

The file is a zip that the interpreter of the VM runs; it unpacks its libraries into SHIV_ROOT (a
folder ~/.shiv by default) on the first start and starts no further process.
"""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]


def build(target: pathlib.Path) -> None:
    """Build the program with pinned libraries.

    :raises subprocess.CalledProcessError: when the builder fails.
    """
    command = [
        sys.executable,
        "-m",
        "shiv",
        "--console-script",
        "pearshed",
        "--output-file",
        str(target),
        "--python",
        "/usr/bin/env python3",
        "--compressed",
        "--no-build-isolation",
        "--quiet",
        "-r",
        str(ROOT / "requirements" / "runtime.txt"),
        str(ROOT),
    ]
    subprocess.run(command, check=True)


if __name__ == "__main__":
    build(pathlib.Path(sys.argv[1]))
