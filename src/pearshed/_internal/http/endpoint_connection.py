"""Client side of HTTP connections: one request at a time, each response matched to its request."""

import asyncio
import collections
import enum
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import httptools
from absl import logging

from pearshed._internal.http import messages
from pearshed._internal.http.header_block import HeaderBlock
from pearshed._internal.http.messages import BodyFraming, Headers, ResponseHead
from pearshed._internal.http.outgoing import OutgoingContent
from pearshed._internal.models import statuses
from pearshed._internal.timers import clock
from pearshed._internal.utils.addresses import Address

#: Time after which the kernel closes a connection whose sent bytes aren't acknowledged.
TCP_USER_TIMEOUT_MS = 3000
#: Buffered bytes of a response at which reading pauses.
READ_BUFFER_BYTES = 64 * 1024
#: Bytes that the event loop reads at once, so that this much may be buffered beyond that.
RECEIVED_AT_ONCE_BYTES = 256 * 1024
#: Bytes that may arrive while a response makes no progress: without an end of its head or of a
#: chunk's header, or in responses that match no request.
MAX_UNDELIVERED_BYTES = 256 * 1024


class EndKind(enum.Enum):
    """How a response ended.

    ``COMPLETE``: its length or its last chunk says so. ``CLOSED``: it has neither and ended with
    its connection, which a response that was cut can do as well.
    """

    COMPLETE = "whole"
    CLOSED = "closed"
    TRUNCATED = "cut"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class ResponseEnd:
    """End of a response.

    :ivar reason: why the response is truncated or malformed; empty otherwise.
    """

    kind: EndKind
    reason: str = ""


ResponseEvent = ResponseHead | bytes | ResponseEnd
#: Returns whether a response belongs to the request in progress, from the response's head.
ResponseMatcher = Callable[[ResponseHead], bool]


