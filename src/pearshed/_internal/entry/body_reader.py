"""Reads the body of a caller's request in pieces, within the limits and the room of the entry."""

import abc
from typing import Any

import httptools
from returns.result import Failure, Result, Success

from pearshed._internal.decisions.room_refusal import NO_ROOM, return_after_s
from pearshed._internal.entry.header_reader import PARSING
from pearshed._internal.http.segments import SEGMENT_BYTES, SegmentedBytes
from pearshed._internal.models.outcomes import FailureCode, RequestFailure

#: Bytes of a chunk's extension, or of trailers, between two pieces of the body.
_MAX_FRAMING_BYTES = 64 * 1024
#: A head for the parser of the chunks; the server has parsed that of the request.
_HEAD = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
#: Every body in chunks ends with this, and the parser doesn't say where.
_END = b"\r\n\r\n"


class BodySource(abc.ABC):
    """The connection from which a body is read."""

    @property
    @abc.abstractmethod
    def ended(self) -> bool:
        """Whether the connection was ended for lack of room."""

    @abc.abstractmethod
    def record_received(self, received_bytes: int, held_bytes: int) -> None:
        """Record progress.

        :param held_bytes: memory of what was received of the body so far, bytes.
        """


def no_room() -> RequestFailure:
    """Return the refusal of a request that ends for lack of room."""
    return RequestFailure(FailureCode.OVERLOADED, NO_ROOM, retry_after_s=return_after_s())


def too_large(limit: int) -> RequestFailure:
    """Return the refusal of a body that is larger than the limit."""
    return RequestFailure(FailureCode.TOO_LARGE, f"the body is larger than {limit} bytes")


def read_known_length(
    source: BodySource, stream: Any, length: int, limit: int
) -> Result[bytes, RequestFailure]:
    """Read a body whose length is known.

    :param stream: returns up to as many bytes as asked for, fewer at the end of the connection.
    """
    if length > limit:
        return Failure(too_large(limit))
    body = SegmentedBytes()
    while len(body) < length:
        try:
            piece = stream.read(min(SEGMENT_BYTES, length - len(body)))
        except (OSError, ValueError) as error:
            return Failure(_unreadable(source, f"the body can't be read: {error}"))
        if not piece or source.ended:
            return Failure(_unreadable(source, "the body is shorter than announced"))
        body.append(piece)
        source.record_received(len(piece), body.held_bytes)
    return Success(bytes(body))


def read_chunks(source: BodySource, stream: Any, limit: int) -> Result[bytes, RequestFailure]:
    """Read a body in chunks, with its trailers, which are dropped.

    :param stream: a buffered reader of the connection.
    """
    parser = _ChunkParser(limit)
    while not parser.complete:
        try:
            received = stream.peek(1)
        except (OSError, ValueError) as error:
            return Failure(_unreadable(source, f"the body can't be read: {error}"))
        if not received or source.ended:
            return Failure(_unreadable(source, "the body has no end"))
        with PARSING:
            parsed = parser.feed(received)
            stream.read(parsed)
        if parser.failure is not None:
            return Failure(parser.failure)
        source.record_received(parsed, parser.body.held_bytes)
    return Success(bytes(parser.body))


def _unreadable(source: BodySource, message: str) -> RequestFailure:
    return no_room() if source.ended else RequestFailure(FailureCode.MALFORMED, message)


class _ChunkParser:
    """Parses chunks up to the end of the body.

    :ivar complete: the end was parsed.
    :ivar failure: why the body is refused.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._framing_bytes = 0
        self.body = SegmentedBytes()
        self.complete = False
        self.failure: RequestFailure | None = None
        self._last_bytes = b""
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(_HEAD)

    def feed(self, content: bytes) -> int:
        """Parse bytes up to the end of the body.

        :returns: the number of bytes parsed.
        """
        start = 0
        while start < len(content) and not self.complete and self.failure is None:
            end = self._next_end(content, start)
            self._feed_piece(content[start:end])
            start = end
        return start

    def _next_end(self, content: bytes, start: int) -> int:
        """Return where the body may end next; it may have begun to in the bytes parsed before."""
        window = self._last_bytes + content[start:]
        found = window.find(_END)
        if found < 0:
            return len(content)
        return start + found + len(_END) - len(self._last_bytes)

    def _feed_piece(self, piece: bytes) -> None:
        self._framing_bytes += len(piece)
        self._last_bytes = (self._last_bytes + piece)[-len(_END) + 1 :]
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserError as error:
            self.failure = RequestFailure(
                FailureCode.MALFORMED, f"the body's chunks are malformed: {error}"
            )
        if self._framing_bytes > _MAX_FRAMING_BYTES:
            self.failure = RequestFailure(
                FailureCode.MALFORMED, "the body's trailers are too large"
            )

    def on_message_complete(self) -> None:
        """Record the end of the body."""
        self.complete = True

    def on_body(self, piece: bytes) -> None:
        """Append a piece."""
        self._framing_bytes = 0
        if len(self.body) + len(piece) > self._limit:
            self.failure = too_large(self._limit)
            return
        self.body.append(piece)
