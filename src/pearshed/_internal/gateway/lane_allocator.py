"""Divides a service's engines among kinds of prompts, so that long prompts delay no short ones.

An engine reads prompts in chunks between the tokens of the requests that it runs. A long prompt
therefore slows every stream beside it, and streams with short prompts and short pauses suffer most.
All gateways divide the engines alike, from the traffic of all of them, which sides add up; a
gateway that hears from no side goes by what it sees itself.
"""

import dataclasses
import math
from collections.abc import Sequence

from absl import logging

from pearshed._internal.engine_side.traffic_table import RouteTraffic
from pearshed._internal.gateway.endpoints import Endpoint
from pearshed._internal.membership import rendezvous
from pearshed._internal.models.routing import Route
from pearshed._internal.timers import clock

#: Routes whose mean prompts differ by less than this factor share a lane.
LANE_SIZE_FACTOR = 3.0
#: Engines of a lane of shorter prompts, relative to its part of the work, while all are calm.
SHORT_LANE_SHARE = 0.8
#: Work that an engine of such a lane is given in a second, tokens read: nine tenths of what is
#: assumed of an engine. Streams keep their pace, since its side paces the prompts.
SHORT_LANE_TOKENS_PER_S = 45_000.0
#: Part of the engines that a lane of shorter prompts gets at most.
MAX_SHORT_LANE_SHARE = 0.45
#: Half-life of the traffic of a route, seconds: bursts of short prompts grow within two.
AVERAGING_S = 1.0
#: Weight of a steady stream of one request a second.
_WEIGHT_OF_RATE_S = AVERAGING_S / math.log(2.0)
#: The fleet's traffic is of use for this long after a side told it, seconds.
FLEET_TRAFFIC_TTL_S = 4.0
#: Weight of the latest request in the mean sizes of a busy route.
LEAST_SIZE_SHARE = 0.01
#: A lane is resized when it lacks so many engines, has so many too many, or is off by this part.
LEAST_GROWTH = 0.3
LEAST_SHRINKING = 1.0
LEAST_CHANGE_SHARE = 0.15
#: Requests that must have been seen before their sizes are trusted.
MIN_REQUESTS = 20
#: Until then a prompt shorter than two chunks of an engine's reading is taken as short, tokens.
ASSUMED_SHORT_TOKENS = 4096
#: Until then this part of the engines is for short prompts.
ASSUMED_SHORT_SHARE = 0.2


