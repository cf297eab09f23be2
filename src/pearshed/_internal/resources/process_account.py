"""The account of a process: what all connections that others open make it hold."""

from collections.abc import Callable, Iterable, Mapping

from pearshed._internal.decisions.ending_order import Room
from pearshed._internal.resources.account import ResourceAccount
from pearshed._internal.resources.limits import MachineLimits
from pearshed._internal.telemetry.metrics import Metric


class ProcessAccount:
    """Accounts of a process by the kind of its connections.

    :param machine: returns what the process may use; called for each check, as it may change.
    :param serves_callers: add an account of callers that have a connection to an endpoint each.
    """

    def __init__(
        self, machine: Callable[[], MachineLimits], *, serves_callers: bool = False
    ) -> None:
        self._accounts: dict[str, ResourceAccount] = {}
        self.add("pages", lambda: machine().pages)
        if serves_callers:
            self.add("callers", lambda: machine().callers)

    @property
    def pages(self) -> ResourceAccount:
        """Connections of operators, of the load balancer and of other processes."""
        return self._accounts["pages"]

    @property
    def callers(self) -> ResourceAccount:
        """Connections of callers."""
        return self._accounts["callers"]

    def add(self, name: str, room: Callable[[], Room]) -> ResourceAccount:
        """Add the account of another kind of connections.

        :param room: returns what they may hold together.
        """
        account = self._accounts[name] = ResourceAccount(name, room)
        return account

    def collect(self) -> Iterable[Metric]:
        """Return the metrics with their current values."""
        collected = [account.collect() for account in self._accounts.values()]
        for metrics in zip(*collected, strict=True):
            samples = tuple(sample for metric in metrics for sample in metric.samples)
            yield Metric(metrics[0].name, metrics[0].help, samples, metrics[0].counter)

    def dump(self) -> Mapping[str, object]:
        """Return the state for operators."""
        return {name: account.dump() for name, account in self._accounts.items()}
