"""Counters and logs of the requests of an entry."""

import threading
from collections import Counter

from absl import logging
from aioprometheus.histogram import Histogram

from pearshed._internal.models.outcomes import FailureCode, RequestFailure
from pearshed._internal.models.requests import RoutedRequest
from pearshed._internal.telemetry.histogram import latency_histogram
from pearshed._internal.timers import clock


class RequestLog:
    """Counts responses, failures and latencies by class, and logs failures.

    A lock guards the counters, which are updated from several threads.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._completed: Counter[str] = Counter()
        self._on_time: Counter[str] = Counter()
        self._failed: Counter[tuple[str, FailureCode]] = Counter()
        self._first_event_latency: dict[str, Histogram] = {}

    @property
    def completed(self) -> dict[str, int]:
        """Complete responses by class."""
        return dict(self._completed)

    @property
    def on_time(self) -> dict[str, int]:
        """Requests by class whose first event arrived within the class's target."""
        return dict(self._on_time)

    @property
    def failed(self) -> dict[tuple[str, FailureCode], int]:
        """Failures by class and code."""
        return dict(self._failed)

    @property
    def first_event_latency(self) -> dict[str, Histogram]:
        """Time to the first event of a response, by class."""
        return dict(self._first_event_latency)

    def record_first_event(self, request: RoutedRequest, seconds: float) -> None:
        """Record the time to the first event of a response: its head or a failure."""
        name = request.request_class.name
        target_s = request.request_class.first_token_ms / clock.MILLISECONDS_PER_SECOND
        with self._lock:
            self._first_event_latency.setdefault(name, latency_histogram()).observe(seconds)
            if seconds <= target_s:
                self._on_time[name] += 1

    def record_complete(self, request: RoutedRequest, seconds: float) -> None:
        """Record a complete response."""
        with self._lock:
            self._completed[request.request_class.name] += 1
        logging.debug("request %s completed in %.3f s", request.request_id, seconds)

    def record_refusal(self, request: RoutedRequest, failure: RequestFailure) -> None:
        """Record a request that was not admitted."""
        with self._lock:
            self._failed[(request.request_class.name, failure.code)] += 1

    def record_failure(self, request: RoutedRequest, failure: RequestFailure) -> None:
        """Record and log a request that failed after admission."""
        self.record_refusal(request, failure)
        fields = {
            "request_id": request.request_id,
            "customer": request.customer.name,
            "class": request.request_class.name,
            "code": failure.code.value,
            "execution": failure.execution.value,
        }
        logging.info("request failed: %s", failure.message, extra={"fields": fields})
