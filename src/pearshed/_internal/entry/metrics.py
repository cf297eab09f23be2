"""Metrics of an entry."""

from collections.abc import Iterable, Sequence

from pearshed._internal.entry.admission import EntryAdmission
from pearshed._internal.entry.dispatcher import Dispatcher
from pearshed._internal.entry.health import EndpointHealth
from pearshed._internal.entry.http_server import ReadTimeoutMonitor
from pearshed._internal.entry.link import SideLink
from pearshed._internal.entry.request_log import RequestLog
from pearshed._internal.entry.retry_budget import RetryBudget
from pearshed._internal.telemetry.metrics import (
    HistogramMetric,
    Metric,
    Sample,
    counter,
    gauge,
)


class EntryMetrics:
    """Exports the metrics of an entry; docs/OPERATIONS.md describes each of them."""

    def __init__(
        self,
        request_log: RequestLog,
        admission: EntryAdmission,
        dispatcher: Dispatcher,
        budget: RetryBudget,
        health: EndpointHealth,
    ) -> None:
        self._request_log = request_log
        self._admission = admission
        self._dispatcher = dispatcher
        self._budget = budget
        self._health = health

    def collect(
        self, links: Sequence[SideLink], read_monitor: ReadTimeoutMonitor
    ) -> Iterable[Metric | HistogramMetric]:
        """Yield the metrics with their current values."""
        yield from self._requests()
        yield from self._latencies()
        yield gauge("pearshed_requests_in_flight", "Requests held", self._admission.in_flight)
        yield counter(
            "pearshed_reads_ended_total", "Requests read too slowly", read_monitor.timed_out
        )
        yield counter("pearshed_retries_total", "Second attempts made", self._budget.spent)
        yield counter(
            "pearshed_retries_denied_total",
            "Second attempts the budget denied",
            self._budget.denied,
        )
        yield counter(
            "pearshed_answers_wasted_total",
            "Runs whose answer nobody received",
            self._dispatcher.wasted_responses,
        )
        dropped = self._dispatcher.dropped_frames + sum(link.late_frames for link in links)
        yield counter("pearshed_frames_dropped_total", "Late or foreign frames", dropped)
        yield counter(
            "pearshed_peer_messages_total",
            "Messages received from sides",
            sum(link.received_messages for link in links),
        )
        yield counter(
            "pearshed_peer_frames_total",
            "Frames in those messages",
            sum(link.received_frames for link in links),
        )
        yield gauge(
            "pearshed_links_connected", "Sides connected", sum(link.connected for link in links)
        )
        yield gauge("pearshed_links", "Sides in the subset", len(links))
        yield gauge(
            "pearshed_endpoints_ejected", "Endpoints ejected", len(self._health.ejected_endpoints())
        )

    def _requests(self) -> Iterable[Metric]:
        yield Metric(
            "pearshed_answers_total",
            "Whole answers by class",
            _by_class(self._request_log.completed),
            counter=True,
        )
        yield Metric(
            "pearshed_first_part_on_time_total",
            "Requests whose first part came within the target",
            _by_class(self._request_log.on_time),
            counter=True,
        )
        failed = self._request_log.failed.items()
        yield Metric(
            "pearshed_failures_total",
            "Requests that failed, by class and code",
            tuple(
                Sample(value, {"class": name, "code": code.value}) for (name, code), value in failed
            ),
            counter=True,
        )

    def _latencies(self) -> Iterable[HistogramMetric]:
        histograms = self._request_log.first_event_latency.items()
        yield HistogramMetric(
            "pearshed_first_part_seconds",
            "Time to the first part of the answer",
            tuple(({"class": name}, histogram) for name, histogram in histograms),
        )


def _by_class(counts: dict[str, int]) -> tuple[Sample, ...]:
    return tuple(Sample(value, {"class": name}) for name, value in counts.items())
