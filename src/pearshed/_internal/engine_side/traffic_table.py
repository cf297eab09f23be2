"""The traffic of all gateways, summed at a few sides, so that all gateways divide engines alike."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from pearshed._internal.timers import clock

#: A gateway that has not reported for this long no longer counts; gateways report each second.
REPORT_LIFE_S = 5.0
#: Gateways that an answer names: a gateway hears of more with each, and a datagram stays small.
MOST_NAMED = 8


@dataclass(frozen=True, slots=True)
class RouteTraffic:
    """What a route's requests ask of the engines.

    :ivar request_weight: requests, fading with time.
    :ivar mean_prompt_tokens: mean tokens of the whole prompt.
    :ivar mean_work_tokens: mean work of an engine, in tokens read.
    """

    route: str
    request_weight: float
    mean_prompt_tokens: float
    mean_work_tokens: float


def merge_traffic(reports: Sequence[Sequence[RouteTraffic]]) -> tuple[RouteTraffic, ...]:
    """Add up the traffic of several gateways."""
    weights: dict[str, float] = {}
    tokens: dict[str, float] = {}
    work: dict[str, float] = {}
    for report in reports:
        for found in report:
            weights[found.route] = weights.get(found.route, 0.0) + found.request_weight
            tokens[found.route] = (
                tokens.get(found.route, 0.0) + found.request_weight * found.mean_prompt_tokens
            )
            work[found.route] = (
                work.get(found.route, 0.0) + found.request_weight * found.mean_work_tokens
            )
    return tuple(
        RouteTraffic(route, weight, tokens[route] / weight, work[route] / weight)
        for route, weight in weights.items()
        if weight > 0
    )


class TrafficTable:
    """The latest report of each gateway."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, tuple[RouteTraffic, ...]]] = {}

    @property
    def gateways(self) -> int:
        """Gateways that report."""
        self._forget()
        return len(self._reports)

    def sample_gateways(self, source: random.Random) -> tuple[str, ...]:
        """Draw hosts of some gateways."""
        self._forget()
        return tuple(source.sample(sorted(self._reports), min(len(self._reports), MOST_NAMED)))

    def record_report(self, gateway: str, routes: tuple[RouteTraffic, ...]) -> None:
        """Take a gateway's report."""
        self._reports[gateway] = (clock.now(), routes)

    def total(self) -> tuple[RouteTraffic, ...]:
        """Add up the reports."""
        self._forget()
        return merge_traffic([routes for _, routes in self._reports.values()])

    def _forget(self) -> None:
        oldest = clock.now() - REPORT_LIFE_S
        self._reports = {name: kept for name, kept in self._reports.items() if kept[0] > oldest}
