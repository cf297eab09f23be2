"""Holds plain requests at the gateway while the slots of their endpoints are in use."""

import asyncio
import collections
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from pearshed._internal.decisions.plain_queue import (
    SlotUse,
    WaitingRequest,
    WorkTimes,
    expected_wait_s,
)
from pearshed._internal.gateway.endpoints import Endpoint
from pearshed._internal.gateway.placement import PlacementDecision
from pearshed._internal.gateway.routed_call import RoutedCall
from pearshed._internal.telemetry.metrics import Metric, Sample
from pearshed._internal.timers import clock

#: Interval at which held requests are looked at without an event, seconds; much shorter than the
#: time that a request takes.
CHECK_INTERVAL_S = 0.02


@dataclass(frozen=True, slots=True)
class NoTurn:
    """The request can't end before its deadline; it was not sent.

    :ivar wait_s: expected time until a slot is free, seconds.
    """

    wait_s: float


@dataclass(slots=True, eq=False)
class _Waiter:
    request: WaitingRequest
    candidates: Callable[[], Sequence[Endpoint]]
    choose: Callable[[Sequence[Endpoint]], PlacementDecision | None]
    turn: "asyncio.Future[PlacementDecision | NoTurn | None]" = field(repr=False)


class PlainWaiting:
    """The plain requests of all services that wait for a slot, or have one.

    :param gateway_count: returns the number of gateways.
    """

    def __init__(self, gateway_count: Callable[[], int]) -> None:
        self._gateway_count = gateway_count
        self._waiting: dict[str, list[_Waiter]] = {}
        self._own: collections.Counter[Endpoint] = collections.Counter()
        self._work = WorkTimes()

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait."""
        return sum(len(waiters) for waiters in self._waiting.values())

    def record_response(self, call: RoutedCall, seconds: float) -> None:
        """Record the time from sending a request to its response."""
        self._work.record(call.route.name, seconds)

    async def take_turn(
        self,
        call: RoutedCall,
        candidates: Callable[[], Sequence[Endpoint]],
        choose: Callable[[Sequence[Endpoint]], PlacementDecision | None],
    ) -> PlacementDecision | NoTurn | None:
        """Wait until an endpoint has a free slot for a request.

        ``finish`` must be called for the endpoint when the request has ended there.

        :param candidates: returns the endpoints that may take it.
        :param choose: chooses among those with a free slot.
        :returns: ``None`` if there is no candidate.
        """
        work_s = self._work.work_s(call.route.name, repeatable=call.route.retryable)
        request = WaitingRequest(call.rank, call.deadline, work_s)
        waiters = self._waiting.setdefault(call.service, [])
        usable = candidates()
        if usable and all(self._use(endpoint) is not None for endpoint in usable):
            uses = [use for use in map(self._use, usable) if use is not None]
            wait_s = expected_wait_s(request, [item.request for item in waiters], uses)
            if wait_s > request.slack_s:
                return NoTurn(wait_s)
        turn: asyncio.Future[PlacementDecision | NoTurn | None] = (
            asyncio.get_running_loop().create_future()
        )
        waiter = _Waiter(request, candidates, choose, turn)
        waiters.append(waiter)
        self._process_service(call.service)
        try:
            return await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                granted = turn.result()
                if isinstance(granted, PlacementDecision):
                    self.finish(granted.endpoint)
            raise
        finally:
            if waiter in waiters:
                waiters.remove(waiter)

    def finish(self, endpoint: Endpoint) -> None:
        """Record that a request has ended at an endpoint, and let the next one go."""
        self._own[endpoint] -= 1
        if self._own[endpoint] <= 0:
            del self._own[endpoint]
        self._process_service(endpoint.entry.service)

    def process(self) -> None:
        """Let requests go for which a slot is free, and refuse those that can't end in time."""
        for service in tuple(self._waiting):
            self._process_service(service)

    def collect(self) -> Iterable[Metric]:
        """Report the metrics."""
        ranks = collections.Counter(
            item.request.rank for waiters in self._waiting.values() for item in waiters
        )
        yield Metric(
            "pearshed_gateway_plain_waiting",
            "Plain requests that wait at this gateway for a slot of an endpoint, by rank",
            tuple(Sample(count, {"rank": str(rank)}) for rank, count in ranks.items()),
        )

    def _process_service(self, service: str) -> None:
        waiters = self._waiting.get(service)
        if not waiters:
            return
        for waiter in sorted(waiters, key=lambda item: item.request.sort_key):
            if waiter.turn.done():
                continue
            decided = self._decide(waiter)
            if decided is not _WAITS:
                waiters.remove(waiter)
                waiter.turn.set_result(decided)

    def _decide(self, waiter: _Waiter) -> "PlacementDecision | NoTurn | None":
        """Decide on a request: its endpoint, a refusal, no candidate, or that it waits."""
        request = waiter.request
        if request.slack_s < 0.0:
            return NoTurn(0.0)
        candidates = waiter.candidates()
        if not candidates:
            return None
        gateways = self._gateway_count()
        free = []
        for endpoint in candidates:
            use = self._use(endpoint)
            if use is None or use.may_send(gateways, request.work_s):
                free.append(endpoint)
        if not free:
            return _WAITS
        decision = waiter.choose(free)
        if decision is not None:
            self._own[decision.endpoint] += 1
        return decision

    def _use(self, endpoint: Endpoint) -> SlotUse | None:
        """Return the use of an endpoint's slots; ``None`` if it doesn't report any."""
        report = endpoint.reported_load
        if report is None or report.slots <= 0:
            return None
        return SlotUse(
            report.slots,
            report.running + report.waiting,
            endpoint.load_age_s(clock.now()),
            endpoint.in_flight_at_report,
            max(self._own[endpoint], endpoint.in_flight),
        )


#: Stands for the decision that a request waits.
_WAITS = NoTurn(-1.0)
