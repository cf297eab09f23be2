"""Chooses the endpoint for a request."""

import abc
import collections
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from pearshed._internal.decisions.engine_load import Quote
from pearshed._internal.decisions.readiness import ReadinessEstimate
from pearshed._internal.gateway.endpoints import UNRESPONSIVE_AFTER_S, Endpoint
from pearshed._internal.gateway.lane_allocator import LaneAllocator
from pearshed._internal.gateway.routed_call import RoutedCall
from pearshed._internal.membership import rendezvous
from pearshed._internal.models.stream_origin import StreamOrigin
from pearshed._internal.timers import clock

#: Failure share from which an endpoint is avoided.
_FAILING_SHARE = 0.5
#: Share of requests that may use a failing endpoint, so that its recovery is noticed.
_PROBE_SHARE = 0.05
#: Shared prefixes whose last engine is remembered; about 100 bytes each.
_MAX_PREFIXES = 20_000
#: Tokens that an engine prefills in the time that one output token costs it, in a typical batch.
_PREFILL_TOKENS_PER_OUTPUT_TOKEN = 5.0
#: Shorter shared prefixes are faster to prefill again than to copy.
_MIN_COPIED_TOKENS = 1024


@dataclass(frozen=True, slots=True)
class PlacementDecision:
    """The endpoint for a request.

    :ivar fetch_from: an engine that likely caches the shared prefix of the prompt, when the
        chosen one likely doesn't; copying it costs less than prefilling it again.
    :ivar estimate: when the request would be ready there; ``None`` if it isn't estimated.
    """

    endpoint: Endpoint
    fetch_from: Endpoint | None = None
    estimate: ReadinessEstimate | None = None


class Placement(abc.ABC):
    """Chooses endpoints for requests."""

    @abc.abstractmethod
    def record_request(self, call: RoutedCall) -> None:
        """Record a request before its first attempt."""

    @abc.abstractmethod
    def choose(
        self, call: RoutedCall, candidates: Sequence[Endpoint], *, overflow: bool = False
    ) -> PlacementDecision | None:
        """Choose an endpoint; return ``None`` without candidates.

        :param overflow: the endpoints that usually serve such requests have refused it.
        """

    def rank(
        self, call: RoutedCall, candidates: Sequence[Endpoint], limit: int
    ) -> Sequence[PlacementDecision]:
        """List the best endpoints for a request, the best first.

        :param limit: largest number of endpoints.
        """
        decisions: list[PlacementDecision] = []
        remaining = list(candidates)
        while len(decisions) < limit:
            decision = self.choose(call, remaining, overflow=len(decisions) > 0)
            if decision is None:
                break
            decisions.append(decision)
            remaining.remove(decision.endpoint)
        return decisions

    @abc.abstractmethod
    def record_prefill(self, call: RoutedCall, endpoint: Endpoint) -> None:
        """Record that an endpoint has prefilled the prompt of a request."""

    def record_answer(
        self, call: RoutedCall, endpoint: Endpoint, elapsed_s: float, generating_s: float
    ) -> None:
        """Record a complete response; some placements need no record of it.

        :param elapsed_s: time from the sending of the request to the end, seconds.
        :param generating_s: time from the first event of a stream to its end, seconds; 0 without
            a stream.
        """
        del call, endpoint, elapsed_s, generating_s

    def record_quote(self, call: RoutedCall, endpoint: Endpoint, quote: Quote) -> None:
        """Record the quote of an endpoint's side; most placements need none."""
        del call, endpoint, quote


def prefer_healthy(candidates: Sequence[Endpoint], rng: random.Random) -> Sequence[Endpoint]:
    """Leave out endpoints that are ejected, silent or failing, while others remain."""
    now = clock.now()
    reachable = [
        endpoint
        for endpoint in candidates
        if not endpoint.is_ejected(now)
        and not endpoint.is_silent(now)
        and endpoint.unresponsive_s(now) < UNRESPONSIVE_AFTER_S
    ]
    healthy = [
        endpoint
        for endpoint in reachable
        if endpoint.failure_share < _FAILING_SHARE or rng.random() < _PROBE_SHARE
    ]
    return healthy or reachable or candidates


class LeastLoadPlacement(Placement):
    """Sends plain requests to the least loaded endpoint, preferring those in its own data centre.

    :param data_centre: of this process.
    """

    #: Requests by which an endpoint in another data centre must be less loaded.
    REMOTE_PENALTY_REQUESTS = 1.0

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng

    def choose(
        self, call: RoutedCall, candidates: Sequence[Endpoint], *, overflow: bool = False
    ) -> PlacementDecision | None:
        """Choose the endpoint with the least load."""
        del overflow
        now = clock.now()
        usable = prefer_healthy(candidates, self._rng)
        if not usable:
            return None

        def load(endpoint: Endpoint) -> float:
            penalty = (
                0.0
                if endpoint.entry.data_centre == self._data_centre
                else self.REMOTE_PENALTY_REQUESTS
            )
            return (
                endpoint.in_flight
                + endpoint.other_callers_load(now)
                + penalty
                + endpoint.failure_share * 4
                + self._rng.random() * 0.5
            )

        return PlacementDecision(min(usable, key=load))

    def record_request(self, call: RoutedCall) -> None:
        """Do nothing: plain requests need no lanes."""

    def record_prefill(self, call: RoutedCall, endpoint: Endpoint) -> None:
        """Do nothing: plain requests have no prompt."""


