"""HTTP server for a process's own pages: health, metrics and state."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from absl import logging

from pearshed._internal.http import messages
from pearshed._internal.http.caller_connection import CallerConnection
from pearshed._internal.http.listener import Listener
from pearshed._internal.http.messages import RequestProblem
from pearshed._internal.models.routing import CallerLimits
from pearshed._internal.resources.account import ResourceAccount
from pearshed._internal.timers import clock
from pearshed._internal.timers.service import TimerService
from pearshed._internal.utils.addresses import Address

#: Operators and load balancers send small requests every few seconds.
PAGE_LIMITS = CallerLimits(8 * 1024, 8 * 1024, 5.0, 60.0)
_TIMEOUT_CHECK_INTERVAL_S = 1.0
#: A response with this status has no body and no Content-Length.
_NO_CONTENT = 204


@dataclass(frozen=True, slots=True)
class Page:
    """A page as it is sent.

    :ivar content_type: not sent if it is empty.
    """

    status: int
    content: bytes
    content_type: str = "text/plain"


#: Returns the page for the target of a request.
PageHandler = Callable[[str], Page]


class PageServer:
    """Serves pages, with one task for each connection.

    :param handler: called on the event loop for each request.
    :param account: charged with what the connections hold.
    """

    def __init__(
        self, handler: PageHandler, timers: TimerService, account: ResourceAccount
    ) -> None:
        self._handler = handler
        self._account = account
        self._listeners: list[Listener] = []
        self._connections: set[CallerConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        timers.every(_TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)

    async def listen(self, address: Address) -> Address:
        """Listen on an address.

        :returns: the bound address, with the port that the kernel chose for port 0.
        :raises AddressInUseError: when it can't be bound.
        """
        listener = await Listener.open(address, self._create_connection)
        self._listeners.append(listener)
        return listener.address

    def close(self) -> None:
        """Stop listening, and abort all connections."""
        for listener in self._listeners:
            listener.close()
        for task in self._tasks:
            task.cancel()
        for connection in tuple(self._connections):
            connection.abort()

    def _create_connection(self) -> CallerConnection:
        return CallerConnection(
            lambda: PAGE_LIMITS, self._account, self._serve_in_task, self._connections.discard
        )

    def _serve_in_task(self, connection: CallerConnection) -> None:
        self._connections.add(connection)
        task = asyncio.get_running_loop().create_task(self._serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, connection: CallerConnection) -> None:
        while True:
            request = await connection.next_request()
            if request is None:
                return
            if isinstance(request, RequestProblem):
                write_problem(connection, request)
                return
            try:
                page = self._handler(request.target.decode("latin-1"))
            except Exception:
                target = request.target.decode("latin-1")
                logging.exception("page.failed", extra={"fields": {"target": target}})
                write_problem(connection, RequestProblem(500, f"{target} can't be rendered"))
                return
            _write_page(connection, page, close=not request.keep_alive)
            if not request.keep_alive:
                connection.close()
                return
            await connection.drain()
            connection.finish_request()

    def _check_timeouts(self) -> None:
        now = clock.now()
        for connection in tuple(self._connections):
            connection.close_if_overdue(now)


def _write_page(connection: CallerConnection, page: Page, *, close: bool) -> None:
    headers = []
    if page.content_type and page.content:
        headers.append((b"content-type", page.content_type.encode()))
    if page.status != _NO_CONTENT:
        headers.append((b"content-length", b"%d" % len(page.content)))
    if close:
        headers.append((b"connection", b"close"))
    connection.write(messages.encode_head(messages.status_line(page.status), headers))
    connection.write(page.content)


def page_name(target: str) -> str:
    """Return the name of the requested page: the last segment of the path."""
    return target.partition("?")[0].rpartition("/")[2]


def write_problem(connection: CallerConnection, problem: RequestProblem) -> None:
    """Respond to an invalid request, and close its connection."""
    content = problem.message.encode() + b"\n"
    headers = [
        (b"content-type", b"text/plain"),
        (b"content-length", b"%d" % len(content)),
        (b"connection", b"close"),
    ]
    if problem.retry_after_s:
        headers.append((b"retry-after", b"%d" % problem.retry_after_s))
    connection.write(messages.encode_head(messages.status_line(problem.status), headers) + content)
    connection.close_refused()
