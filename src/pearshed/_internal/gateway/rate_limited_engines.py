"""Knows which engines have named a limit on the requests that they take."""

from collections import Counter
from collections.abc import Iterable

from absl import logging

from pearshed._internal.engine_side.crash_records import run_id
from pearshed._internal.engine_side.rate_limits import RateLimitTable
from pearshed._internal.models.routing import EndpointEntry
from pearshed._internal.telemetry.metrics import Metric, Sample, gauge


class RateLimitedEngines:
    """Records the limits that engines name in their responses."""

    def __init__(self) -> None:
        self._table = RateLimitTable()
        self._sent: Counter[str] = Counter()

    def per_s(self, entry: EndpointEntry) -> float | None:
        """Return the requests per second that an engine takes; ``None`` without a limit."""
        return self._table.per_s(run_id(entry))

    def record_response(self, entry: EndpointEntry, per_s: float | None) -> None:
        """Record what an engine has said in a response.

        :param per_s: requests per second; ``None`` if the response names no limit.
        """
        before = self.per_s(entry)
        self._table.record(run_id(entry), per_s)
        if per_s != before:
            logging.info(
                "engine.rate_limit",
                extra={
                    "fields": {
                        "endpoint": entry.identity,
                        "address": str(entry.address),
                        "per_s": per_s,
                        "before": before,
                    }
                },
            )

    def record_send(self, entry: EndpointEntry) -> None:
        """Count a request that is sent to an engine, if the engine has a limit."""
        if self.per_s(entry) is not None:
            self._sent[entry.identity] += 1

    def collect(self) -> Iterable[Metric]:
        """Report the metrics."""
        yield gauge(
            "pearshed_gateway_rate_limits",
            "Engines that have named a limit on the requests that they take",
            sum(limit.per_s is not None for limit in self._table.limits),
        )
        yield Metric(
            "pearshed_gateway_sent_to_limited_total",
            "Requests sent to an engine while it had a limit, of which this gateway knew",
            tuple(Sample(count, {"endpoint": identity}) for identity, count in self._sent.items()),
            counter=True,
        )
