"""Puts the parts of the exchange together and hands datagrams to them."""

import random
from collections.abc import Callable, Collection, Iterable

from absl import logging
from returns.pipeline import is_successful

from pearshed._internal.decisions.gateway_count import GatewayCount
from pearshed._internal.gateway.exchange import messages
from pearshed._internal.gateway.exchange.gossip import Gossip
from pearshed._internal.gateway.exchange.members import Members
from pearshed._internal.gateway.exchange.messages import ExchangeMessage, Loan, News
from pearshed._internal.gateway.exchange.retry_budgets import BudgetLimits, RetryBudgets
from pearshed._internal.telemetry.metrics import Metric
from pearshed._internal.timers import clock

#: A gateway whose settings name no other one counts as the only one after this, seconds.
ALONE_AFTER_S = 3.0


class GatewayExchange:
    """What this gateway exchanges with others.

    :param own_host: its host.
    :param seed_hosts: hosts of gateways that its settings name.
    :param known_hosts: returns hosts of other gateways that are known from settings and sides.
    :param limits: returns the limits of the retry budgets.
    :param is_service: returns whether a service is configured.
    :param send: sends a datagram to the gateway at a host.
    """

    def __init__(
        self,
        own_host: str,
        seed_hosts: Collection[str],
        known_hosts: Callable[[], Collection[str]],
        limits: Callable[[], BudgetLimits],
        is_service: Callable[[str], bool],
        send: Callable[[bytes, str], None],
        rng: random.Random,
    ) -> None:
        self._send_datagram = send
        self._may_be_alone = not set(seed_hosts) - {own_host}
        self._started_at = clock.now()
        self._count = GatewayCount()
        self._members = Members(own_host)
        self._gossip = Gossip(self._members, self._send, known_hosts, rng)
        self._retry_budgets = RetryBudgets(
            limits,
            lambda: self._count.settled,
            lambda: self._members.responsive_hosts,
            is_service,
            self._send,
            rng,
        )

    @property
    def gateway_count(self) -> int:
        """Largest number of gateways known lately; 0 if it isn't known."""
        return self._count.largest

    @property
    def retry_budgets(self) -> RetryBudgets:
        """The retry budgets of all services."""
        return self._retry_budgets

    def record_count(self, gateways: int) -> None:
        """Record the number of gateways that a side counts."""
        self._count.record(gateways)

    def run_if_due(self) -> None:
        """Spread what is known. Called every ``STARTING_INTERVAL_S`` of the gossip."""
        self._gossip.run_if_due()
        is_alone = self._may_be_alone and clock.now() - self._started_at >= ALONE_AFTER_S
        if is_alone or self._members.hosts:
            self._count.record(self._members.count)

    def receive(self, datagram: bytes, host: str) -> None:
        """Handle a datagram of another gateway."""
        decoded = messages.decode(datagram)
        if not is_successful(decoded):
            logging.info("datagram.malformed", extra={"fields": {"reason": decoded.failure()}})
            return
        message = decoded.unwrap()
        if isinstance(message, News):
            self._gossip.receive(message, host)
        elif isinstance(message, Loan):
            self._retry_budgets.receive(message, host)
        else:
            self._retry_budgets.lend(message, host)

    def collect(self) -> Iterable[Metric]:
        """Report the metrics."""
        yield from self._gossip.collect()
        yield from self._retry_budgets.collect()

    def _send(self, message: ExchangeMessage, host: str) -> None:
        self._send_datagram(messages.encode(message), host)