class EndpointConnection(asyncio.Protocol):
    """Protocol of one connection to an endpoint.

    Responses that don't match the request in progress are dropped, and the connection isn't reused.

    :ivar run_confirmed: the endpoint has said on it that it is the run that its entry describes.
    """

    def __init__(self) -> None:
        self.run_confirmed = False
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._outgoing: OutgoingContent | None = None
        self._lines = bytearray()
        self._in_head = False
        self._events: collections.deque[ResponseEvent | bytearray] = collections.deque()
        self._event_queued: asyncio.Future[None] | None = None
        self._matches: ResponseMatcher | None = None
        self._delivering = False
        self._expects_body = True
        self._body_until_close = False
        self._in_response = False
        self._closed = False
        self._not_reusable = False
        self._keep_alive_s: float | None = None
        self._idle_since = clock.now()
        self._unmatched_responses = 0
        self._buffered_bytes = 0
        self._reading_paused = False
        self._response_count = 0
        self._undelivered_bytes = 0

    @property
    def usable(self) -> bool:
        """Whether another request may be sent."""
        return not (self._closed or self._not_reusable or self._matches is not None)

    @property
    def idle_since(self) -> float:
        """Clock reading at which the last response ended, seconds."""
        return self._idle_since

    @property
    def unmatched_responses(self) -> int:
        """Number of responses dropped because they matched no request in progress."""
        return self._unmatched_responses

    @property
    def has_served(self) -> bool:
        """Whether a response was received on this connection."""
        return self._response_count > 0

    def idle_limit_s(self, default_s: float) -> float:
        """Return the idle timeout that the endpoint announced in Keep-Alive, or the default."""
        return self._keep_alive_s if self._keep_alive_s is not None else default_s

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._outgoing = OutgoingContent(transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the response in progress; an error is never the end of its body."""
        self._closed = True
        unsent = self._outgoing is not None and self._outgoing.blocked
        if self._outgoing is not None:
            self._outgoing.clear()
        if self._matches is None:
            return
        closed = exc is None and not unsent
        if self._body_until_close and self._in_response and self._delivering and closed:
            self._push(ResponseEnd(EndKind.CLOSED))
        else:
            self._push(ResponseEnd(EndKind.TRUNCATED, f"connection lost: {exc or 'closed'}"))

    def pause_writing(self) -> None:
        """Keep the rest of a request until the transport's buffer has emptied."""
        if self._outgoing is not None:
            self._outgoing.pause()

    def resume_writing(self) -> None:
        """Send more of a request."""
        if self._outgoing is not None:
            self._outgoing.resume()

    def eof_received(self) -> bool:
        """Close the connection when the endpoint has closed its side."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._matches is None:
            self._unmatched_responses += 1
            self._discard()
            return
        self._undelivered_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._not_reusable = True
            self._push(ResponseEnd(EndKind.MALFORMED, f"malformed answer: {error}"))
        if self._undelivered_bytes > MAX_UNDELIVERED_BYTES and not self._ended():
            reason = f"{self._undelivered_bytes} bytes without an answer"
            _log_unbounded(self._transport, reason)
            self._push(ResponseEnd(EndKind.MALFORMED, reason))
            self._discard()

    def send(
        self,
        content: bytes,
        matches: ResponseMatcher,
        *,
        expects_body: bool = True,
        body: Iterable[bytes | bytearray] = (),
    ) -> None:
        """Send a request.

        :param content: its head, and its body if that isn't given apart.
        :param matches: returns whether a response's head belongs to this request.
        :param expects_body: false for HEAD, whose response has no body whatever its headers say.
        :param body: segments of a large body; they are kept, not copied, until they are sent.
        """
        assert self._outgoing is not None
        self._matches = matches
        self._expects_body = expects_body
        self._events.clear()
        self._buffered_bytes = 0
        self._delivering = False
        self._undelivered_bytes = 0
        self._outgoing.write(content)
        self._outgoing.write_segments(body)

    async def next_event(self) -> ResponseEvent:
        """Wait for the next event of the response."""
        while not self._events:
            self._event_queued = asyncio.get_running_loop().create_future()
            await self._event_queued
        queued = self._events.popleft()
        event = bytes(queued) if isinstance(queued, bytearray) else queued
        if isinstance(event, bytes):
            self._buffered_bytes -= len(event)
            if self._reading_paused and self._buffered_bytes < READ_BUFFER_BYTES // 2:
                self._reading_paused = False
                if self._transport is not None and not self._closed:
                    self._transport.resume_reading()
        return event

    def finish(self) -> bool:
        """Finish the request after the last event of its response.

        :returns: whether the connection can be reused.
        """
        self._matches = None
        self._idle_since = clock.now()
        self._response_count += 1
        unsent = self._outgoing is not None and self._outgoing.pending_bytes > 0
        if self._body_until_close or unsent or self._in_response:
            self._not_reusable = True
        if self._not_reusable or self._closed:
            self._discard()
            return False
        return True

    def abort(self) -> None:
        """Reset the connection, which makes the endpoint stop working on the request."""
        self._matches = None
        self._discard()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start parsing a response."""
        self._in_response = True
        self._in_head = True
        self._reason_phrase = b""
        self._lines = bytearray()
        if self._delivering:
            # An extra response directly after the expected one.
            self._unmatched_responses += 1
            self._not_reusable = True

    def on_status(self, status: bytes) -> None:
        """Append to the reason phrase."""
        self._reason_phrase += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; trailers are dropped, as none is known to be safe as a header."""
        if self._in_head:
            self._lines += b"%s:%s\n" % (name.lower(), value.strip())

    def on_headers_complete(self) -> None:
        """Queue the head if the response matches the request in progress."""
        self._in_head = False
        lines, self._lines = bytes(self._lines), bytearray()
        status = self._parser.get_status_code()
        if not statuses.is_valid(status):
            self._not_reusable = True
            self._push(ResponseEnd(EndKind.MALFORMED, f"an answer of status {status:03}"))
            return
        if statuses.is_interim(status) or self._delivering:
            return
        head = ResponseHead(status, self._reason_phrase, HeaderBlock(lines))
        if self._matches is None or not self._matches(head):
            self._unmatched_responses += 1
            self._not_reusable = True
            return
        self._delivering = True
        self._record_framing(head)
        self._push(head)
        if not self._expects_body:
            # The parser would take the next response for the body.
            self._not_reusable = True
            self._in_response = False
            self._push(ResponseEnd(EndKind.COMPLETE))

    def on_body(self, body: bytes) -> None:
        """Queue a piece of the body; pause reading when the buffer is full."""
        if self._delivering and not self._ended():
            self._buffered_bytes += len(body)
            self._push_body(body)
            if (
                self._buffered_bytes > READ_BUFFER_BYTES
                and not self._reading_paused
                and self._transport
            ):
                self._reading_paused = True
                self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Queue the end of the response."""
        self._in_response = False
        if statuses.is_interim(self._parser.get_status_code()):
            return
        if self._delivering and not self._ended():
            self._push(ResponseEnd(EndKind.COMPLETE))

    def _ended(self) -> bool:
        return bool(self._events) and isinstance(self._events[-1], ResponseEnd)

    def _record_framing(self, head: ResponseHead) -> None:
        self._body_until_close = head.framing is BodyFraming.UNTIL_CLOSE
        if b"close" in messages.connection_options(head.headers):
            self._not_reusable = True
        self._keep_alive_s = _keep_alive_timeout(head.headers)

    def _push_body(self, body: bytes) -> None:
        """Queue a piece of the body, joined with those that wait, so that memory follows bytes."""
        waiting = self._events[-1] if self._events else None
        if isinstance(waiting, bytearray):
            waiting += body
        elif isinstance(waiting, bytes):
            self._events[-1] = bytearray(waiting) + body
        else:
            self._push(body)
        self._undelivered_bytes = 0

    def _push(self, event: ResponseEvent) -> None:
        if self._ended():
            return
        self._undelivered_bytes = 0
        self._events.append(event)
        if self._event_queued is not None and not self._event_queued.done():
            self._event_queued.set_result(None)

    def _discard(self) -> None:
        self._not_reusable = True
        if self._transport is not None:
            self._transport.abort()


def _log_unbounded(transport: asyncio.Transport | None, reason: str) -> None:
    peer = transport.get_extra_info("peername") if transport is not None else None
    logging.warning("response.unbounded", extra={"fields": {"peer": peer, "reason": reason}})


def _keep_alive_timeout(headers: Headers) -> float | None:
    value = messages.header_value(headers, b"keep-alive")
    if value is None:
        return None
    for option in value.split(b","):
        name, _, text = option.strip().partition(b"=")
        if name.lower() == b"timeout" and text.isdigit():
            return float(text)
    return None


async def connect(address: Address, timeout_s: float) -> EndpointConnection:
    """Open a connection to an endpoint.

    :raises OSError: when it can't be opened within the timeout.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, protocol = await loop.create_connection(EndpointConnection, address.host, address.port)
    return protocol
