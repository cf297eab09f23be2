"""Bounds of the policy comparison, as ratios to the baselines of the same run."""

from collections.abc import Sequence

from bench.scenarios import Outcome
from bench.sites import Site

OWN = "pearshed"
# A class may lose a little to a baseline by the noise of one run; the urgent tier may not.
_URGENT_RATIO = 0.97
_GOODPUT_RATIO = 0.90


def broken_bounds(site: Site, outcomes: Sequence[Outcome]) -> list[str]:
    """Describe where the own policy falls behind a baseline by more than it may."""
    own = {item.scenario: item for item in outcomes if item.policy == OWN}
    urgent = [item.class_name for item in site.traffic if item.tier == "urgent"]
    problems: list[str] = []
    for baseline in outcomes:
        mine = own.get(baseline.scenario)
        if mine is None or baseline.policy == OWN:
            continue
        where = f"{baseline.scenario} against {baseline.policy}"
        problems.extend(
            f"{where}: {name} {mine.attainment[name]:.2f} < {baseline.attainment[name]:.2f}"
            for name in urgent
            if mine.attainment[name] < _URGENT_RATIO * baseline.attainment[name]
        )
        if mine.goodput_per_s < _GOODPUT_RATIO * baseline.goodput_per_s:
            problems.append(
                f"{where}: goodput {mine.goodput_per_s:.1f} < {baseline.goodput_per_s:.1f}"
            )
    return problems
