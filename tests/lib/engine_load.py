"""Plays a load of competing callers through an admission queue at a simulated engine."""

import dataclasses
import heapq
import itertools
import random
import unittest
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from pearshed._internal.decisions.terms import RequestTerms
from pearshed._internal.engine_side.admission_queue import AdmissionQueue, Reservation
from pearshed._internal.engine_side.messages import AdmissionRequest, request_id_of
from pearshed._internal.engine_side.prompt_cache import PromptCache
from pearshed._internal.models.routing import PromptPart
from tests.lib.fakes import FakeClock

STEP_S = 0.005
#: Steps between calls of the queue's timer, as a side makes them every 20 ms.
PROCESS_STEPS = 4
CHUNK_TOKENS = 2_048
EVENT_S = 0.045
RENEWAL_S = 0.2


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    :ivar per_s: usual rate of all customers together.
    :ivar shared_parts: number of different shared parts.
    """

    rank: int
    per_s: float
    shared_tokens: int
    shared_parts: int
    own_tokens: int
    events: int
    target_ms: tuple[int, int]
    gap_ms: int
    deadline_ms: int


#: The kinds of docs/competing-load.md, at half of one engine's work.
KINDS = (
    Kind(0, 8.0, 350, 4, 1_110, 38, (426, 526), 250, 12_600),
    Kind(1, 3.0, 6_300, 4, 2_890, 11, (645, 845), 400, 6_400),
    Kind(2, 2.0, 13_300, 6, 3_720, 27, (2_063, 2_563), 1_000, 11_300),
)


@dataclass(slots=True)
class Caller:
    """A caller and what it got.

    :ivar first_event_at: clock reading; ``None`` without a response.
    """

    kind: Kind
    customer: str
    prompt: tuple[PromptPart, ...]
    arrived_at: float
    target_ms: int
    tries: int = 0
    granted_at: float | None = None
    first_event_at: float | None = None
    refused_after_s: list[float] = field(default_factory=list)

    @property
    def useful_ms(self) -> float:
        """Time from the arrival in which a first event is of use, milliseconds."""
        patience_ms = max(2_000, 4 * self.target_ms, 8 * self.kind.gap_ms)
        generation_ms = self.kind.events * EVENT_S * 1_000
        return min(patience_ms, self.kind.deadline_ms - generation_ms)

    @property
    def first_event_ms(self) -> float:
        """Time from the arrival to the first event, milliseconds."""
        if self.first_event_at is None:
            return float("inf")
        return (self.first_event_at - self.arrived_at) * 1_000

    @property
    def is_served(self) -> bool:
        """Whether the response came while the caller waited."""
        return self.first_event_ms <= self.useful_ms

    @property
    def is_in_target(self) -> bool:
        """Whether the first event was on time."""
        return self.first_event_ms <= self.target_ms


@dataclass(slots=True)
class _Run:
    name: str
    rank: int
    remaining_tokens: float


class SimulatedEngine:
    """Prefills the more urgent first, and reports the progress to the queue at once.

    :param tokens_per_s: prefill speed.
    """

    def __init__(self, clock: FakeClock, queue: AdmissionQueue, tokens_per_s: float) -> None:
        self._clock = clock
        self._queue = queue
        self._tokens_per_s = tokens_per_s
        self._rng = random.Random(11)
        self._runs: list[_Run] = []
        self._current: _Run | None = None
        self._chunk_left = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def start(self, name: str, rank: int, tokens: int) -> None:
        """Accept a request."""
        self._runs.append(_Run(name, rank, float(tokens)))

    def step(self, on_first_event: Callable[[str], float]) -> None:
        """Work for one step.

        :param on_first_event: returns for how long the response goes on, seconds.
        """
        tokens = self._tokens_per_s * STEP_S
        now = self._clock.now
        while tokens > 0 and self._runs:
            if self._current is None or self._chunk_left <= 0:
                self._current = min(self._runs, key=lambda run: run.rank)
                self._chunk_left = float(CHUNK_TOKENS)
            run = self._current
            done = min(tokens, self._chunk_left, run.remaining_tokens)
            run.remaining_tokens -= done
            self._chunk_left -= done
            tokens -= done
            if run.remaining_tokens <= 0:
                self._runs.remove(run)
                self._current = None
                self._later(now + self._rng.uniform(0.06, 0.14), run.name, on_first_event)
        while self._due and self._due[0][0] <= now:
            heapq.heappop(self._due)[2]()

    def _later(self, at: float, name: str, on_first_event: Callable[[str], float]) -> None:
        def respond() -> None:
            ends_at = self._clock.now + on_first_event(name)
            self._queue.record_prefill(f"{name}")
            self._push(ends_at, lambda: self._queue.finish(name))

        self._push(at, respond)

    def _push(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._due, (at, next(self._numbers), action))


class LoadPlay:
    """Open arrivals with a burst, of which one customer sends more than usual.

    :param has_terms: whether requests have terms; without, they wait half of their target.
    """

    CUSTOMERS = 8
    GREEDY = "customer-0"
    USUAL_S = 5.0
    BURST_S = 9.0
    AFTER_S = 10.0

    def __init__(
        self,
        test: unittest.TestCase,
        *,
        has_terms: bool,
        burst: float = 2.5,
        greedy: float = 8.0,
        tokens_per_s: float = 55_000.0,
        kinds: Iterable[Kind] = KINDS,
    ) -> None:
        self._clock = FakeClock(test)
        self._has_terms = has_terms
        self._cache = PromptCache()
        self.queue = AdmissionQueue(self._cache, self._grant, self._refuse)
        self._engine = SimulatedEngine(self._clock, self.queue, tokens_per_s)
        self._rng = random.Random(5)
        self._burst = burst
        self._greedy = greedy
        self._kinds = tuple(kinds)
        self._callers: dict[str, Caller] = {}
        self._waiting: dict[str, float] = {}
        self._returns: list[tuple[float, str]] = []
        self._process_at = float("inf")
        self.refusals: defaultdict[str, int] = defaultdict(int)

    def run(self) -> list[Caller]:
        """Play the load.

        :returns: all callers.
        """
        started_at = self._clock.now
        arrivals = self._arrivals(started_at)
        end = started_at + self.USUAL_S + self.BURST_S + self.AFTER_S + 11.0
        step = 0
        while self._clock.now < end:
            step += 1
            now = self._clock.now
            while arrivals and arrivals[0].arrived_at <= now:
                name = str(len(self._callers))
                self._callers[name] = arrivals.pop(0)
                self._submit(name)
            while self._returns and self._returns[0][0] <= now:
                self._submit(heapq.heappop(self._returns)[1])
            for key, renewed_at in tuple(self._waiting.items()):
                if now - renewed_at >= RENEWAL_S and key in self._waiting:
                    self._waiting[key] = now
                    self.queue.submit(self._request(key), lambda _: None)
            self._clock.advance(STEP_S)
            self._engine.step(self._first_event)
            if step % PROCESS_STEPS == 0:
                self.queue.process()
                next_grant_s = self.queue.next_grant_s
                self._process_at = now + STEP_S + (next_grant_s or float("inf"))
            elif self._clock.now >= self._process_at:
                # A side processes the queue once more between two calls of its timer.
                self._process_at = float("inf")
                self.queue.process()
        return list(self._callers.values())

    def _arrivals(self, started_at: float) -> list[Caller]:
        callers: list[Caller] = []
        end = self.USUAL_S + self.BURST_S + self.AFTER_S
        for kind in self._kinds:
            for number in range(self.CUSTOMERS):
                customer = f"customer-{number}"
                at = 0.0
                while True:
                    in_burst = self.USUAL_S <= at < self.USUAL_S + self.BURST_S
                    factor = self._burst if in_burst else 1.0
                    if in_burst and customer == self.GREEDY:
                        factor = self._greedy
                    at += self._rng.expovariate(kind.per_s / self.CUSTOMERS * factor)
                    if at >= end:
                        break
                    callers.append(self._caller(kind, customer, started_at + at))
        callers.sort(key=lambda caller: caller.arrived_at)
        return callers

    def _caller(self, kind: Kind, customer: str, at: float) -> Caller:
        shared = f"shared-{kind.rank}-{self._rng.randrange(kind.shared_parts)}"
        own = f"own-{kind.rank}-{at}-{customer}"
        prompt = (PromptPart(shared, kind.shared_tokens), PromptPart(own, kind.own_tokens))
        return Caller(kind, customer, prompt, at, self._rng.randint(*kind.target_ms))

    def _request(self, key: str) -> AdmissionRequest:
        caller = self._callers[request_id_of(key)]
        elapsed_ms = (self._clock.now - caller.arrived_at) * 1_000
        terms = RequestTerms(
            round(caller.target_ms - elapsed_ms),
            round(caller.useful_ms - elapsed_ms),
            caller.customer,
            caller.tries > 1,
        )
        request = AdmissionRequest(
            key,
            caller.kind.rank,
            caller.target_ms // 2,
            caller.prompt,
            caller.kind.events * 4,
            64,
            caller.kind.gap_ms,
        )
        return dataclasses.replace(request, terms=terms) if self._has_terms else request

    def _submit(self, name: str) -> None:
        self._callers[name].tries += 1
        key = f"{name}/{self._callers[name].tries}"
        self._waiting[key] = self._clock.now
        self.queue.submit(self._request(key), lambda _: None)

    def _grant(self, reservation: Reservation) -> None:
        key = reservation.request.reservation
        self._waiting.pop(key, None)
        self._callers[request_id_of(key)].granted_at = self._clock.now
        tokens = self._cache.uncached_tokens(reservation.request.prompt)
        self._engine.start(key, reservation.request.rank, tokens)

    def _refuse(self, reservation: Reservation, wait_s: float) -> None:
        key = reservation.request.reservation
        self._waiting.pop(key, None)
        caller = self._callers[request_id_of(key)]
        self.refusals[reservation.reason] += 1
        now = self._clock.now
        caller.refused_after_s.append(now - reservation.submitted_at)
        left_s = caller.arrived_at + caller.useful_ms / 1_000 - now
        if caller.tries < 2 and left_s > 0.1:
            at = now + max(0.05, min(wait_s, left_s / 3))
            heapq.heappush(self._returns, (at, request_id_of(key)))

    def _first_event(self, key: str) -> float:
        caller = self._callers[request_id_of(key)]
        caller.first_event_at = self._clock.now
        return caller.kind.events * EVENT_S


def share(callers: Iterable[Caller], counts: Callable[[Caller], bool]) -> float:
    """Return the share of callers for which a condition holds."""
    results = [counts(caller) for caller in callers]
    return sum(results) / len(results)
