"""``pearshed version``: show the version."""

import argparse

import pearshed
from pearshed._internal.cli import status_codes
from pearshed._internal.commands.base import Command


class VersionCommand(Command):
    """Prints the version."""

    description = "Prints the version of the program."

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare no arguments."""

    def run(self, options: argparse.Namespace) -> int:
        """Print the version."""
        print(f"pearshed {pearshed.__version__}")
        return status_codes.SUCCESS
