"""Spreads records among gateways: each tells one other in turn what it knows, and is told back.

A gateway that starts begins with those that its settings or sides name.
"""

import random
from collections import Counter
from collections.abc import Callable, Collection, Iterable

from absl import logging

from pearshed._internal.gateway.exchange.members import Members
from pearshed._internal.gateway.exchange.messages import ExchangeMessage, News
from pearshed._internal.gateway.exchange.records import SharedRecords
from pearshed._internal.telemetry.metrics import Metric, Sample, gauge
from pearshed._internal.timers import clock

#: Interval between messages, seconds.
INTERVAL_S = 1.0
#: The same in the first seconds after the start.
STARTING_INTERVAL_S = 0.25
_STARTING_S = 4.0
#: Records of each kind in one message, and in those of and to a gateway that has just started.
MAX_RECORDS = 28
MAX_RECORDS_AT_START = 160


class Gossip:
    """Sends and merges records of all kinds.

    :param send: sends a message to the gateway at a host.
    :param other_hosts: returns hosts of other gateways that are known otherwise.
    """

    def __init__(
        self,
        members: Members,
        send: Callable[[ExchangeMessage, str], None],
        other_hosts: Callable[[], Collection[str]],
        rng: random.Random,
    ) -> None:
        self._members = members
        self._send = send
        self._other_hosts = other_hosts
        self._rng = rng
        self._records: dict[str, SharedRecords] = {}
        self._started_at = clock.now()
        self._next_at = float("-inf")
        self._counts: Counter[str] = Counter()
        self.add(members)

    def add(self, records: SharedRecords) -> None:
        """Spread records of one more kind."""
        self._records[records.kind] = records

    def run_if_due(self) -> None:
        """Send to one gateway if it is time. Called every ``STARTING_INTERVAL_S``."""
        now = clock.now()
        if now < self._next_at:
            return
        self._next_at = now + (STARTING_INTERVAL_S if self._is_starting else INTERVAL_S)
        for records in self._records.values():
            records.drop_expired()
        hosts = sorted({*self._members.hosts, *self._other_hosts()})
        if hosts:
            self._send_news(self._rng.choice(hosts), asks=True, all_that_fits=self._is_starting)

    def receive(self, news: News, host: str) -> None:
        """Merge what another gateway knows, and respond if it asks."""
        self._counts["received"] += 1
        self._members.record_received(host)
        for kind, rows in news.rows.items():
            records = self._records.get(kind)
            if records is None:
                # A kind of a later build.
                continue
            try:
                records.merge(host, rows)
            except (TypeError, ValueError) as error:
                fields = {"host": host, "kind": kind, "reason": str(error)}
                logging.info("gossip.malformed", extra={"fields": fields})
        if news.asks:
            self._send_news(host, asks=False, all_that_fits=news.is_starting)

    def collect(self) -> Iterable[Metric]:
        """Report the metrics."""
        yield gauge(
            "pearshed_gateway_gateways_known",
            "Gateways known, this one included, also some that have ended",
            self._members.count,
        )
        yield Metric(
            "pearshed_gateway_gossip_total",
            "Messages about what gateways know, by direction",
            tuple(Sample(count, {"direction": name}) for name, count in self._counts.items()),
            counter=True,
        )

    @property
    def _is_starting(self) -> bool:
        return clock.now() - self._started_at < _STARTING_S

    def _send_news(self, host: str, *, asks: bool, all_that_fits: bool) -> None:
        self._counts["sent"] += 1
        most = MAX_RECORDS_AT_START if all_that_fits else MAX_RECORDS
        rows = {kind: records.sample(self._rng, most) for kind, records in self._records.items()}
        self._send(News(rows, asks, self._is_starting), host)
