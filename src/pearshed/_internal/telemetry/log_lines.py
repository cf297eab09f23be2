"""Reads the logs of processes, one JSON object a line."""

import json
import pathlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from pearshed._internal.errors import LogFileError


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line of a process's log.

    :ivar fields: all members of the JSON object.
    """

    time: str
    process: str
    event: str
    fields: Mapping[str, Any]


def read_log(path: pathlib.Path) -> Iterator[LogLine]:
    """Read a log; lines that are no JSON object with a time are left out.

    :raises LogFileError: if the file can't be read.
    """
    try:
        text = path.read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise LogFileError(f"can't read the log {path}", context=[str(error)]) from error
    for row in text.splitlines():
        # Log collectors may prefix each line with a time or a name.
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
