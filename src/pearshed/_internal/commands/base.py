"""What a command of the command line is."""

import abc
import argparse


class Command(abc.ABC):
    """One command."""

    #: Text that ``--help`` shows below the summary.
    description = ""

    @abc.abstractmethod
    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's arguments."""

    @abc.abstractmethod
    def run(self, options: argparse.Namespace) -> int:
        """Run the command.

        :returns: an exit status of ``cli.status_codes``.
        """
