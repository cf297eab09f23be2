"""Lets ``python -m pearshed`` behave like the ``pearshed`` command."""

import sys

from pearshed._internal.cli.main import main

if __name__ == "__main__":
    sys.exit(main())
