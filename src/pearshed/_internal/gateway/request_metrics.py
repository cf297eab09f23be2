"""Request metrics of a gateway."""

from collections import Counter
from collections.abc import Iterable

from aioprometheus.histogram import Histogram

from pearshed._internal.gateway.routed_call import AttemptOutcome, RoutedCall
from pearshed._internal.http.messages import BodyFraming
from pearshed._internal.telemetry.bounded_labels import BoundedLabels
from pearshed._internal.telemetry.histogram import latency_histogram
from pearshed._internal.telemetry.metrics import HistogramMetric, Metric, Sample
from pearshed._internal.timers import clock

#: Reasons of refusals that are counted apart; some state what an endpoint sent.
_MAX_REASONS = 64


class RequestMetrics:
    """Counts responses, refusals and attempts, and records latencies."""

    def __init__(self) -> None:
        self._responses: Counter[tuple[str, int]] = Counter()
        self._on_time: Counter[str] = Counter()
        self._refusals: Counter[tuple[int, str]] = Counter()
        self._reasons = BoundedLabels(_MAX_REASONS)
        self._attempts: Counter[str] = Counter()
        self._framings: Counter[tuple[str, str]] = Counter()
        self._response_start: dict[str, Histogram] = {}
        self._admission_wait: Histogram = latency_histogram()
        self._gaps: Histogram = latency_histogram()
        self._cancelled = 0
        self._waits: dict[int, Histogram] = {}
        self._reservations: Counter[int] = Counter()
        self._slot_waits: dict[int, Histogram] = {}

    def record_response_start(self, call: RoutedCall) -> None:
        """Record the time until the start of a response."""
        elapsed_s = clock.now() - call.request.received_at
        self._response_start.setdefault(call.route.name, latency_histogram()).observe(elapsed_s)
        if elapsed_s * clock.MILLISECONDS_PER_SECOND <= call.route.target_ms:
            self._on_time[call.route.name] += 1

    def record_gap(self, seconds: float) -> None:
        """Record the gap before a chunk of a stream."""
        self._gaps.observe(seconds)

    def record_response(self, call: RoutedCall, status: int) -> None:
        """Count a complete response of an endpoint."""
        self._responses[(call.route.name, status)] += 1

    def record_refusal(self, status: int, reason: str) -> None:
        """Count a refusal by the gateway."""
        self._refusals[(status, self._reasons.label(reason))] += 1

    def record_attempt(self, outcome: AttemptOutcome, framing: BodyFraming | None) -> None:
        """Count an attempt by its outcome.

        :param framing: of the endpoint's response; ``None`` without a response.
        """
        self._attempts[type(outcome).__name__] += 1
        if framing is not None:
            self._framings[(framing.value, type(outcome).__name__)] += 1

    def record_admission_wait(self, seconds: float) -> None:
        """Record the time that a request waited for admission."""
        self._admission_wait.observe(seconds)

    def record_wait(self, rank: int, seconds: float, reservations: int) -> None:
        """Record a wait of a competing caller's request at engines.

        :param reservations: number of engines that were asked.
        """
        self._waits.setdefault(rank, latency_histogram()).observe(seconds)
        self._reservations[reservations] += 1

    def record_slot_wait(self, rank: int, seconds: float) -> None:
        """Record a wait of a plain request for a slot of an endpoint."""
        self._slot_waits.setdefault(rank, latency_histogram()).observe(seconds)

    def record_cancelled(self) -> None:
        """Count a request that was cancelled while it was being served."""
        self._cancelled += 1

    def collect(self) -> Iterable[Metric | HistogramMetric]:
        """Return the metrics with their current values."""
        yield _counter(
            "pearshed_gateway_answers_total",
            "Whole answers of endpoints by route and status",
            (
                Sample(count, {"route": route, "status": str(status)})
                for (route, status), count in self._responses.items()
            ),
        )
        yield _counter(
            "pearshed_gateway_on_time_total",
            "Answers whose first part came within the route's target",
            (Sample(count, {"route": route}) for route, count in self._on_time.items()),
        )
        yield _counter(
            "pearshed_gateway_refusals_total",
            "Answers of the gateway's own by status and reason",
            (
                Sample(count, {"status": str(status), "reason": reason})
                for (status, reason), count in self._refusals.items()
            ),
        )
        yield _counter(
            "pearshed_gateway_attempts_total",
            "Attempts by how they ended",
            (Sample(count, {"outcome": outcome}) for outcome, count in self._attempts.items()),
        )
        yield _counter(
            "pearshed_gateway_response_framing_total",
            "Responses of endpoints by what marks the end of the body, and how the attempt ended",
            (
                Sample(count, {"framing": framing, "outcome": outcome})
                for (framing, outcome), count in self._framings.items()
            ),
        )
        yield _counter(
            "pearshed_gateway_wasted_total",
            "Requests that were worked on when their callers left",
            (Sample(self._cancelled),),
        )
        yield HistogramMetric(
            "pearshed_gateway_first_part_seconds",
            "Time to the first part",
            tuple(({"route": route}, values) for route, values in self._response_start.items()),
        )
        yield HistogramMetric(
            "pearshed_gateway_admission_seconds",
            "Wait for admission",
            (({}, self._admission_wait),),
        )
        yield HistogramMetric(
            "pearshed_gateway_wait_seconds",
            "Wait for an engine of requests that compete, by rank",
            tuple(({"rank": str(rank)}, values) for rank, values in self._waits.items()),
        )
        yield HistogramMetric(
            "pearshed_gateway_slot_wait_seconds",
            "Wait of plain requests for a slot of an endpoint, by rank",
            tuple(({"rank": str(rank)}, values) for rank, values in self._slot_waits.items()),
        )
        yield _counter(
            "pearshed_gateway_reservations_total",
            "Waits of requests that compete, by the number of engines that were asked",
            (Sample(count, {"engines": str(asked)}) for asked, count in self._reservations.items()),
        )
        yield HistogramMetric(
            "pearshed_gateway_gap_seconds", "Pauses between events", (({}, self._gaps),)
        )


def _counter(name: str, help_text: str, samples: Iterable[Sample]) -> Metric:
    return Metric(name, help_text, tuple(samples), counter=True)
