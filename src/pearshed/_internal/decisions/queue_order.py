"""Order of the requests that wait for one engine, by what their callers need.

Addresses a burst of 2.5 times the usual load for seconds, of requests with different urgency and
targets: served in order of arrival, all of them are late. The order is by rank; within a rank,
requests that can still meet their target go first.
"""

import collections
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from pearshed._internal.decisions.fair_share import FairShares
from pearshed._internal.timers import clock

#: Work by which customers of a rank may differ before the one with less goes first, tokens: four
#: chunks of prefill. Below that, the target decides.
FAIR_QUANTUM_TOKENS = 8_192
#: One grant in this many goes to a late request, the one with the oldest need.
LATE_GRANT_INTERVAL = 4
#: A request that would meet its target by less than this counts as late, seconds: the time to the
#: first event varies by as much, and in a queue ordered by slack all requests come close to it.
TARGET_MARGIN_S = 0.04
#: Least share of the engine's speed on which a request is assumed to get work while more urgent
#: ones take the rest.
MIN_SPEED_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that waits for an engine.

    :ivar tokens: prompt tokens that the engine would have to prefill for it.
    :ivar target_at: clock reading by which the first event must have come, seconds; ``None`` if
        it isn't known, as with requests without terms, which count as on time.
    :ivar useful_until: clock reading after which a first event is of no more use, seconds.
    """

    key: str
    rank: int
    tokens: int
    target_at: float | None
    useful_until: float
    customer: str = ""
    returned: bool = False


@dataclass(frozen=True, slots=True)
class EngineState:
    """What the order needs to know of the engine.

    :ivar tokens_per_s: sustained prefill speed.
    :ivar first_event_s: from the end of a prompt's prefill to its first event, seconds.
    :ivar pending_tokens: returns the pending tokens that go before a new request of a rank.
    """

    tokens_per_s: float
    first_event_s: float
    pending_tokens: Callable[[int], float]


@dataclass(frozen=True, slots=True)
class QueuePlan:
    """The order in which waiting requests are granted.

    :ivar order: all requests, the next one first.
    :ivar late: those that can't meet their target, the oldest need first.
    :ivar wait_s: time until the prefill of each request starts, seconds, by key.
    """

    order: tuple[WaitingRequest, ...]
    late: tuple[WaitingRequest, ...]
    wait_s: Mapping[str, float]


def ready_s(request: WaitingRequest, engine: EngineState) -> float:
    """Return the time to the first event of a request that is granted now, seconds."""
    tokens = engine.pending_tokens(request.rank) + request.tokens
    return tokens / engine.tokens_per_s + engine.first_event_s


def plan_queue(
    requests: Iterable[WaitingRequest], engine: EngineState, shares: FairShares
) -> QueuePlan:
    """Order the requests that wait for an engine."""
    by_rank: dict[int, list[WaitingRequest]] = collections.defaultdict(list)
    for request in requests:
        by_rank[request.rank].append(request)
    order: list[WaitingRequest] = []
    late: list[tuple[int, float, WaitingRequest]] = []
    wait_s: dict[str, float] = {}
    tokens_before = 0.0
    for rank in sorted(by_rank):
        positions = _positions(by_rank[rank], rank, engine, shares)
        pending = engine.pending_tokens(rank) + tokens_before
        speed = _speed_for(rank, engine, shares)
        on_time, missed = _split(by_rank[rank], positions, pending, speed, engine)
        in_rank = on_time + missed
        for request in in_rank:
            wait_s[request.key] = (engine.pending_tokens(rank) + tokens_before) / speed
            tokens_before += request.tokens
        order += in_rank
        late += [(positions[item.key].round_number, item.target_at or 0.0, item) for item in missed]
    late.sort(key=lambda entry: entry[:2])
    _shorten_waits_of_late(late, engine, wait_s)
    return QueuePlan(tuple(order), tuple(item for *_, item in late), wait_s)


def youngest_of_least_urgent(
    requests: Sequence[WaitingRequest], since: Mapping[str, float]
) -> WaitingRequest:
    """Return the request that a full queue refuses.

    :param since: clock readings of the arrivals, seconds, by key.
    """
    return max(requests, key=lambda item: (item.rank, since[item.key]))


def _speed_for(rank: int, engine: EngineState, shares: FairShares) -> float:
    """Return the speed that more urgent requests, also those to come, leave to a rank."""
    left = engine.tokens_per_s - shares.more_urgent_tokens_per_s(rank)
    return max(engine.tokens_per_s * MIN_SPEED_SHARE, left)


def _latest_start(request: WaitingRequest, engine: EngineState) -> float:
    due = request.target_at if request.target_at is not None else request.useful_until
    return due - engine.first_event_s - request.tokens / engine.tokens_per_s


@dataclass(frozen=True, slots=True)
class _Position:
    """Position of a request among those of its rank that are on time, or late.

    :ivar round_number: rounds in which customers get about the same work.
    :ivar start_at: when its prefill must start, or that of a later one of its customer, seconds.
    :ivar number: of the request within its customer's.
    """

    round_number: int
    start_at: float
    number: int

    @property
    def sort_key(self) -> tuple[int, float, int]:
        """Key for sorting; least slack first within a round."""
        return (self.round_number, self.start_at, self.number)


def _positions(
    requests: Sequence[WaitingRequest], rank: int, engine: EngineState, shares: FairShares
) -> dict[str, _Position]:
    """Assign requests to rounds, in each of which a customer gets about the same work.

    These are the start tags of start-time fair queueing, in units of ``FAIR_QUANTUM_TOKENS``. So
    the first request of a small customer isn't behind the hundredth of a large one. A request that
    returned goes before the others of its customer.
    """
    by_customer: dict[str, list[WaitingRequest]] = collections.defaultdict(list)
    for request in requests:
        by_customer[request.customer].append(request)
    used = {customer: shares.used_tokens(rank, customer) for customer in by_customer}
    least = min(used.values())
    rounds: dict[str, list[int]] = {}
    for customer, own in by_customer.items():
        own.sort(key=lambda item: (not item.returned, _latest_start(item, engine)))
        tag = used[customer] - least
        rounds[customer] = []
        for request in own:
            rounds[customer].append(int(tag // FAIR_QUANTUM_TOKENS))
            tag += request.tokens
    last_rounds = sorted((own_rounds[-1] for own_rounds in rounds.values()), reverse=True)
    positions: dict[str, _Position] = {}
    for customer, own in by_customer.items():
        # After the rounds of all other customers, only the target decides.
        is_last = rounds[customer][-1] == last_rounds[0]
        of_others = last_rounds[1:2] if is_last else last_rounds[:1]
        limit = of_others[0] + 1 if of_others else 0
        start_at = float("inf")
        for number in reversed(range(len(own))):
            start_at = min(start_at, _latest_start(own[number], engine))
            round_number = min(rounds[customer][number], limit)
            positions[own[number].key] = _Position(round_number, start_at, number)
    return positions


def _split(
    requests: Sequence[WaitingRequest],
    positions: Mapping[str, _Position],
    pending_tokens: float,
    tokens_per_s: float,
    engine: EngineState,
) -> tuple[list[WaitingRequest], list[WaitingRequest]]:
    """Separate those that can meet their target from those that can't, each in order.

    If not all can, the longest of the latest round are left out until the others can (Moore and
    Hodgson), which serves the most requests in time.
    """
    free_at = clock.now() + engine.first_event_s + TARGET_MARGIN_S + pending_tokens / tokens_per_s
    chosen: list[WaitingRequest] = []
    missed: list[WaitingRequest] = []
    tokens = 0
    for request in sorted(requests, key=lambda item: positions[item.key].sort_key):
        if request.target_at is None:
            chosen.append(request)
            tokens += request.tokens
            continue
        usable_tokens = (request.target_at - free_at) * tokens_per_s
        if request.tokens > usable_tokens:
            missed.append(request)
            continue
        chosen.append(request)
        tokens += request.tokens
        while tokens > usable_tokens:
            longest = max(
                (item for item in chosen if item.target_at is not None),
                key=lambda item: (positions[item.key].round_number, item.tokens),
            )
            chosen.remove(longest)
            missed.append(longest)
            tokens -= longest.tokens
            if longest is request:
                break
    missed.sort(key=lambda item: (positions[item.key].round_number, item.tokens))
    return chosen, missed


def _shorten_waits_of_late(
    late: Sequence[tuple[int, float, WaitingRequest]],
    engine: EngineState,
    wait_s: dict[str, float],
) -> None:
    """Cap the waits of late requests by the share of grants reserved for them."""
    tokens = 0.0
    for _, _, request in late:
        pending = engine.pending_tokens(request.rank)
        part_s = (pending + tokens * LATE_GRANT_INTERVAL) / engine.tokens_per_s
        wait_s[request.key] = min(wait_s[request.key], part_s)
        tokens += request.tokens
