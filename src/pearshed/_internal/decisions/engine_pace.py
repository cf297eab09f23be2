"""How fast each engine of a service works: its sustained and its momentary speed.

Addresses fleets whose engines differ in speed and share their machines with other work: a request
that is placed by counts alone waits at the slow engines while the fast ones are idle. The sustained
speed belongs to the machine and changes rarely; the momentary speed belongs to the other work there
and is worth nothing after some hundred milliseconds. The two are kept apart, so that a short
disturbance doesn't count as a slow machine.
"""

import collections
import enum
import statistics
from collections.abc import Iterable
from dataclasses import dataclass, field

from pearshed._internal.decisions.engine_load import USUAL_BUSY_PERCENT
from pearshed._internal.timers import clock

#: Speed until any engine of the service has stated one, tokens a second. All engines get the same,
#: so that it puts none before another.
ASSUMED_TOKENS_PER_S = 50_000.0
#: Time in which the weight of a momentary figure falls from 1 to 0, seconds: other work on a
#: machine comes and goes within some hundred milliseconds.
BUSY_TTL_S = 0.3
#: Bounds of a credible momentary figure, percent of the usual work time.
MIN_BUSY_PERCENT = 20
MAX_BUSY_PERCENT = 2_000
#: A speed that differs from the service's typical one by more than this factor is false.
MAX_SPEED_RATIO = 8.0
#: Engines whose speeds must be known before speeds are compared with the typical one.
MIN_COMPARED_ENGINES = 3
#: Latest figures whose median is the sustained speed: one false figure has no effect, and two
#: requests are enough to learn a change.
_SPEED_FIGURES = 3
#: Latest calls of a plain endpoint that are compared with the service's.
_WORK_FIGURES = 16
#: Latest calls of a kind, at all endpoints, whose median is the usual work time.
_KIND_FIGURES = 64
#: Calls needed before a plain endpoint's own speed is used.
_MIN_WORK_FIGURES = 3
#: From this number of engines on, their typical speed is computed once per interval, seconds.
_MANY_ENGINES = 64
_TYPICAL_INTERVAL_S = 0.5
#: Share of the typical speed below which an engine is called slow.
SLOW_SHARE = 0.75
#: Momentary work time from which an engine is called slow for a while, relative to the usual.
_SLOW_FACTOR = 1.25


class PaceState(enum.StrEnum):
    """What explains that an engine is late; the first that applies."""

    FAILING = "failing"
    SILENT = "silent"
    COLD = "cold"
    SLOW = "slow for good"
    SLOWED = "slow for a while"
    BUSY = "busy"
    USUAL = "usual"


@dataclass(frozen=True, slots=True)
class PaceReport:
    """Speed of one engine, for metrics and the state dump.

    :ivar tokens_per_s: sustained prefill speed, tokens a second; 0 if it is not known.
    :ivar relative_speed: sustained speed relative to the service's typical one.
    :ivar sustained_age_s: age of the latest figure of the sustained speed, seconds; infinite
        before the first.
    :ivar busy_percent: how long work took at the latest figure, in percent of the usual.
    :ivar busy_age_s: age of that figure, seconds; infinite before the first.
    """

    engine: str
    tokens_per_s: float
    relative_speed: float
    sustained_age_s: float
    busy_percent: int
    busy_age_s: float


@dataclass(slots=True)
class _Pace:
    """Figures of one run of an engine."""

    run: int
    speeds: collections.deque[float] = field(
        default_factory=lambda: collections.deque(maxlen=_SPEED_FIGURES)
    )
    work_ratios: collections.deque[float] = field(
        default_factory=lambda: collections.deque(maxlen=_WORK_FIGURES)
    )
    tokens_per_s: float = 0.0
    work_ratio: float = 0.0
    sustained_at: float = float("-inf")
    busy_percent: int = USUAL_BUSY_PERCENT
    busy_at: float = float("-inf")
    reported_false: bool = False


