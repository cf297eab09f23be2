"""Engines that have asked this gateway for a pause.

The pause is this gateway's alone: an engine asks each gateway that it turns away, so nothing of it
is sent to other processes.
"""

from collections.abc import Callable, Coroutine, Iterable
from typing import Any, TypeVar

from absl import logging

from pearshed._internal.decisions.engine_pauses import PauseRequest
from pearshed._internal.gateway.availability.interruptible_waits import InterruptibleWaits
from pearshed._internal.models.routing import EndpointEntry, EndpointRun
from pearshed._internal.telemetry.metrics import Metric, counter, gauge
from pearshed._internal.timers import clock

#: Runs of engines that are remembered; those whose pause has ended are dropped first.
MAX_RUNS = 4096

_Result = TypeVar("_Result")


class PauseTable:
    """Pauses by the engine's run.

    A pause outlasts a new listing of the engine. It ends with the run: a restarted engine, or
    another one at the same address, has not asked for it.
    """

    def __init__(self) -> None:
        self._until: dict[EndpointRun, float] = {}
        self._waits: InterruptibleWaits[EndpointRun] = InterruptibleWaits()
        self._callbacks: list[Callable[[], None]] = []
        self._begun = 0
        self._withheld = 0

    def remaining_s(self, entry: EndpointEntry) -> float:
        """Return the rest of an engine's pause, seconds; 0 without one."""
        # Looked up for each endpoint and request; mostly no engine pauses.
        if not self._until:
            return 0.0
        until = self._until.get(entry.run)
        if until is None:
            return 0.0
        remaining_s = until - clock.now()
        if remaining_s <= 0.0:
            del self._until[entry.run]
            return 0.0
        return remaining_s

    def on_begin(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` when a pause begins."""
        self._callbacks.append(callback)

    def record(self, entry: EndpointEntry, asked: PauseRequest) -> None:
        """Record that an engine asks for a pause; of several the latest end counts."""
        if asked.odd:
            _log("endpoint.odd_pause", entry, value=asked.text, for_s=asked.pause_s)
        run = entry.run
        before_s = self.remaining_s(entry)
        if asked.pause_s <= before_s:
            return
        if len(self._until) >= MAX_RUNS:
            self._drop_ended()
        self._until[run] = clock.now() + asked.pause_s
        if before_s:
            return
        self._begun += 1
        _log("endpoint.paused", entry, for_s=round(asked.pause_s, 3))
        self._waits.interrupt(run)
        for callback in self._callbacks:
            callback()

    def record_withheld(self) -> None:
        """Count a request that was withheld right before it would have been sent."""
        self._withheld += 1

    async def wait_unless_paused(
        self, entry: EndpointEntry, operation: Coroutine[Any, Any, _Result]
    ) -> _Result | None:
        """Wait for an operation at an engine, and cancel it when the engine asks for a pause.

        :returns: its result, or ``None`` if it was cancelled for that reason.
        """
        return await self._waits.wait(entry.run, operation)

    def collect(self) -> Iterable[Metric]:
        """Report the metrics."""
        now = clock.now()
        yield counter(
            "pearshed_gateway_pauses_total",
            "Pauses that engines have asked this gateway for",
            self._begun,
        )
        yield gauge(
            "pearshed_gateway_paused_endpoints",
            "Engines that get no requests of this gateway since they have asked for a pause",
            sum(until > now for until in self._until.values()),
        )
        yield counter(
            "pearshed_gateway_pause_moved_total",
            "Waits for an engine that ended since it asked for a pause",
            self._waits.interrupted,
        )
        yield counter(
            "pearshed_gateway_pause_withheld_total",
            "Requests that were withheld right before they would have been sent in a pause",
            self._withheld,
        )

    def _drop_ended(self) -> None:
        now = clock.now()
        self._until = {run: until for run, until in self._until.items() if until > now}
        if len(self._until) >= MAX_RUNS:
            del self._until[min(self._until, key=lambda run: self._until[run])]


def _log(event: str, entry: EndpointEntry, **fields: object) -> None:
    described = {
        "identity": entry.identity,
        "service": entry.service,
        "address": str(entry.address),
    }
    logging.info(event, extra={"fields": {**described, **fields}})
