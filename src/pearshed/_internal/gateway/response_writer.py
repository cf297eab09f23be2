"""Writes one response to a caller."""

from pearshed._internal.http import messages
from pearshed._internal.http.caller_connection import CallerConnection
from pearshed._internal.http.endpoint_connection import (
    READ_BUFFER_BYTES,
    RECEIVED_AT_ONCE_BYTES,
)
from pearshed._internal.http.event_stream import StreamEvent
from pearshed._internal.http.header_block import Header
from pearshed._internal.http.messages import BodyFraming, HttpRequest, ResponseHead
from pearshed._internal.http.segments import SEGMENT_BYTES, SegmentedBytes, segments_of

#: A response with this status may not have a Content-Length (RFC 9110, section 8.6).
_NO_CONTENT = 204
#: What an endpoint sends on while the caller doesn't read, bytes; the connection holds it.
_UNREAD_STREAM_BYTES = READ_BUFFER_BYTES + RECEIVED_AT_ONCE_BYTES


class ResponseWriter:
    """Writes an endpoint's response, or one that the gateway itself generates.

    :param close_connection: close the connection after the response.
    """

    def __init__(
        self, connection: CallerConnection, request: HttpRequest, close_connection: bool
    ) -> None:
        self._connection = connection
        self._can_chunk = request.http_1_1
        self._chunked = False
        self._close_connection = close_connection or not request.keep_alive
        self._head_only = request.head_only
        self._started = False
        self._event_count = 0
        self._last_event_id = ""

    @property
    def started(self) -> bool:
        """Whether the start of a response was written."""
        return self._started

    @property
    def frames_body(self) -> bool:
        """Whether the started response marks the end of its body itself, not by closing."""
        return self._chunked

    @property
    def caller_disconnected(self) -> bool:
        """Whether the caller has disconnected."""
        return self._connection.disconnected

    @property
    def event_count(self) -> int:
        """Number of events written."""
        return self._event_count

    @property
    def last_event_id(self) -> str:
        """Id of the last event written; empty before the first."""
        return self._last_event_id

    @property
    def closes_connection(self) -> bool:
        """Whether the connection is to be closed after the response."""
        return self._close_connection

    def write_response(
        self, status: int, reason: bytes | None, headers: list[Header], body: bytes
    ) -> None:
        """Write a response with a complete body."""
        self._write_response(status, reason, [*headers, _content_length(body)], body)

    def relay_response(self, head: ResponseHead, body: bytes | SegmentedBytes) -> None:
        """Write an endpoint's response, whose body is only as complete as its framing says."""
        headers = messages.end_to_end(head.headers)
        if self._head_only or head.framing is BodyFraming.NO_BODY:
            length = messages.header_value(head.headers, b"content-length")
            if length is not None and head.status != _NO_CONTENT:
                headers.append((b"content-length", length))
        elif head.framing is BodyFraming.UNTIL_CLOSE:
            self._begin_body_until_close()
        else:
            headers.append(_content_length(body))
        self._write_response(head.status, head.reason, headers, body)

    def begin_stream(self, head: ResponseHead) -> None:
        """Write the head of a stream.

        It gets no chunks if the endpoint's has neither a length nor chunks: a last chunk would say
        that it is complete, which the end of the endpoint's connection doesn't.
        """
        self._started = True
        headers = messages.end_to_end(head.headers)
        self._chunked = self._can_chunk and head.framing is not BodyFraming.UNTIL_CLOSE
        if self._chunked:
            headers.append((b"transfer-encoding", b"chunked"))
        else:
            self._begin_body_until_close()
        headers.extend(self._connection_header())
        self._connection.write(
            messages.encode_head(messages.status_line(head.status, head.reason), headers)
        )

    async def write_event(self, event: StreamEvent) -> None:
        """Write one event, and wait while the write buffer is full."""
        self._event_count += 1
        if event.event_id is not None:
            self._last_event_id = event.event_id
        self._write_body(event.content)
        if self._connection.blocked:
            self._connection.hold_answer(_UNREAD_STREAM_BYTES)
            await self._connection.drain()
            self._connection.hold_answer(0)

    def hold(self, held_bytes: int) -> bool:
        """Charge what was received of an endpoint's answer, bytes.

        :returns: whether there is room for it.
        """
        return self._connection.hold_answer(held_bytes)

    def end_stream(self, remainder: bytes) -> None:
        """End a complete stream.

        :param remainder: bytes after the last event.
        """
        if remainder:
            self._write_body(remainder)
        if self._chunked:
            self._connection.write(messages.LAST_CHUNK)

    def ignore_disconnect(self) -> None:
        """Let the request finish even if the caller disconnects."""
        self._connection.on_disconnect(None)

    def abort(self) -> None:
        """End the connection at once, so that a truncated response can't look complete."""
        self._close_connection = True
        self._connection.abort()

    def _write_response(
        self,
        status: int,
        reason: bytes | None,
        headers: list[Header],
        body: bytes | SegmentedBytes,
    ) -> None:
        if self._started:
            # The caller would take a second head for a part of the first response's body.
            self.abort()
            return
        self._started = True
        headers = [*headers, *self._connection_header()]
        content = messages.encode_head(messages.status_line(status, reason), headers)
        if self._head_only:
            self._connection.write(content)
        elif len(body) <= SEGMENT_BYTES:
            self._connection.write(content + bytes(body))
        else:
            self._connection.write(content)
            self._connection.write_segments(segments_of(body))

    def _begin_body_until_close(self) -> None:
        self._close_connection = True
        self._connection.begin_body_until_close()

    def _write_body(self, content: bytes) -> None:
        self._connection.write(messages.encode_chunk(content) if self._chunked else content)

    def _connection_header(self) -> list[Header]:
        return [(b"connection", b"close")] if self._close_connection else []


def _content_length(body: bytes | SegmentedBytes) -> Header:
    return (b"content-length", b"%d" % len(body))
