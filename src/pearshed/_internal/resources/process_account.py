"""The account of a process: what all connections that others open make it hold."""

from collections.abc import Callable, Iterable, Mapping

from pearshed._internal.resources.account import ResourceAccount
from pearshed._internal.resources.limits import MachineLimits
from pearshed._internal.telemetry.metrics import Metric


class ProcessAccount:
    """Accounts of a process by the kind of its connections.

    :param machine: returns what the process may use; called for each check, as it may change.
    """

    def __init__(self, machine: Callable[[], MachineLimits]) -> None:
        self._callers = ResourceAccount("callers", lambda: machine().callers)
        self._pages = ResourceAccount("pages", lambda: machine().pages)

    @property
    def callers(self) -> ResourceAccount:
        """Connections of callers."""
        return self._callers

    @property
    def pages(self) -> ResourceAccount:
        """Connections of operators, of the load balancer and of other processes."""
        return self._pages

    def collect(self) -> Iterable[Metric]:
        """Return the metrics with their current values."""
        for callers, pages in zip(self._callers.collect(), self._pages.collect(), strict=True):
            yield Metric(
                callers.name, callers.help, (*callers.samples, *pages.samples), callers.counter
            )

    def dump(self) -> Mapping[str, object]:
        """Return the state for operators."""
        return {"callers": self._callers.dump(), "pages": self._pages.dump()}
