"""Connections of callers: requests are read whole, answers are written as they come."""

import asyncio
import collections
import enum
from collections.abc import Callable, Iterable

import httptools

from pearshed._internal.http import messages
from pearshed._internal.http.messages import Header, HttpRequest, RequestProblem
from pearshed._internal.models.routing import CallerLimits
from pearshed._internal.timers import clock

#: Bytes of further requests that are read while one is served, then reading pauses.
PIPELINE_BYTES = 64 * 1024
#: Unsent bytes of an answer at which a writer is held up.
WRITE_BUFFER_BYTES = 256 * 1024


class ConnectionState(enum.Enum):
    """What a connection is doing."""

    IDLE = "idle"
    READING = "reading"
    SERVING = "serving"
    CLOSED = "closed"


class CallerConnection(asyncio.Protocol):
    """One caller's connection.

    :param limits: read at the start of each request, since they may change.
    :param serve: the connection's task.
    """

    def __init__(
        self,
        limits: Callable[[], CallerLimits],
        serve: Callable[["CallerConnection"], None],
        closed: Callable[["CallerConnection"], None],
    ) -> None:
        self._limits = limits
        self._serve = serve
        self._closed = closed
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._requests: collections.deque[HttpRequest | RequestProblem] = collections.deque()
        self._arrival: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._disconnect_callback: Callable[[], None] | None = None
        self._state = ConnectionState.IDLE
        self._since = clock.now()
        self._reading_since = 0.0
        self._unread_bytes = 0
        self._head_bytes = 0
        self._paused = False
        self._broken = False
        self._reset_message()

    @property
    def state(self) -> ConnectionState:
        """What the connection is doing."""
        return self._state

    @property
    def disconnected(self) -> bool:
        """Whether the caller has closed the connection."""
        return self._state is ConnectionState.CLOSED

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the connection's task."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._serve(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell whoever waits that the caller is gone."""
        self._state = ConnectionState.CLOSED
        self._wake(self._arrival)
        self._wake(self._writable)
        self._notify_disconnect()
        self._closed(self)

    def eof_received(self) -> bool:
        """Treat the end of the caller's bytes as its leaving."""
        return False

    def pause_writing(self) -> None:
        """Hold up the writer until the caller has read more."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let the writer go on."""
        self._wake(self._writable)
        self._writable = None

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the caller."""
        if self._broken:
            return
        if self._state is ConnectionState.IDLE:
            self._set_state(ConnectionState.READING)
            self._reading_since = clock.now()
        self._unread_bytes += len(data)
        self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, "upgrades of the protocol are not supported")
        except httptools.HttpParserError as error:
            self._refuse(400, f"the request is malformed: {error}")
        if not self._headers_done and self._head_bytes > self._limits().max_header_bytes:
            self._refuse(431, "the request's header is too large")
        if self._state is ConnectionState.SERVING and self._unread_bytes > PIPELINE_BYTES:
            self._pause_reading()

    async def next_request(self) -> HttpRequest | RequestProblem | None:
        """Wait for the next request.

        :returns: the request, what is wrong with it, or nothing when the caller is gone.
        """
        while not self._requests:
            if self._state is ConnectionState.CLOSED:
                return None
            self._arrival = asyncio.get_running_loop().create_future()
            await self._arrival
        self._set_state(ConnectionState.SERVING)
        return self._requests.popleft()

    def finish_request(self) -> None:
        """Note that the request is answered, and read on."""
        if self._state is not ConnectionState.SERVING:
            return
        self._unread_bytes = 0
        self._set_state(ConnectionState.IDLE)
        if self._paused and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()

    def on_disconnect(self, callback: Callable[[], None] | None) -> None:
        """Call ``callback`` once when the caller leaves; replaces the callback before."""
        self._disconnect_callback = callback
        if callback is not None and self.disconnected:
            self._notify_disconnect()

    def write(self, content: bytes) -> None:
        """Send bytes; they are dropped when the caller is gone."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(content)

    async def drain(self) -> None:
        """Wait until the caller has read enough of what was written."""
        if self._writable is not None and not self.disconnected:
            await self._writable

    def close(self) -> None:
        """Close the connection once everything written has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection, so that an answer begun can't look complete."""
        if self._transport is not None:
            self._transport.abort()

    def close_if_overdue(self, moment: float) -> None:
        """Close the connection when the caller is idle or sends its header for too long."""
        limits = self._limits()
        if self._state is ConnectionState.IDLE:
            if moment - self._since > limits.idle_timeout_s:
                self.close()
        elif (
            self._state is ConnectionState.READING
            and not self._headers_done
            and moment - self._reading_since > limits.header_timeout_s
        ):
            self._refuse(408, "the request's header took too long")

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset_message()
        if self._reading_since == 0.0 or self._state is ConnectionState.SERVING:
            self._reading_since = clock.now()

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        """Check the header, and invite the body if the caller waits for that."""
        self._headers_done = True
        problem = _header_problem(self._headers, self._target)
        if problem is not None:
            self._refuse(problem.status, problem.message)
            return
        expectation = messages.header_value(self._headers, b"expect") or b""
        if expectation.lower() == b"100-continue" and self._state is ConnectionState.READING:
            self.write(messages.status_line(100) + b"\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Collect the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._limits().max_body_bytes:
            self._refuse(413, "the request's body is too large")
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hand over the request."""
        if self._broken:
            return
        request = HttpRequest(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            b"".join(self._body),
            self._parser.should_keep_alive(),
            self._parser.get_http_version() == "1.1",
            self._reading_since or clock.now(),
        )
        self._head_bytes = 0
        self._reading_since = 0.0
        self._requests.append(request)
        self._wake(self._arrival)

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: list[Header] = []
        self._headers_done = False
        self._body: list[bytes] = []
        self._body_bytes = 0

    def _refuse(self, status: int, message: str) -> None:
        if self._broken:
            return
        self._broken = True
        self._requests.append(RequestProblem(status, message))
        self._wake(self._arrival)

    def _set_state(self, state: ConnectionState) -> None:
        if self._state is not ConnectionState.CLOSED:
            self._state = state
            self._since = clock.now()

    def _pause_reading(self) -> None:
        if not self._paused and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()

    def _notify_disconnect(self) -> None:
        callback, self._disconnect_callback = self._disconnect_callback, None
        if callback is not None:
            callback()

    @staticmethod
    def _wake(future: "asyncio.Future[None] | None") -> None:
        if future is not None and not future.done():
            future.set_result(None)


def _header_problem(headers: Iterable[Header], target: bytes) -> RequestProblem | None:
    """Find what makes a request ambiguous: two readers could see two different requests."""
    headers = tuple(headers)
    if len(messages.header_values(headers, b"host")) != 1:
        return RequestProblem(400, "a request needs exactly one Host header")
    lengths = messages.header_values(headers, b"content-length")
    codings = messages.header_values(headers, b"transfer-encoding")
    if codings and (lengths or [value.lower() for value in codings] != [b"chunked"]):
        return RequestProblem(400, "the length of the body is ambiguous")
    if len(lengths) > 1 or any(not value.isdigit() for value in lengths):
        return RequestProblem(400, "the length of the body is ambiguous")
    if not target.startswith(b"/"):
        return RequestProblem(400, "the target must be a path")
    return None
