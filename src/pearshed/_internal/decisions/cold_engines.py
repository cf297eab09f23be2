"""Decides which engines are cold, until when, and how many requests each may get.

Addresses the burst that reaches an engine which has started during traffic: it is the engine with
the least load at every gateway at once, and crashes at a rate that a warm engine takes easily.
"""

import enum
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from pearshed._internal.models.routing import EndpointEntry
from pearshed._internal.timers import clock

#: A request is sent within this time after its place at a cold engine was granted, seconds; later
#: it needs another place. Places that are used late add to those of the next second.
PLACE_LIFETIME_S = 0.2
#: Places that can be saved up at a cold engine.
SAVED_PLACES = 1.0
#: Part of the rate at which a side grants places that isn't the first one to count for an engine.
#: The first one may still grant all of the rate, to gateways that reach it.
OTHER_SIDE_SHARE = 0.35
#: Part of the rate that all gateways use together without a side. Their places come at random
#: times, and other gateways may still reach a side.
OWN_SHARES_SHARE = 0.25
#: Difference that the wall clocks of a gateway and an engine may have, seconds.
CLOCK_DIFFERENCE_S = 2.0
#: Time for which a run that is no longer listed is remembered, seconds: an entry that comes back
#: after an outage of the store is no start.
RUN_MEMORY_S = 600.0

#: Time after a header in which an entry may still arrive that was written before it, seconds.
ENTRY_DELAY_S = 5.0
#: Smallest rate that is aimed at, requests per second, so that an engine is not left out for good.
MIN_PER_S = 0.1

_Run = tuple[str, int]


class ColdReason(enum.StrEnum):
    """Why an engine counts as cold."""

    ENTRY = "entry"
    HEADER = "header"
    START = "start"
    EVACUATION_WITHDRAWN = "evacuation withdrawn"


@dataclass(frozen=True, slots=True)
class ColdPolicy:
    """How the engines of a service are used while they are cold.

    :ivar per_s: requests per second that a cold engine is to get from all gateways together.
    :ivar cold_s: time for which an engine is cold after its start, seconds.
    """

    per_s: float
    cold_s: float


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """The limit of an engine that is cold now.

    :ivar per_s: requests per second from all gateways together.
    :ivar until: clock reading at which the cold phase ends, seconds.
    """

    per_s: float
    until: float
    reason: ColdReason

    @property
    def left_s(self) -> float:
        """Time until the cold phase ends, seconds."""
        return max(0.0, self.until - clock.now())


@dataclass(slots=True)
class _RunState:
    """What is known of a run.

    :ivar revision: of the entry that was read last.
    :ivar stated_until: end of the phase that the engine itself has stated, clock reading, seconds.
    :ivar started_until: end of the phase after its start, clock reading, seconds.
    :ivar header_at: clock reading of the latest header that stated the phase, seconds.
    """

    revision: int
    listed_at: float
    stated_until: float = 0.0
    stated_by: ColdReason = ColdReason.ENTRY
    started_until: float = 0.0
    header_at: float = float("-inf")


def aimed_rate(per_s: float, overshoot: float, slack: float) -> float:
    """Return the rate at which places at a cold engine are granted, requests per second.

    It is the rate that the engine takes, or less if the worst case would exceed the bound: in one
    second, ``per_s * overshoot + slack`` requests. In the worst case, two sides and the gateways'
    shares grant places at once, and all places of one lifetime before that second are used in it.
    """
    allowed = per_s * overshoot + slack - 2.0 * SAVED_PLACES
    shares = 1.0 + OTHER_SIDE_SHARE + OWN_SHARES_SHARE
    return max(MIN_PER_S, min(per_s, allowed / (shares * (1.0 + PLACE_LIFETIME_S))))


def binding_rate(named_per_s: float | None, cold_per_s: float | None) -> float | None:
    """Return the smaller of an engine's limits, requests per second; ``None`` without a limit.

    :param named_per_s: limit that the engine names; ``None`` without one.
    :param cold_per_s: limit while it is cold; ``None`` when it is warm.
    """
    rates = [rate for rate in (named_per_s, cold_per_s) if rate is not None]
    return min(rates, default=None)


def stated_until(left_s: float, age_s: float) -> float:
    """Return the end of a cold phase that was stated some time ago, clock reading, seconds."""
    return clock.now() + max(0.0, left_s - age_s)


def started_until(started_at_ms: int, cold_s: float) -> float:
    """Return the end of the cold phase of a start that is first seen now, clock reading, seconds.

    A gateway that was cut off sees the start late, so the phase counts from the start, as far as
    the wall clocks agree.
    """
    age_s = (clock.unix_ms() - started_at_ms) / clock.MILLISECONDS_PER_SECOND
    return clock.now() + cold_s - min(cold_s, max(0.0, age_s - CLOCK_DIFFERENCE_S))