class PromptPlacement(Placement):
    """Sends requests to the engine that likely caches the shared prefix of their prompt.

    All processes rank the engines for a prefix in the same order, so they share one engine's cache
    of it without communicating. When an engine's load far exceeds the others', the prefix moves to
    the next one in the order. Routes with prompts of different size use different engines, see
    ``lane_allocator``.

    :param data_centre: of this process.
    """

    #: Requests by which the load of a prefix's engine may exceed the lowest load: prefilling a long
    #: shared prefix again costs the engines more than the requests that wait.
    MAX_EXCESS_REQUESTS = 16.0
    #: Requests by which an engine in another data centre must be less loaded, for prompts without a
    #: long shared prefix; traffic between data centres is billed.
    REMOTE_PENALTY_REQUESTS = 2.0

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._lane_allocators: dict[str, LaneAllocator] = {}
        self._prefix_engines: collections.OrderedDict[str, Endpoint] = collections.OrderedDict()

    def choose(
        self, call: RoutedCall, candidates: Sequence[Endpoint], *, overflow: bool = False
    ) -> PlacementDecision | None:
        """Choose by the shared prefix, unless the load of its engine is too high."""
        usable = prefer_healthy(candidates, self._rng)
        if not usable:
            return None
        allocator = self._lane_allocators.setdefault(call.service, LaneAllocator())
        usable = allocator.select(
            call.route, call.metadata.prompt_tokens, usable, overflow=overflow
        )
        now = clock.now()
        loads = {
            endpoint: endpoint.in_flight + endpoint.other_callers_load(now) for endpoint in usable
        }
        max_load = min(loads.values()) + self.MAX_EXCESS_REQUESTS
        if call.shared_prefix_tokens < _MIN_COPIED_TOKENS:
            # A short shared prefix isn't worth reusing: choose the least loaded engine of the lane.
            return PlacementDecision(
                min(usable, key=lambda endpoint: loads[endpoint] + self._remote_penalty(endpoint))
            )
        prefix_id = call.shared_prefix_id
        ranked = sorted(
            usable,
            key=lambda endpoint: rendezvous.score(prefix_id, endpoint.entry.identity),
            reverse=True,
        )
        chosen = next(endpoint for endpoint in ranked if loads[endpoint] <= max_load)
        return PlacementDecision(chosen, self._fetch_source(call, chosen, ranked[0]))

    def record_request(self, call: RoutedCall) -> None:
        """Record the work that a request causes."""
        allocator = self._lane_allocators.setdefault(call.service, LaneAllocator())
        allocator.record_request(call.route, call.metadata.prompt_tokens, _work_tokens(call))

    @property
    def lane_allocators(self) -> Mapping[str, LaneAllocator]:
        """Lane allocators by service."""
        return self._lane_allocators

    def record_prefill(self, call: RoutedCall, endpoint: Endpoint) -> None:
        """Remember the engine that prefilled a shared prefix last."""
        prefix_id = call.shared_prefix_id
        if not prefix_id:
            return
        self._prefix_engines[prefix_id] = endpoint
        self._prefix_engines.move_to_end(prefix_id)
        if len(self._prefix_engines) > _MAX_PREFIXES:
            self._prefix_engines.popitem(last=False)

    def _remote_penalty(self, endpoint: Endpoint) -> float:
        """Penalize engines in other data centres, in requests, and break ties at random."""
        is_local = endpoint.entry.data_centre == self._data_centre
        return self._rng.random() + (0.0 if is_local else self.REMOTE_PENALTY_REQUESTS)

    def _fetch_source(
        self, call: RoutedCall, chosen: Endpoint, top_ranked: Endpoint
    ) -> Endpoint | None:
        """Find the engine from which the shared prefix can be copied.

        An engine that has refused the request qualifies too: copying takes none of its prefill
        time.
        """
        if call.shared_prefix_tokens < _MIN_COPIED_TOKENS:
            return None
        source = self._prefix_engines.get(call.shared_prefix_id, top_ranked)
        if source is chosen or not source.accepting or source.is_ejected(clock.now()):
            return None
        if not call.may_run_in(source.entry.data_centre):
            return None
        if StreamOrigin.of(source.entry) != StreamOrigin.of(chosen.entry):
            # What two software versions write doesn't fit together, in a cache either.
            return None
        return source


def _work_tokens(call: RoutedCall) -> float:
    """Estimate the work for an engine that caches the shared prefix, in prefill tokens."""
    unshared_tokens = call.metadata.prompt_tokens - call.shared_prefix_tokens
    return unshared_tokens + call.metadata.expected_output_tokens * _PREFILL_TOKENS_PER_OUTPUT_TOKEN
