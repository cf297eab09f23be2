"""Divides a service's engines into lanes by prompt size, so that long prompts delay no short ones.

An engine prefills prompts in chunks between the tokens of the requests that it runs. A long prompt
therefore slows every stream on its engine, and those with short prompts and short gaps suffer most.
All gateways compute the same lanes from the traffic of the whole fleet, which sides merge; a
gateway that gets no traffic reports from sides uses its own traffic, multiplied by the ratio
between the two at the last report.
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

#: Routes whose mean prompt sizes differ by less than this factor share a lane.
LANE_SIZE_FACTOR = 3.0
#: Share of the engines for a lane of shorter prompts, relative to its share of the work, at low
#: load.
SHORT_LANE_WORK_FACTOR = 0.8
#: Work per second that an engine of such a lane is given, in prefill tokens: nine tenths of the
#: speed assumed for an engine. Streams keep their pace, since the engine's side throttles prefill.
SHORT_LANE_TOKENS_PER_S = 45_000.0
#: Largest share of the engines for a lane of shorter prompts.
MAX_SHORT_LANE_SHARE = 0.45
#: Half-life of a route's traffic: bursts of short prompts build up within two seconds.
TRAFFIC_HALF_LIFE_S = 1.0
#: Weight of a route with a steady rate of one request per second.
_WEIGHT_PER_RPS = TRAFFIC_HALF_LIFE_S / math.log(2.0)
#: Time for which a side's report of the fleet's traffic is used, seconds.
FLEET_TRAFFIC_TTL_S = 4.0
#: Weight of the latest request in the mean sizes of a busy route.
MIN_SIZE_WEIGHT = 0.01
#: A lane grows when it lacks more engines than ``MIN_GROWTH_ENGINES`` and shrinks when it has more
#: than ``MIN_SHRINK_ENGINES`` too many, if that is also more than ``MIN_CHANGE_SHARE`` of its size.
MIN_GROWTH_ENGINES = 0.3
MIN_SHRINK_ENGINES = 1.0
MIN_CHANGE_SHARE = 0.15
#: Requests needed before lanes are computed from their sizes.
MIN_REQUESTS = 20
#: Until then a prompt shorter than two prefill chunks of an engine counts as short, tokens.
ASSUMED_SHORT_TOKENS = 4096
#: Until then this share of the engines serves short prompts.
ASSUMED_SHORT_SHARE = 0.2


class LaneAllocator:
    """Divides the engines of one service into lanes."""

    def __init__(self) -> None:
        self._own_traffic: dict[str, RouteTraffic] = {}
        self._updated_at: dict[str, float] = {}
        self._fleet_traffic: Sequence[RouteTraffic] = ()
        self._fleet_reported_at = float("-inf")
        self._fleet_ratio = 1.0
        self._lane_sizes: dict[int, int] = {}

    def record_request(self, route: Route, tokens: int, work: float) -> None:
        """Record a request of a route.

        :param tokens: of its complete prompt.
        :param work: for the engine that serves it, in prefill tokens.
        """
        now = clock.now()
        previous = self._own_traffic.get(route.name, RouteTraffic(route.name, 0.0, 0.0, 0.0))
        weight = previous.request_weight * _decay(now - self._updated_at.get(route.name, now)) + 1.0
        # Sizes vary far more slowly than rates, so they are averaged over many more requests.
        share = max(1.0 / weight, MIN_SIZE_WEIGHT)
        self._own_traffic[route.name] = RouteTraffic(
            route.name,
            weight,
            previous.mean_prompt_tokens + (tokens - previous.mean_prompt_tokens) * share,
            previous.mean_work_tokens + (work - previous.mean_work_tokens) * share,
        )
        self._updated_at[route.name] = now

    def own_traffic(self) -> tuple[RouteTraffic, ...]:
        """List the recent traffic of this process."""
        now = clock.now()
        return tuple(
            dataclasses.replace(
                traffic,
                request_weight=traffic.request_weight * _decay(now - self._updated_at[name]),
            )
            for name, traffic in self._own_traffic.items()
        )

    def set_fleet_traffic(self, routes: Sequence[RouteTraffic]) -> None:
        """Set the traffic of all gateways."""
        self._fleet_traffic = routes
        self._fleet_reported_at = clock.now()
        own_weight = _total_weight(self.own_traffic())
        self._fleet_ratio = max(1.0, _total_weight(routes) / max(1.0, own_weight))

    def select(
        self, route: Route, tokens: int, endpoints: Sequence[Endpoint], *, overflow: bool = False
    ) -> Sequence[Endpoint]:
        """List the engines of the route's lane.

        :param tokens: of the request's complete prompt.
        :param overflow: the lane is full; include the lanes of longer prompts.
        """
        if len(endpoints) < 2:
            return endpoints
        ordered = sorted(endpoints, key=stable_order)
        traffic = self._current_traffic()
        if _total_weight(traffic) < MIN_REQUESTS:
            short_count = max(1, round(len(ordered) * ASSUMED_SHORT_SHARE))
            return ordered[:short_count] if tokens < ASSUMED_SHORT_TOKENS else ordered[short_count:]
        lanes = _group(traffic)
        if len(lanes) < 2 or len(endpoints) < len(lanes):
            return endpoints
        index = next((index for index, lane in enumerate(lanes) if _contains(lane, route)), 0)
        sizes = self._compute_sizes(lanes, len(endpoints))
        start = sum(sizes[:index])
        return ordered[start:] if overflow else ordered[start : start + sizes[index]]

    def _current_traffic(self) -> Sequence[RouteTraffic]:
        """Return the fleet's traffic while it is fresh, else an estimate from this process's."""
        if clock.now() - self._fleet_reported_at < FLEET_TRAFFIC_TTL_S and self._fleet_traffic:
            return self._fleet_traffic
        return [
            dataclasses.replace(item, request_weight=item.request_weight * self._fleet_ratio)
            for item in self.own_traffic()
        ]

    def _compute_sizes(
        self, lanes: Sequence[Sequence[RouteTraffic]], engine_count: int
    ) -> list[int]:
        """Divide a number of engines among the lanes.

        Lanes of shorter prompts get enough engines to stay well below their full speed, whatever
        the load of the last lane: an overload of long prompts must not slow short ones.
        """
        demands = [
            sum(item.request_weight * item.mean_work_tokens for item in lane) for lane in lanes
        ]
        total = sum(demands) or 1.0
        sizes = []
        for index, demand in enumerate(demands[:-1]):
            share = engine_count * demand / total * SHORT_LANE_WORK_FACTOR
            needed = demand / _WEIGHT_PER_RPS / SHORT_LANE_TOKENS_PER_S
            max_engines = int(engine_count * MAX_SHORT_LANE_SHARE)
            sizes.append(
                self._stabilize(index, min(max(share, needed), float(max_engines)), max_engines)
            )
        while sum(sizes) >= engine_count:
            sizes[sizes.index(max(sizes))] -= 1
        return [*sizes, engine_count - sum(sizes)]

    def _stabilize(self, lane: int, target: float, max_engines: int) -> int:
        """Keep a lane's size until another fits clearly better: each change moves shared prefixes.

        A lane grows sooner than it shrinks, since one engine too few delays all of its streams.
        """
        current = self._lane_sizes.get(lane)
        tolerance = MIN_CHANGE_SHARE * (current or 0)
        if (
            current is None
            or target - current > max(MIN_GROWTH_ENGINES, tolerance)
            or current - target > max(MIN_SHRINK_ENGINES, tolerance)
        ):
            before = current or 0
            current = max(1, min(max_engines, math.ceil(target - MIN_GROWTH_ENGINES)))
            self._lane_sizes[lane] = current
            if current != before:
                fields = {"lane": lane, "engines": current, "before": before}
                logging.info(
                    "lane.resized", extra={"fields": fields | {"needed": round(target, 2)}}
                )
        return current


def _group(traffic: Sequence[RouteTraffic]) -> list[list[RouteTraffic]]:
    """Group routes by the size of their prompts, the shortest first."""
    lanes: list[list[RouteTraffic]] = []
    for item in sorted(traffic, key=lambda item: item.mean_prompt_tokens):
        if lanes and item.mean_prompt_tokens < lanes[-1][0].mean_prompt_tokens * LANE_SIZE_FACTOR:
            lanes[-1].append(item)
        else:
            lanes.append([item])
    return lanes


def _total_weight(traffic: Sequence[RouteTraffic]) -> float:
    return sum(item.request_weight for item in traffic)


def _contains(lane: Sequence[RouteTraffic], route: Route) -> bool:
    return any(item.route == route.name for item in lane)


def _decay(age_s: float) -> float:
    """Return the weight of a request of some age."""
    return float(2.0 ** (-age_s / TRAFFIC_HALF_LIFE_S))


def stable_order(endpoint: Endpoint) -> int:
    """Return a sort key that is the same in all processes, whichever engines join or leave."""
    return rendezvous.score("lanes", endpoint.entry.identity)
