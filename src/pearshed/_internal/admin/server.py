"""Serves the health, readiness, metrics and state dump pages of an entry or a side over HTTP."""

import abc
import json
from collections.abc import Mapping
from typing import Any

from pearshed._internal.http.page_server import Page, PageServer
from pearshed._internal.resources.account import ResourceAccount
from pearshed._internal.telemetry.metrics import MetricsPage
from pearshed._internal.timers.service import TimerService
from pearshed._internal.utils.addresses import Address


class Inspectable(abc.ABC):
    """The state of a process that its admin pages show."""

    @abc.abstractmethod
    def not_ready_reasons(self) -> list[str]:
        """List the reasons why the process is not ready; empty when it is ready."""

    @abc.abstractmethod
    def dump(self) -> Mapping[str, Any]:
        """Describe the state of the process. Called on the event loop's thread."""


class AdminServer:
    """Serves the admin pages on a separate address.

    :param account: charged with what the connections hold.
    """

    def __init__(
        self,
        address: Address,
        process: Inspectable,
        metrics: MetricsPage,
        timers: TimerService,
        account: ResourceAccount,
    ) -> None:
        self._address = address
        self._process = process
        self._metrics = metrics
        self._server = PageServer(self._find_page, timers, account)

    @property
    def address(self) -> Address:
        """The bound address, with the port that the kernel chose if the settings have port 0."""
        return self._address

    async def start(self) -> None:
        """Bind the address and serve.

        :raises AddressInUseError: if it can't be bound.
        """
        self._address = await self._server.listen(self._address)

    def stop(self) -> None:
        """Stop serving."""
        self._server.close()

    def _find_page(self, target: str) -> Page:
        path = target.partition("?")[0]
        if path == "/healthz":
            return Page(200, b"ok\n")
        if path == "/readyz":
            return self._render_readiness()
        if path == "/metrics":
            content, content_type = self._metrics.render("text/plain")
            return Page(200, content, content_type)
        if path == "/dump":
            document = json.dumps(self._process.dump(), indent=2, default=str)
            return Page(200, document.encode() + b"\n", "application/json")
        return Page(404, b"pages: /healthz /readyz /metrics /dump\n")

    def _render_readiness(self) -> Page:
        reasons = self._process.not_ready_reasons()
        if reasons:
            return Page(503, ("\n".join(reasons) + "\n").encode())
        return Page(200, b"ready\n")
