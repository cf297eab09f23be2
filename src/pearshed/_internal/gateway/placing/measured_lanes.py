"""Lanes of engines by the work that they can do: speeds as measured, output as it costs.

Unlike ``lane_allocator``, a lane of short prompts gets engines until the sum of their sustained
speeds carries its work, the slow engines last, and it grows with a burst that this gateway itself
sees, before the reports of all gateways show it.
"""

import collections
import dataclasses
import math
import statistics
from collections.abc import Sequence

from absl import logging

from pearshed._internal.decisions.engine_pace import ASSUMED_TOKENS_PER_S, EnginePaces
from pearshed._internal.engine_side.traffic_table import RouteTraffic
from pearshed._internal.gateway import lane_allocator
from pearshed._internal.gateway.endpoints import Endpoint
from pearshed._internal.gateway.lane_allocator import LaneAllocator
from pearshed._internal.models.routing import Route
from pearshed._internal.timers import clock

#: Share of an engine's speed that the work of a short lane may use: the rest takes up bursts.
USED_SPEED_SHARE = 0.8
#: Largest share of the engines for a lane of shorter prompts. With 0.5 the slow engines, all in the
#: lane of long prompts, got too little of the work in plays without a network; with 0.6 too much.
MAX_SHORT_LANE_SHARE = 0.56
#: Time for which lanes are kept, seconds, up to ``_SCANNED_ENGINES``; longer for more engines.
LANE_TTL_S = 0.1
_SCANNED_ENGINES = 64
#: Half-life of the traffic in which a burst shows, seconds.
_BURST_HALF_LIFE_S = 0.2
#: Recent requests of a route from which its rate counts as a burst.
_MIN_BURST_WEIGHT = 8.0
#: Growth of a route's rate from which it counts as a burst, and the largest that is believed.
_MIN_BURST_RATIO = 2.0
_MAX_BURST_RATIO = 3.0
#: Lanes grow and shrink in steps of this share of the engines, and shrink by more than one step
#: only: engines at the border of two lanes lose the shared parts that they have.
_STEP_SHARE = 0.07
#: Cost of an output token until it is measured, in tokens of prefill.
FIRST_OUTPUT_TOKEN_COST = 5.0
#: Latest streams whose cost of an output token is kept.
_COST_FIGURES = 64
_MIN_COST_FIGURES = 8
#: Bounds of the cost of an output token, in tokens of prefill.
_MIN_OUTPUT_TOKEN_COST = 1.0
_MAX_OUTPUT_TOKEN_COST = 40.0


