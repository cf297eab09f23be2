"""Server side of HTTP connections: receives requests, sends responses, and accounts for both."""

import asyncio
import enum
import select
from collections.abc import Callable, Iterable

from pearshed._internal.decisions.ending_order import Holding, HoldingStage
from pearshed._internal.decisions.room_refusal import NO_ROOM, return_after_s
from pearshed._internal.http import messages
from pearshed._internal.http.messages import HttpRequest, RequestProblem
from pearshed._internal.http.outgoing import OutgoingContent
from pearshed._internal.http.request_parser import ParserStage, RequestParser, held_bytes_of
from pearshed._internal.models.routing import CallerLimits
from pearshed._internal.resources.account import Holder, ResourceAccount
from pearshed._internal.timers import clock
from pearshed._internal.utils.sockets import set_reset_on_close

#: Unparsed bytes at which reading pauses while a request is served.
MAX_PIPELINED_BYTES = 16 * 1024
#: Bytes that are read at once from one connection.
RECEIVED_AT_ONCE_BYTES = 64 * 1024
_RECEIVE_BUFFER = memoryview(bytearray(RECEIVED_AT_ONCE_BYTES))
#: Time in which a refused client may go on sending before its connection is reset, seconds. Closing
#: it at once would reset it, and the client might lose the refusal.
LINGER_S = 2.0
#: Memory of a connection without a request: the transport, the protocol, the parser and the task.
CONNECTION_BYTES = 8 * 1024
#: Memory of what serves a request: its record, an endpoint's connection and the task's frames.
SERVING_BYTES = 16 * 1024


class ConnectionState(enum.Enum):
    """State of a caller's connection."""

    IDLE = "idle"
    READING = "reading"
    SERVING = "serving"
    REFUSED = "refused"
    CLOSED = "closed"


