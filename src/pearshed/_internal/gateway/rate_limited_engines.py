"""Keeps to the limits that engines name on the requests that they take from all gateways together.

One side counts for each run of an engine: the engine's own, else one that all gateways choose
alike.
"""

import asyncio
import dataclasses
import random
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from absl import logging

from pearshed._internal.decisions import cold_engines
from pearshed._internal.decisions.cold_engines import ColdLimit, binding_rate
from pearshed._internal.engine_side import messages
from pearshed._internal.engine_side.messages import LimitReport, PlaceReleased, PlaceRequest
from pearshed._internal.engine_side.place_queue import effective_rate
from pearshed._internal.engine_side.rate_limits import RateLimit, RateLimitTable
from pearshed._internal.gateway.admission import Admitted, NotAdmitted, SideAdmissionClient
from pearshed._internal.gateway.endpoints import Endpoint
from pearshed._internal.gateway.local_share import USED_SHARE, LocalShare
from pearshed._internal.gateway.routed_call import RoutedCall
from pearshed._internal.gateway.side_exchange import ExchangedRecords, SideExchange
from pearshed._internal.models.routing import EndpointEntry, run_id
from pearshed._internal.telemetry.metrics import Metric, Sample, counter, gauge
from pearshed._internal.timers import clock

#: Sides that are asked for a place before the gateway uses its own share.
MAX_SIDES = 2
#: Time for which a side that doesn't respond is not asked, seconds. Until all gateways have found
#: it silent, two sides grant places.
SIDE_SKIP_S = 1.0
#: Runs of engines whose next place or own share is remembered.
_MAX_RUNS = 4096


@dataclass(frozen=True, slots=True)
class Place:
    """The request may be sent to the engine.

    :ivar host: of the side that granted it; empty if the engine has no limit or no side responded.
    :ivar taken_at: clock reading when a place at a cold engine was granted, or before, seconds;
        ``None`` if the engine was warm.
    """

    run: str
    reservation: str
    host: str = ""
    taken_at: float | None = None


@dataclass(frozen=True, slots=True)
class NoPlace:
    """The engine takes no request now.

    :ivar wait_s: time after which it likely does, seconds.
    """

    wait_s: float


