"""Entry point of the command line."""

import argparse
import sys
from collections.abc import Mapping, Sequence

from pearshed._internal.cli import status_codes
from pearshed._internal.commands import COMMANDS, create_command
from pearshed._internal.errors import (
    PearshedError,
    RecordsError,
    SettingsError,
    UnreachableProcessError,
)

_STATUS_BY_ERROR: Mapping[type[PearshedError], int] = {
    SettingsError: status_codes.BAD_SETTINGS,
    RecordsError: status_codes.BAD_RECORDS,
    UnreachableProcessError: status_codes.UNREACHABLE,
}
_EPILOG = "'pearshed COMMAND --help' explains a command. Start with docs/OPERATIONS.md."


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command.

    :param arguments: arguments without the program's name; default: ``sys.argv[1:]``.
    :returns: the exit code.
    """
    argv = list(sys.argv[1:] if arguments is None else arguments)
    if not argv or argv[0] not in COMMANDS:
        _overview_parser().parse_args(argv)
        _overview_parser().print_help()
        return status_codes.USAGE
    command = create_command(argv[0])
    parser = argparse.ArgumentParser(
        prog=f"pearshed {argv[0]}",
        description=f"{COMMANDS[argv[0]].summary} {command.description}",
    )
    command.add_arguments(parser)
    options = parser.parse_args(argv[1:])
    try:
        return command.run(options)
    except PearshedError as error:
        print(f"error: {error}", file=sys.stderr)
        return _STATUS_BY_ERROR.get(type(error), status_codes.ERROR)
    except KeyboardInterrupt:
        return status_codes.INTERRUPTED


def _overview_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="pearshed",
        description="Router for language-model traffic with service levels and priorities.",
        epilog=_EPILOG,
    )
    commands = parser.add_subparsers(title="commands", metavar="COMMAND", dest="command")
    for name, info in COMMANDS.items():
        commands.add_parser(name, help=info.summary, add_help=False)
    return parser
