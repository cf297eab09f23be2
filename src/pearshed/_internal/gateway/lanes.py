"""Divides a service's engines among kinds of prompts, so that long prompts delay no short ones.

An engine reads prompts in chunks between the tokens of the requests that it runs. A long prompt
therefore slows every stream beside it, and streams with short prompts and short pauses suffer most.
All processes divide the engines alike, from the traffic that each sees itself.
"""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

from pearshed._internal.gateway.endpoints import Endpoint
from pearshed._internal.models.routing import Route
from pearshed._internal.timers import clock

#: Routes whose mean prompts differ by less than this factor share a lane.
LANE_SIZE_FACTOR = 3.0
#: Engines of a lane of shorter prompts, relative to its part of the tokens read: it needs spare
#: time, since its requests can't wait.
SHORT_LANE_HEADROOM = 1.5
#: Time over which the traffic of a route is averaged, seconds.
AVERAGING_S = 10.0
#: A lane is resized when its share of the engines is off by this many, or by this part.
LEAST_CHANGE = 0.75
LEAST_CHANGE_SHARE = 0.15
#: Requests that must have been seen before their sizes are trusted.
ENOUGH_REQUESTS = 20
#: Until then a prompt shorter than two chunks of an engine's reading is taken as short, tokens.
ASSUMED_SHORT_TOKENS = 4096
#: Until then this part of the engines is for short prompts.
ASSUMED_SHORT_SHARE = 0.2


@dataclass(slots=True)
class _RouteTraffic:
    """What a route's requests ask of the engines.

    :ivar tokens: mean tokens of the whole prompt.
    :ivar work: mean work of an engine, in tokens read.
    :ivar weight: requests, fading with time.
    """

    tokens: float
    work: float
    weight: float
    updated: float


class Lanes:
    """Divides the engines of one service."""

    def __init__(self) -> None:
        self._traffic: dict[str, _RouteTraffic] = {}
        self._held: dict[int, int] = {}

    def note(self, route: Route, tokens: int, work: float) -> None:
        """Note a request of a route.

        :param tokens: of its whole prompt.
        :param work: that it makes an engine do, in tokens read.
        """
        moment = clock.now()
        held = self._traffic.get(route.name)
        if held is None:
            self._traffic[route.name] = _RouteTraffic(tokens, work, 1.0, moment)
            return
        held.weight = held.weight * _fading(moment - held.updated) + 1.0
        # Sizes vary far more slowly than rates, so they are averaged over all requests alike.
        share = max(1.0 / held.weight, 0.01)
        held.tokens += (tokens - held.tokens) * share
        held.work += (work - held.work) * share
        held.updated = moment

    def select(
        self, route: Route, tokens: int, endpoints: Sequence[Endpoint]
    ) -> Sequence[Endpoint]:
        """List the engines of the route's lane.

        :param tokens: of the request's whole prompt.
        """
        if len(endpoints) < 2:
            return endpoints
        ordered = sorted(endpoints, key=_order)
        if sum(traffic.weight for traffic in self._traffic.values()) < ENOUGH_REQUESTS:
            short = max(1, round(len(ordered) * ASSUMED_SHORT_SHARE))
            return ordered[:short] if tokens < ASSUMED_SHORT_TOKENS else ordered[short:]
        lanes = self._group()
        if len(lanes) < 2 or len(endpoints) < len(lanes):
            return endpoints
        at = next((at for at, lane in enumerate(lanes) if route.name in lane), 0)
        sizes = self._sizes(lanes, len(endpoints))
        start = sum(sizes[:at])
        return ordered[start : start + sizes[at]]

    def _group(self) -> list[list[str]]:
        """Group the routes by the size of their prompts, the shortest first."""
        lanes: list[list[str]] = []
        smallest = 0.0
        for name, traffic in sorted(self._traffic.items(), key=lambda item: item[1].tokens):
            if lanes and traffic.tokens < smallest * LANE_SIZE_FACTOR:
                lanes[-1].append(name)
            else:
                lanes.append([name])
                smallest = traffic.tokens
        return lanes

    def _sizes(self, lanes: Sequence[Sequence[str]], endpoints: int) -> list[int]:
        """Divide a number of engines in proportion to the tokens that the lanes read."""
        demands = [
            sum(self._demand(name) for name in lane)
            * (SHORT_LANE_HEADROOM if at < len(lanes) - 1 else 1.0)
            for at, lane in enumerate(lanes)
        ]
        whole = sum(demands) or 1.0
        sizes = [
            self._steady(at, endpoints * demand / whole) for at, demand in enumerate(demands[:-1])
        ]
        while sum(sizes) >= endpoints:
            sizes[sizes.index(max(sizes))] -= 1
        return [*sizes, endpoints - sum(sizes)]

    def _steady(self, lane: int, wanted: float) -> int:
        """Keep a lane's size until another fits clearly better: each change moves shared parts."""
        held = self._held.get(lane)
        if held is None or abs(wanted - held) > max(LEAST_CHANGE, held * LEAST_CHANGE_SHARE):
            held = max(1, round(wanted))
            self._held[lane] = held
        return held

    def _demand(self, name: str) -> float:
        """Tokens that a route's requests make the engines read, per averaging time."""
        traffic = self._traffic[name]
        return traffic.weight * _fading(clock.now() - traffic.updated) * traffic.work


def _fading(age_s: float) -> float:
    """Weight of a request of some age."""
    return float(2.0 ** (-age_s / AVERAGING_S))


def _order(endpoint: Endpoint) -> bytes:
    """Order engines alike in all processes, whatever joins or leaves."""
    return hashlib.blake2b(endpoint.entry.identity.encode(), digest_size=8).digest()
