"""Decides which requests an engine gets, and when.

Answers the load of bursts in which more is asked than an engine can read. An engine that takes
everything reads prompts whose callers have given up, and its running requests drive the shared
parts of prompts out of its memory, which then are read again: it collapses. So the engine gets
just enough to stay busy; the rest waits here, the most urgent first, or is refused at once when it
can't begin in time.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from pearshed._internal.engine_side.messages import Ask
from pearshed._internal.engine_side.monitor import EngineReport
from pearshed._internal.engine_side.prompt_cache import PromptCache
from pearshed._internal.engine_side.reading_speed import ReadingProgress, ReadingSpeed
from pearshed._internal.engine_side.stream_pace import StreamPace
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

    :ivar unread: tokens that the engine would read.
    :ivar until: clock reading at which it is refused, seconds.
    :ivar order: reservations of one rank go in this order.
    """

    ask: Ask
    unread: int
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

    ask: Ask
    unread: int
    granted: float
    read: bool = False
    seen: bool = False

    @property
    def tokens(self) -> int:
        """Memory that the request takes, tokens."""
        return sum(part.tokens for part in self.ask.prompt) + self.ask.output_tokens


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
        self._speed = ReadingSpeed()
        self._progress = ReadingProgress(self._speed)
        self._pace = StreamPace()

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
    def pace_share(self) -> float:
        """Part of the time in which prompts may be read beside streams with short pauses."""
        return self._pace.share

    @property
    def unread_tokens(self) -> int:
        """Tokens that the engine has got and likely not read."""
        return round(self._progress.unread(self._unconfirmed_tokens()))

    def is_granted(self, reservation: str) -> bool:
        """Tell whether a reservation was granted."""
        return reservation in self._grants

    def ask(self, ask: Ask, notify: Callable[[object], None]) -> bool:
        """Take a reservation, or hear again of one that is known.

        :returns: whether it waits or is granted; else it was refused.
        """
        moment = clock.now()
        held = self._waiting.get(ask.reservation)
        if held is not None:
            held.asked = moment
            return True
        if ask.reservation in self._grants:
            return True
        unread = self._cache.unread_tokens(ask.prompt)
        reservation = Reservation(
            ask,
            unread,
            moment + ask.budget_ms / clock.MILLISECONDS_PER_SECOND,
            moment + max(0, unread - ask.prompt[-1].tokens if ask.prompt else 0) * LAG_PER_TOKEN_S,
            moment,
            moment,
            notify,
        )
        self._waiting[ask.reservation] = reservation
        self.advance()
        if ask.reservation in self._waiting:
            wait_s = self._expected_wait_s(reservation)
            if moment + wait_s > reservation.until:
                del self._waiting[ask.reservation]
                self._on_refused(reservation, wait_s)
                return False
        return True

    def note_read(self, reservation: str) -> None:
        """Note that a prompt was read."""
        grant = self._grants.get(reservation)
        if grant is None or grant.read:
            return
        grant.read = True
        self._speed.note_read(grant.unread)
        self._cache.note_read(grant.ask.prompt)
        self.advance()

    def note_done(self, reservation: str, longest_gap_ms: int = 0) -> None:
        """Note that a request has ended, or is no longer wanted.

        :param longest_gap_ms: longest pause between its events, milliseconds.
        """
        self._waiting.pop(reservation, None)
        grant = self._grants.pop(reservation, None)
        if grant is None:
            return
        gap_ms = grant.ask.gap_ms
        if 0 < gap_ms <= TIGHT_GAP_S * clock.MILLISECONDS_PER_SECOND:
            self._pace.note_stream(longest_gap_ms, gap_ms)
        self.advance()

    def note_report(self, report: EngineReport) -> None:
        """Take the engine's own word on what it runs."""
        self._report = report
        moment = clock.now()
        events = {run.request_id: run.events for run in report.runs}
        for reservation, grant in tuple(self._grants.items()):
            request_id = reservation.partition("/")[0]
            if request_id in events:
                grant.seen = True
                if events[request_id] > 0:
                    self.note_read(reservation)
            elif moment - grant.granted > GRANT_LIFE_S and (grant.seen or not report.waiting):
                del self._grants[reservation]
        self.advance()

    def advance(self) -> None:
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
            del self._waiting[reservation.ask.reservation]
            unconfirmed = self._unconfirmed_tokens()
            if not unconfirmed:
                self._speed.note_busy()
            self._progress.add(reservation.unread, unconfirmed)
            self._grants[reservation.ask.reservation] = Grant(
                reservation.ask, reservation.unread, moment
            )
            self._on_granted(reservation)

    def _fits(self, reservation: Reservation) -> bool:
        slots = reservation.ask.slots
        if slots and len(self._grants) >= slots:
            return False
        unread = self.unread_tokens
        speed = self._speed.tokens_per_s
        backlog = speed * BACKLOG_S
        if unread > backlog * ANY_SIZE_SHARE and unread + reservation.unread > backlog:
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
        wanted = sum(part.tokens for part in reservation.ask.prompt)
        if not report.running and not self._grants:
            return True
        return expected + wanted <= report.total_tokens * MEMORY_SHARE

    def _keeps_pace(self, reservation: Reservation, speed: float) -> bool:
        """Tell whether streams with short pauses keep them while the prompt is read.

        Counts only where most requests are such streams: among long prompts a few of them can't be
        helped, and waiting for them would cost the others more.
        """
        if not self._pace.bounded:
            return True
        tight = [gap for gap in self._gaps_s(reservation) if gap <= TIGHT_GAP_S]
        if len(tight) * 2 <= len(self._grants):
            return True
        gap_s = min(tight)
        oldest = clock.now() - gap_s
        recent = sum(grant.unread for grant in self._grants.values() if grant.granted > oldest)
        return not recent or recent + reservation.unread <= speed * gap_s * self._pace.share

    def _gaps_s(self, reservation: Reservation) -> list[float]:
        """List the longest pauses that are on time, of the request and those that run."""
        asks = [reservation.ask, *(grant.ask for grant in self._grants.values())]
        return [ask.gap_ms / clock.MILLISECONDS_PER_SECOND for ask in asks if ask.gap_ms]

    def _unconfirmed_tokens(self) -> int:
        """Count the tokens that the engine has got, without word that they were read."""
        return sum(grant.unread for grant in self._grants.values() if not grant.read)

    def _expected_wait_s(self, reservation: Reservation) -> float:
        """Estimate the time until a reservation begins."""
        own = _order(reservation)
        before = sum(
            other.unread
            for other in self._waiting.values()
            if other is not reservation and _order(other) < own
        )
        return (self.unread_tokens + before) / self._speed.tokens_per_s


def _order(reservation: Reservation) -> tuple[int, float]:
    return (reservation.ask.rank, reservation.order)
