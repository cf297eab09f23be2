"""Runs the command line for ``python -m pearshed``."""

import sys

from pearshed._internal.cli.main import main

if __name__ == "__main__":
    sys.exit(main())
