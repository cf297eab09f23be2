"""Measures the slopes of the capacity model and writes the tables of docs/CAPACITY.md.

``python -m bench.capacity measure`` measures all slopes (about 8 minutes) and writes them to
bench/results/slopes.json; ``confirm`` runs 100 sides and 4 entries and compares their cost with the
prediction of the slopes; ``page`` writes the tables. Without arguments it does all three.
"""

import argparse
import json
import pathlib
import sys
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from bench import confirm, slopes
from bench.model import ControlCost, DataCost, control_costs, data_costs
from bench.size import BYTES_PER_MEBIBYTE, FleetSize
from bench.slopes import Measurement, Slope

ROOT = pathlib.Path(__file__).resolve().parents[1]
PAGE = ROOT / "docs" / "CAPACITY.md"
RESULTS = ROOT / "bench" / "results"
SLOPES = RESULTS / "slopes.json"
CONFIRMATION = RESULTS / "confirmation.json"

_MEASUREMENTS: Mapping[str, Callable[[Measurement], None]] = {
    "data": slopes.measure_data,
    "messages": slopes.measure_messages,
    "links": slopes.measure_links,
    "peers": slopes.measure_peers,
    "records": slopes.measure_records,
}
_STEPS = ("measure", "confirm", "page")


@dataclass(frozen=True)
class _Unit:
    """Scales and labels of a series in tables: those of its slope, and of its base and points."""

    slope_scale: float
    slope_label: str
    point_scale: float
    point_label: str


_UNITS = {
    "core s": _Unit(1e6, "µs of a core", 1.0, "cores"),
    "core": _Unit(1e6, "millionths of a core", 1.0, "cores"),
    "bytes": _Unit(1e-3, "KB", 1e-6, "MB"),
    "bytes/s": _Unit(1.0, "bytes/s", 1.0, "bytes/s"),
    "ms": _Unit(1.0, "ms", 1.0, "ms"),
}


def measure(groups: Sequence[str]) -> None:
    """Measure groups of series and merge them into the stored slopes."""
    measurement = Measurement(lambda line: print(line, flush=True))
    for name in groups:
        _MEASUREMENTS[name](measurement)
    slopes_by_name = load_slopes() if SLOPES.exists() else {}
    slopes_by_name.update(measurement.slopes())
    RESULTS.mkdir(exist_ok=True)
    SLOPES.write_text(slopes.to_json(slopes_by_name.values()) + "\n", encoding="utf-8")


def load_slopes() -> dict[str, Slope]:
    """Return the stored slopes."""
    return slopes.from_json(SLOPES.read_text(encoding="utf-8"))


def write_page() -> None:
    """Replace the generated tables of docs/CAPACITY.md."""
    size = FleetSize()
    slopes_by_name = load_slopes()
    tables = {
        "size": _size_table(size),
        "slopes": _slope_table(slopes_by_name.values()),
        "control": _control_table(size, control_costs(size, slopes_by_name)),
        "data": _data_table(data_costs(size, slopes_by_name)),
        "batch": _batch_table(slopes_by_name),
    }
    if CONFIRMATION.exists():
        rows = json.loads(CONFIRMATION.read_text(encoding="utf-8"))
        tables["confirmation"] = _confirmation_table(rows)
    text = PAGE.read_text(encoding="utf-8")
    for name, content in tables.items():
        text = _replace_table(text, name, content)
    PAGE.write_text(text, encoding="utf-8")


def _replace_table(text: str, name: str, content: str) -> str:
    begin, end = f"<!-- begin {name} -->\n", f"<!-- end {name} -->"
    before, _, remainder = text.partition(begin)
    _, _, after = remainder.partition(end)
    return before + begin + content + end + after


