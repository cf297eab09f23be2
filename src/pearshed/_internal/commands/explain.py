"""``pearshed explain``: collect what the logs say of one request."""

import argparse
import json
import pathlib
import sys
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from pearshed._internal.cli import status_codes
from pearshed._internal.commands.base import Command
from pearshed._internal.errors import LogFileError

#: Events that change what a process believes; shown with a request where they were in force.
_BELIEF_EVENTS = frozenset(
    (
        "configuration.in_force",
        "store.connected",
        "store.lost",
        "process.started",
        "process.stopping",
        "settings.reloaded",
    )
)
#: The same for what it believes of one endpoint.
_ENDPOINT_EVENTS = frozenset(
    ("endpoint.listed", "endpoint.gone", "endpoint.lapsed", "endpoint.ejected")
)
_HIDDEN_FIELDS = ("time", "process", "message", "level", "request")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a process's log.

    :ivar fields: all members of the line.
    """

    time: str
    process: str
    event: str
    fields: Mapping[str, Any]


class ExplainCommand(Command):
    """Prints the lines about one request in order, with the beliefs that were in force."""

    description = (
        "Reads logs of several processes and prints what they say of one request, in the order of "
        "time, with the configuration, the store's state and the endpoints' states that each "
        "process believed in then. example: pearshed explain 9c41d07be2a35f68 edge-*.log"
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's arguments."""
        parser.add_argument("request", metavar="REQUEST-ID", help="the caller's id of the request")
        parser.add_argument(
            "files", nargs="+", type=pathlib.Path, metavar="FILE", help="logs, one JSON line each"
        )

    def run(self, options: argparse.Namespace) -> int:
        """Print the request's lines."""
        lines = sorted(
            (line for path in options.files for line in _read(path)), key=lambda line: line.time
        )
        told = list(explain(lines, options.request))
        if not told:
            print(f"no line tells of request {options.request}", file=sys.stderr)
            return status_codes.ERROR
        print("\n".join(told))
        return status_codes.SUCCESS


def explain(lines: Sequence[LogLine], request: str) -> Iterator[str]:
    """Tell what the lines say of a request.

    :param lines: of all processes, in the order of time.
    """
    beliefs: dict[tuple[str, str], LogLine] = {}
    shown: set[int] = set()
    for line in lines:
        if line.event in _BELIEF_EVENTS:
            beliefs[(line.process, line.event)] = line
        elif line.event in _ENDPOINT_EVENTS:
            beliefs[(line.process, str(line.fields.get("identity")))] = line
        if line.fields.get("request") != request:
            continue
        endpoint = str(line.fields.get("endpoint", ""))
        for (process, subject), belief in beliefs.items():
            concerns = subject in _BELIEF_EVENTS or subject == endpoint
            if process == line.process and concerns and id(belief) not in shown:
                shown.add(id(belief))
                yield f"  believed: {_render(belief)}"
        yield _render(line)


def _render(line: LogLine) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in _HIDDEN_FIELDS and value != ""
    )
    return f"{line.time} {line.process} {line.event} {fields}"


def _read(path: pathlib.Path) -> Iterable[LogLine]:
    try:
        text = path.read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise LogFileError(f"can't read the log {path}", context=[str(error)]) from error
    for row in text.splitlines():
        # Whoever collects the logs may put a time or a name before each line.
        start = row.find("{")
        if start < 0:
            continue
        try:
            raw = json.loads(row[start:])
        except json.JSONDecodeError:
            continue
        if isinstance(raw, dict) and isinstance(raw.get("time"), str):
            yield LogLine(
                raw["time"], str(raw.get("process", "")), str(raw.get("message", "")), raw
            )
