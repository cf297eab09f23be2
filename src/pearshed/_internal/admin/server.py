"""Serves the health, readiness, metrics and state dump pages of a process over HTTP."""

import abc
import asyncio
import json
import threading
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from cheroot import wsgi

from pearshed._internal.errors import AddressInUseError
from pearshed._internal.telemetry.metrics import MetricsPage
from pearshed._internal.utils.addresses import Address

_THREADS = 3
_DUMP_TIMEOUT_S = 5.0

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Inspectable(abc.ABC):
    """The state of a process that its admin pages show."""

    @abc.abstractmethod
    def not_ready_reasons(self) -> list[str]:
        """List the reasons why the process is not ready; empty when it is ready."""

    @abc.abstractmethod
    def dump(self) -> Mapping[str, Any]:
        """Describe the state of the process. Called on the event loop's thread."""


class AdminServer:
    """Serves the admin pages on a separate address, from threads of its own.

    :param loop: the event loop whose thread reads the state.
    """

    def __init__(
        self,
        address: Address,
        loop: asyncio.AbstractEventLoop,
        process: Inspectable,
        metrics: MetricsPage,
    ) -> None:
        self._address = address
        self._loop = loop
        self._process = process
        self._metrics = metrics
        self._server = wsgi.Server(
            (address.host, address.port), self._serve, numthreads=_THREADS, max=_THREADS
        )
        self._thread = threading.Thread(target=self._server.serve, name="admin", daemon=True)

    @property
    def address(self) -> Address:
        """The bound address, with the port that the kernel chose if the settings have port 0."""
        host, port = self._server.bind_addr[:2]
        return Address(host, port)

    def start(self) -> None:
        """Bind the address and serve.

        :raises AddressInUseError: if it can't be bound.
        """
        prepare_server(self._server, self._address, "admin")
        self._thread.start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def _serve(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        status, content_type, content = self._render_page(environ)
        headers = [("Content-Type", content_type), ("Content-Length", str(len(content)))]
        start_response(status, headers)
        return [content]

    def _render_page(self, environ: Mapping[str, Any]) -> tuple[str, str, bytes]:
        path = environ["PATH_INFO"]
        if path == "/healthz":
            return "200 OK", "text/plain", b"ok\n"
        if path == "/readyz":
            return self._render_readiness()
        if path == "/metrics":
            content, content_type = self._call_on_loop(
                lambda: self._metrics.render(environ.get("HTTP_ACCEPT", "*/*"))
            )
            return "200 OK", content_type, content
        if path == "/dump":
            document = json.dumps(self._call_on_loop(self._process.dump), indent=2, default=str)
            return "200 OK", "application/json", document.encode() + b"\n"
        return "404 Not Found", "text/plain", b"pages: /healthz /readyz /metrics /dump\n"

    def _render_readiness(self) -> tuple[str, str, bytes]:
        reasons = self._process.not_ready_reasons()
        if reasons:
            return "503 Service Unavailable", "text/plain", ("\n".join(reasons) + "\n").encode()
        return "200 OK", "text/plain", b"ready\n"

    def _call_on_loop(self, read: Callable[[], Any]) -> Any:
        async def read_on_loop() -> Any:
            return read()

        return asyncio.run_coroutine_threadsafe(read_on_loop(), self._loop).result(_DUMP_TIMEOUT_S)


def prepare_server(server: wsgi.Server, address: Address, purpose: str) -> None:
    """Bind a server's address.

    :param purpose: what the address serves, for the error message.
    :raises AddressInUseError: if it can't be bound.
    """
    try:
        server.prepare()
    except OSError as error:
        raise AddressInUseError(
            f"can't listen on {address} for {purpose}",
            context=[str(error)],
            hint="the port may be in use, or the IP address may not belong to this machine",
        ) from error
