"""Decides which requests may be sent to an engine that limits how many it takes."""

from collections.abc import Callable
from dataclasses import dataclass, field

from pearshed._internal.decisions.cold_engines import SAVED_PLACES, binding_rate
from pearshed._internal.engine_side.messages import PlaceRequest
from pearshed._internal.timers import clock

#: Places that can be saved up beside one, in seconds of the limit.
BURST_S = 0.25
#: Requests per second to an engine that takes none, so that the end of its limit is noticed.
PROBES_PER_S = 0.1
#: Every such place goes to the request that has waited longest, whatever its rank.
OLDEST_FIRST_EVERY = 8
#: A waiting request that the gateway has not renewed for this long is dropped, seconds.
WAITING_TTL_S = 0.6
#: Time for which a granted place is remembered, for repeated datagrams, seconds.
GRANT_MEMORY_S = 2.0
#: A queue without a request for this long is dropped, seconds; a new one starts without a place.
QUEUE_TTL_S = 600.0

#: Runs for which a side counts; more than a fleet has limited engines at a time.
MAX_RUNS = 4096


def effective_rate(per_s: float) -> float:
    """Return the requests per second to send to an engine that has named a limit."""
    return per_s or PROBES_PER_S


@dataclass(slots=True)
class _Waiting:
    request: PlaceRequest
    submitted_at: float
    renewed_at: float
    expires_at: float
    grant: Callable[[], None] = field(repr=False)
    refuse: Callable[[float], None] = field(repr=False)


class PlaceQueue:
    """Grants places at one run of an engine at the rate that it takes.

    Starts without a place: another process may just have granted some.

    A cold run may crash at twice its limit. So places there aren't saved up, and one that isn't
    used is lost rather than granted again.

    :param per_s: returns the requests per second that the run takes; ``None`` without a limit.
    :param cold_per_s: returns the requests per second while the run is cold; ``None`` when it is
        warm. The smaller limit binds.
    """

    def __init__(
        self,
        per_s: Callable[[], float | None],
        cold_per_s: Callable[[], float | None] = lambda: None,
    ) -> None:
        self._per_s = per_s
        self._cold_per_s = cold_per_s
        self._places = 0.0
        self._filled_at = clock.now()
        self._requested_at = self._filled_at
        self._waiting: dict[str, _Waiting] = {}
        self._granted: dict[str, float] = {}
        self._waited_s: dict[str, float] = {}
        self._grant_count = 0

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    @property
    def requested_at(self) -> float:
        """Clock reading of the latest request, seconds."""
        return self._requested_at

    def waited_s(self, reservation: str) -> float:
        """Return how long a request has waited for the place that it was granted, seconds."""
        return self._waited_s.get(reservation, 0.0)

    def submit(
        self, request: PlaceRequest, grant: Callable[[], None], refuse: Callable[[float], None]
    ) -> bool:
        """Decide on a request, queue it, or renew one that is queued.

        :param grant: called when it gets a place.
        :param refuse: called with the time until a place, seconds, if it can't get one in time.
        :returns: whether it waits.
        """
        now = clock.now()
        self._requested_at = now
        if request.reservation in self._granted:
            grant()
            return False
        waiting = self._waiting.get(request.reservation)
        if waiting is not None:
            waiting.renewed_at = now
            return True
        budget_s = request.budget_ms / clock.MILLISECONDS_PER_SECOND
        waiting = _Waiting(request, now, now, now + budget_s, grant, refuse)
        self._waiting[request.reservation] = waiting
        self.process()
        if request.reservation not in self._waiting:
            return False
        wait_s = self._expected_wait_s(waiting)
        if wait_s > budget_s:
            del self._waiting[request.reservation]
            refuse(wait_s)
            return False
        return True

    def release(self, reservation: str) -> None:
        """Drop a waiting request, or take back a place that was granted and isn't used."""
        if self._granted.pop(reservation, None) is not None and self._cold_per_s() is None:
            self._places += 1.0
        self._waiting.pop(reservation, None)
        self.process()

    def process(self) -> None:
        """Grant the places that there are, and refuse what has waited too long."""
        now = clock.now()
        self._granted = {
            reservation: granted_at
            for reservation, granted_at in self._granted.items()
            if now - granted_at < GRANT_MEMORY_S
        }
        self._waited_s = {
            reservation: waited_s
            for reservation, waited_s in self._waited_s.items()
            if reservation in self._granted
        }
        self._waiting = {
            reservation: waiting
            for reservation, waiting in self._waiting.items()
            if now - waiting.renewed_at <= WAITING_TTL_S
        }
        self._fill(now)
        self._grant_places(now)
        for reservation, waiting in tuple(self._waiting.items()):
            if waiting.expires_at < now:
                del self._waiting[reservation]
                waiting.refuse(self._expected_wait_s(waiting))

    def _grant_places(self, now: float) -> None:
        is_limited = self._rate() is not None
        while self._waiting and (self._places >= 1.0 or not is_limited):
            waiting = self._pick()
            del self._waiting[waiting.request.reservation]
            if is_limited:
                self._places -= 1.0
            self._granted[waiting.request.reservation] = now
            self._waited_s[waiting.request.reservation] = now - waiting.submitted_at
            self._grant_count += 1
            waiting.grant()

    def _rate(self) -> float | None:
        per_s = self._per_s()
        named_per_s = effective_rate(per_s) if per_s is not None else None
        return binding_rate(named_per_s, self._cold_per_s())

    def _fill(self, now: float) -> None:
        """Add the places that have accrued since the last call."""
        rate = self._rate()
        elapsed_s = now - self._filled_at
        self._filled_at = now
        if rate is None:
            self._places = 0.0
            return
        saved = 1.0 + rate * BURST_S if self._cold_per_s() is None else SAVED_PLACES
        self._places = min(saved, self._places + rate * elapsed_s)

    def _pick(self) -> _Waiting:
        """Return the waiting request that gets the next place."""
        if self._grant_count % OLDEST_FIRST_EVERY == OLDEST_FIRST_EVERY - 1:
            return min(self._waiting.values(), key=lambda item: item.submitted_at)
        return min(self._waiting.values(), key=lambda item: (item.request.rank, item.submitted_at))

    def _expected_wait_s(self, waiting: _Waiting) -> float:
        """Return the time until a request gets a place after those that go before it, seconds."""
        rate = self._rate()
        if rate is None:
            return 0.0
        order = (waiting.request.rank, waiting.submitted_at)
        ahead = sum(
            (item.request.rank, item.submitted_at) < order for item in self._waiting.values()
        )
        return max(0.0, (ahead + 1 - self._places) / rate)


