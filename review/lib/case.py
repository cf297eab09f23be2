"""Runs a case: its folder, its record, and its exit code."""

import asyncio
import os
import pathlib
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable

from lib.system import Node, SetupError

HELD, BROKEN, NOT_RUN = 0, 1, 2
_LIMIT_S = 110.0


class Record:
    """The record of a run, in the case's folder."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")

    def write(self, line: str) -> None:
        """Add a line."""
        self._file.write(line + "\n")

    def say(self, line: str) -> None:
        """Add a line, and print it."""
        self.write(line)
        print(line, flush=True)

    def close(self) -> None:
        """Write what is left."""
        self._file.close()


class Case:
    """What a case has at hand.

    :ivar trouble: whether to bring the disruption about.
    :ivar folder: for settings and logs, removed at the end.
    :ivar nodes: processes to end.
    """

    def __init__(self, record: Record, folder: pathlib.Path) -> None:
        self.record = record
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.nodes: list[Node] = []


def main(file: str, run: Callable[[Case], Awaitable[bool]]) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

    :param run: returns whether the rule held.
    """
    record = Record(pathlib.Path(file).resolve().parent / "record.txt")
    code = NOT_RUN
    try:
        code = asyncio.run(_run(record, run))
    except (SetupError, OSError, TimeoutError) as error:
        record.say(f"could not run: {error or 'it took too long'}")
    except Exception:
        record.say(f"could not run: {traceback.format_exc()}")
    names = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}
    record.say(names[code])
    record.close()
    sys.exit(code)


async def _run(record: Record, run: Callable[[Case], Awaitable[bool]]) -> int:
    with tempfile.TemporaryDirectory() as folder:
        case = Case(record, pathlib.Path(folder))
        record.say(f"trouble: {'yes' if case.trouble else 'no'}")
        try:
            async with asyncio.timeout(_LIMIT_S):
                return HELD if await run(case) else BROKEN
        finally:
            for node in case.nodes:
                await node.kill()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for log in pathlib.Path(folder).glob("*.log"):
                    pathlib.Path(keep, log.name).write_bytes(log.read_bytes())
