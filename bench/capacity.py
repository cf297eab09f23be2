"""Measures slopes and writes the tables of docs/CAPACITY.md.

``python -m bench.capacity measure`` measures all slopes (about 8 minutes) into
bench/results/slopes.json; ``confirm`` runs 100 sides and 4 entries and compares them with what
the slopes foretell; ``page`` writes the tables anew; without arguments it does all three.
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
    """How a series is shown: the cost of one more, and its base and points."""

    step_scale: float
    step: str
    point_scale: float
    point: str


_UNITS = {
    "core s": _Unit(1e6, "µs of a core", 1.0, "cores"),
    "core": _Unit(1e6, "millionths of a core", 1.0, "cores"),
    "bytes": _Unit(1e-3, "KB", 1e-6, "MB"),
    "bytes/s": _Unit(1.0, "bytes/s", 1.0, "bytes/s"),
    "ms": _Unit(1.0, "ms", 1.0, "ms"),
}


def measure(chosen: Sequence[str]) -> None:
    """Measure series and keep them beside those measured before."""
    measurement = Measurement(lambda line: print(line, flush=True))
    for name in chosen:
        _MEASUREMENTS[name](measurement)
    known = load_slopes() if SLOPES.exists() else {}
    known.update(measurement.slopes())
    RESULTS.mkdir(exist_ok=True)
    SLOPES.write_text(slopes.to_json(known.values()) + "\n", encoding="utf-8")


def load_slopes() -> dict[str, Slope]:
    """Read the slopes measured last."""
    return slopes.from_json(SLOPES.read_text(encoding="utf-8"))


def write_page() -> None:
    """Replace the generated tables of the page."""
    size = FleetSize()
    known = load_slopes()
    tables = {
        "size": _size_table(size),
        "slopes": _slope_table(known.values()),
        "control": _control_table(size, control_costs(size, known)),
        "data": _data_table(data_costs(size, known)),
        "batch": _batch_table(known),
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
    before, _, rest = text.partition(begin)
    _, _, after = rest.partition(end)
    return before + begin + content + end + after


def table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Format a table."""
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
    return table(("at the peak", "a node (entry VM)", "an engine's side"), rows)


def _slope_table(known: Iterable[Slope]) -> str:
    rows = []
    for slope in known:
        unit = _UNITS[slope.unit]
        scale = unit.point_scale
        points = ", ".join(f"{point.x:,.0f}: {point.y * scale:,.4g}" for point in slope.points)
        step = f"{slope.per_unit * unit.step_scale:,.3g} {unit.step}"
        base = f"{slope.base * scale:,.3g} {unit.point}"
        rows.append((slope.name, step, base, f"{slope.fit:.3f}", points))
    return table(("series", "for one more", "base", "r²", "points (x: y)"), rows)


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
        f"{size.control_core * 100:.1f}%",
        f"{size.control_bytes / BYTES_PER_MEBIBYTE:.0f} MB",
        f"{size.control_bytes_per_s / 1000:.0f} KB/s",
    )
    return table(("role", "of a core", "memory", "traffic, both ways"), [*rows, limit])


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
    return table(("role", "requests", "tokens", "messages", "cores in all"), rows)


def _batch_table(known: Mapping[str, Slope]) -> str:
    gaps = known["gap p95 by batch time"].points
    firsts = known["first token p95 by batch time"].points
    messages = known["entry cpu per message"].points
    rows = [
        (f"{gap.x:g}", f"{message.x:,.0f}", f"{message.y:.2f}", f"{gap.y:.1f}", f"{first.y:.1f}")
        for gap, first, message in zip(gaps, firsts, messages, strict=True)
    ]
    header = ("batch_ms", "messages/s", "entry, cores", "gap p95, ms", "first token p95, ms")
    return table(header, rows)


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
    return table(("what", "foretold", "measured", "difference"), formatted)


def main() -> int:
    """Run the chosen steps.

    :returns: 1 when the confirmation differs by more than it may.
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
        rows = confirm.run(load_slopes(), lambda line: print(line, flush=True))
        CONFIRMATION.write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")
        status = confirm.verdict(rows)
    if "page" in steps:
        write_page()
    return status


if __name__ == "__main__":
    sys.exit(main())
