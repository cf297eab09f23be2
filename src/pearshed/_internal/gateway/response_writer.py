"""Writes one answer to a caller."""

from pearshed._internal.gateway.event_stream import StreamEvent
from pearshed._internal.http import messages
from pearshed._internal.http.caller_connection import CallerConnection
from pearshed._internal.http.messages import Header, HttpRequest, ResponseHead


class ResponseWriter:
    """Passes an endpoint's answer on, or writes one of the gateway's own.

    :param close: the connection is closed after the answer.
    """

    def __init__(self, connection: CallerConnection, request: HttpRequest, close: bool) -> None:
        self._connection = connection
        self._chunked = request.http_1_1
        self._close = close or not request.keep_alive
        self._head_only = request.method == b"HEAD"
        self._begun = False
        self._events = 0
        self._last_event_id = ""

    @property
    def begun(self) -> bool:
        """Whether the caller has got the start of an answer."""
        return self._begun

    @property
    def caller_gone(self) -> bool:
        """Whether the caller has left."""
        return self._connection.disconnected

    @property
    def events(self) -> int:
        """Events passed on."""
        return self._events

    @property
    def last_event_id(self) -> str:
        """Id of the last event that was passed on; empty before the first."""
        return self._last_event_id

    @property
    def closes(self) -> bool:
        """Whether the connection is closed after the answer."""
        return self._close

    def write_whole(
        self, status: int, reason: bytes | None, headers: list[Header], body: bytes
    ) -> None:
        """Write an answer whose body is known."""
        self._begun = True
        head = [*headers, (b"content-length", b"%d" % len(body)), *self._connection_header()]
        content = messages.encode_head(messages.status_line(status, reason), head)
        self._connection.write(content if self._head_only else content + body)

    def begin_stream(self, head: ResponseHead) -> None:
        """Write the head of a stream."""
        self._begun = True
        headers = messages.end_to_end(head.headers)
        if self._chunked:
            headers.append((b"transfer-encoding", b"chunked"))
        else:
            self._close = True
        headers.extend(self._connection_header())
        self._connection.write(
            messages.encode_head(messages.status_line(head.status, head.reason), headers)
        )

    async def write_event(self, event: StreamEvent) -> None:
        """Pass on one event."""
        self._events += 1
        if event.event_id is not None:
            self._last_event_id = event.event_id
        self._write_piece(event.content)
        await self._connection.drain()

    def end_stream(self, rest: bytes) -> None:
        """End a stream as complete.

        :param rest: bytes behind the last event.
        """
        if rest:
            self._write_piece(rest)
        if self._chunked:
            self._connection.write(messages.LAST_CHUNK)

    def detach(self) -> None:
        """Let the request run to its end even if the caller leaves."""
        self._connection.on_disconnect(None)

    def break_off(self) -> None:
        """Reset the connection, so that the answer can't look complete."""
        self._close = True
        self._connection.abort()

    def _write_piece(self, content: bytes) -> None:
        self._connection.write(messages.encode_chunk(content) if self._chunked else content)

    def _connection_header(self) -> list[Header]:
        return [(b"connection", b"close")] if self._close else []