class OutputTokenCost:
    """Engine time that an output token costs, in tokens of prefill.

    A step yields one token for each running request and takes a fixed time and a time for each of
    them. Both follow from the pace of streams beside different numbers of others, by a line of
    least squares through the fastest third: prefill between the steps slows the others. A token
    costs its own part of the step, and the fixed time divided by the slots, since it is capacity
    at full load that lanes divide.
    """

    def __init__(self) -> None:
        self._figures: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=_COST_FIGURES
        )
        self._cost = FIRST_OUTPUT_TOKEN_COST

    @property
    def tokens(self) -> float:
        """Cost of one output token, tokens of prefill."""
        return self._cost

    def record(
        self,
        generating_s: float,
        output_tokens: int,
        running: int,
        slots: int,
        tokens_per_s: float,
    ) -> None:
        """Record a complete stream.

        :param generating_s: from its first event to its end, seconds.
        :param running: requests that the engine ran at that time.
        :param slots: requests that it can run.
        :param tokens_per_s: sustained prefill speed of the engine, tokens a second.
        """
        if generating_s <= 0 or output_tokens < 2 or running < 1 or slots < 1:
            return
        step_tokens = generating_s / (output_tokens - 1) * tokens_per_s
        self._figures.append((running, step_tokens))
        if len(self._figures) < _MIN_COST_FIGURES:
            return
        fastest = sorted(self._figures, key=lambda figure: figure[1])
        counts, steps = zip(*fastest[: max(4, len(fastest) // 3)], strict=True)
        if len(set(counts)) > 1:
            slope, intercept = statistics.linear_regression(counts, steps)
        else:
            slope, intercept = 0.0, statistics.fmean(steps)
        cost = max(0.0, slope) + max(0.0, intercept) / slots
        self._cost = min(_MAX_OUTPUT_TOKEN_COST, max(_MIN_OUTPUT_TOKEN_COST, cost))


class MeasuredLaneAllocator(LaneAllocator):
    """Divides the engines of one service into lanes by their speeds."""

    def __init__(self, paces: EnginePaces) -> None:
        super().__init__()
        self._paces = paces
        self._burst: dict[str, tuple[float, float]] = {}
        self._stable_orders: dict[str, int] = {}
        self._known: frozenset[Endpoint] = frozenset()
        self._ordered: Sequence[Endpoint] = ()
        self._sizes: Sequence[int] = ()
        self._lanes: Sequence[Sequence[RouteTraffic]] = ()
        self._computed_at = float("-inf")
        self._lane_of: dict[Endpoint, int] = {}
        self._members: dict[int, Sequence[Endpoint]] = {}

    def record_request(self, route: Route, tokens: int, work: float) -> None:
        """Record a request of a route."""
        super().record_request(route, tokens, work)
        now = clock.now()
        weight, at = self._burst.get(route.name, (0.0, now))
        self._burst[route.name] = (weight * 2.0 ** (-(now - at) / _BURST_HALF_LIFE_S) + 1.0, now)

    def select(
        self, route: Route, tokens: int, endpoints: Sequence[Endpoint], *, overflow: bool = False
    ) -> Sequence[Endpoint]:
        """List the engines of the route's lane among some endpoints.

        Of many endpoints, all members of one lane are listed, with ``overflow`` those of the next.
        """
        lane = self.lane(route, tokens, endpoints)
        if lane is None:
            return endpoints
        if len(endpoints) > _SCANNED_ENGINES:
            # The caller leaves out members that are no candidates; there are too many to check.
            return (
                self._members[lane + 1]
                if overflow and lane + 1 in self._members
                else (self._members[lane])
            )
        lane_of = self._lane_of
        last = len(self._sizes) - 1
        selected = [
            endpoint
            for endpoint in endpoints
            if (index := lane_of.get(endpoint, last)) == lane or (overflow and index > lane)
        ]
        return selected or endpoints

    def lane(self, route: Route, tokens: int, endpoints: Sequence[Endpoint]) -> int | None:
        """Return the lane of a request; ``None`` if there are no lanes."""
        if len(endpoints) < 2 and not self._lane_of:
            return None
        self._refresh(endpoints)
        if len(self._sizes) < 2:
            return None
        if not self._lanes:
            return 0 if tokens < lane_allocator.ASSUMED_SHORT_TOKENS else 1
        for index, lane in enumerate(self._lanes):
            if any(item.route == route.name for item in lane):
                return index
        return 0

    def _refresh(self, endpoints: Sequence[Endpoint]) -> None:
        """Recompute the lanes if they are too old."""
        now = clock.now()
        ttl_s = LANE_TTL_S * max(1.0, len(endpoints) / _SCANNED_ENGINES)
        if now - self._computed_at < ttl_s and self._lane_of:
            return
        self._computed_at = now
        # An endpoint that one request has tried is no candidate of it, yet keeps its lane.
        known = {endpoint for endpoint in self._known if endpoint.accepting}
        known.update(endpoints)
        self._known = frozenset(known)
        self._ordered = sorted(known, key=self._order)
        traffic = self._current_traffic()
        count = len(self._ordered)
        if sum(item.request_weight for item in traffic) < lane_allocator.MIN_REQUESTS:
            short = max(1, round(count * lane_allocator.ASSUMED_SHORT_SHARE))
            self._lanes = ()
            self._sizes = [short, count - short]
        else:
            self._lanes = lane_allocator._group(traffic)
            if len(self._lanes) < 2 or count < len(self._lanes):
                self._sizes = [count]
            else:
                self._sizes = self._compute_sizes(self._lanes, count)
        self._lane_of = {}
        self._members = {}
        start = 0
        for index, size in enumerate(self._sizes):
            for endpoint in self._ordered[start : start + size]:
                self._lane_of[endpoint] = index
            self._members[index] = self._ordered[start : start + size]
            start += size

    def _order(self, endpoint: Endpoint) -> tuple[bool, int]:
        """Return a sort key: slow engines serve the shortest gaps last."""
        identity = endpoint.entry.identity
        order = self._stable_orders.get(identity)
        if order is None:
            order = self._stable_orders[identity] = lane_allocator.stable_order(endpoint)
        return self._paces.is_slow(identity), order

    def _compute_sizes(
        self, lanes: Sequence[Sequence[RouteTraffic]], engine_count: int
    ) -> list[int]:
        speeds = [
            self._paces.tokens_per_s(endpoint.entry.identity) or ASSUMED_TOKENS_PER_S
            for endpoint in self._ordered
        ]
        total_speed = sum(speeds)
        demands = [
            sum(item.request_weight * item.mean_work_tokens for item in lane) for lane in lanes
        ]
        total = sum(demands) or 1.0
        max_engines = max(1, int(engine_count * MAX_SHORT_LANE_SHARE))
        sizes: list[int] = []
        for index, demand in enumerate(demands[:-1]):
            start = sum(sizes)
            per_s = demand / lane_allocator._WEIGHT_PER_RPS
            # When all lanes together need more than there is, each gets its share.
            needed = min(per_s / USED_SPEED_SHARE, total_speed * demand / total)
            target = min(_engines_for(needed, speeds[start:]), float(max_engines))
            sizes.append(self._settle(index, target, max_engines, engine_count))
        while sum(sizes) >= engine_count:
            sizes[sizes.index(max(sizes))] -= 1
        return [*sizes, engine_count - sum(sizes)]

    def _settle(self, lane: int, target: float, max_engines: int, engine_count: int) -> int:
        """Return a lane's size in steps that all gateways take alike."""
        step = max(1, round(engine_count * _STEP_SHARE))
        size = min(
            max_engines,
            max(1, math.ceil((target - lane_allocator.MIN_GROWTH_ENGINES) / step) * step),
        )
        current = self._lane_sizes.get(lane)
        if current is None or size > current or size < current - step:
            self._lane_sizes[lane] = size
            if current != size:
                fields = {"lane": lane, "engines": size, "before": current or 0}
                logging.info(
                    "lane.resized", extra={"fields": fields | {"needed": round(target, 2)}}
                )
            return size
        return min(current, max_engines)

    def _current_traffic(self) -> Sequence[RouteTraffic]:
        """Return the traffic, increased for routes of which a burst has just begun here."""
        traffic = super()._current_traffic()
        own = {item.route: item.request_weight for item in self.own_traffic()}
        return [
            dataclasses.replace(
                item,
                request_weight=item.request_weight
                * self._burst_ratio(item.route, own.get(item.route, 0.0)),
            )
            for item in traffic
        ]

    def _burst_ratio(self, route: str, own_weight: float) -> float:
        """Return by how much a route's rate exceeds that which its traffic shows."""
        weight, at = self._burst.get(route, (0.0, 0.0))
        weight *= 2.0 ** (-(clock.now() - at) / _BURST_HALF_LIFE_S)
        if weight < _MIN_BURST_WEIGHT or not own_weight:
            return 1.0
        scale = lane_allocator.TRAFFIC_HALF_LIFE_S / _BURST_HALF_LIFE_S
        ratio = weight * scale / own_weight
        return min(_MAX_BURST_RATIO, ratio) if ratio >= _MIN_BURST_RATIO else 1.0


def _engines_for(tokens_per_s: float, speeds: Sequence[float]) -> float:
    """Return how many engines, in their order, it takes to do some work."""
    count = 0.0
    for speed in speeds:
        if tokens_per_s <= speed:
            return count + tokens_per_s / speed
        tokens_per_s -= speed
        count += 1.0
    return count
