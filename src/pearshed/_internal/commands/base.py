"""Base class of the commands."""

import abc
import argparse


class Command(abc.ABC):
    """A command of the command line."""

    #: Text that ``--help`` shows after the summary.
    description = ""

    @abc.abstractmethod
    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's arguments."""

    @abc.abstractmethod
    def run(self, options: argparse.Namespace) -> int:
        """Run the command.

        :returns: an exit code from ``cli.status_codes``.
        """