def is_place_usable(taken_at: float) -> bool:
    """Return whether a request may still be sent with a place at a cold engine.

    :param taken_at: clock reading when the place was granted, or before, seconds.
    """
    return clock.now() - taken_at <= PLACE_LIFETIME_S


class ColdEngines:
    """The cold phases of engines, as one gateway knows them.

    :param policy: returns how a service's cold engines are used; ``None`` if nothing is limited.
    """

    def __init__(self, policy: Callable[[str], ColdPolicy | None]) -> None:
        self._policy = policy
        self._runs: dict[_Run, _RunState] = {}
        self._observed_services: frozenset[str] = frozenset()
        self._returned_at: dict[str, float] = {}
        self._last_end = float("-inf")

    @property
    def may_be_cold(self) -> bool:
        """Whether some engine, listed or not, may be cold now."""
        return clock.now() < self._last_end

    def observe(
        self,
        entries: Iterable[EndpointEntry],
        services: Iterable[str],
        received: Callable[[str], tuple[int, float]],
    ) -> None:
        """Record the entries that are listed now.

        A run that is new in a service whose entries were known before has started during traffic.

        :param services: names of all services.
        :param received: returns the revision of an entry, by its identity, and the clock reading
            when it was received.
        """
        now = clock.now()
        limited = {name: policy for name in services if (policy := self._policy(name)) is not None}
        if not limited:
            self._runs.clear()
            self._observed_services = frozenset()
            return
        for entry in entries:
            policy = limited.get(entry.service)
            if policy is not None:
                self._observe_entry(entry, policy, *received(entry.identity))
        self._observed_services = frozenset(limited)
        self._drop_returned(max(policy.cold_s for policy in limited.values()))
        oldest = now - RUN_MEMORY_S
        self._runs = {run: state for run, state in self._runs.items() if state.listed_at > oldest}

    def record_header(self, entry: EndpointEntry, left_s: float) -> None:
        """Record the rest of the cold phase that a response states now; 0 ends the phase.

        It is the engine's latest statement, so that of its entry and its start no longer count.

        :param left_s: seconds.
        """
        if self._policy(entry.service) is None:
            return
        state = self._runs.setdefault(_run(entry), _RunState(0, clock.now()))
        state.stated_until = stated_until(left_s, 0.0)
        state.stated_by = ColdReason.HEADER
        state.header_at = clock.now()
        state.started_until = 0.0
        self._last_end = max(self._last_end, state.stated_until)

    def note_data_centre_returned(self, data_centre: str) -> None:
        """Count the engines of a data centre as cold from now on: its evacuation is withdrawn."""
        self._returned_at[data_centre] = clock.now()
        self._last_end = float("inf")

    def limit(self, entry: EndpointEntry) -> ColdLimit | None:
        """Return the limit of an engine that is cold now; ``None`` when it is warm."""
        policy = self._policy(entry.service)
        if policy is None:
            return None
        ends: list[tuple[float, ColdReason]] = []
        state = self._runs.get(_run(entry))
        if state is not None:
            ends.append((state.stated_until, state.stated_by))
            ends.append((state.started_until, ColdReason.START))
        returned_at = self._returned_at.get(entry.data_centre)
        if returned_at is not None:
            ends.append((returned_at + policy.cold_s, ColdReason.EVACUATION_WITHDRAWN))
        until, reason = max(ends, default=(0.0, ColdReason.ENTRY))
        return ColdLimit(policy.per_s, until, reason) if until > clock.now() else None

    def _drop_returned(self, longest_s: float) -> None:
        """Forget returns whose cold phase has ended."""
        now = clock.now()
        if self._returned_at and max(self._returned_at.values()) + longest_s < now:
            self._returned_at.clear()
            ends = (max(s.stated_until, s.started_until) for s in self._runs.values())
            self._last_end = max(ends, default=float("-inf"))

    def _observe_entry(
        self, entry: EndpointEntry, policy: ColdPolicy, revision: int, received_at: float
    ) -> None:
        now = clock.now()
        state = self._runs.get(_run(entry))
        if state is None:
            state = self._runs[_run(entry)] = _RunState(-1, now)
            if entry.service in self._observed_services and entry.started_at_ms:
                state.started_until = started_until(entry.started_at_ms, policy.cold_s)
        state.listed_at = now
        if revision > state.revision:
            # The same entry, read again, says nothing new.
            state.revision = revision
            until = stated_until(entry.warmup_remaining_s, now - received_at)
            if until > state.stated_until or received_at - state.header_at > ENTRY_DELAY_S:
                state.stated_until = until
                state.stated_by = ColdReason.ENTRY
        self._last_end = max(self._last_end, state.stated_until, state.started_until)


def _run(entry: EndpointEntry) -> _Run:
    return entry.identity, entry.started_at_ms
