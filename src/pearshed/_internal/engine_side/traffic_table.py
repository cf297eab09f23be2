"""Sums the traffic of all gateways at a few sides, so that they all compute the same lanes."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from pearshed._internal.timers import clock

#: A gateway that has not reported for this long is dropped, seconds; gateways report twice a
#: second.
REPORT_TTL_S = 5.0
#: Maximum number of gateways named in one response, so that datagrams stay small; each response
#: names a random sample, so a gateway discovers more of them over time.
MAX_SAMPLED_GATEWAYS = 8


@dataclass(frozen=True, slots=True)
class RouteTraffic:
    """Load that the requests of a route put on engines.

    :ivar request_weight: number of requests, decaying with time.
    :ivar mean_prompt_tokens: mean length of the complete prompt, tokens.
    :ivar mean_work_tokens: mean work of an engine for a request, in tokens of prefill.
    """

    route: str
    request_weight: float
    mean_prompt_tokens: float
    mean_work_tokens: float


def merge_traffic(reports: Sequence[Sequence[RouteTraffic]]) -> tuple[RouteTraffic, ...]:
    """Sum the traffic of several gateways by route."""
    weights: dict[str, float] = {}
    tokens: dict[str, float] = {}
    work: dict[str, float] = {}
    for report in reports:
        for traffic in report:
            weights[traffic.route] = weights.get(traffic.route, 0.0) + traffic.request_weight
            tokens[traffic.route] = (
                tokens.get(traffic.route, 0.0) + traffic.request_weight * traffic.mean_prompt_tokens
            )
            work[traffic.route] = (
                work.get(traffic.route, 0.0) + traffic.request_weight * traffic.mean_work_tokens
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
    def gateway_count(self) -> int:
        """Number of gateways that report."""
        self._drop_expired()
        return len(self._reports)

    def sample_gateways(self, rng: random.Random) -> tuple[str, ...]:
        """Return the hosts of some gateways, chosen at random."""
        self._drop_expired()
        return tuple(
            rng.sample(sorted(self._reports), min(len(self._reports), MAX_SAMPLED_GATEWAYS))
        )

    def record_report(self, gateway: str, routes: tuple[RouteTraffic, ...]) -> None:
        """Store a gateway's report in place of its previous one.

        :param gateway: its host.
        """
        self._reports[gateway] = (clock.now(), routes)

    def total(self) -> tuple[RouteTraffic, ...]:
        """Sum the traffic of all gateways by route."""
        self._drop_expired()
        return merge_traffic([routes for _, routes in self._reports.values()])

    def _drop_expired(self) -> None:
        oldest = clock.now() - REPORT_TTL_S
        self._reports = {
            host: report for host, report in self._reports.items() if report[0] > oldest
        }
