"""Chooses the endpoint for a request."""

import abc
import hashlib
import random
from collections.abc import Sequence

from pearshed._internal.gateway.call import Call
from pearshed._internal.gateway.endpoints import Endpoint
from pearshed._internal.gateway.lanes import Lanes
from pearshed._internal.timers import clock

#: Requests in flight hear nothing for this long: the endpoint is likely dark.
SILENCE_S = 1.2
#: Share of failures from which an endpoint is avoided.
_FAILING_SHARE = 0.5
#: Part of requests that try a failing endpoint, so that it is noticed when it is well again.
_TRIAL_SHARE = 0.05


class Placement(abc.ABC):
    """Orders endpoints for a request."""

    @abc.abstractmethod
    def choose(self, call: Call, candidates: Sequence[Endpoint]) -> Endpoint | None:
        """Choose one endpoint, or nothing where there is none."""


def preferred(candidates: Sequence[Endpoint], source: random.Random) -> Sequence[Endpoint]:
    """Leave out endpoints that are ejected, silent or failing, while others remain."""
    moment = clock.now()
    reachable = [
        endpoint
        for endpoint in candidates
        if not endpoint.ejected(moment) and endpoint.silent_s(moment) < SILENCE_S
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

    def choose(self, call: Call, candidates: Sequence[Endpoint]) -> Endpoint | None:
        """Choose the endpoint with the least load."""
        moment = clock.now()
        usable = preferred(candidates, self._random)
        if not usable:
            return None

        def load(endpoint: Endpoint) -> float:
            distance = 0.0 if endpoint.entry.data_centre == self._data_centre else self.NEARNESS
            return (
                endpoint.in_flight
                + endpoint.others_load(moment)
                + distance
                + endpoint.failure_share * 4
                + self._random.random() * 0.5
            )

        return min(usable, key=load)


class PromptPlacement(Placement):
    """Sends requests with a shared part of their prompt where that part is likely cached.

    All processes order the engines alike for a part, so they share one engine's memory of it
    without telling each other. An engine far above the others hands the part to the next in the
    order. Routes with prompts of unlike size use different engines, see ``lanes``.

    :param data_centre: of this process.
    """

    #: Requests by which the preferred engine may be above the least loaded one: reading a long
    #: shared part anew costs the engines more than the requests that wait.
    OVERLOAD = 16.0

    def __init__(self, data_centre: str, source: random.Random) -> None:
        self._data_centre = data_centre
        self._random = source
        self._lanes: dict[str, Lanes] = {}

    def choose(self, call: Call, candidates: Sequence[Endpoint]) -> Endpoint | None:
        """Choose by the shared part, within bounds on load."""
        usable = preferred(candidates, self._random)
        if not usable:
            return None
        lanes = self._lanes.setdefault(call.service, Lanes())
        prompt = call.fields.prompt
        unshared = prompt[-1].tokens if prompt else call.fields.prompt_tokens
        lanes.note(call.route, call.fields.prompt_tokens, unshared)
        usable = lanes.select(call.route, usable)
        moment = clock.now()
        loads = {endpoint: endpoint.in_flight + endpoint.others_load(moment) for endpoint in usable}
        bound = min(loads.values()) + self.OVERLOAD
        part = call.shared_part or call.request_id
        ranked = sorted(usable, key=lambda endpoint: _score(part, endpoint), reverse=True)
        return next(endpoint for endpoint in ranked if loads[endpoint] <= bound)


def _score(part: str, endpoint: Endpoint) -> bytes:
    """Weigh a part and an endpoint (rendezvous hashing)."""
    seed = f"{part}/{endpoint.entry.identity}".encode()
    return hashlib.blake2b(seed, digest_size=8).digest()
