"""Server side of HTTP connections: parses complete requests, writes responses as a stream."""

import asyncio
import collections
import enum
import select
from collections.abc import Callable, Iterable

import httptools

from pearshed._internal.http import messages
from pearshed._internal.http.messages import Header, HttpRequest, RequestProblem
from pearshed._internal.models.routing import CallerLimits
from pearshed._internal.timers import clock
from pearshed._internal.utils.sockets import set_reset_on_close

#: Bytes received since the last finished request at which reading pauses while one is served.
MAX_PIPELINED_BYTES = 64 * 1024
#: Unsent bytes of a response at which the writer is paused.
WRITE_BUFFER_BYTES = 256 * 1024


class ConnectionState(enum.Enum):
    """State of a caller's connection."""

    IDLE = "idle"
    READING = "reading"
    SERVING = "serving"
    CLOSED = "closed"


class CallerConnection(asyncio.Protocol):
    """Protocol of one caller's connection; pipelined requests are queued.

    :param limits: returns the current limits; called for each check, since they may change.
    :param on_connected: called once the connection is open; starts the task that serves it.
    :param on_closed: called once the connection is closed.
    """

    def __init__(
        self,
        limits: Callable[[], CallerLimits],
        on_connected: Callable[["CallerConnection"], None],
        on_closed: Callable[["CallerConnection"], None],
    ) -> None:
        self._limits = limits
        self._on_connected = on_connected
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._requests: collections.deque[HttpRequest | RequestProblem] = collections.deque()
        self._request_queued: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._disconnect_callback: Callable[[], None] | None = None
        self._state = ConnectionState.IDLE
        self._state_since = clock.now()
        self._reading_since = 0.0
        self._bytes_since_finish = 0
        self._header_bytes = 0
        self._reading_paused = False
        self._refused = False
        self._body_until_close = False
        self._closing = False
        self._reset_request()

    @property
    def state(self) -> ConnectionState:
        """The connection's state."""
        return self._state

    @property
    def disconnected(self) -> bool:
        """Whether the connection is closed."""
        return self._state is ConnectionState.CLOSED

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start serving the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake the tasks that wait on the connection, and report the disconnect."""
        if self._body_until_close and self._closing and exc is None:
            self._set_reset_on_close(False)
        self._state = ConnectionState.CLOSED
        self._wake(self._request_queued)
        self._wake(self._writable)
        self._notify_disconnect()
        self._on_closed(self)

    def eof_received(self) -> bool:
        """Close the connection: a half-closed one counts as disconnected."""
        return False

    def pause_writing(self) -> None:
        """Make ``drain()`` wait until the write buffer has emptied."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Wake the task that waits in ``drain()``."""
        self._wake(self._writable)
        self._writable = None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._refused:
            return
        if self._state is ConnectionState.IDLE:
            self._set_state(ConnectionState.READING)
            self._reading_since = clock.now()
        self._bytes_since_finish += len(data)
        self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, "upgrades of the protocol are not supported")
        except httptools.HttpParserError as error:
            self._refuse(400, f"the request is malformed: {error}")
        if not self._headers_done and self._header_bytes > self._limits().max_header_bytes:
            self._refuse(431, "the request's header is too large")
        if (
            self._state is ConnectionState.SERVING
            and self._bytes_since_finish > MAX_PIPELINED_BYTES
        ):
            self._pause_reading()

    async def next_request(self) -> HttpRequest | RequestProblem | None:
        """Wait for the next request.

        :returns: the request, why it is refused, or ``None`` when the caller disconnected.
        """
        while not self._requests:
            if self._state is ConnectionState.CLOSED:
                return None
            self._request_queued = asyncio.get_running_loop().create_future()
            await self._request_queued
        self._set_state(ConnectionState.SERVING)
        return self._requests.popleft()

    def finish_request(self) -> None:
        """Mark the request as served, and resume reading."""
        if self._state is not ConnectionState.SERVING:
            return
        self._bytes_since_finish = 0
        self._set_state(ConnectionState.IDLE)
        self._send_continue_if_due()
        if self._reading_paused and self._transport is not None:
            self._reading_paused = False
            self._transport.resume_reading()

    def on_disconnect(self, callback: Callable[[], None] | None) -> None:
        """Set the callback for the caller's disconnect, called once; replaces the previous one."""
        self._disconnect_callback = callback
        if callback is not None and self.disconnected:
            self._notify_disconnect()

    def write(self, content: bytes) -> None:
        """Send bytes; they are dropped when the connection is closed."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(content)

    async def drain(self) -> None:
        """Wait while the write buffer is full."""
        if self._writable is not None and not self.disconnected:
            await self._writable

    def begin_body_until_close(self) -> None:
        """Begin a body whose end is marked by the end of the connection.

        Unless it is ended by ``close()``, the connection is reset, also when the process is killed.
        """
        self._body_until_close = True
        self._set_reset_on_close(True)

    def close(self) -> None:
        """Close the connection once everything written has been sent."""
        if self._transport is not None and not self._transport.is_closing():
            self._closing = True
            self._transport.close()

    def abort(self) -> None:
        """End the connection at once, so that a truncated response can't look complete."""
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self, idle_s: float) -> None:
        """Close the connection after an idle time, unless bytes of a request have arrived.

        :param idle_s: time since it was opened or its last request was served, seconds.
        """
        is_idle = self._state is ConnectionState.IDLE
        if is_idle and clock.now() - self._state_since >= idle_s and not self._has_unread_bytes():
            self.close()

    def close_if_overdue(self, now: float) -> None:
        """Close an idle connection, or refuse a slow header, after the timeout."""
        limits = self._limits()
        if self._state is ConnectionState.IDLE:
            if now - self._state_since > limits.idle_timeout_s:
                self.close()
        elif (
            self._state is ConnectionState.READING
            and not self._headers_done
            and now - self._reading_since > limits.header_timeout_s
        ):
            self._refuse(408, "the request's header took too long")

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start parsing a request."""
        self._reset_request()
        if self._reading_since == 0.0 or self._state is ConnectionState.SERVING:
            self._reading_since = clock.now()

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        """Validate the header, and send 100 Continue if the caller expects it."""
        self._headers_done = True
        problem = _header_problem(self._headers, self._target)
        if problem is not None:
            self._refuse(problem.status, problem.message)
            return
        expectation = messages.header_value(self._headers, b"expect") or b""
        self._expects_continue = expectation.lower() == b"100-continue"
        self._send_continue_if_due()

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._limits().max_body_bytes:
            self._refuse(413, "the request's body is too large")
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self._expects_continue = False
        if self._refused:
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
        self._header_bytes = 0
        self._reading_since = 0.0
        self._requests.append(request)
        self._wake(self._request_queued)

    def _reset_request(self) -> None:
        self._target = b""
        self._headers: list[Header] = []
        self._headers_done = False
        self._expects_continue = False
        self._body: list[bytes] = []
        self._body_bytes = 0

    def _send_continue_if_due(self) -> None:
        """Send 100 Continue if it is expected and no earlier response must come first."""
        if (
            self._expects_continue
            and self._state is not ConnectionState.SERVING
            and not self._requests
        ):
            self._expects_continue = False
            self.write(messages.status_line(100) + b"\r\n\r\n")

    def _refuse(self, status: int, message: str) -> None:
        if self._refused:
            return
        self._refused = True
        self._requests.append(RequestProblem(status, message))
        self._wake(self._request_queued)

    def _has_unread_bytes(self) -> bool:
        """Return whether bytes wait in the kernel; closing the connection would reset it."""
        sock = self._transport.get_extra_info("socket") if self._transport is not None else None
        if sock is None or sock.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def _set_reset_on_close(self, reset: bool) -> None:
        sock = self._transport.get_extra_info("socket") if self._transport is not None else None
        if sock is not None:
            set_reset_on_close(sock, reset)

    def _set_state(self, state: ConnectionState) -> None:
        if self._state is not ConnectionState.CLOSED:
            self._state = state
            self._state_since = clock.now()

    def _pause_reading(self) -> None:
        if not self._reading_paused and self._transport is not None:
            self._reading_paused = True
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
    """Return why a request is invalid, or ambiguous: two parsers could read it differently."""
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