class PlaceKeeper:
    """The queues of the runs for which this side counts.

    :param per_s: returns the requests per second that a run takes; ``None`` without a limit.
    :param cold_per_s: returns the requests per second of a cold run; ``None`` when it is warm.
    """

    def __init__(
        self,
        per_s: Callable[[str], float | None],
        cold_per_s: Callable[[str], float | None] = lambda run: None,
    ) -> None:
        self._per_s = per_s
        self._cold_per_s = cold_per_s
        self._queues: dict[str, PlaceQueue] = {}

    @property
    def run_count(self) -> int:
        """Number of runs for which this side counts."""
        return len(self._queues)

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait at all runs."""
        return sum(queue.waiting_count for queue in self._queues.values())

    def queue(self, run: str) -> PlaceQueue:
        """Return the queue of a run."""
        queue = self._queues.get(run)
        if queue is None:
            if len(self._queues) >= MAX_RUNS:
                oldest = min(self._queues, key=lambda name: self._queues[name].requested_at)
                del self._queues[oldest]
            queue = self._queues[run] = PlaceQueue(
                lambda: self._per_s(run), lambda: self._cold_per_s(run)
            )
        return queue

    def release(self, run: str, reservation: str) -> None:
        """Drop a request, or take back its place."""
        if run in self._queues:
            self._queues[run].release(reservation)

    def process(self) -> None:
        """Process all queues, and drop those that are no longer used."""
        oldest = clock.now() - QUEUE_TTL_S
        self._queues = {
            run: queue for run, queue in self._queues.items() if queue.requested_at > oldest
        }
        for queue in self._queues.values():
            queue.process()
