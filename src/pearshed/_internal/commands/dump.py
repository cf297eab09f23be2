"""``pearshed dump``: show the state of a running process."""

import argparse

import urllib3

from pearshed._internal.cli import status_codes
from pearshed._internal.commands.base import Command
from pearshed._internal.errors import UnreachableProcessError
from pearshed._internal.utils import strict_http

_TIMEOUT_S = 5.0
_PAGES = ("dump", "metrics", "readyz", "healthz")


class DumpCommand(Command):
    """Prints a page of a process's admin address."""

    description = (
        "Prints the state of a running process as JSON: revisions in force, links, queues, "
        "leases, keys. example: pearshed dump --admin 127.0.0.1:9101"
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's arguments."""
        parser.add_argument(
            "--admin", required=True, metavar="IP:PORT", help="the process's admin address"
        )
        parser.add_argument(
            "--page", choices=_PAGES, default="dump", help="which page to print (default: dump)"
        )

    def run(self, options: argparse.Namespace) -> int:
        """Print the page."""
        url = f"http://{options.admin}/{options.page}"
        try:
            response = strict_http.get(url, _TIMEOUT_S)
        except urllib3.exceptions.HTTPError as error:
            raise UnreachableProcessError(
                f"no process responds at {options.admin}",
                context=[str(error)],
                hint="use the address in 'process.admin' of the process's settings",
            ) from error
        print(response.data.decode(), end="")
        return status_codes.SUCCESS if response.status == 200 else status_codes.ERROR
