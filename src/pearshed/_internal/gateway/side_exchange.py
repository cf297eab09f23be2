"""Exchanges records with other gateways, through sides of engines.

All gateways choose the same few sides by their hosts, which stay the same when engines restart.
A side merges what it gets and responds with all that it has. So each gateway learns of a record
within two exchanges, whoever made it, and a process that has restarted gets the records back.
"""

import abc
import collections
from collections.abc import Callable, Collection, Iterable, Sequence

from pearshed._internal.engine_side.messages import Message
from pearshed._internal.membership import rendezvous
from pearshed._internal.timers import clock

#: Interval at which new records of this gateway are reported, seconds.
REPORT_INTERVAL_S = 0.1
#: Interval between exchanges without any, seconds.
EXCHANGE_INTERVAL_S = 0.5
#: Sides with which records are exchanged; the others go on when one is lost.
EXCHANGE_SIDES = 2
#: Reports without a response after which another side is chosen.
MAX_UNANSWERED = 3
#: Time for which a side that doesn't respond is left out, seconds.
SIDE_SKIP_S = 5.0
#: Time for which the side of an engine that is gone is still used, seconds.
HOST_MEMORY_S = 60.0
#: Key by which all gateways choose the sides; those of older builds use it too.
_EXCHANGE_KEY = "crashes"


class ExchangedRecords(abc.ABC):
    """Records of one kind, which gateways exchange."""

    @abc.abstractmethod
    def take_news(self) -> bool:
        """Return whether this gateway has new records since the last call."""

    @abc.abstractmethod
    def report(self) -> Message | None:
        """Return what this gateway knows; ``None`` to report nothing."""


class SideExchange:
    """Reports records to the sides that merge them.

    :param send: sends a message to the side at a host.
    """

    def __init__(self, send: Callable[[Message, str], None]) -> None:
        self._send = send
        self._parts: list[ExchangedRecords] = []
        self._hosts: dict[str, float] = {}
        self._unanswered: collections.Counter[str] = collections.Counter()
        self._skipped_until: dict[str, float] = {}
        self._next_exchange_at = float("-inf")

    def add(self, records: ExchangedRecords) -> None:
        """Exchange records of one more kind."""
        self._parts.append(records)

    def add_hosts(self, hosts: Iterable[str]) -> None:
        """Add the hosts of sides of engines that are listed now."""
        self._hosts.update(dict.fromkeys(hosts, clock.now()))

    def record_response(self, host: str) -> None:
        """Record that the side at a host has responded to a report."""
        self._unanswered.pop(host, None)

    @property
    def hosts(self) -> Collection[str]:
        """Hosts of the known sides."""
        return self._hosts.keys()

    def ranked_hosts(self, key: str) -> Sequence[str]:
        """Return the hosts of sides, in the order in which all gateways choose them for a key."""
        return sorted(self._hosts, key=lambda host: rendezvous.score(key, host))

    def exchange(self, hosts: Iterable[str]) -> None:
        """Report to the chosen sides if it is time, or if there is something new.

        The responses bring what others know. Called every ``REPORT_INTERVAL_S``.

        :param hosts: of the sides of engines that are listed now.
        """
        now = clock.now()
        is_due = now >= self._next_exchange_at
        reported = [records for records in self._parts if records.take_news() or is_due]
        if not reported:
            return
        self.add_hosts(hosts)
        expired = [host for host, seen_at in self._hosts.items() if now - seen_at > HOST_MEMORY_S]
        for host in expired:
            del self._hosts[host]
        self._report(reported, is_due)
        if is_due:
            self._next_exchange_at = now + EXCHANGE_INTERVAL_S

    def _report(self, parts: Sequence[ExchangedRecords], expects_response: bool) -> None:
        """Send records to the chosen sides.

        :param expects_response: count the report as unanswered until a response arrives. Reports
            in quick succession are not counted, since responses take some time.
        """
        now = clock.now()
        reported = (records.report() for records in parts)
        reports = [report for report in reported if report is not None]
        ranked = self.ranked_hosts(_EXCHANGE_KEY)
        usable = [host for host in ranked if now >= self._skipped_until.get(host, 0.0)]
        for host in usable[:EXCHANGE_SIDES]:
            self._unanswered[host] += expects_response
            if self._unanswered[host] > MAX_UNANSWERED:
                del self._unanswered[host]
                self._skipped_until[host] = now + SIDE_SKIP_S
            for report in reports:
                self._send(report, host)