def format_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Format a Markdown table."""
    lines = ["| " + " | ".join(header) + " |", "|" + "---|" * len(header)]
    lines.extend("| " + " | ".join(row) + " |" for row in rows)
    return "\n".join(lines) + "\n"


def _size_table(size: FleetSize) -> str:
    rows = [
        ("requests/s", f"{size.node_requests_per_s:.1f}", f"{size.engine_requests_per_s:.1f}"),
        ("tokens/s", f"{size.node_tokens_per_s:,.0f}", f"{size.engine_tokens_per_s:,.0f}"),
        ("connections to peers", f"{size.subset}", f"{size.entries_per_side:.1f}"),
        ("records held", f"{size.records:,}", f"{size.records:,}"),
        ("VMs listed", f"{size.nodes + size.engines:,}", f"{size.nodes + size.engines:,}"),
        ("changes/s to apply", f"{size.changes_per_s:.3f}", f"{size.changes_per_s:.3f}"),
    ]
    return format_table(("at the peak", "a node (entry VM)", "an engine's side"), rows)


def _slope_table(series: Iterable[Slope]) -> str:
    rows = []
    for slope in series:
        unit = _UNITS[slope.unit]
        scale = unit.point_scale
        points = ", ".join(f"{point.x:,.0f}: {point.y * scale:,.4g}" for point in slope.points)
        per_unit = f"{slope.per_unit * unit.slope_scale:,.3g} {unit.slope_label}"
        base = f"{slope.base * scale:,.3g} {unit.point_label}"
        rows.append((slope.name, per_unit, base, f"{slope.r_squared:.3f}", points))
    return format_table(("series", "for one more", "base", "r²", "points (x: y)"), rows)


def _control_table(size: FleetSize, costs: Sequence[ControlCost]) -> str:
    rows = [
        (
            cost.role,
            f"{cost.cores * 100:.2f}%",
            f"{cost.memory_bytes / BYTES_PER_MEBIBYTE:.0f} MB",
            f"{cost.bytes_per_s / 1000:.2f} KB/s",
        )
        for cost in costs
    ]
    limit = (
        "limit",
        f"{size.max_control_cores * 100:.1f}%",
        f"{size.max_control_bytes / BYTES_PER_MEBIBYTE:.0f} MB",
        f"{size.max_control_bytes_per_s / 1000:.0f} KB/s",
    )
    return format_table(("role", "of a core", "memory", "traffic, both ways"), [*rows, limit])


def _data_table(costs: Sequence[DataCost]) -> str:
    rows = [
        (
            cost.role,
            f"{cost.requests:.2f}",
            f"{cost.tokens:.2f}",
            f"{cost.messages:.2f}",
            f"**{cost.total:.2f}**",
        )
        for cost in costs
    ]
    return format_table(("role", "requests", "tokens", "messages", "cores in all"), rows)


def _batch_table(slopes_by_name: Mapping[str, Slope]) -> str:
    gaps = slopes_by_name["gap p95 by batch time"].points
    firsts = slopes_by_name["first token p95 by batch time"].points
    messages = slopes_by_name["entry cpu per message"].points
    rows = [
        (f"{gap.x:g}", f"{message.x:,.0f}", f"{message.y:.2f}", f"{gap.y:.1f}", f"{first.y:.1f}")
        for gap, first, message in zip(gaps, firsts, messages, strict=True)
    ]
    header = ("batch_ms", "messages/s", "entry, cores", "gap p95, ms", "first token p95, ms")
    return format_table(header, rows)


def _confirmation_table(rows: Sequence[Mapping[str, float | str]]) -> str:
    formatted = [
        (
            str(row["what"]),
            f"{float(row['foretold']):,.4g}",
            f"{float(row['measured']):,.4g}",
            f"{(float(row['measured']) / float(row['foretold']) - 1) * 100:+.0f}%",
        )
        for row in rows
    ]
    return format_table(("what", "foretold", "measured", "difference"), formatted)


def main() -> int:
    """Run the chosen steps.

    :returns: 1 when the confirmation differs from the predictions by more than the limit.
    """
    parser = argparse.ArgumentParser(description="Measure slopes and write docs/CAPACITY.md.")
    parser.add_argument("steps", nargs="*", metavar="STEP", help=", ".join(_STEPS))
    parser.add_argument("--only", choices=list(_MEASUREMENTS), action="append", default=[])
    options = parser.parse_args()
    steps = options.steps or _STEPS
    status = 0
    if "measure" in steps:
        measure(options.only or list(_MEASUREMENTS))
    if "confirm" in steps:
        rows = confirm.compare(load_slopes(), lambda line: print(line, flush=True))
        CONFIRMATION.write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")
        status = confirm.exit_status(rows)
    if "page" in steps:
        write_page()
    return status


if __name__ == "__main__":
    sys.exit(main())
