"""Measures how the cost of each role grows with one load parameter at a time."""

import functools
import json
import statistics
import subprocess
import sys
from collections.abc import Callable, Iterable, Sequence
from dataclasses import asdict, dataclass

from bench.probes import cpu_seconds, loopback_bytes, measure_usage, rss_bytes, wait
from tests.lib import records
from tests.lib.fleet import ROOT, Fleet, Node, SmallSite, wait_for
from tests.lib.records import Document

_MEASURE_DURATION_S = 8.0
_SETTLE_S = 3.0
_STREAM_DURATION_S = 2.0
_ENDPOINT_SLOTS = 400
# Engine stand-ins with this many slots run all requests at full speed.
_ENGINE_SLOTS = 100_000
PRODUCTION_PEER_SETTINGS = {"heartbeat_s": 3.0, "silence_s": 9.0}


@dataclass(frozen=True)
class Point:
    """One measurement.

    :ivar x: value of the varied load parameter.
    :ivar y: measured cost.
    """

    x: float
    y: float


@dataclass(frozen=True)
class Slope:
    """Linear regression of one series.

    :ivar unit: unit of the slope.
    """

    name: str
    unit: str
    points: tuple[Point, ...]

    @property
    def per_unit(self) -> float:
        """Slope: cost of one more unit of load."""
        return self._regression()[0]

    @property
    def base(self) -> float:
        """Intercept: cost without load."""
        return self._regression()[1]

    @property
    def r_squared(self) -> float:
        """Coefficient of determination; 1 if the points lie on the line."""
        xs, ys = self._coordinates()
        if len(set(ys)) < 2:
            return 1.0
        return float(statistics.correlation(xs, ys) ** 2)

    def predict(self, x: float) -> float:
        """Return the cost that the line predicts at a load."""
        return self.base + self.per_unit * x

    def _coordinates(self) -> tuple[list[float], list[float]]:
        return [point.x for point in self.points], [point.y for point in self.points]

    def _regression(self) -> tuple[float, float]:
        regression = statistics.linear_regression(*self._coordinates())
        return float(regression.slope), float(regression.intercept)


class Measurement:
    """Collects the points of all series.

    :param progress: receives a line of text for each point.
    """

    def __init__(self, progress: Callable[[str], None]) -> None:
        self._progress = progress
        self._points: dict[tuple[str, str], list[Point]] = {}

    def add(self, name: str, unit: str, x: float, y: float) -> None:
        """Add a point to a series."""
        self._points.setdefault((name, unit), []).append(Point(x, y))
        self._progress(f"{name}: {x:g} -> {y:.6g} {unit}")

    def slopes(self) -> dict[str, Slope]:
        """Return the regression of each series."""
        return {
            name: Slope(name, unit, tuple(points)) for (name, unit), points in self._points.items()
        }


def start_callers(
    entry: Node, streams: int, tokens: int, seconds: float
) -> "subprocess.Popen[bytes]":
    """Start load against an entry."""
    arguments = ("--port", entry.port, "--streams", streams, "--tokens", tokens)
    return subprocess.Popen(
        [sys.executable, "-m", "bench.driver", *map(str, arguments), "--seconds", str(seconds)],
        cwd=ROOT,
        stdout=subprocess.PIPE,
    )


def measure_data(measurement: Measurement) -> None:
    """Vary the tokens at a fixed request rate, the one-token request rate, and the open streams."""
    with Fleet() as fleet:
        site = SmallSite(fleet, endpoints=2, slots=_ENDPOINT_SLOTS, peers=PRODUCTION_PEER_SETTINGS)
        customer = records.customer("demo", records.API_KEY, ["notice"], max_in_flight=5000)
        fleet.publish("records", [customer])
        for token_ms in (160, 80, 40, 20):
            _measure_point(
                measurement, "token", site, 60, round(_STREAM_DURATION_S * 1000 / token_ms)
            )
        for streams in (1, 2, 4, 8):
            _measure_point(measurement, "request", site, streams, 1)
        for streams in (20, 80, 160):
            _measure_memory(measurement, site, streams)


