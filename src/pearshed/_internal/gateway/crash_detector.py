"""Records crashes of engines, and blocks the prompt parts and requests that cause them."""

from collections.abc import Iterable, Mapping

from absl import logging

from pearshed._internal.engine_side.crash_records import CrashTable
from pearshed._internal.engine_side.messages import CrashReport
from pearshed._internal.gateway.crash_blame import Assessment, BlockedPart, assess
from pearshed._internal.gateway.routed_call import RoutedCall
from pearshed._internal.gateway.side_exchange import ExchangedRecords
from pearshed._internal.models.routing import EndpointEntry, run_id
from pearshed._internal.telemetry.metrics import Metric, counter, gauge
from pearshed._internal.timers import clock


class CrashDetector(ExchangedRecords):
    """Records what all gateways see of crashes, and blocks what causes them.

    A request that comes again is a suspect by its content; for requests with a prompt, the shared
    parts of the prompt are suspects too.
    """

    def __init__(self) -> None:
        self._table = CrashTable()
        self._assessment = Assessment()
        self._suspect_count = 0
        self._unreported = False
        self._assessed_changes = 0

    @property
    def blocked_parts(self) -> Mapping[str, BlockedPart]:
        """The blocked prompt parts and contents of requests, by id."""
        return self._assessment.blocked

    def blocked_s(self, call: RoutedCall) -> float:
        """Return for how long a request remains blocked, seconds; 0 if it isn't."""
        blocked = self._assessment.blocked
        if not blocked:
            return 0.0
        until = max(
            (blocked[part].blocked_until for part in call.crash_suspects if part in blocked),
            default=0.0,
        )
        return max(0.0, until - clock.now())

    def may_retry(self, call: RoutedCall) -> bool:
        """Return whether a request that an engine didn't finish may be sent to another one."""
        not_retried = self._assessment.not_retried
        return not not_retried or not_retried.isdisjoint(call.crash_suspects)

    def record_crash(self, entry: EndpointEntry, call: RoutedCall) -> None:
        """Record that an engine ended its connection while it processed a request."""
        self._suspect_count += 1
        suspects = call.crash_suspects
        self._table.record_crash(run_id(entry), (suspects,))
        logging.info(
            "engine.crash_suspected",
            extra={
                "fields": {
                    "endpoint": entry.identity,
                    "request": call.request_id,
                    "parts": ",".join(suspects),
                }
            },
        )
        self._update()
        self._unreported = True

    def record_response(self, entry: EndpointEntry, requested_at: float) -> None:
        """Record that an engine has begun to respond.

        :param requested_at: clock reading when the request was sent, seconds.
        """
        if self._table.refute(run_id(entry), requested_at):
            self._update()

    def record_success(self, call: RoutedCall) -> None:
        """Record that an engine has responded completely."""
        self._table.record_success(call.crash_suspects)

    def merge(self, report: CrashReport) -> None:
        """Merge the records of a side."""
        self._table.merge(report.records, report.successes)

    def refresh(self) -> None:
        """Assess again if other processes have reported something new."""
        if self._table.changes != self._assessed_changes:
            self._update()

    def take_news(self) -> bool:
        """Return whether this gateway has seen a crash since the last call."""
        has_news, self._unreported = self._unreported, False
        return has_news

    def report(self) -> CrashReport:
        """Return the known crashes, after dropping what has expired."""
        self._update()
        records = self._table.records
        return CrashReport("", records, self._table.suspect_successes(records))

    def collect(self) -> Iterable[Metric]:
        """Report the metrics."""
        yield gauge(
            "pearshed_gateway_blocked_parts",
            "Prompt parts and requests that no engine gets since they crash engines",
            len(self._assessment.blocked),
        )
        yield counter(
            "pearshed_gateway_crash_suspects_total",
            "Requests during which their engine ended the connection",
            self._suspect_count,
        )

    def _update(self) -> None:
        before = self._assessment.blocked
        self._assessed_changes = self._table.changes
        records = self._table.records
        self._assessment = assess(records, self._table.successes, clock.now())
        blocked = self._assessment.blocked
        for part in blocked.keys() - before.keys():
            _log("prompt.blocked", part, crashes=blocked[part].crashes)
        for part in before.keys() - blocked.keys():
            _log("prompt.unblocked", part, crashes=before[part].crashes)


def _log(event: str, part: str, **fields: object) -> None:
    logging.info(event, extra={"fields": {"part": part, **fields}})
