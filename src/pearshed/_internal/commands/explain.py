"""``pearshed explain``: collect the log lines about one request from several processes."""

import argparse
import pathlib
import sys
from collections.abc import Iterator, Sequence

from pearshed._internal.cli import status_codes
from pearshed._internal.commands.base import Command
from pearshed._internal.telemetry.log_lines import LogLine, read_log

#: Events that change what a process knows; the latest of each is printed before the request's line.
_STATE_EVENTS = frozenset(
    (
        "configuration.in_force",
        "evacuation.in_force",
        "evacuation.withdrawn",
        "store.connected",
        "store.lost",
        "process.started",
        "process.stopping",
        "settings.reloaded",
    )
)
#: The same for the state of one endpoint, as the process sees it.
_ENDPOINT_EVENTS = frozenset(
    ("endpoint.listed", "endpoint.gone", "endpoint.lapsed", "endpoint.ejected")
)
_HIDDEN_FIELDS = ("time", "process", "message", "level", "request")


class ExplainCommand(Command):
    """Prints the log lines of one request in order, with the state that each process knew."""

    description = (
        "Reads logs of several processes and prints the lines about one request in order of time, "
        "with the configuration, the store's state and the endpoints' states that each process "
        "knew at that time. example: pearshed explain 9c41d07be2a35f68 edge-*.log"
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's arguments."""
        parser.add_argument(
            "request", metavar="REQUEST-ID", help="the request id that the caller sent"
        )
        parser.add_argument(
            "files", nargs="+", type=pathlib.Path, metavar="FILE", help="logs, one JSON line each"
        )

    def run(self, options: argparse.Namespace) -> int:
        """Print the request's lines."""
        lines = sorted(
            (line for path in options.files for line in read_log(path)),
            key=lambda line: line.time,
        )
        output = list(explain(lines, options.request))
        if not output:
            print(f"no log line mentions request {options.request}", file=sys.stderr)
            return status_codes.ERROR
        print("\n".join(output))
        return status_codes.SUCCESS


def explain(lines: Sequence[LogLine], request: str) -> Iterator[str]:
    """Yield the lines of a request, each after the states that it may depend on.

    :param lines: lines of all processes, in order of time.
    """
    states: dict[tuple[str, str], LogLine] = {}
    shown: set[int] = set()
    for line in lines:
        if line.event in _STATE_EVENTS:
            states[(line.process, line.event)] = line
        elif line.event in _ENDPOINT_EVENTS:
            states[(line.process, str(line.fields.get("identity")))] = line
        if line.fields.get("request") != request:
            continue
        endpoint = str(line.fields.get("endpoint", ""))
        for (process, subject), state_line in states.items():
            is_relevant = subject in _STATE_EVENTS or subject == endpoint
            if process == line.process and is_relevant and id(state_line) not in shown:
                shown.add(id(state_line))
                yield f"  known state: {_format_line(state_line)}"
        yield _format_line(line)


def _format_line(line: LogLine) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in _HIDDEN_FIELDS and value != ""
    )
    return f"{line.time} {line.process} {line.event} {fields}"
