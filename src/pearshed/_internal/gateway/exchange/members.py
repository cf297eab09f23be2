"""The gateways that are known, so that each knows how many share a limit."""

import ipaddress
import random
from collections.abc import Collection, Iterable, Sequence
from itertools import islice

from pearshed._internal.decisions.gateway_count import MEMORY_S
from pearshed._internal.gateway.exchange.messages import Row
from pearshed._internal.gateway.exchange.records import SharedRecords
from pearshed._internal.timers import clock
from pearshed._internal.utils.foreign_values import describe, to_integer

#: Gateways that are remembered, those that sent something last.
MAX_MEMBERS = 4096
#: Gateways of one message that are merged.
MAX_ROWS = 192
#: Gateways that became known last are named first, so that they become known to all soon.
_LATEST_NAMED = 4
#: A gateway that has sent nothing to anyone for this long likely doesn't respond, seconds.
RESPONSIVE_S = 15.0


class Members(SharedRecords):
    """Hosts of other gateways, and when each has sent something last.

    :param own_host: host of this gateway.
    """

    def __init__(self, own_host: str) -> None:
        self._own_host = own_host
        self._sent_at: dict[str, float] = {}
        self._first_known_at: dict[str, float] = {}

    @property
    def kind(self) -> str:
        """Name of the kind in messages."""
        return "gateways"

    @property
    def count(self) -> int:
        """Number of gateways known, this one included; those that have ended are in it for long."""
        return len(self._sent_at) + 1

    @property
    def hosts(self) -> Collection[str]:
        """Hosts of the other known gateways."""
        return self._sent_at.keys()

    @property
    def responsive_hosts(self) -> list[str]:
        """Hosts of the gateways that have sent something lately, to this one or another."""
        oldest = clock.now() - RESPONSIVE_S
        return [host for host, at in self._sent_at.items() if at >= oldest]

    def record_received(self, host: str) -> None:
        """Record that a gateway has sent something to this one."""
        if host != self._own_host:
            self._record(host, clock.now())

    def sample(self, rng: random.Random, most: int) -> Sequence[Row]:
        """Return some gateways with the ages of what they have sent last."""
        now = clock.now()
        hosts = sorted(self._sent_at, key=lambda host: self._first_known_at[host], reverse=True)
        latest, others = hosts[:_LATEST_NAMED], hosts[_LATEST_NAMED:]
        named = (*latest, *rng.sample(others, min(len(others), max(0, most - len(latest)))))
        # Rounded up: an age must not shrink in transit.
        return [
            [host, int((now - self._sent_at[host]) * clock.MILLISECONDS_PER_SECOND) + 1]
            for host in named
        ]

    def merge(self, sender: str, rows: Iterable[Row]) -> None:
        """Merge the gateways that another one knows.

        :raises ValueError: when a record is malformed.
        """
        self.record_received(sender)
        for host, age_ms in islice(rows, MAX_ROWS):
            age_s = to_integer(age_ms) / clock.MILLISECONDS_PER_SECOND
            if age_s < 0.0 or not isinstance(host, str):
                raise ValueError(f"no gateway: {describe(host)}, {describe(age_ms)}")
            ipaddress.ip_address(host)
            if host != self._own_host and age_s < MEMORY_S:
                self._record(host, clock.now() - age_s)

    def drop_expired(self) -> None:
        """Drop the gateways that have sent nothing for long."""
        oldest = clock.now() - MEMORY_S
        for host in [host for host, sent_at in self._sent_at.items() if sent_at < oldest]:
            self._drop(host)

    def _record(self, host: str, sent_at: float) -> None:
        self._first_known_at.setdefault(host, clock.now())
        self._sent_at[host] = max(sent_at, self._sent_at.get(host, sent_at))
        if len(self._sent_at) > MAX_MEMBERS:
            self._drop(min(self._sent_at, key=lambda known: self._sent_at[known]))

    def _drop(self, host: str) -> None:
        del self._sent_at[host], self._first_known_at[host]
