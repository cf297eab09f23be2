"""Builds the single-file executable: ``python -m tools.build_binary dist/pearshed``.

The file is a zip archive run by the VM's Python interpreter. On the first start it unpacks its
libraries into SHIV_ROOT (~/.shiv by default); it starts no further process.
"""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]


def build(output: pathlib.Path) -> None:
    """Build the executable with pinned dependencies.

    :raises subprocess.CalledProcessError: when shiv fails.
    """
    command = [
        sys.executable,
        "-m",
        "shiv",
        "--console-script",
        "pearshed",
        "--output-file",
        str(output),
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
