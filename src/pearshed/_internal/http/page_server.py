"""HTTP server for a process's own pages: health, metrics and state."""

import asyncio
from collections.abc import Callable

from absl import logging

from pearshed._internal.http import messages
from pearshed._internal.http.caller_connection import CallerConnection
from pearshed._internal.http.listener import Listener
from pearshed._internal.http.messages import RequestProblem
from pearshed._internal.models.routing import CallerLimits
from pearshed._internal.timers import clock
from pearshed._internal.timers.service import TimerService
from pearshed._internal.utils.addresses import Address

#: Operators and load balancers send small requests every few seconds.
PAGE_LIMITS = CallerLimits(8 * 1024, 8 * 1024, 5.0, 60.0)
_TIMEOUT_CHECK_INTERVAL_S = 1.0
#: A response with this status has no body and no Content-Length.
_NO_CONTENT = 204

#: Returns the status and content of a page for the target of a request.
PageHandler = Callable[[str], tuple[int, bytes]]


class PageServer:
    """Serves pages, with one task for each connection.

    :param handler: called on the event loop for each request.
    """

    def __init__(self, handler: PageHandler, timers: TimerService) -> None:
        self._handler = handler
        self._listeners: list[Listener] = []
        self._connections: set[CallerConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        timers.every(_TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)

    async def listen(self, address: Address) -> None:
        """Listen on an address.

        :raises AddressInUseError: when it can't be bound.
        """
        self._listeners.append(await Listener.open(address, self._create_connection))

    def close(self) -> None:
        """Stop listening, and abort all connections."""
        for listener in self._listeners:
            listener.close()
        for task in self._tasks:
            task.cancel()
        for connection in tuple(self._connections):
            connection.abort()

    def _create_connection(self) -> CallerConnection:
        return CallerConnection(lambda: PAGE_LIMITS, self._serve_in_task, self._connections.discard)

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
                status, content = self._handler(request.target.decode("latin-1"))
            except Exception:
                target = request.target.decode("latin-1")
                logging.exception("page.failed", extra={"fields": {"target": target}})
                write_problem(connection, RequestProblem(500, f"{target} can't be rendered"))
                return
            headers = ((b"content-length", b"%d" % len(content)),) if status != _NO_CONTENT else ()
            connection.write(messages.encode_head(messages.status_line(status), headers) + content)
            if not request.keep_alive:
                connection.close()
                return
            connection.finish_request()

    def _check_timeouts(self) -> None:
        now = clock.now()
        for connection in tuple(self._connections):
            connection.close_if_overdue(now)


def page_name(target: str) -> str:
    """Return the name of the requested page: the last segment of the path."""
    return target.partition("?")[0].rpartition("/")[2]


def write_problem(connection: CallerConnection, problem: RequestProblem) -> None:
    """Respond to an invalid request, and close its connection."""
    content = problem.message.encode() + b"\n"
    headers = (
        (b"content-type", b"text/plain"),
        (b"content-length", b"%d" % len(content)),
        (b"connection", b"close"),
    )
    connection.write(messages.encode_head(messages.status_line(problem.status), headers) + content)
    connection.close()