class EnginePaces:
    """Speeds of the engines of one service.

    A run is the start time of an engine; figures of an earlier run than the latest are ignored, and
    a new run starts without figures.
    """

    def __init__(self) -> None:
        self._paces: dict[str, _Pace] = {}
        self._kinds: dict[str, collections.deque[float]] = {}
        self._typical_tokens_per_s = 0.0
        self._typical_work_ratio = 0.0
        self._known_speeds = 0
        self._typical_updated_at = float("-inf")

    @property
    def typical_tokens_per_s(self) -> float:
        """The lower median of the known sustained speeds, tokens a second.

        With half of the engines slow, it is the speed of the slow ones, so that none of them counts
        as slower than its peers.
        """
        return self._typical_tokens_per_s or ASSUMED_TOKENS_PER_S

    def record_speed(self, engine: str, run: int, tokens_per_s: float) -> bool:
        """Record a figure of the sustained speed.

        :param tokens_per_s: tokens a second.
        :returns: whether it is the run's first false figure, which is worth a log line.
        """
        pace = self._current(engine, run)
        if pace is None:
            return False
        if tokens_per_s <= 0:
            return _mark_false(pace)
        if self._known_speeds >= MIN_COMPARED_ENGINES:
            ratio = tokens_per_s / self.typical_tokens_per_s
            if not 1.0 / MAX_SPEED_RATIO <= ratio <= MAX_SPEED_RATIO:
                return _mark_false(pace)
        pace.sustained_at = clock.now()
        pace.speeds.append(tokens_per_s)
        before = pace.tokens_per_s
        pace.tokens_per_s = statistics.median_low(pace.speeds)
        if pace.tokens_per_s != before:
            self._update_typical_speed()
        return False

    def record_work(self, engine: str, run: int, kind: str, work_ms: float) -> None:
        """Record the work time of an own call at a plain endpoint.

        :param kind: calls of one kind take equally long at engines of equal speed.
        :param work_ms: milliseconds.
        """
        pace = self._current(engine, run)
        if pace is None or work_ms <= 0:
            return
        kind_figures = self._kinds.setdefault(kind, collections.deque(maxlen=_KIND_FIGURES))
        usual_ms = work_ms / self.work_factor(engine)
        kind_figures.append(usual_ms)
        pace.work_ratios.append(usual_ms / statistics.median_low(kind_figures))
        pace.sustained_at = clock.now()
        if len(pace.work_ratios) >= _MIN_WORK_FIGURES:
            # Calls that waited at the endpoint took longer than its speed explains.
            ordered = sorted(pace.work_ratios)
            pace.work_ratio = ordered[len(ordered) // 4]
            self._typical_work_ratio = statistics.median_high(
                other.work_ratio for other in self._paces.values() if other.work_ratio
            )

    def record_busy(self, engine: str, run: int, busy_percent: int, age_s: float = 0.0) -> bool:
        """Record a figure of the momentary speed.

        :param busy_percent: how long work takes now, in percent of the usual.
        :param age_s: age of the figure, seconds.
        :returns: whether it is the run's first false figure, which is worth a log line.
        """
        pace = self._current(engine, run)
        if pace is None:
            return False
        if not MIN_BUSY_PERCENT <= busy_percent <= MAX_BUSY_PERCENT:
            return _mark_false(pace)
        stated_at = clock.now() - age_s
        if stated_at >= pace.busy_at:
            pace.busy_percent = busy_percent
            pace.busy_at = stated_at
        return False

    def tokens_per_s(self, engine: str) -> float:
        """Return the sustained speed, tokens a second; the typical one if it is not known."""
        pace = self._paces.get(engine)
        return pace.tokens_per_s if pace and pace.tokens_per_s else self.typical_tokens_per_s

    def relative_speed(self, engine: str) -> float:
        """Return the sustained speed relative to the service's typical one; 1 if not known."""
        pace = self._paces.get(engine)
        if pace is None:
            return 1.0
        if pace.tokens_per_s:
            return pace.tokens_per_s / self.typical_tokens_per_s
        if pace.work_ratio and self._typical_work_ratio:
            return self._typical_work_ratio / pace.work_ratio
        return 1.0

    def work_factor(self, engine: str) -> float:
        """Return how long work takes now relative to the usual; 1 without a fresh figure."""
        pace = self._paces.get(engine)
        if pace is None:
            return 1.0
        weight = max(0.0, 1.0 - (clock.now() - pace.busy_at) / BUSY_TTL_S)
        return 1.0 + (pace.busy_percent / USUAL_BUSY_PERCENT - 1.0) * weight

    def is_slow(self, engine: str) -> bool:
        """Return whether an engine's sustained speed is clearly below the typical one."""
        return self.relative_speed(engine) < SLOW_SHARE

    def state(
        self, engine: str, *, failing: bool, silent: bool, cold: bool, loaded: bool
    ) -> PaceState:
        """Return what explains that an engine is late.

        :param failing: it is ejected, or most of its requests fail.
        :param silent: its side says that it is silent, or its requests get no data.
        :param cold: it is in its slow phase after a start.
        :param loaded: requests wait at it.
        """
        conditions = (
            (failing, PaceState.FAILING),
            (silent, PaceState.SILENT),
            (cold, PaceState.COLD),
            (self.is_slow(engine), PaceState.SLOW),
            (self.work_factor(engine) >= _SLOW_FACTOR, PaceState.SLOWED),
            (loaded, PaceState.BUSY),
        )
        return next((state for applies, state in conditions if applies), PaceState.USUAL)

    def reports(self) -> Iterable[PaceReport]:
        """List the speeds of all engines with figures."""
        now = clock.now()
        for engine, pace in self._paces.items():
            yield PaceReport(
                engine,
                pace.tokens_per_s,
                self.relative_speed(engine),
                now - pace.sustained_at,
                pace.busy_percent,
                now - pace.busy_at,
            )

    def retain(self, engines: Iterable[str]) -> None:
        """Discard the figures of all other engines."""
        kept = set(engines)
        self._paces = {name: pace for name, pace in self._paces.items() if name in kept}

    def start_run(self, engine: str, run: int) -> None:
        """Discard the figures of an engine that has started again."""
        self._current(engine, run)

    def _update_typical_speed(self) -> None:
        """Recompute the typical speed, less often where there are many engines."""
        now = clock.now()
        if (
            self._known_speeds >= _MANY_ENGINES
            and now - self._typical_updated_at < _TYPICAL_INTERVAL_S
        ):
            return
        speeds = [pace.tokens_per_s for pace in self._paces.values() if pace.tokens_per_s]
        self._known_speeds = len(speeds)
        self._typical_tokens_per_s = statistics.median_low(speeds)
        self._typical_updated_at = now

    def _current(self, engine: str, run: int) -> _Pace | None:
        """Return the figures of a run; ``None`` for an earlier run than the latest."""
        pace = self._paces.get(engine)
        if pace is None or pace.run < run:
            pace = self._paces[engine] = _Pace(run)
        return pace if pace.run == run else None


def _mark_false(pace: _Pace) -> bool:
    first = not pace.reported_false
    pace.reported_false = True
    return first
