"""HTTP client of an engine: reads its report and the changes of its cache."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from absl import logging
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from pearshed._internal.decisions.engine_pauses import parse_pause
from pearshed._internal.engine_side.monitor import (
    CacheChange,
    CacheUpdate,
    EngineMonitor,
    EngineReport,
    RunningRequest,
)
from pearshed._internal.http import messages
from pearshed._internal.http.json_client import JsonClient
from pearshed._internal.platform import names
from pearshed._internal.timers import clock
from pearshed._internal.utils.addresses import Address
from pearshed._internal.utils.foreign_values import describe, to_integer

#: The engine is on the same VM: it responds within milliseconds or hangs.
RESPONSE_TIMEOUT_S = 1.0
_TURNED_AWAY = 503
_PAUSED: Result[Any, str] = Failure("the engine asks for a pause")


class PlatformEngineMonitor(EngineMonitor):
    """Reads an engine over two connections, since a wait for changes occupies one.

    While the engine asks for a pause, it is not read.
    """

    def __init__(self, address: Address) -> None:
        self._paused_until = float("-inf")
        self._report_client = JsonClient(address, max_transfer_s=RESPONSE_TIMEOUT_S)
        self._cache_event_client = JsonClient(address, max_transfer_s=RESPONSE_TIMEOUT_S)

    async def report(self) -> Result[EngineReport, str]:
        """Read the engine's load."""
        if clock.now() < self._paused_until:
            return _PAUSED
        response = await self._report_client.call(names.REPORT_PATH, {}, RESPONSE_TIMEOUT_S)
        self._record_pause(response, self._report_client)
        return response.bind(_parse_report)

    async def next_cache_update(self, since: int, wait_s: float) -> Result[CacheUpdate, str]:
        """Wait for changes of the engine's cache."""
        if clock.now() < self._paused_until:
            return _PAUSED
        wait_ms = int(wait_s * clock.MILLISECONDS_PER_SECOND)
        headers = ((names.WAIT_MS, b"%d" % wait_ms),)
        response = await self._cache_event_client.call(
            names.CACHE_EVENTS_PATH, {"since": str(since)}, wait_s + RESPONSE_TIMEOUT_S, headers
        )
        self._record_pause(response, self._cache_event_client)
        return response.bind(_parse_cache_update)

    def _record_pause(
        self, response: Result[tuple[int, Mapping[str, Any]], str], client: JsonClient
    ) -> None:
        """Record the pause that the engine asks for as it turns a read away."""
        value = messages.header_value(client.response_headers, names.RETRY_AFTER)
        if not value or not is_successful(response) or response.unwrap()[0] != _TURNED_AWAY:
            return
        asked = parse_pause(value)
        self._paused_until = max(self._paused_until, clock.now() + asked.pause_s)
        fields = {"value": asked.text, "for_s": asked.pause_s}
        logging.info("engine.paused", extra={"fields": fields})

    def close(self) -> None:
        """Close the connections."""
        self._report_client.close()
        self._cache_event_client.close()


def _parse_report(response: tuple[int, Mapping[str, Any]]) -> Result[EngineReport, str]:
    status, raw = response
    if status != 200:
        return Failure(f"the engine's report has status {status}")
    runs = raw.get("runs")
    return Success(
        EngineReport(
            _get_count(raw, "running"),
            _get_count(raw, "queued"),
            _get_count(raw, "kvUsed"),
            _get_count(raw, "kvTotal"),
            tuple(_parse_runs(runs if isinstance(runs, list) else [])),
            _get_count(raw, "born"),
        )
    )


def _parse_runs(runs: Iterable[Any]) -> Iterator[RunningRequest]:
    """Decode the requests that run, but for those that can't be read."""
    for run in runs:
        try:
            request_id, tokens, events = run[:3]
            yield RunningRequest(_to_text(request_id), to_integer(tokens), to_integer(events))
        except (TypeError, ValueError) as error:
            logging.info("engine.run_refused", extra={"fields": {"reason": str(error)}})


def _parse_cache_update(response: tuple[int, Mapping[str, Any]]) -> Result[CacheUpdate, str]:
    status, raw = response
    if status != 200:
        return Failure(f"the engine's cache events have status {status}")
    events = raw.get("events")
    changes = []
    for event in events if isinstance(events, list) else []:
        # [number, + or -, empty text, part, tokens of it in the cache now, model]
        try:
            _, sign, _, part, tokens = event[:5]
            changes.append(CacheChange(_to_text(part), to_integer(tokens), evicted=sign == "-"))
        except (TypeError, ValueError) as error:
            logging.info("engine.cache_event_refused", extra={"fields": {"reason": str(error)}})
    return Success(
        CacheUpdate(
            raw["epoch"] if isinstance(raw.get("epoch"), str) else describe(raw.get("epoch")),
            _get_count(raw, "next"),
            bool(raw.get("lost")),
            tuple(changes),
        )
    )


def _get_count(raw: Mapping[str, Any], name: str) -> int:
    try:
        return max(0, to_integer(raw.get(name)))
    except ValueError:
        return 0


def _to_text(value: Any) -> str:
    """Return a text.

    :raises ValueError: when it is none.
    """
    if not isinstance(value, str):
        raise ValueError(f"expected text, found {describe(value)}")
    return value
