"""What an entry counts and logs about each request."""

import threading
from collections import Counter

from absl import logging
from aioprometheus.histogram import Histogram

from pearshed._internal.models.outcomes import FailureCode, RequestFailure
from pearshed._internal.models.requests import RoutedRequest
from pearshed._internal.telemetry.histogram import latency_histogram
from pearshed._internal.timers import clock


class RequestLog:
    """Counts answers, failures and latencies by class, and logs each failure.

    Callers' threads write to it, so a lock guards it.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._answered: Counter[str] = Counter()
        self._on_time: Counter[str] = Counter()
        self._failed: Counter[tuple[str, FailureCode]] = Counter()
        self._first: dict[str, Histogram] = {}

    @property
    def answered(self) -> dict[str, int]:
        """Whole answers by class."""
        return dict(self._answered)

    @property
    def on_time(self) -> dict[str, int]:
        """Answers by class whose first part came within the class's target."""
        return dict(self._on_time)

    @property
    def failed(self) -> dict[tuple[str, FailureCode], int]:
        """Failures by class and code."""
        return dict(self._failed)

    @property
    def first_part(self) -> dict[str, Histogram]:
        """Time to the first part of the answer by class."""
        return dict(self._first)

    def note_first(self, request: RoutedRequest, seconds: float) -> None:
        """Note the time to the first part of an answer."""
        name = request.request_class.name
        target_s = request.request_class.first_token_ms / clock.MILLISECONDS_PER_SECOND
        with self._lock:
            self._first.setdefault(name, latency_histogram()).observe(seconds)
            if seconds <= target_s:
                self._on_time[name] += 1

    def note_answered(self, request: RoutedRequest, seconds: float) -> None:
        """Note a whole answer."""
        with self._lock:
            self._answered[request.request_class.name] += 1
        logging.debug("request %s answered in %.3f s", request.request_id, seconds)

    def note_refused(self, request: RoutedRequest, failure: RequestFailure) -> None:
        """Note a request that was refused on arrival."""
        with self._lock:
            self._failed[(request.request_class.name, failure.code)] += 1

    def note_failed(self, request: RoutedRequest, failure: RequestFailure) -> None:
        """Note a request that failed after it was admitted."""
        self.note_refused(request, failure)
        fields = {
            "request_id": request.request_id,
            "customer": request.customer.name,
            "class": request.request_class.name,
            "code": failure.code.value,
            "execution": failure.execution.value,
        }
        logging.info("request failed: %s", failure.message, extra={"fields": fields})