class CallerConnection(asyncio.BufferedProtocol, Holder):
    """Protocol of one caller's connection; requests sent ahead wait until those before are served.

    :param limits: returns the current limits; called for each check, since they may change.
    :param account: charged with what the connection holds.
    :param on_connected: called once the connection is open; starts the task that serves it.
    :param on_closed: called once the connection is closed.
    """

    def __init__(
        self,
        limits: Callable[[], CallerLimits],
        account: ResourceAccount,
        on_connected: Callable[["CallerConnection"], None],
        on_closed: Callable[["CallerConnection"], None],
    ) -> None:
        self._limits = limits
        self._account = account
        self._on_connected = on_connected
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._outgoing: OutgoingContent | None = None
        self._parser = RequestParser(limits)
        self._unparsed = bytearray()
        self._unparsed_since = 0.0
        self._request_parsed: asyncio.Future[None] | None = None
        self._sent: asyncio.Future[None] | None = None
        self._disconnect_callback: Callable[[], None] | None = None
        self._state = ConnectionState.IDLE
        self._state_since = clock.now()
        self._reading_since = 0.0
        self._progressed_at = self._state_since
        self._pending_bytes = 0
        self._request_bytes = 0
        self._metadata_bytes = 0
        self._answer_bytes = 0
        self._reading_paused = False
        self._body_until_close = False
        self._closing = False
        self._aborted = False

    @property
    def state(self) -> ConnectionState:
        """The connection's state."""
        return self._state

    @property
    def disconnected(self) -> bool:
        """Whether the connection is closed."""
        return self._state is ConnectionState.CLOSED

    @property
    def blocked(self) -> bool:
        """Whether the caller takes bytes more slowly than they are written."""
        return self._outgoing is not None and self._outgoing.blocked and not self.disconnected

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start serving the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._outgoing = OutgoingContent(transport)
        self._on_connected(self)
        self._account.open(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake the tasks that wait on the connection, and report the disconnect."""
        if self._body_until_close and self._closing and not self._aborted and exc is None:
            self._set_reset_on_close(False)
        self._state = ConnectionState.CLOSED
        self._account.close(self)
        self._unparsed = bytearray()
        if self._outgoing is not None:
            self._outgoing.clear()
        self._wake(self._request_parsed)
        self._wake(self._sent)
        self._notify_disconnect()
        self._on_closed(self)

    def eof_received(self) -> bool:
        """Close the connection: a half-closed one counts as disconnected."""
        return False

    def pause_writing(self) -> None:
        """Keep what is written until the transport's buffer has emptied."""
        if self._outgoing is not None:
            self._outgoing.pause()

    def resume_writing(self) -> None:
        """Send what was kept, and wake the task that waits in ``drain()``."""
        if self._outgoing is None:
            return
        self._outgoing.resume()
        self._record_sending()
        if self._outgoing.blocked:
            return
        self._wake(self._sent)
        if self._closing and self._transport is not None:
            self._transport.close()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the event loop puts received bytes; one place serves all connections."""
        return _RECEIVE_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Handle received bytes."""
        self.data_received(bytes(_RECEIVE_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or keep them while a request is served."""
        if self._parser.refused or self._closing or self.disconnected:
            return
        now = clock.now()
        self._progressed_at = now
        if self._state is ConnectionState.IDLE:
            self._set_state(ConnectionState.READING)
            self._reading_since = now
        if self._state is ConnectionState.SERVING or self._unparsed or self._parser.has_parsed:
            self._keep(data, now)
        else:
            parsed = self._parse(data, now)
            if parsed < len(data):
                self._keep(memoryview(data)[parsed:], now)
        self._account.update(self)

    async def next_request(self) -> HttpRequest | RequestProblem | None:
        """Wait for the next request.

        :returns: the request, why it is refused, or ``None`` when the caller disconnected.
        """
        if self._parser.has_parsed:
            # Requests sent ahead leave the other connections their turn.
            await asyncio.sleep(0)
        while not self._parser.has_parsed and not self.disconnected:
            self._request_parsed = asyncio.get_running_loop().create_future()
            await self._request_parsed
        if self.disconnected:
            return None
        request = self._parser.take()
        if isinstance(request, RequestProblem):
            return request
        self._set_state(ConnectionState.SERVING)
        self._request_bytes = SERVING_BYTES + held_bytes_of(request)
        self._account.update(self)
        return request

    def finish_request(self) -> None:
        """Mark the request as served, parse what was kept, and resume reading."""
        if self._state is not ConnectionState.SERVING:
            return
        self._request_bytes = self._metadata_bytes = self._answer_bytes = 0
        self._progressed_at = clock.now()
        self._set_state(ConnectionState.IDLE)
        self._record_sending()
        self._parse_kept()
        self._send_continue_if_due()
        if self._reading_paused and len(self._unparsed) <= MAX_PIPELINED_BYTES:
            self._reading_paused = False
            if self._transport is not None:
                self._transport.resume_reading()
        self._account.update(self)

    def hold_metadata(self, held_bytes: int) -> bool:
        """Charge what was decoded from the request that is served, bytes.

        :returns: whether there is room for it.
        """
        self._metadata_bytes = held_bytes
        self._account.update(self)
        return self._account.has_room_for(self)

    def hold_answer(self, held_bytes: int) -> bool:
        """Charge what was received so far of an answer that isn't written yet, bytes.

        :returns: whether there is room for it.
        """
        self._answer_bytes = held_bytes
        self._account.update(self)
        return self._account.has_room_for(self)

    def on_disconnect(self, callback: Callable[[], None] | None) -> None:
        """Set the callback for the caller's disconnect, called once; replaces the previous one."""
        self._disconnect_callback = callback
        if callback is not None and self.disconnected:
            self._notify_disconnect()

    def write(self, content: bytes) -> None:
        """Send bytes; they are dropped when the connection is closed."""
        if self._outgoing is not None and not self._closing:
            self._outgoing.write(content)
            self._record_sending()

    def write_segments(self, segments: Iterable[bytes | bytearray]) -> None:
        """Send the segments of an answer, which must not change any more."""
        self._answer_bytes = 0
        if self._outgoing is not None and not self._closing:
            self._outgoing.write_segments(segments)
            self._record_sending()

    async def drain(self) -> None:
        """Wait while the caller takes bytes more slowly than they are written."""
        while self.blocked:
            self._sent = asyncio.get_running_loop().create_future()
            await self._sent

    def begin_body_until_close(self) -> None:
        """Begin a body whose end is marked by the end of the connection.

        Unless it is ended by ``close()``, the connection is reset, also when the process is killed.
        """
        self._body_until_close = True
        self._set_reset_on_close(True)

    def close(self) -> None:
        """Close the connection once everything written has been sent."""
        if self._transport is None or self._closing or self._transport.is_closing():
            return
        self._closing = True
        if self._outgoing is None or not self._outgoing.blocked:
            self._transport.close()

    def close_refused(self) -> None:
        """Close the connection after a refusal, once the caller has read it and stops sending."""
        if self._transport is None or self._closing or self._transport.is_closing():
            return
        if self._outgoing is None or self._outgoing.blocked or not self._transport.can_write_eof():
            self.close()
            return
        self._set_state(ConnectionState.REFUSED)
        self._transport.write_eof()

    def abort(self) -> None:
        """End the connection at once, so that a truncated response can't look complete."""
        self._aborted = True
        if self._outgoing is not None:
            self._outgoing.clear()
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
        """Close an idle connection, refuse a slow request, and reset one that takes no answer."""
        limits = self._limits()
        self._record_sending()
        stalled_s = now - self._progressed_at
        if self._pending_bytes and stalled_s > limits.idle_timeout_s:
            self.abort()
        elif self._state is ConnectionState.REFUSED:
            if now - self._state_since > LINGER_S:
                self.abort()
        elif self._state is ConnectionState.IDLE:
            if now - self._state_since > limits.idle_timeout_s:
                self.close()
        elif self._state is ConnectionState.READING:
            self._refuse_if_overdue(now, limits)

    # What the connection makes the process hold.

    def holding(self) -> "Holding[Holder]":
        """Return what the connection holds."""
        self._refresh_pending()
        stage = self._holding_stage()
        ahead_bytes = len(self._unparsed) + self._parser.held_bytes
        held_bytes = (
            CONNECTION_BYTES
            + ahead_bytes
            + self._request_bytes
            + self._metadata_bytes
            + self._answer_bytes
            + self._pending_bytes
        )
        return Holding(
            self,
            stage,
            held_bytes,
            ahead_bytes if stage is HoldingStage.AHEAD else held_bytes,
            self._parser.message_bytes,
            self._reading_since,
            self._progressed_at,
        )

    def end_for_lack_of_room(self) -> None:
        """Refuse what isn't being served as not run; end a connection without a request."""
        stage = self._holding_stage()
        is_begun = self._parser.stage is not ParserStage.BETWEEN
        if stage is HoldingStage.AHEAD:
            self._unparsed = bytearray()
            self._parser.refuse_parsed(503, NO_ROOM, return_after_s())
            self._account.update(self)
        elif stage is HoldingStage.RECEIVING and is_begun:
            self._parser.refuse(503, NO_ROOM, return_after_s())
            self._wake(self._request_parsed)
            self._account.update(self)
        else:
            self.abort()
            self._account.close(self)

    def _holding_stage(self) -> HoldingStage:
        if self._state is ConnectionState.REFUSED:
            return HoldingStage.REFUSED
        if self._pending_bytes:
            return HoldingStage.SENDING
        if self._state is ConnectionState.SERVING and not self._closing:
            is_ahead = self._unparsed or (self._parser.has_parsed and not self._parser.refused)
            return HoldingStage.AHEAD if is_ahead else HoldingStage.SERVING
        if self._parser.has_parsed:
            return HoldingStage.SERVING
        if self._closing or self._parser.refused:
            return HoldingStage.REFUSED
        if self._state is ConnectionState.READING:
            return HoldingStage.RECEIVING
        return HoldingStage.IDLE

    def _record_sending(self) -> None:
        """Charge what the caller still has to take."""
        if self._refresh_pending():
            self._account.update(self)

    def _refresh_pending(self) -> bool:
        """Read what the caller still has to take; return whether that has changed."""
        pending_bytes = self._outgoing.pending_bytes if self._outgoing is not None else 0
        if pending_bytes == self._pending_bytes:
            return False
        if pending_bytes < self._pending_bytes or not self._pending_bytes:
            self._progressed_at = clock.now()
        self._pending_bytes = pending_bytes
        return True

    # Receiving.

    def _keep(self, data: bytes | memoryview, now: float) -> None:
        """Keep bytes that follow a request which hasn't been served yet."""
        if not self._unparsed:
            self._unparsed_since = now
        self._unparsed += data
        if len(self._unparsed) > MAX_PIPELINED_BYTES:
            self._pause_reading()

    def _parse_kept(self) -> None:
        """Parse the bytes kept while a request was served, up to the end of the next one."""
        if not self._unparsed or self._parser.has_parsed or self._parser.refused:
            return
        self._set_state(ConnectionState.READING)
        self._reading_since = self._unparsed_since
        unparsed, self._unparsed = self._unparsed, bytearray()
        parsed = self._parse(bytes(unparsed), self._unparsed_since)
        if parsed < len(unparsed):
            self._unparsed = unparsed[parsed:]

    def _parse(self, data: bytes, received_at: float) -> int:
        """Parse bytes, and wake the task if a request is complete or refused.

        :returns: the number of bytes parsed.
        """
        parsed = self._parser.feed(data, received_at)
        self._send_continue_if_due()
        if self._parser.has_parsed:
            self._wake(self._request_parsed)
        return len(data) if self._parser.refused else parsed

    def _send_continue_if_due(self) -> None:
        """Send 100 Continue if it is expected and no earlier response must come first."""
        if (
            self._parser.expects_continue
            and self._state is not ConnectionState.SERVING
            and not self._parser.has_parsed
        ):
            self._parser.expectation_met()
            self.write(messages.status_line(100) + b"\r\n\r\n")

    def _refuse_if_overdue(self, now: float, limits: CallerLimits) -> None:
        if self._parser.refused or self._parser.has_parsed:
            return
        if self._parser.stage is not ParserStage.BODY:
            if now - self._reading_since > limits.header_timeout_s:
                self._refuse(408, "the request's header took too long")
        elif now - self._progressed_at > limits.idle_timeout_s:
            self._refuse(408, "the request's body stopped")

    def _refuse(self, status: int, message: str) -> None:
        self._parser.refuse(status, message)
        self._wake(self._request_parsed)
        self._account.update(self)

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
