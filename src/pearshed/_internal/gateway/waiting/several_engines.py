"""Lets a request wait at the sides of several engines; it is sent to one of them at most.

A reservation lets a side decide when the request may be sent; the request itself goes only to the
engine whose grant is used. All other reservations are cancelled at once, and a grant that arrives
after that is returned by the admission client, which no longer knows its reservation.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from pearshed._internal.decisions.engine_load import Quote
from pearshed._internal.decisions.reservation_choice import (
    MAX_RESERVATIONS,
    SEARCH_S,
    PendingReservation,
    asks_another,
)
from pearshed._internal.decisions.useful_time import CallerNeeds
from pearshed._internal.gateway.admission import (
    Admission,
    AdmissionClient,
    Admitted,
    NotAdmitted,
)
from pearshed._internal.gateway.endpoints import Endpoint
from pearshed._internal.gateway.placement import PlacementDecision
from pearshed._internal.gateway.rate_limited_engines import Place
from pearshed._internal.gateway.routed_call import RoutedCall
from pearshed._internal.timers import clock

#: Interval at which the engines at which a request waits are checked, seconds: an engine that has
#: begun to leave must not hold a request, and one without a response is complemented by another.
_CHECK_INTERVAL_S = 0.06
#: Time without a response to renewals after which the side of a queued request counts as gone,
#: seconds: renewals are sent every 0.2 s, and two of them were lost.
_SIDE_GONE_S = 0.5


@dataclass(slots=True, eq=False)
class Reservation:
    """A request's reservation at one engine.

    :ivar place: the place that was taken at the engine.
    :ivar asked_at: clock reading when it was first asked for, seconds.
    :ivar silent_s: time since the last response that the request waits, seconds; pauses of the
        process don't count, after which responses are still to be read.
    :ivar outcome: what became of it, for logs.
    """

    decision: PlacementDecision
    place: Place
    number: int
    asked_at: float
    task: "asyncio.Task[Admission] | None" = field(default=None, repr=False)
    queued: bool = False
    silent_s: float = 0.0
    quote: Quote | None = None
    quoted_at: float = 0.0
    outcome: str = "pending"

    @property
    def endpoint(self) -> Endpoint:
        """The engine's endpoint."""
        return self.decision.endpoint

    @property
    def pending(self) -> PendingReservation:
        """What is known of it, for decisions."""
        ready_at = None
        if self.quote is not None:
            ready_at = self.quoted_at + self.quote.ready_ms / clock.MILLISECONDS_PER_SECOND
        return PendingReservation(self.asked_at, self.queued, ready_at)

    def record_queued(self, quote: Quote | None) -> None:
        """Record that the request waits there."""
        self.queued = True
        self.silent_s = 0.0
        if quote is not None:
            self.quote = quote
            self.quoted_at = clock.now()


@dataclass(frozen=True, slots=True)
class Candidates:
    """How a request finds further engines while it waits.

    :ivar has_more: returns whether there are engines that the request hasn't asked yet.
    :ivar rank: returns the best engines that the request hasn't asked yet, the best first.
    :ivar take_place: takes a place at an engine without waiting; ``None`` if there is none.
    :ivar release_place: gives back a place that isn't used.
    :ivar may_use: returns whether a granted request may be sent to an engine.
    :ivar next_number: returns the number of the request's next reservation.
    :ivar on_ended: called with each reservation that has ended, for logs.
    """

    has_more: Callable[[], bool]
    rank: Callable[[], Sequence[PlacementDecision]]
    take_place: Callable[[Endpoint], Awaitable[Place | None]]
    release_place: Callable[[Place], None]
    may_use: Callable[[Endpoint, Admitted], bool]
    next_number: Callable[[], int]
    on_ended: Callable[[Reservation], None]


