"""Compares policies under load: ``python -m bench --site kronwacht``.

Runs a site at its real size on loopback for each policy and scenario, and prints attainment by
class, goodput and wasted work. All policies get the same calls. Exits with 1 on a violated bound.
"""

import argparse
import json
import pathlib
import sys
from collections.abc import Sequence

from bench.scenarios import POLICIES, SCENARIOS, Outcome, SiteRun
from bench.sites import SITES
from bench.verdicts import find_violations

RESULTS = pathlib.Path(__file__).resolve().parent / "results"


def print_table(outcomes: Sequence[Outcome]) -> None:
    """Print a row for each scenario and policy."""
    classes = list(outcomes[0].attainment)
    header = ["scenario", "policy", *classes, "goodput/s", "wasted"]
    print("| " + " | ".join(header) + " |")
    print("|" + "---|" * len(header))
    for outcome in outcomes:
        cells = [f"{outcome.attainment.get(name, 0.0) * 100:.0f}%" for name in classes]
        tail = [f"{outcome.goodput_per_s:.1f}", f"{outcome.wasted * 100:.0f}%"]
        print("| " + " | ".join([outcome.scenario, outcome.policy, *cells, *tail]) + " |")


def main() -> int:
    """Run the chosen policies and scenarios.

    :returns: 1 when a bound is violated.
    """
    parser = argparse.ArgumentParser(description="Compare policies under load on loopback.")
    parser.add_argument("--site", choices=list(SITES), default="kronwacht")
    parser.add_argument("--policy", choices=list(POLICIES), action="append", default=[])
    parser.add_argument("--scenario", choices=list(SCENARIOS), action="append", default=[])
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=20261203)
    options = parser.parse_args()
    outcomes: list[Outcome] = []
    for policy in options.policy or list(POLICIES):
        with SiteRun(SITES[options.site], POLICIES[policy]) as run:
            for scenario in options.scenario or list(SCENARIOS):
                outcome = run.measure(SCENARIOS[scenario], options.seconds, options.seed)
                outcomes.append(outcome)
                print(json.dumps(outcome.as_dict()), file=sys.stderr, flush=True)
    outcomes.sort(key=lambda outcome: list(SCENARIOS).index(outcome.scenario))
    print_table(outcomes)
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"policies-{options.site}.json"
    path.write_text(json.dumps([item.as_dict() for item in outcomes], indent=1) + "\n")
    violations = find_violations(SITES[options.site], outcomes)
    print("\n".join(violations) or "all bounds hold")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
