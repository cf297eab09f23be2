"""HTTP pages for operators of the side of an engine."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import orjson
from aioprometheus.histogram import Histogram

from pearshed._internal.engine_side.admission_queue import AdmissionQueue
from pearshed._internal.engine_side.place_queue import PlaceKeeper
from pearshed._internal.http.page_server import page_name
from pearshed._internal.telemetry.histogram import latency_histogram
from pearshed._internal.telemetry.log_stream import BoundedLogStream
from pearshed._internal.telemetry.metrics import (
    Collect,
    Metric,
    MetricsPage,
    Sample,
    counter,
    gauge,
)


class SidePages:
    """Health, metrics and dump pages of the side of an engine.

    :param dump: returns the state of the process.
    """

    def __init__(
        self,
        queue: AdmissionQueue,
        places: PlaceKeeper,
        log_stream: BoundedLogStream,
        dump: Callable[[], Mapping[str, Any]],
    ) -> None:
        self._queue = queue
        self._places = places
        self._log_stream = log_stream
        self._dump = dump
        self._decisions: Counter[tuple[str, int]] = Counter()
        self._place_decisions: Counter[tuple[str, int]] = Counter()
        self._refusals: Counter[tuple[str, int]] = Counter()
        self._wait_histogram = latency_histogram()
        self._waits_by_rank: defaultdict[int, Histogram] = defaultdict(latency_histogram)
        self._metrics = MetricsPage()
        self._metrics.add(self._collect)

    def add_metrics(self, collect: Collect) -> None:
        """Add metrics of another component."""
        self._metrics.add(collect)

    def record_granted(self, rank: int, waited_s: float) -> None:
        """Count an admitted request and its wait."""
        self._decisions[("granted", rank)] += 1
        self._wait_histogram.observe(waited_s)
        self._waits_by_rank[rank].observe(waited_s)

    def record_refused(self, rank: int, reason: str) -> None:
        """Count a refused request."""
        self._decisions[("refused", rank)] += 1
        self._refusals[(reason, rank)] += 1

    def record_place(self, decision: str, rank: int) -> None:
        """Count a decision on a place at an engine with a limit."""
        self._place_decisions[(decision, rank)] += 1

    def page(self, target: str) -> tuple[int, bytes]:
        """Return a page.

        :param target: target of the HTTP request.
        :returns: status and content.
        """
        name = page_name(target)
        if name == "dump":
            return 200, orjson.dumps(self._dump(), option=orjson.OPT_INDENT_2)
        if name == "metrics":
            return 200, self._metrics.render("text/plain")[0]
        if name in ("healthz", "readyz"):
            return 200, b"ok\n"
        return 404, b"pages: readyz healthz metrics dump\n"

    def _collect(self) -> Iterable[Metric]:
        yield Metric(
            "pearshed_side_decisions_total",
            "Reservations by decision and rank",
            tuple(
                Sample(count, {"decision": decision, "rank": str(rank)})
                for (decision, rank), count in self._decisions.items()
            ),
            counter=True,
        )
        yield Metric(
            "pearshed_side_places_total",
            "Places at engines with a limit by decision and rank",
            tuple(
                Sample(count, {"decision": decision, "rank": str(rank)})
                for (decision, rank), count in self._place_decisions.items()
            ),
            counter=True,
        )
        yield gauge(
            "pearshed_side_places_waiting",
            "Requests that wait for a place",
            self._places.waiting_count,
        )
        yield Metric(
            "pearshed_side_wait_seconds_bucket",
            "Admitted requests by their wait, cumulative",
            tuple(
                Sample(count, {"le": str(bound)})
                for bound, count in self._wait_histogram.buckets.items()
            ),
            counter=True,
        )
        yield Metric(
            "pearshed_side_rank_wait_seconds_bucket",
            "Admitted requests by their rank and wait, cumulative",
            tuple(
                Sample(count, {"rank": str(rank), "le": str(bound)})
                for rank, histogram in self._waits_by_rank.items()
                for bound, count in histogram.buckets.items()
            ),
            counter=True,
        )
        yield Metric(
            "pearshed_side_refusals_total",
            "Refused reservations by reason and rank",
            tuple(
                Sample(count, {"reason": reason, "rank": str(rank)})
                for (reason, rank), count in self._refusals.items()
            ),
            counter=True,
        )
        yield Metric(
            "pearshed_side_waiting_by_rank",
            "Reservations that wait by rank",
            tuple(
                Sample(count, {"rank": str(rank)})
                for rank, count in self._queue.waiting_by_rank.items()
            ),
        )
        yield gauge(
            "pearshed_side_waiting_customers",
            "Customers with a request that waits",
            self._queue.waiting_customer_count,
        )
        yield gauge(
            "pearshed_side_sustained_tokens_per_second",
            "Sustained prefill speed of the engine",
            self._queue.capacity.tokens_per_s,
        )
        yield gauge(
            "pearshed_side_late_grant_share",
            "Share of late requests in the grants of requests with terms",
            self._queue.late_share,
        )
        yield gauge("pearshed_side_waiting", "Reservations that wait", self._queue.waiting_count)
        yield gauge(
            "pearshed_side_admitted", "Requests that the engine has", self._queue.granted_count
        )
        yield gauge(
            "pearshed_side_unread_tokens",
            "Tokens that the engine has got and not read",
            self._queue.pending_prefill_tokens,
        )
        yield gauge(
            "pearshed_side_tokens_per_second",
            "Measured speed of the engine's reading",
            self._queue.tokens_per_s,
        )
        yield gauge(
            "pearshed_side_pace_share",
            "Part of the time in which prompts may be read beside streams with short pauses",
            self._queue.prefill_share,
        )
        yield counter(
            "pearshed_side_log_lines_dropped_total",
            "Log lines dropped since the reader was slow",
            self._log_stream.dropped,
        )
