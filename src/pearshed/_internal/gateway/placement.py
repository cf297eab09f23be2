"""Chooses the endpoint for a request."""

import abc
import collections
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from pearshed._internal.gateway.endpoints import Endpoint
from pearshed._internal.gateway.lane_allocator import LaneAllocator
from pearshed._internal.gateway.routed_call import RoutedCall
from pearshed._internal.membership import rendezvous
from pearshed._internal.timers import clock

#: Requests in flight hear nothing for this long: the endpoint is likely dark.
SILENCE_S = 1.2
#: Share of failures from which an endpoint is avoided.
_FAILING_SHARE = 0.5
#: Part of requests that try a failing endpoint, so that it is noticed when it is well again.
_TRIAL_SHARE = 0.05
#: Shared parts whose last reader is remembered; about 100 bytes each.
_MOST_PARTS = 20_000
#: Tokens that an engine reads in the time that one token of output costs it, in a usual batch.
_OUTPUT_WEIGHT = 5.0
#: Shared parts shorter than this are read again sooner than they are copied.
_LEAST_COPIED_TOKENS = 1024


@dataclass(frozen=True, slots=True)
class PlacementDecision:
    """Where a request goes.

    :ivar fetch_from: an engine that likely keeps the shared part of the prompt, when the chosen
        one likely doesn't; copying it costs less than reading it again.
    """

    endpoint: Endpoint
    fetch_from: Endpoint | None = None


class Placement(abc.ABC):
    """Chooses endpoints for requests."""

    @abc.abstractmethod
    def record_request(self, call: RoutedCall) -> None:
        """Note a request before its first attempt."""

    @abc.abstractmethod
    def choose(
        self, call: RoutedCall, candidates: Sequence[Endpoint], *, overflow: bool = False
    ) -> PlacementDecision | None:
        """Choose one endpoint, or nothing where there is none.

        :param overflow: endpoints that serve such requests usually have refused it.
        """

    @abc.abstractmethod
    def record_prefill(self, call: RoutedCall, endpoint: Endpoint) -> None:
        """Note that an endpoint has read the prompt of a request."""


def preferred(candidates: Sequence[Endpoint], source: random.Random) -> Sequence[Endpoint]:
    """Leave out endpoints that are ejected, silent or failing, while others remain."""
    moment = clock.now()
    reachable = [
        endpoint
        for endpoint in candidates
        if not endpoint.is_ejected(moment) and endpoint.unresponsive_s(moment) < SILENCE_S
    ]
    sound = [
        endpoint
        for endpoint in reachable
        if endpoint.failure_share < _FAILING_SHARE or source.random() < _TRIAL_SHARE
    ]
    return sound or reachable or candidates


class LeastLoadPlacement(Placement):
    """Sends plain requests to the endpoint with the fewest, near ones first.

    :param data_centre: of this process.
    """

    #: Requests by which an endpoint of another data centre must be less loaded.
    NEARNESS = 1.0

    def __init__(self, data_centre: str, source: random.Random) -> None:
        self._data_centre = data_centre
        self._random = source

    def choose(
        self, call: RoutedCall, candidates: Sequence[Endpoint], *, overflow: bool = False
    ) -> PlacementDecision | None:
        """Choose the endpoint with the least load."""
        del overflow
        moment = clock.now()
        usable = preferred(candidates, self._random)
        if not usable:
            return None

        def load(endpoint: Endpoint) -> float:
            distance = 0.0 if endpoint.entry.data_centre == self._data_centre else self.NEARNESS
            return (
                endpoint.in_flight
                + endpoint.other_callers_load(moment)
                + distance
                + endpoint.failure_share * 4
                + self._random.random() * 0.5
            )

        return PlacementDecision(min(usable, key=load))

    def record_request(self, call: RoutedCall) -> None:
        """Do nothing: plain requests need no lanes."""

    def record_prefill(self, call: RoutedCall, endpoint: Endpoint) -> None:
        """Do nothing: plain requests have no prompt."""