class RateLimitedEngines(ExchangedRecords):
    """Records the limits that engines name, and asks for places at these engines.

    :param gateway_count: returns the number of gateways.
    :param cold_limit: returns the limit of an engine that is cold now. It binds beside the one that
        the engine names, is not changed by responses and not reported to others.
    """

    def __init__(
        self,
        client: SideAdmissionClient,
        sides: SideExchange,
        gateway_count: Callable[[], int],
        rng: random.Random,
        cold_limit: Callable[[EndpointEntry], ColdLimit | None] = lambda entry: None,
    ) -> None:
        self._cold_limit = cold_limit
        self._client = client
        self._sides = sides
        self._gateway_count = gateway_count
        self._rng = rng
        self._table = RateLimitTable()
        self._has_news = False
        self._next_places: dict[str, tuple[float, float]] = {}
        self._request_count = 0
        self._own_shares: dict[str, LocalShare] = {}
        self._skipped_until: dict[str, float] = {}
        self._sent: Counter[str] = Counter()
        self._sent_to_cold: Counter[str] = Counter()
        self._lapsed_count = 0
        self._decisions: Counter[str] = Counter()

    def per_s(self, entry: EndpointEntry) -> float | None:
        """Return the requests per second that an engine takes; ``None`` without a limit."""
        limit = self._limit(entry)
        return limit.per_s if limit is not None else None

    def effective_per_s(self, entry: EndpointEntry) -> float | None:
        """Return the requests per second that an engine is to get, cold or in need."""
        named_per_s = self.per_s(entry)
        cold = self._cold_limit(entry)
        return binding_rate(
            effective_rate(named_per_s) if named_per_s is not None else None,
            cold.per_s if cold is not None else None,
        )

    def needs_new_place(self, entry: EndpointEntry, place: Place) -> bool:
        """Return whether a request needs another place, since it wasn't sent at once.

        A cold engine must not get the places of several seconds in one.
        """
        if self._cold_limit(entry) is None:
            return False
        return place.taken_at is None or not cold_engines.is_place_usable(place.taken_at)

    def record_lapse(self) -> None:
        """Count a request that wasn't sent since its place at a cold engine had lapsed."""
        self._lapsed_count += 1

    def next_place_s(self, entry: EndpointEntry) -> float:
        """Return the time until an engine likely takes the next request, seconds."""
        per_s, next_at = self._next_places.get(run_id(entry), (None, 0.0))
        # What was said of the next place holds for the limit of that time only.
        return max(0.0, next_at - clock.now()) if per_s == self.effective_per_s(entry) else 0.0

    def record_response(self, entry: EndpointEntry, per_s: float | None) -> None:
        """Record what an engine has said in a response.

        :param per_s: requests per second; ``None`` if the response names no limit.
        """
        before = self.per_s(entry)
        self._table.record(run_id(entry), per_s)
        if per_s != before:
            self._has_news = True
            logging.info(
                "engine.rate_limit",
                extra={
                    "fields": {
                        "endpoint": entry.identity,
                        "address": str(entry.address),
                        "per_s": per_s,
                        "before": before,
                    }
                },
            )

    def record_send(self, entry: EndpointEntry) -> None:
        """Count a request that is sent to an engine, if the engine has a limit."""
        if self.per_s(entry) is not None:
            self._sent[entry.identity] += 1
        if self._cold_limit(entry) is not None:
            self._sent_to_cold[entry.identity] += 1

    def merge(self, report: LimitReport) -> None:
        """Merge the limits that a side knows."""
        self._table.merge(report.limits)

    def take_news(self) -> bool:
        """Return whether an engine has changed its limit since the last call."""
        has_news, self._has_news = self._has_news, False
        return has_news

    def report(self) -> LimitReport:
        """Return the known limits."""
        return LimitReport("", self._table.limits)

    async def take_place(
        self, call: RoutedCall, endpoint: Endpoint, budget_s: float
    ) -> Place | NoPlace:
        """Take a place at an engine, if the engine has a limit.

        :param budget_s: longest time to wait, seconds; 0 for an immediate decision.
        """
        entry = endpoint.entry
        run = run_id(entry)
        limit = self._limit(entry)
        named_per_s = limit.per_s if limit is not None else None
        cold = self._cold_limit(entry)
        per_s = self.effective_per_s(entry)
        if per_s is None:
            return Place(run, "")
        next_place_s = self.next_place_s(entry)
        if next_place_s > budget_s:
            return NoPlace(next_place_s)
        self._request_count += 1
        request = PlaceRequest(
            messages.place_id(call.request_id, self._request_count),
            run,
            named_per_s,
            round((clock.now() - limit.named_at) * clock.MILLISECONDS_PER_SECOND) if limit else 0,
            call.rank,
            round(budget_s * clock.MILLISECONDS_PER_SECOND),
            cold.per_s if cold is not None else None,
            round(cold.left_s * clock.MILLISECONDS_PER_SECOND) if cold is not None else 0,
        )
        outcome = await self._ask_sides(request, entry)
        if outcome is None:
            outcome = await self._take_own_share(request, per_s, budget_s)
        self._decisions[decision_name(outcome)] += 1
        if isinstance(outcome, NoPlace):
            self._remember_next_place(run, per_s, outcome.wait_s)
        return outcome

    def release(self, place: Place) -> None:
        """Give back a place that isn't used."""
        if place.host:
            self._client.send(PlaceReleased(place.reservation, place.run), place.host)

    def collect(self) -> Iterable[Metric]:
        """Report the metrics."""
        yield gauge(
            "pearshed_gateway_rate_limits",
            "Engines that have named a limit on the requests that they take",
            sum(limit.per_s is not None for limit in self._table.limits),
        )
        yield Metric(
            "pearshed_gateway_sent_to_limited_total",
            "Requests sent to an engine while it had a limit, of which this gateway knew",
            tuple(Sample(count, {"endpoint": identity}) for identity, count in self._sent.items()),
            counter=True,
        )
        yield Metric(
            "pearshed_gateway_sent_to_cold_total",
            "Requests sent to an engine while it was cold",
            tuple(
                Sample(count, {"endpoint": identity})
                for identity, count in self._sent_to_cold.items()
            ),
            counter=True,
        )
        yield counter(
            "pearshed_gateway_places_lapsed_total",
            "Places at cold engines that were older than their lifetime when the request was ready",
            self._lapsed_count,
        )
        yield Metric(
            "pearshed_gateway_places_total",
            "Places asked for at engines with a limit, by what came of it",
            tuple(Sample(count, {"outcome": name}) for name, count in self._decisions.items()),
            counter=True,
        )

    def _limit(self, entry: EndpointEntry) -> RateLimit | None:
        return self._table.limit(run_id(entry))

    async def _ask_sides(
        self, request: PlaceRequest, entry: EndpointEntry
    ) -> Place | NoPlace | None:
        """Ask the side that counts for an engine, and the next one if it doesn't respond.

        :returns: the decision, or ``None`` if neither responds.
        """
        first_host = self._first_host(request.run, entry)
        for host in self._counting_hosts(request.run, entry)[:MAX_SIDES]:
            asked_at = clock.now()
            asked = request if host == first_host else _for_other_side(request)
            decision = await self._client.request_place(asked, host)
            if isinstance(decision, Admitted):
                # Not later than the side granted it, however late its response is.
                taken_at = asked_at + decision.waited_s if request.cold_per_s is not None else None
                return Place(request.run, request.reservation, host, taken_at)
            if isinstance(decision, NotAdmitted):
                return NoPlace(decision.wait_s)
            self._skipped_until[host] = clock.now() + SIDE_SKIP_S
            fields = {"host": host, "for_s": SIDE_SKIP_S}
            logging.info("side.counts_no_places", extra={"fields": fields})
        return None

    def _counting_hosts(self, run: str, entry: EndpointEntry) -> Sequence[str]:
        """Return the hosts of sides in the order in which gateways choose them for a run."""
        now = clock.now()
        ranked = self._sides.ranked_hosts(run)
        usable = [host for host in ranked if now >= self._skipped_until.get(host, 0.0)]
        return sorted(usable, key=lambda host: host != entry.address.host)

    def _first_host(self, run: str, entry: EndpointEntry) -> str:
        """Return the host of the side that counts for a run while none is lost."""
        ranked = self._sides.ranked_hosts(run)
        own_host = entry.address.host
        return own_host if own_host in ranked or not ranked else ranked[0]

    async def _take_own_share(
        self, request: PlaceRequest, per_s: float, budget_s: float
    ) -> Place | NoPlace:
        share = self._own_shares.get(request.run)
        if share is None:
            if len(self._own_shares) >= _MAX_RUNS:
                self._own_shares.clear()
            share = self._own_shares[request.run] = LocalShare(self._rng)
        is_cold = request.cold_per_s is not None
        used_share = cold_engines.OWN_SHARES_SHARE if is_cold else USED_SHARE
        reserved, wait_s = share.reserve(per_s, self._gateway_count(), budget_s, used_share)
        if not reserved:
            return NoPlace(wait_s)
        taken_at = clock.now() + wait_s if is_cold else None
        await asyncio.sleep(wait_s)
        return Place(request.run, request.reservation, "", taken_at)

    def _remember_next_place(self, run: str, per_s: float, wait_s: float) -> None:
        """Remember when to ask again; others may take the place that is next then."""
        if len(self._next_places) >= _MAX_RUNS:
            self._next_places.clear()
        interval_s = 1.0 / per_s
        self._next_places[run] = (per_s, clock.now() + min(wait_s, interval_s))


def _for_other_side(request: PlaceRequest) -> PlaceRequest:
    """Return a request to a side that isn't the first to count, which may still grant places."""
    if request.cold_per_s is None:
        return request
    cold_per_s = request.cold_per_s * cold_engines.OTHER_SIDE_SHARE
    return dataclasses.replace(request, cold_per_s=cold_per_s)


def decision_name(outcome: Place | NoPlace) -> str:
    """Name a decision in logs and metrics."""
    if isinstance(outcome, NoPlace):
        return "refused"
    return "granted" if outcome.host else "own share"
