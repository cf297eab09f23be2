"""Checks the router's policy against the baselines of the same run."""

from collections.abc import Sequence

from bench.scenarios import Outcome
from bench.sites import Site

ROUTER_POLICY = "pearshed"
# Minimum ratios to a baseline of the same run. Goodput may be lower by the noise of one run; the
# urgent tier's attainment has a smaller margin.
_MIN_URGENT_RATIO = 0.97
_MIN_GOODPUT_RATIO = 0.90


def find_violations(site: Site, outcomes: Sequence[Outcome]) -> list[str]:
    """Describe each scenario in which the router's policy is below its bounds."""
    router_outcomes = {item.scenario: item for item in outcomes if item.policy == ROUTER_POLICY}
    urgent_classes = [item.class_name for item in site.traffic if item.tier == "urgent"]
    violations: list[str] = []
    for baseline in outcomes:
        outcome = router_outcomes.get(baseline.scenario)
        if outcome is None or baseline.policy == ROUTER_POLICY:
            continue
        comparison = f"{baseline.scenario} against {baseline.policy}"
        violations.extend(
            f"{comparison}: {name} {outcome.attainment[name]:.2f} < {baseline.attainment[name]:.2f}"
            for name in urgent_classes
            if outcome.attainment[name] < _MIN_URGENT_RATIO * baseline.attainment[name]
        )
        if outcome.goodput_per_s < _MIN_GOODPUT_RATIO * baseline.goodput_per_s:
            violations.append(
                f"{comparison}: goodput {outcome.goodput_per_s:.1f} < {baseline.goodput_per_s:.1f}"
            )
    return violations