class SeveralEngines:
    """One request's reservations.

    :param waits_for_silent: no other engine is left, so it waits until a silent one goes on.
    """

    def __init__(
        self,
        call: RoutedCall,
        needs: CallerNeeds,
        client: AdmissionClient,
        candidates: Candidates,
        waits_for_silent: bool,
    ) -> None:
        self._call = call
        self._needs = needs
        self._client = client
        self._candidates = candidates
        self._waits_for_silent = waits_for_silent
        self._pending: list[Reservation] = []
        self._without_side: list[Reservation] = []
        self._refused: list[tuple[Endpoint, NotAdmitted]] = []
        self._asked: list[Endpoint] = []
        self._changed = asyncio.Event()
        self._waited_at = clock.now()
        self._checked_at = self._waited_at

    @property
    def asked(self) -> Sequence[Endpoint]:
        """The engines that were asked, in order."""
        return self._asked

    @property
    def refused(self) -> Sequence[tuple[Endpoint, NotAdmitted]]:
        """The engines that refused, with what their sides said."""
        return self._refused

    async def admit(
        self, first: PlacementDecision, place: Place
    ) -> tuple[Reservation, Admitted] | None:
        """Ask an engine, and further ones while these promise to be earlier.

        :param place: taken at the first engine.
        :returns: the reservation that is used and its grant; ``None`` if there is none in time.
        """
        used: Reservation | None = None
        try:
            self._open(first, place)
            while True:
                await self._wait()
                granted = self._take_grant()
                if granted is not None:
                    used = granted[0]
                    used.outcome = "granted" if granted[1].reservation else "side silent"
                    return granted
                self._drop_lost()
                if self._needs.useful_left_s <= 0.0:
                    return None
                await self._ask_more()
                if not self._pending and not self._without_side:
                    return None
        finally:
            self._cancel_all(used)

    async def _wait(self) -> None:
        """Wait for a response of a side, or until the engines are to be checked."""
        left_s = max(0.0, self._needs.useful_left_s)
        if self._pending:
            try:
                async with asyncio.timeout(min(_CHECK_INTERVAL_S, left_s)):
                    await self._changed.wait()
            except TimeoutError:
                pass
        self._changed.clear()
        if any(item.queued for item in self._pending):
            self._waited_at = clock.now()

    def _take_grant(self) -> tuple[Reservation, Admitted] | None:
        """Process the decisions that have come; return the first grant that can be used."""
        decided = [item for item in self._pending if item.task is not None and item.task.done()]
        granted: tuple[Reservation, Admitted] | None = None
        for item in decided:
            assert item.task is not None
            self._pending.remove(item)
            admission = item.task.result()
            if isinstance(admission, NotAdmitted):
                if admission.quote is not None:
                    item.quote, item.quoted_at = admission.quote, clock.now()
                self._refused.append((item.endpoint, admission))
                self._end(item, "engine silent" if admission.engine_silent else "refused")
            elif not admission.reservation:
                self._without_side.append(item)
            elif granted is not None or not self._candidates.may_use(item.endpoint, admission):
                self._client.notify_finished(admission, item.endpoint)
                self._end(item, "released")
            else:
                granted = item, admission
        if granted is not None or self._pending:
            return granted
        while self._without_side:
            # No side decides, so the request goes straight to an engine.
            item = self._without_side.pop(0)
            if self._candidates.may_use(item.endpoint, Admitted("")):
                return item, Admitted("")
            self._end(item, "side silent")
        return None

    def _drop_lost(self) -> None:
        """Cancel reservations at engines that get no new requests, and at sides that are gone."""
        now = clock.now()
        passed_s = min(now - self._checked_at, 2 * _CHECK_INTERVAL_S)
        self._checked_at = now
        for item in tuple(self._pending):
            item.silent_s += passed_s
            assert item.task is not None
            if not item.endpoint.accepting:
                self._pending.remove(item)
                self._cancel(item)
            elif item.queued and item.silent_s > _SIDE_GONE_S and not item.task.done():
                self._pending.remove(item)
                item.task.cancel()
                self._without_side.append(item)

    async def _ask_more(self) -> None:
        """Ask further engines while these promise to be earlier."""
        while len(self._pending) + len(self._without_side) < MAX_RESERVATIONS:
            searched_s = clock.now() - self._waited_at
            if not self._pending and searched_s > SEARCH_S:
                return
            if not self._may_ask_any():
                return
            ranked = self._candidates.rank()
            if not ranked:
                return
            decision = ranked[0]
            ready_ms = decision.estimate.ready_ms if decision.estimate is not None else None
            if not asks_another([item.pending for item in self._pending], self._needs, ready_ms):
                return
            place = await self._candidates.take_place(decision.endpoint)
            if place is not None:
                self._open(decision, place)

    def _may_ask_any(self) -> bool:
        """Return whether an engine that is ready now would be asked, before any is looked for."""
        pending = [item.pending for item in self._pending]
        return asks_another(pending, self._needs, None) or asks_another(pending, self._needs, 1.0)

    def _open(self, decision: PlacementDecision, place: Place) -> None:
        number = self._candidates.next_number()
        item = Reservation(decision, place, number, clock.now())
        self._asked.append(decision.endpoint)
        item.task = asyncio.get_running_loop().create_task(self._request(item))
        item.task.add_done_callback(lambda _: self._changed.set())
        self._pending.append(item)

    async def _request(self, item: Reservation) -> Admission:
        def record_queued(quote: Quote | None) -> None:
            item.record_queued(quote)
            self._changed.set()

        has_alternative = not self._waits_for_silent and (
            len(self._pending) > 1 or self._candidates.has_more()
        )
        return await self._client.admit(
            self._call,
            item.endpoint,
            item.number,
            max(0.0, self._needs.useful_left_s),
            has_alternative,
            self._needs,
            record_queued,
        )

    def _cancel_all(self, used: Reservation | None) -> None:
        for item in (*self._pending, *self._without_side):
            if item is not used:
                self._cancel(item)
        self._pending.clear()
        self._without_side.clear()
        if used is not None:
            self._candidates.on_ended(used)

    def _cancel(self, item: Reservation) -> None:
        """Cancel a reservation, which its side may have granted already."""
        assert item.task is not None
        if not item.task.done():
            item.task.cancel()
        elif not item.task.cancelled() and item.task.exception() is None:
            admission = item.task.result()
            if isinstance(admission, Admitted):
                self._client.notify_finished(admission, item.endpoint)
        self._end(item, "cancelled")

    def _end(self, item: Reservation, outcome: str) -> None:
        item.outcome = outcome
        self._candidates.release_place(item.place)
        self._candidates.on_ended(item)
