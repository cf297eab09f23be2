"""Compares the predictions of the slopes with a larger idle fleet: 100 sides and 4 entries.

Each side has at least two entries, so the entries have 50 links on average.
"""

from collections.abc import Callable, Mapping, Sequence

from bench.probes import measure_usage, wait
from bench.slopes import PRODUCTION_PEER_SETTINGS, Slope
from tests.lib.fleet import Fleet, SmallSite

SIDE_COUNT = 100
ENTRY_COUNT = 4
SUBSET_SIZE = 32
MAX_RELATIVE_DIFFERENCE = 0.25
_SETTLE_S = 15.0
_MEASURE_DURATION_S = 30.0

Row = Mapping[str, float | str]


def compare(slopes: Mapping[str, Slope], progress: Callable[[str], None]) -> list[Row]:
    """Run the fleet and compare its cost with the predictions.

    :returns: the predicted and the measured value of each quantity.
    """
    with Fleet() as fleet:
        site = SmallSite(
            fleet,
            endpoints=SIDE_COUNT,
            entries=ENTRY_COUNT,
            peers=PRODUCTION_PEER_SETTINGS,
            links=2,
            subset=SUBSET_SIZE,
        )
        wait(_SETTLE_S)
        links = sum(len(entry.dump()["links"]) for entry in site.entries)
        sides = site.sides[:20]
        usages, traffic_bytes_per_s = measure_usage([*site.entries, *sides], _MEASURE_DURATION_S)
    entry_usages, side_usages = usages[:ENTRY_COUNT], usages[ENTRY_COUNT:]
    links_per_entry, links_per_side = links / ENTRY_COUNT, links / SIDE_COUNT
    progress(f"{links} links")
    entry_traffic = slopes["control traffic per link"]
    rows = [
        _row(
            "traffic of all processes, bytes/s",
            ENTRY_COUNT * entry_traffic.predict(links_per_entry),
            traffic_bytes_per_s,
        ),
        _row(
            "an entry's memory, bytes",
            slopes["entry memory per link"].predict(links_per_entry),
            _mean([usage.rss_bytes for usage in entry_usages]),
        ),
        _row(
            "a side's memory, bytes",
            slopes["side memory per entry"].predict(links_per_side),
            _mean([usage.rss_bytes for usage in side_usages]),
        ),
        _row(
            "an entry's idle CPU, cores",
            slopes["entry idle cpu per link"].predict(links_per_entry),
            _mean([usage.cores for usage in entry_usages]),
        ),
        _row(
            "a side's idle CPU, cores",
            slopes["side idle cpu per entry"].predict(links_per_side),
            _mean([usage.cores for usage in side_usages]),
        ),
    ]
    for row in rows:
        progress(str(dict(row)))
    return rows


def exit_status(rows: Sequence[Row]) -> int:
    """Check traffic and memory; CPU usage is only shown, as it is noisy on this machine when idle.

    :returns: 1 when a value differs from its prediction by more than the limit.
    """
    checked_rows = [row for row in rows if "CPU" not in str(row["what"])]
    differences = [float(row["measured"]) / float(row["foretold"]) - 1 for row in checked_rows]
    return int(any(abs(difference) > MAX_RELATIVE_DIFFERENCE for difference in differences))


def _row(quantity: str, predicted: float, measured: float) -> Row:
    return {"what": quantity, "foretold": predicted, "measured": measured}


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values)
