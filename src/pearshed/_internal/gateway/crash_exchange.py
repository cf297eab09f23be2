"""Exchanges records of engine crashes with other gateways, through sides of engines.

All gateways choose the same few sides by their hosts, which stay the same when engines restart. A
side merges what it gets and responds with all that it has. So each gateway learns of a crash within
two exchanges, whoever saw it, and a process that has restarted gets the records back.
"""

import collections
from collections.abc import Callable, Iterable, Mapping

from absl import logging

from pearshed._internal.engine_side.crash_records import CrashTable, run_id
from pearshed._internal.engine_side.messages import CrashReport
from pearshed._internal.gateway.prompt_quarantine import Assessment, BlockedPart, assess
from pearshed._internal.gateway.routed_call import RoutedCall
from pearshed._internal.membership import rendezvous
from pearshed._internal.models.routing import EndpointEntry
from pearshed._internal.telemetry.metrics import Metric, counter, gauge
from pearshed._internal.timers import clock

#: Interval at which a crash that this gateway has seen is reported, seconds.
REPORT_INTERVAL_S = 0.1
#: Interval between exchanges without one, seconds.
EXCHANGE_INTERVAL_S = 0.5
#: Sides with which records are exchanged; the others go on when one is lost.
EXCHANGE_SIDES = 2
#: Reports without a response after which another side is chosen.
MAX_UNANSWERED = 3
#: Time for which a side that doesn't respond is left out, seconds.
SIDE_SKIP_S = 5.0
#: Time for which the side of an engine that is gone is still used, seconds.
HOST_MEMORY_S = 60.0


class CrashExchange:
    """Records what this gateway sees of crashes, and blocks the prompt parts that cause them.

    :param send: sends a report to the side at a host.
    """

    def __init__(self, send: Callable[[CrashReport, str], None]) -> None:
        self._send = send
        self._table = CrashTable()
        self._assessment = Assessment()
        self._hosts: dict[str, float] = {}
        self._unanswered: collections.Counter[str] = collections.Counter()
        self._skipped_until: dict[str, float] = {}
        self._suspect_count = 0
        self._unreported = False
        self._next_exchange_at = float("-inf")
        self._assessed_changes = 0

    @property
    def blocked_parts(self) -> Mapping[str, BlockedPart]:
        """The blocked parts by id."""
        return self._assessment.blocked

    def blocked_s(self, call: RoutedCall) -> float:
        """Return for how long a request remains blocked, seconds; 0 if it isn't."""
        blocked = self._assessment.blocked
        if not blocked:
            return 0.0
        until = max(
            (blocked[part].blocked_until for part in call.shared_parts if part in blocked),
            default=0.0,
        )
        return max(0.0, until - clock.now())

    def may_retry(self, call: RoutedCall) -> bool:
        """Return whether a request that an engine didn't finish may be sent to another one."""
        return self._assessment.not_retried.isdisjoint(call.shared_parts)

    def record_crash(self, entry: EndpointEntry, call: RoutedCall) -> None:
        """Record that an engine ended its connection while it processed a request."""
        if not call.shared_parts:
            return
        self._suspect_count += 1
        self._table.record_crash(run_id(entry), (call.shared_parts,))
        logging.info(
            "engine.crash_suspected",
            extra={
                "fields": {
                    "endpoint": entry.identity,
                    "request": call.request_id,
                    "parts": ",".join(call.shared_parts),
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
        self._table.record_success(call.shared_parts)

    def merge(self, host: str, report: CrashReport) -> None:
        """Merge the records of a side."""
        self._unanswered.pop(host, None)
        self._table.merge(report.records, report.successes)
        if self._table.changes != self._assessed_changes:
            self._update()

    def exchange(self, hosts: Iterable[str]) -> None:
        """Report to the chosen sides if it is time, or if there is something new.

        The responses bring what others have seen. Called every ``REPORT_INTERVAL_S``.

        :param hosts: of the sides of engines that are listed now.
        """
        now = clock.now()
        is_due = now >= self._next_exchange_at
        if not is_due and not self._unreported:
            return
        self._unreported = False
        self._hosts.update(dict.fromkeys(hosts, now))
        expired = [host for host, seen_at in self._hosts.items() if now - seen_at > HOST_MEMORY_S]
        for host in expired:
            del self._hosts[host]
        self._report(is_due)
        if is_due:
            self._next_exchange_at = now + EXCHANGE_INTERVAL_S
            self._update()

    def collect(self) -> Iterable[Metric]:
        """Report the metrics."""
        yield gauge(
            "pearshed_gateway_blocked_parts",
            "Prompt parts that no engine gets since they crash engines",
            len(self._assessment.blocked),
        )
        yield counter(
            "pearshed_gateway_crash_suspects_total",
            "Requests with a prompt during which their engine ended the connection",
            self._suspect_count,
        )

    def _report(self, expects_response: bool) -> None:
        """Send what is known to the chosen sides.

        :param expects_response: count the report as unanswered until a response arrives. Reports
            in quick succession are not counted, since responses take some time.
        """
        records = self._table.records
        report = CrashReport("", records, self._table.suspect_successes(records))
        now = clock.now()
        ranked = sorted(self._hosts, key=lambda host: rendezvous.score("crashes", host))
        usable = [host for host in ranked if now >= self._skipped_until.get(host, 0.0)]
        for host in usable[:EXCHANGE_SIDES]:
            self._unanswered[host] += expects_response
            if self._unanswered[host] > MAX_UNANSWERED:
                del self._unanswered[host]
                self._skipped_until[host] = now + SIDE_SKIP_S
            self._send(report, host)

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