def _measure_point(
    measurement: Measurement, load_unit: str, site: SmallSite, streams: int, tokens: int
) -> None:
    for engine in site.engines:
        token_ms = _STREAM_DURATION_S * 1000 / tokens if load_unit == "token" else 1.0
        site.fleet.set(engine, slots=_ENGINE_SLOTS, first_ms=2, token_ms=token_ms)
    callers = start_callers(site.entry, streams, tokens, _SETTLE_S + _MEASURE_DURATION_S)
    wait(_SETTLE_S)
    usages, _ = measure_usage([site.entry, *site.sides], _MEASURE_DURATION_S)
    results = json.loads(callers.communicate()[0])
    rate = results["tokens_per_s" if load_unit == "token" else "answers_per_s"]
    measurement.add(f"entry cpu per {load_unit}", "core s", rate, usages[0].cores)
    mean_side_cores = sum(usage.cores for usage in usages[1:]) / len(site.sides)
    measurement.add(f"side cpu per {load_unit}", "core s", rate / len(site.sides), mean_side_cores)


def measure_messages(measurement: Measurement) -> None:
    """Vary the number of messages for the same tokens."""
    for batch_ms in (2, 4, 8, 16, 32):
        with Fleet() as fleet:
            peers = {**PRODUCTION_PEER_SETTINGS, "batch_ms": batch_ms}
            site = SmallSite(fleet, endpoints=4, slots=_ENDPOINT_SLOTS, peers=peers)
            customer = records.customer("demo", records.API_KEY, ["notice"], max_in_flight=5000)
            fleet.publish("records", [customer])
            for engine in site.engines:
                fleet.set(engine, slots=_ENGINE_SLOTS, first_ms=2, token_ms=38)
            callers = start_callers(site.entry, 80, 100, _SETTLE_S + _MEASURE_DURATION_S)
            wait(_SETTLE_S)
            before = read_metric(site.entry, "pearshed_peer_messages_total")
            usages, _ = measure_usage([site.entry, *site.sides], _MEASURE_DURATION_S)
            after = read_metric(site.entry, "pearshed_peer_messages_total")
            results = json.loads(callers.communicate()[0])
            rate = (after - before) / _MEASURE_DURATION_S
            measurement.add("entry cpu per message", "core s", rate, usages[0].cores)
            mean_side_cores = sum(usage.cores for usage in usages[1:]) / len(site.sides)
            measurement.add(
                "side cpu per message", "core s", rate / len(site.sides), mean_side_cores
            )
            measurement.add("gap p95 by batch time", "ms", batch_ms, results["gap_p95_ms"])
            measurement.add(
                "first token p95 by batch time", "ms", batch_ms, results["first_p95_ms"]
            )


def read_metric(node: Node, name: str) -> float:
    """Return a metric of a process, summed over its labels."""
    lines = node.page("metrics").data.decode().splitlines()
    return sum(float(line.split()[-1]) for line in lines if line.startswith(name))


def _measure_memory(measurement: Measurement, site: SmallSite, streams: int) -> None:
    for engine in site.engines:
        site.fleet.set(engine, token_ms=100)
    callers = start_callers(site.entry, streams, 400, _SETTLE_S)
    wait(_SETTLE_S)
    measurement.add("entry memory per stream", "bytes", streams, rss_bytes(site.entry))
    callers.kill()
    callers.communicate()
    wait_for(lambda: site.entry.dump()["in_flight"] == 0, "the streams to end")


def measure_links(measurement: Measurement) -> None:
    """Vary the number of sides connected to an idle entry."""
    for count in (4, 16, 32, 48):
        with Fleet() as fleet:
            site = SmallSite(fleet, endpoints=count, peers=PRODUCTION_PEER_SETTINGS, subset=count)
            wait(_SETTLE_S)
            usages, traffic_bytes_per_s = measure_usage([site.entry], _MEASURE_DURATION_S * 2)
            measurement.add("entry idle cpu per link", "core", count, usages[0].cores)
            measurement.add("entry memory per link", "bytes", count, usages[0].rss_bytes)
            measurement.add("control traffic per link", "bytes/s", count, traffic_bytes_per_s)


