"""Serves a process's own pages (health, metrics, state) over HTTP."""

import asyncio
from collections.abc import Callable

from pearshed._internal.errors import AddressInUseError
from pearshed._internal.http import messages
from pearshed._internal.http.caller_connection import CallerConnection
from pearshed._internal.http.messages import RequestProblem
from pearshed._internal.models.routing import CallerLimits
from pearshed._internal.timers import clock
from pearshed._internal.timers.service import TimerService
from pearshed._internal.utils.addresses import Address

LISTEN_BACKLOG = 1024
#: Operators and balancers send small requests and ask every few seconds.
PAGE_LIMITS = CallerLimits(8 * 1024, 8 * 1024, 5.0, 60.0)
_SWEEP_PERIOD_S = 1.0
#: Status of an answer that has no body and no length.
_EMPTY = 204

#: Finds a page by the target of the request: status and content.
FindPage = Callable[[str], tuple[int, bytes]]


class PageServer:
    """Answers requests for pages, each connection with a task of its own.

    :param find_page: called on the event loop for each request.
    """

    def __init__(self, find_page: FindPage, timers: TimerService) -> None:
        self._find_page = find_page
        self._servers: list[asyncio.Server] = []
        self._connections: set[CallerConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        timers.every(_SWEEP_PERIOD_S, self._sweep)

    async def listen(self, address: Address) -> None:
        """Serve on an address.

        :raises AddressInUseError: when it can't be bound.
        """
        self._servers.append(await listen(address, self._connect))

    def close(self) -> None:
        """Stop serving."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        for connection in tuple(self._connections):
            connection.abort()

    def _connect(self) -> CallerConnection:
        return CallerConnection(lambda: PAGE_LIMITS, self._start, self._connections.discard)

    def _start(self, connection: CallerConnection) -> None:
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
            status, content = self._find_page(request.target.decode("latin-1"))
            headers = ((b"content-length", b"%d" % len(content)),) if status != _EMPTY else ()
            connection.write(messages.encode_head(messages.status_line(status), headers) + content)
            if not request.keep_alive:
                connection.close()
                return
            connection.finish_request()

    def _sweep(self) -> None:
        moment = clock.now()
        for connection in tuple(self._connections):
            connection.close_if_overdue(moment)


async def listen(address: Address, connect: Callable[[], CallerConnection]) -> asyncio.Server:
    """Listen for connections.

    :raises AddressInUseError: when the address can't be bound.
    """
    try:
        return await asyncio.get_running_loop().create_server(
            connect, address.host, address.port, backlog=LISTEN_BACKLOG
        )
    except OSError as error:
        raise AddressInUseError(
            f"can't listen on {address}",
            context=[str(error)],
            hint="the port may be in use, or the IP address may not belong to this machine",
        ) from error


def page_name(target: str) -> str:
    """Find the name of the page that a request asks for: the last step of its path."""
    return target.partition("?")[0].rpartition("/")[2]


def write_problem(connection: CallerConnection, problem: RequestProblem) -> None:
    """Answer a request that can't be taken, and close its connection."""
    content = problem.message.encode() + b"\n"
    headers = (
        (b"content-type", b"text/plain"),
        (b"content-length", b"%d" % len(content)),
        (b"connection", b"close"),
    )
    connection.write(messages.encode_head(messages.status_line(problem.status), headers) + content)
    connection.close()