class PromptPlacement(Placement):
    """Sends requests with a shared part of their prompt where that part is likely cached.

    All processes order the engines alike for a part, so they share one engine's memory of it
    without telling each other. An engine far above the others hands the part to the next in the
    order. Routes with prompts of unlike size use different engines, see ``lane_allocator``.

    :param data_centre: of this process.
    """

    #: Requests by which the preferred engine may be above the least loaded one: reading a long
    #: shared part anew costs the engines more than the requests that wait.
    OVERLOAD = 16.0
    #: Requests by which an engine of another data centre must be less loaded, for prompts without a
    #: long shared part; bytes between data centres are priced.
    NEARNESS = 2.0

    def __init__(self, data_centre: str, source: random.Random) -> None:
        self._data_centre = data_centre
        self._random = source
        self._lane_allocators: dict[str, LaneAllocator] = {}
        self._readers: collections.OrderedDict[str, Endpoint] = collections.OrderedDict()

    def choose(
        self, call: RoutedCall, candidates: Sequence[Endpoint], *, overflow: bool = False
    ) -> PlacementDecision | None:
        """Choose by the shared part, within bounds on load."""
        usable = preferred(candidates, self._random)
        if not usable:
            return None
        allocator = self._lane_allocators.setdefault(call.service, LaneAllocator())
        usable = allocator.select(
            call.route, call.metadata.prompt_tokens, usable, overflow=overflow
        )
        moment = clock.now()
        loads = {
            endpoint: endpoint.in_flight + endpoint.other_callers_load(moment)
            for endpoint in usable
        }
        bound = min(loads.values()) + self.OVERLOAD
        if call.shared_prefix_tokens < _LEAST_COPIED_TOKENS:
            # Without a long shared part to find again, the least loaded engine of the lane does.
            return PlacementDecision(min(usable, key=lambda one: loads[one] + self._distance(one)))
        part = call.shared_prefix_id
        ranked = sorted(
            usable, key=lambda one: rendezvous.score(part, one.entry.identity), reverse=True
        )
        chosen = next(endpoint for endpoint in ranked if loads[endpoint] <= bound)
        return PlacementDecision(chosen, self._source(call, chosen, ranked[0]))

    def record_request(self, call: RoutedCall) -> None:
        """Note the work that a request brings."""
        allocator = self._lane_allocators.setdefault(call.service, LaneAllocator())
        allocator.record_request(call.route, call.metadata.prompt_tokens, _work(call))

    @property
    def lane_allocators(self) -> Mapping[str, LaneAllocator]:
        """Lanes by service."""
        return self._lane_allocators

    def record_prefill(self, call: RoutedCall, endpoint: Endpoint) -> None:
        """Remember which engine has read a shared part last."""
        part = call.shared_prefix_id
        if not part:
            return
        self._readers[part] = endpoint
        self._readers.move_to_end(part)
        if len(self._readers) > _MOST_PARTS:
            self._readers.popitem(last=False)

    def _distance(self, endpoint: Endpoint) -> float:
        """Rate the way to an engine in requests that it may be more loaded, with a random part."""
        near = endpoint.entry.data_centre == self._data_centre
        return self._random.random() + (0.0 if near else self.NEARNESS)

    def _source(self, call: RoutedCall, chosen: Endpoint, home: Endpoint) -> Endpoint | None:
        """Find the engine from which the shared part can be copied.

        An engine that has refused the request does too: copying takes none of its reading time.
        """
        if call.shared_prefix_tokens < _LEAST_COPIED_TOKENS:
            return None
        reader = self._readers.get(call.shared_prefix_id, home)
        if reader is chosen or not reader.accepting or reader.is_ejected(clock.now()):
            return None
        return reader


def _work(call: RoutedCall) -> float:
    """Estimate the work of an engine that keeps the shared part, in tokens read."""
    unshared = call.metadata.prompt_tokens - call.shared_prefix_tokens
    return unshared + call.metadata.expected_output_tokens * _OUTPUT_WEIGHT
