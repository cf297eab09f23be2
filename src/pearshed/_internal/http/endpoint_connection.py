"""Connections to endpoints: one request at a time, answers recognised by their request."""

import asyncio
import collections
import enum
import socket
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from pearshed._internal.http import messages
from pearshed._internal.http.messages import Header, ResponseHead
from pearshed._internal.timers import clock
from pearshed._internal.utils.addresses import Address

#: Time after which the kernel gives up on bytes that the other end doesn't acknowledge, ms.
UNACKNOWLEDGED_LIMIT_MS = 3000
#: Undelivered bytes of an answer at which reading pauses.
READ_BUFFER_BYTES = 256 * 1024
_FIRST_FINAL_STATUS = 200
_BODILESS = (204, 304)


class EndKind(enum.Enum):
    """How an answer ended."""

    COMPLETE = "whole"
    TRUNCATED = "cut"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class ResponseEnd:
    """End of an answer.

    :ivar reason: what happened, for the log.
    """

    kind: EndKind
    reason: str = ""


ResponseEvent = ResponseHead | bytes | ResponseEnd
#: Tells whether an answer belongs to the request that waits.
ResponseMatcher = Callable[[ResponseHead], bool]


class EndpointConnection(asyncio.Protocol):
    """One connection to an endpoint.

    Extra answers that belong to no waiting request are dropped, and the connection with them.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._events: collections.deque[ResponseEvent] = collections.deque()
        self._arrival: asyncio.Future[None] | None = None
        self._matches: ResponseMatcher | None = None
        self._delivering = False
        self._until_close = False
        self._in_message = False
        self._closed = False
        self._dirty = False
        self._keep_alive_s: float | None = None
        self._idle_since = clock.now()
        self._unmatched_responses = 0
        self._buffered = 0
        self._paused = False
        self._responses = 0

    @property
    def usable(self) -> bool:
        """Whether another request may be sent."""
        return not (self._closed or self._dirty or self._matches is not None)

    @property
    def idle_since(self) -> float:
        """Clock reading at which the last answer ended, seconds."""
        return self._idle_since

    @property
    def unmatched_responses(self) -> int:
        """Answers dropped since they belonged to no waiting request."""
        return self._unmatched_responses

    @property
    def has_served(self) -> bool:
        """Whether an answer came over this connection."""
        return self._responses > 0

    def idle_limit_s(self, default_s: float) -> float:
        """Find the time that the endpoint keeps an idle connection, seconds."""
        return self._keep_alive_s if self._keep_alive_s is not None else default_s

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound the time that unacknowledged bytes are kept."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the answer in progress: whole only if it was to end with the connection."""
        self._closed = True
        if self._matches is None:
            return
        if self._until_close and self._in_message and self._delivering and exc is None:
            self._push(ResponseEnd(EndKind.COMPLETE))
        else:
            self._push(ResponseEnd(EndKind.TRUNCATED, f"connection lost: {exc or 'closed'}"))

    def eof_received(self) -> bool:
        """Close after the endpoint has closed."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the endpoint."""
        if self._matches is None:
            self._unmatched_responses += 1
            self._discard()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._dirty = True
            self._push(ResponseEnd(EndKind.MALFORMED, f"malformed answer: {error}"))

    def send(self, content: bytes, matches: ResponseMatcher) -> None:
        """Send a request.

        :param matches: tells whether an answer's head belongs to this request.
        """
        assert self._transport is not None
        self._matches = matches
        self._events.clear()
        self._buffered = 0
        self._delivering = False
        self._transport.write(content)

    async def next_event(self) -> ResponseEvent:
        """Wait for the next part of the answer."""
        while not self._events:
            self._arrival = asyncio.get_running_loop().create_future()
            await self._arrival
        event = self._events.popleft()
        if isinstance(event, bytes):
            self._buffered -= len(event)
            if self._paused and self._buffered < READ_BUFFER_BYTES // 2:
                self._paused = False
                if self._transport is not None and not self._closed:
                    self._transport.resume_reading()
        return event

    def finish(self) -> bool:
        """Note that the answer was taken whole.

        :returns: whether the connection can serve another request.
        """
        self._matches = None
        self._idle_since = clock.now()
        self._responses += 1
        unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
        if self._until_close or unsent or self._in_message:
            self._dirty = True
        if self._dirty or self._closed:
            self._discard()
            return False
        return True

    def abort(self) -> None:
        """Reset the connection; the endpoint stops working on the request."""
        self._matches = None
        self._discard()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start an answer."""
        self._in_message = True
        self._reason = b""
        self._headers: list[Header] = []
        if self._delivering:
            # An extra answer right behind the one that was asked for.
            self._unmatched_responses += 1
            self._dirty = True

    def on_status(self, status: bytes) -> None:
        """Collect the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        """Hand over the head if the answer is the one that is waited for."""
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS or self._delivering:
            return
        head = ResponseHead(status, self._reason, tuple(self._headers))
        if self._matches is None or not self._matches(head):
            self._unmatched_responses += 1
            self._dirty = True
            return
        self._delivering = True
        self._note_framing(head)
        self._push(head)

    def on_body(self, body: bytes) -> None:
        """Hand over a piece of the body."""
        if self._delivering and not self._ended():
            self._buffered += len(body)
            self._push(body)
            if self._buffered > READ_BUFFER_BYTES and not self._paused and self._transport:
                self._paused = True
                self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """End the answer."""
        self._in_message = False
        if self._parser.get_status_code() < _FIRST_FINAL_STATUS:
            return
        if self._delivering and not self._ended():
            self._push(ResponseEnd(EndKind.COMPLETE))

    def _ended(self) -> bool:
        return bool(self._events) and isinstance(self._events[-1], ResponseEnd)

    def _note_framing(self, head: ResponseHead) -> None:
        headers = head.headers
        chunked = messages.header_value(headers, b"transfer-encoding") is not None
        sized = messages.header_value(headers, b"content-length") is not None
        self._until_close = not (chunked or sized or head.status in _BODILESS)
        options = messages.connection_options(headers)
        if b"close" in options:
            self._dirty = True
        self._keep_alive_s = _keep_alive_timeout(headers)

    def _push(self, event: ResponseEvent) -> None:
        if self._ended():
            return
        self._events.append(event)
        if self._arrival is not None and not self._arrival.done():
            self._arrival.set_result(None)

    def _discard(self) -> None:
        self._dirty = True
        if self._transport is not None:
            self._transport.abort()


def _keep_alive_timeout(headers: tuple[Header, ...]) -> float | None:
    value = messages.header_value(headers, b"keep-alive")
    if value is None:
        return None
    for option in value.split(b","):
        name, _, text = option.strip().partition(b"=")
        if name.lower() == b"timeout" and text.isdigit():
            return float(text)
    return None


async def connect(address: Address, timeout_s: float) -> EndpointConnection:
    """Open a connection.

    :raises OSError: when it can't be opened in time.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, protocol = await loop.create_connection(EndpointConnection, address.host, address.port)
    return protocol
