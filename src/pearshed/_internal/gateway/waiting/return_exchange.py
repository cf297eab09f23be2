"""Recognizes callers that come back after a refusal, also one by another gateway."""

from collections.abc import Callable, Iterable

from pearshed._internal.decisions.returns import ReturnTable
from pearshed._internal.engine_side.messages import Message, ReturnReport
from pearshed._internal.gateway.routed_call import RoutedCall
from pearshed._internal.gateway.side_exchange import ExchangedRecords
from pearshed._internal.telemetry.metrics import Metric, Sample, gauge


class ReturnExchange(ExchangedRecords):
    """Refused requests of competing callers, which gateways exchange.

    :param is_active: returns whether callers compete for any service.
    """

    def __init__(self, is_active: Callable[[], bool]) -> None:
        self._is_active = is_active
        self._table = ReturnTable()
        self._kept = 0

    def record_refusal(self, call: RoutedCall, retry_after_s: float) -> None:
        """Record a refusal.

        :param retry_after_s: time given to the caller, seconds.
        """
        self._table.record_refusal(call.content_id, call.rank, retry_after_s)

    def take_return(self, call: RoutedCall) -> bool:
        """Return whether a request that has arrived comes back at the time given."""
        if not self._table.count:
            return False
        returned = self._table.take_return(call.content_id)
        self._kept += returned
        return returned

    def merge(self, report: ReturnReport) -> None:
        """Merge what a side knows."""
        self._table.merge(report.records)

    def take_news(self) -> bool:
        """Return whether there are refusals or returns that haven't been reported."""
        return self._table.has_news

    def report(self) -> Message | None:
        """Return what is new at this gateway; ``None`` if no callers compete."""
        if not self._is_active():
            return None
        return ReturnReport("", tuple(self._table.take_news()))

    def collect(self) -> Iterable[Metric]:
        """Report the metrics."""
        yield gauge(
            "pearshed_gateway_refused_callers",
            "Refused requests that are remembered until their callers come back",
            self._table.count,
        )
        yield Metric(
            "pearshed_gateway_returns_kept_total",
            "Requests that came back at the time given and go before new ones of their kind",
            (Sample(self._kept),),
            counter=True,
        )
