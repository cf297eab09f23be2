"""Decides which requests an engine gets, and when.

Answers the load of bursts in which more is asked than an engine can read. An engine that takes
everything reads prompts whose callers have given up, and its running requests drive the shared
parts of prompts out of its memory, which then are read again: it collapses. So the engine gets
just enough to stay busy; the rest waits here, the most urgent first, or is refused at once when it
can't begin in time.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from pearshed._internal.engine_side.messages import AdmissionRequest
from pearshed._internal.engine_side.monitor import EngineReport
from pearshed._internal.engine_side.prefill_speed import PrefillProgress, PrefillSpeed
from pearshed._internal.engine_side.prefill_throttle import PrefillThrottle
from pearshed._internal.engine_side.prompt_cache import PromptCache
from pearshed._internal.timers import clock

#: Time for which an engine is kept busy with prompts that it has likely not read yet, seconds: a
#: little over the time between an engine's readiness and the next request's arrival.
BACKLOG_S = 0.15
#: Part of the backlog up to which a prompt is let in whatever its size: large ones would have to
#: wait until the engine idles.
ANY_SIZE_SHARE = 0.5
#: The word that a prompt was read comes with its first event, which holds several tokens: up to
#: this late while the engine reads other prompts, seconds. An engine that is slower than measured
#: gets no more than it reads in this time.
LATE_WORD_S = 0.3
#: Streams whose pauses must be shorter than this suffer from prompts that come together, seconds:
#: an engine that reads without a break makes an event about this often.
TIGHT_GAP_S = 0.3
#: Part of the engine's memory that requests may take; the rest keeps shared parts.
MEMORY_SHARE = 0.8
#: A reservation that was not asked about for this long is dropped, seconds; gateways ask again
#: several times in it.
FORGOTTEN_S = 0.6
#: A granted request that the engine doesn't report after this was lost on its way, seconds.
GRANT_LIFE_S = 0.6
#: Lag in the queue for each token of shared parts that must be read, seconds: requests whose
#: shared parts are kept go before equally urgent ones that came a little earlier. What belongs to a
#: request alone is not counted, so that large requests are not put back.
LAG_PER_TOKEN_S = 0.00003


@dataclass(slots=True)
class Reservation:
    """A request that waits for the engine; it has not run.

    :ivar prefill_tokens: tokens that the engine would read.
    :ivar until: clock reading at which it is refused, seconds.
    :ivar order: reservations of one rank go in this order.
    """

    request: AdmissionRequest
    prefill_tokens: int
    until: float
    order: float
    first_asked: float
    asked: float
    notify: Callable[[object], None] = field(repr=False)


@dataclass(slots=True)
class Grant:
    """A request that the engine has, or is about to get.

    :ivar read: the engine has read its prompt.
    :ivar seen: the engine has reported it.
    """

    request: AdmissionRequest
    prefill_tokens: int
    granted: float
    read: bool = False
    seen: bool = False

    @property
    def tokens(self) -> int:
        """Memory that the request takes, tokens."""
        return sum(part.tokens for part in self.request.prompt) + self.request.output_tokens


class AdmissionQueue:
    """Admits requests to one engine.

    :param granted: called with each reservation that is granted.
    :param refused: called with each reservation that is refused and the expected wait, seconds.
    """

    def __init__(
        self,
        cache: PromptCache,
        granted: Callable[[Reservation], None],
        refused: Callable[[Reservation, float], None],
    ) -> None:
        self._cache = cache
        self._on_granted = granted
        self._on_refused = refused
        self._waiting: dict[str, Reservation] = {}
        self._grants: dict[str, Grant] = {}
        self._report: EngineReport | None = None
        self._speed = PrefillSpeed()
        self._progress = PrefillProgress(self._speed)
        self._throttle = PrefillThrottle()

    @property
    def waiting(self) -> int:
        """Reservations that wait."""
        return len(self._waiting)

    @property
    def granted(self) -> int:
        """Requests that the engine has."""
        return len(self._grants)

    @property
    def tokens_per_s(self) -> float:
        """Measured speed of reading prompts."""
        return self._speed.tokens_per_s

    @property
    def prefill_share(self) -> float:
        """Part of the time in which prompts may be read beside streams with short pauses."""
        return self._throttle.share

    @property
    def pending_prefill_tokens(self) -> int:
        """Tokens that the engine has got and likely not read."""
        return round(self._progress.pending(self._unconfirmed_tokens()))

    def is_granted(self, reservation: str) -> bool:
        """Tell whether a reservation was granted."""
        return reservation in self._grants

    def submit(self, request: AdmissionRequest, notify: Callable[[object], None]) -> bool:
        """Take a reservation, or hear again of one that is known.

        :returns: whether it waits or is granted; else it was refused.
        """
        moment = clock.now()
        held = self._waiting.get(request.reservation)
        if held is not None:
            held.asked = moment
            return True
        if request.reservation in self._grants:
            return True
        prefill_tokens = self._cache.uncached_tokens(request.prompt)
        reservation = Reservation(
            request,
            prefill_tokens,
            moment + request.budget_ms / clock.MILLISECONDS_PER_SECOND,
            moment
            + max(0, prefill_tokens - request.prompt[-1].tokens if request.prompt else 0)
            * LAG_PER_TOKEN_S,
            moment,
            moment,
            notify,
        )
        self._waiting[request.reservation] = reservation
        self.process()
        if request.reservation in self._waiting:
            wait_s = self._expected_wait_s(reservation)
            if moment + wait_s > reservation.until:
                del self._waiting[request.reservation]
                self._on_refused(reservation, wait_s)
                return False
        return True

    def record_prefill(self, reservation: str) -> None:
        """Note that a prompt was read."""
        grant = self._grants.get(reservation)
        if grant is None or grant.read:
            return
        grant.read = True
        self._speed.record_prefill(grant.prefill_tokens)
        self._cache.record_prefill(grant.request.prompt)
        self.process()

    def finish(self, reservation: str, longest_gap_ms: int = 0) -> None:
        """Note that a request has ended, or is no longer wanted.

        :param longest_gap_ms: longest pause between its events, milliseconds.
        """
        self._waiting.pop(reservation, None)
        grant = self._grants.pop(reservation, None)
        if grant is None:
            return
        gap_ms = grant.request.gap_ms
        if 0 < gap_ms <= TIGHT_GAP_S * clock.MILLISECONDS_PER_SECOND:
            self._throttle.record_stream(longest_gap_ms, gap_ms)
        self.process()

    def apply_report(self, report: EngineReport) -> None:
        """Take the engine's own word on what it runs."""
        self._report = report
        moment = clock.now()
        events = {run.request_id: run.events for run in report.runs}
        for reservation, grant in tuple(self._grants.items()):
            request_id = reservation.partition("/")[0]
            if request_id in events:
                grant.seen = True
                if events[request_id] > 0:
                    self.record_prefill(reservation)
            elif moment - grant.granted > GRANT_LIFE_S and (grant.seen or not report.waiting):
                del self._grants[reservation]
        self.process()

    def process(self) -> None:
        """Grant what fits and drop what is too old."""
        moment = clock.now()
        for name, reservation in tuple(self._waiting.items()):
            if reservation.until < moment:
                del self._waiting[name]
                self._on_refused(reservation, self._expected_wait_s(reservation))
            elif moment - reservation.asked > FORGOTTEN_S:
                del self._waiting[name]
        for reservation in sorted(self._waiting.values(), key=_order):
            if not self._fits(reservation):
                return
            del self._waiting[reservation.request.reservation]
            unconfirmed = self._unconfirmed_tokens()
            if not unconfirmed:
                self._speed.restart_window()
            self._progress.add(reservation.prefill_tokens, unconfirmed)
            self._grants[reservation.request.reservation] = Grant(
                reservation.request, reservation.prefill_tokens, moment
            )
            self._on_granted(reservation)

    def _fits(self, reservation: Reservation) -> bool:
        slots = reservation.request.slots
        if slots and len(self._grants) >= slots:
            return False
        pending = self.pending_prefill_tokens
        speed = self._speed.tokens_per_s
        backlog = speed * BACKLOG_S
        if pending > backlog * ANY_SIZE_SHARE and pending + reservation.prefill_tokens > backlog:
            return False
        if self._unconfirmed_tokens() > speed * LATE_WORD_S:
            return False
        if not self._keeps_pace(reservation, speed):
            return False
        report = self._report
        if report is None or not report.total_tokens:
            return True
        expected = report.used_tokens + sum(
            grant.tokens for grant in self._grants.values() if not grant.seen
        )
        wanted = sum(part.tokens for part in reservation.request.prompt)
        if not report.running and not self._grants:
            return True
        return expected + wanted <= report.total_tokens * MEMORY_SHARE

    def _keeps_pace(self, reservation: Reservation, speed: float) -> bool:
        """Tell whether streams with short pauses keep them while the prompt is read.

        Counts only where most requests are such streams: among long prompts a few of them can't be
        helped, and waiting for them would cost the others more.
        """
        if not self._throttle.bounded:
            return True
        tight = [gap for gap in self._gaps_s(reservation) if gap <= TIGHT_GAP_S]
        if len(tight) * 2 <= len(self._grants):
            return True
        gap_s = min(tight)
        oldest = clock.now() - gap_s
        recent = sum(
            grant.prefill_tokens for grant in self._grants.values() if grant.granted > oldest
        )
        return (
            not recent
            or recent + reservation.prefill_tokens <= speed * gap_s * self._throttle.share
        )

    def _gaps_s(self, reservation: Reservation) -> list[float]:
        """List the longest pauses that are on time, of the request and those that run."""
        requests = [reservation.request, *(grant.request for grant in self._grants.values())]
        return [
            request.gap_ms / clock.MILLISECONDS_PER_SECOND for request in requests if request.gap_ms
        ]

    def _unconfirmed_tokens(self) -> int:
        """Count the tokens that the engine has got, without word that they were read."""
        return sum(grant.prefill_tokens for grant in self._grants.values() if not grant.read)

    def _expected_wait_s(self, reservation: Reservation) -> float:
        """Estimate the time until a reservation begins."""
        own = _order(reservation)
        before = sum(
            other.prefill_tokens
            for other in self._waiting.values()
            if other is not reservation and _order(other) < own
        )
        return (self.pending_prefill_tokens + before) / self._speed.tokens_per_s


def _order(reservation: Reservation) -> tuple[int, float]:
    return (reservation.request.rank, reservation.order)
