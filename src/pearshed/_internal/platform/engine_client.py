"""Client of an engine's own calls: its report and the changes of its cache."""

from collections.abc import Mapping
from typing import Any

from returns.result import Failure, Result, Success

from pearshed._internal.engine_side.monitor import (
    CacheChange,
    CacheUpdate,
    EngineMonitor,
    EngineReport,
    RunningRequest,
)
from pearshed._internal.http.json_client import JsonClient
from pearshed._internal.platform import names
from pearshed._internal.timers import clock
from pearshed._internal.utils.addresses import Address

#: The engine is on the same VM; it answers within milliseconds or hangs.
ANSWER_TIMEOUT_S = 1.0


class PlatformEngineMonitor(EngineMonitor):
    """Asks an engine over two kept connections, since a wait for changes holds one."""

    def __init__(self, address: Address) -> None:
        self._reports = JsonClient(address)
        self._changes = JsonClient(address)

    async def report(self) -> Result[EngineReport, str]:
        """Read the engine's load."""
        answer = await self._reports.call(names.REPORT_CALL, {}, ANSWER_TIMEOUT_S)
        return answer.bind(_report)

    async def next_cache_update(self, since: int, wait_s: float) -> Result[CacheUpdate, str]:
        """Wait for changes of the engine's cache."""
        wait_ms = int(wait_s * clock.MILLISECONDS_PER_SECOND)
        headers = ((names.WAIT_MS, b"%d" % wait_ms),)
        answer = await self._changes.call(
            names.CACHE_EVENTS_CALL, {"since": str(since)}, wait_s + ANSWER_TIMEOUT_S, headers
        )
        return answer.bind(_cache_update)

    def close(self) -> None:
        """Drop the connections."""
        self._reports.close()
        self._changes.close()


def _report(answer: tuple[int, Mapping[str, Any]]) -> Result[EngineReport, str]:
    status, raw = answer
    if status != 200:
        return Failure(f"the engine's report has status {status}")
    runs = raw.get("runs")
    return Success(
        EngineReport(
            _count(raw, "running"),
            _count(raw, "queued"),
            _count(raw, "kvUsed"),
            _count(raw, "kvTotal"),
            tuple(
                RunningRequest(str(run[0]), int(run[1]), int(run[2]))
                for run in (runs if isinstance(runs, list) else [])
                if isinstance(run, list) and len(run) > 2
            ),
        )
    )


def _cache_update(answer: tuple[int, Mapping[str, Any]]) -> Result[CacheUpdate, str]:
    status, raw = answer
    if status != 200:
        return Failure(f"the engine's cache events have status {status}")
    events = raw.get("events")
    changes = []
    for event in events if isinstance(events, list) else []:
        # [number, + or -, empty text, part, tokens kept now, model]
        if isinstance(event, list) and len(event) > 4 and isinstance(event[4], int):
            changes.append(CacheChange(str(event[3]), event[4]))
    return Success(
        CacheUpdate(
            str(raw.get("epoch")), _count(raw, "next"), bool(raw.get("lost")), tuple(changes)
        )
    )


def _count(raw: Mapping[str, Any], name: str) -> int:
    value = raw.get(name)
    return value if isinstance(value, int) else 0