def measure_peers(measurement: Measurement) -> None:
    """Vary the number of entries connected to an idle side."""
    for count in (1, 2, 4, 8):
        with Fleet() as fleet:
            site = SmallSite(fleet, endpoints=1, entries=count, peers=PRODUCTION_PEER_SETTINGS)
            wait(_SETTLE_S)
            usages, _ = measure_usage(site.sides, _MEASURE_DURATION_S * 2)
            measurement.add("side idle cpu per entry", "core", count, usages[0].cores)
            measurement.add("side memory per entry", "bytes", count, usages[0].rss_bytes)


def measure_records(measurement: Measurement) -> None:
    """Vary the number of records, and with the most records also the rate of changes."""
    for count in (500, 2000, 5500):
        with Fleet() as fleet:
            site = SmallSite(fleet, endpoints=2, peers=PRODUCTION_PEER_SETTINGS, subset=2)
            fleet.publish("records", create_records(count))
            fleet.publish("vms", [records.vm(f"vm-{number}", "side") for number in range(count)])
            wait_for_revision(site, 2)
            wait(_SETTLE_S)
            record_count = 2 * count
            measurement.add("entry memory per record", "bytes", record_count, rss_bytes(site.entry))
            measurement.add(
                "side memory per record", "bytes", record_count, rss_bytes(site.sides[0])
            )
            if count == 5500:
                _measure_changes(measurement, site)


def _measure_changes(measurement: Measurement, site: SmallSite) -> None:
    nodes = [site.entry, site.sides[0]]
    for changes_per_s in (0, 1, 2, 4):
        before = site.entry.dump()["feeds"]["records"]["revision"]
        usages, traffic_bytes_per_s = _measure_during(
            nodes, functools.partial(_publish_at, site, changes_per_s)
        )
        applied = site.entry.dump()["feeds"]["records"]["revision"] - before
        rate = applied / _MEASURE_DURATION_S
        measurement.add("entry cpu per change", "core s", rate, usages[0])
        measurement.add("side cpu per change", "core s", rate, usages[1])
        measurement.add("traffic per change and process", "bytes", rate, traffic_bytes_per_s / 3)


def _measure_during(nodes: Sequence[Node], action: Callable[[], None]) -> tuple[list[float], float]:
    before = [cpu_seconds(node) for node in nodes]
    traffic_bytes = loopback_bytes()
    action()
    cpu_s = [cpu_seconds(node) - start for node, start in zip(nodes, before, strict=True)]
    return [seconds / _MEASURE_DURATION_S for seconds in cpu_s], (
        loopback_bytes() - traffic_bytes
    ) / _MEASURE_DURATION_S


def _publish_at(site: SmallSite, changes_per_s: int) -> None:
    steps = max(1, round(changes_per_s * _MEASURE_DURATION_S))
    for number in range(steps):
        if changes_per_s:
            changed = records.customer(f"c-{number}", f"key-{number}", ["chat"], weight=2.0)
            site.fleet.publish("records", [changed])
        wait(_MEASURE_DURATION_S / steps)


def create_records(count: int) -> list[Document]:
    """Create this number of customers and of endpoints."""
    customers = [
        records.customer(f"c-{number}", f"key-{number}", ["chat"]) for number in range(count)
    ]
    endpoints = [
        records.endpoint(f"far-{number}", "far", 1, data_centre=f"dc-{number % 10}")
        for number in range(count)
    ]
    return customers + endpoints


def wait_for_revision(site: SmallSite, revision: int) -> None:
    """Wait until all processes of a site have applied a revision of the records."""

    def is_applied() -> bool:
        nodes = [*site.sides, *site.entries]
        return all(node.dump()["feeds"]["records"]["revision"] >= revision for node in nodes)

    wait_for(is_applied, "the revision in every process")


def to_json(slopes: Iterable[Slope]) -> str:
    """Serialize slopes with their points."""
    return json.dumps([asdict(slope) for slope in slopes], indent=1)


def from_json(text: str) -> dict[str, Slope]:
    """Deserialize slopes by name."""
    return {
        document["name"]: Slope(
            document["name"],
            document["unit"],
            tuple(Point(**point) for point in document["points"]),
        )
        for document in json.loads(text)
    }