class LaneAllocator:
    """Divides the engines of one service."""

    def __init__(self) -> None:
        self._own: dict[str, RouteTraffic] = {}
        self._updated: dict[str, float] = {}
        self._fleet: Sequence[RouteTraffic] = ()
        self._fleet_told = float("-inf")
        self._held: dict[int, int] = {}

    def record_request(self, route: Route, tokens: int, work: float) -> None:
        """Note a request of a route.

        :param tokens: of its whole prompt.
        :param work: that it makes an engine do, in tokens read.
        """
        moment = clock.now()
        held = self._own.get(route.name, RouteTraffic(route.name, 0.0, 0.0, 0.0))
        weight = held.request_weight * _fading(moment - self._updated.get(route.name, moment)) + 1.0
        # Sizes vary far more slowly than rates, so they are averaged over many more requests.
        share = max(1.0 / weight, LEAST_SIZE_SHARE)
        self._own[route.name] = RouteTraffic(
            route.name,
            weight,
            held.mean_prompt_tokens + (tokens - held.mean_prompt_tokens) * share,
            held.mean_work_tokens + (work - held.mean_work_tokens) * share,
        )
        self._updated[route.name] = moment

    def own_traffic(self) -> tuple[RouteTraffic, ...]:
        """List the traffic that this process has seen of late."""
        moment = clock.now()
        return tuple(
            dataclasses.replace(
                found, request_weight=found.request_weight * _fading(moment - self._updated[name])
            )
            for name, found in self._own.items()
        )

    def set_fleet_traffic(self, routes: Sequence[RouteTraffic]) -> None:
        """Take the traffic of all gateways."""
        self._fleet = routes
        self._fleet_told = clock.now()

    def select(
        self, route: Route, tokens: int, endpoints: Sequence[Endpoint], *, overflow: bool = False
    ) -> Sequence[Endpoint]:
        """List the engines of the route's lane.

        :param tokens: of the request's whole prompt.
        :param overflow: the lane is full; engines of lanes of longer prompts do too.
        """
        if len(endpoints) < 2:
            return endpoints
        ordered = sorted(endpoints, key=stable_order)
        traffic = self._traffic()
        if sum(found.request_weight for found in traffic) < MIN_REQUESTS:
            short = max(1, round(len(ordered) * ASSUMED_SHORT_SHARE))
            return ordered[:short] if tokens < ASSUMED_SHORT_TOKENS else ordered[short:]
        lanes = _group(traffic)
        if len(lanes) < 2 or len(endpoints) < len(lanes):
            return endpoints
        at = next((at for at, lane in enumerate(lanes) if _holds(lane, route)), 0)
        sizes = self._sizes(lanes, len(endpoints))
        start = sum(sizes[:at])
        return ordered[start:] if overflow else ordered[start : start + sizes[at]]

    def _traffic(self) -> Sequence[RouteTraffic]:
        """Choose the fleet's traffic while it is fresh, else what this process sees itself."""
        if clock.now() - self._fleet_told < FLEET_TRAFFIC_TTL_S and self._fleet:
            return self._fleet
        return self.own_traffic()

    def _sizes(self, lanes: Sequence[Sequence[RouteTraffic]], endpoints: int) -> list[int]:
        """Divide a number of engines among the lanes.

        Lanes of shorter prompts get what keeps their engines well below their speed, however much
        is asked of the last lane: an overload of long prompts must not slow short ones.
        """
        demands = [
            sum(found.request_weight * found.mean_work_tokens for found in lane) for lane in lanes
        ]
        whole = sum(demands) or 1.0
        sizes = []
        for at, demand in enumerate(demands[:-1]):
            share = endpoints * demand / whole * SHORT_LANE_SHARE
            needed = demand / _WEIGHT_OF_RATE_S / SHORT_LANE_TOKENS_PER_S
            most = int(endpoints * MAX_SHORT_LANE_SHARE)
            sizes.append(self._steady(at, min(max(share, needed), float(most)), most))
        while sum(sizes) >= endpoints:
            sizes[sizes.index(max(sizes))] -= 1
        return [*sizes, endpoints - sum(sizes)]

    def _steady(self, lane: int, wanted: float, most: int) -> int:
        """Keep a lane's size until another fits clearly better: each change moves shared parts.

        A lane grows sooner than it shrinks, since an engine too few delays every stream of it.
        """
        held = self._held.get(lane)
        spare = LEAST_CHANGE_SHARE * (held or 0)
        if (
            held is None
            or wanted - held > max(LEAST_GROWTH, spare)
            or held - wanted > max(LEAST_SHRINKING, spare)
        ):
            before = held or 0
            held = max(1, min(most, math.ceil(wanted - LEAST_GROWTH)))
            self._held[lane] = held
            if held != before:
                fields = {"lane": lane, "engines": held, "before": before}
                logging.info(
                    "lane.resized", extra={"fields": fields | {"needed": round(wanted, 2)}}
                )
        return held


def _group(traffic: Sequence[RouteTraffic]) -> list[list[RouteTraffic]]:
    """Group routes by the size of their prompts, the shortest first."""
    lanes: list[list[RouteTraffic]] = []
    for found in sorted(traffic, key=lambda one: one.mean_prompt_tokens):
        if lanes and found.mean_prompt_tokens < lanes[-1][0].mean_prompt_tokens * LANE_SIZE_FACTOR:
            lanes[-1].append(found)
        else:
            lanes.append([found])
    return lanes


def _holds(lane: Sequence[RouteTraffic], route: Route) -> bool:
    return any(found.route == route.name for found in lane)


def _fading(age_s: float) -> float:
    """Weight of a request of some age."""
    return float(2.0 ** (-age_s / AVERAGING_S))


def stable_order(endpoint: Endpoint) -> int:
    """Order engines alike in all processes, whatever joins or leaves."""
    return rendezvous.score("lanes", endpoint.entry.identity)
