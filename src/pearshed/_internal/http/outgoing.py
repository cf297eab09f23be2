"""Writes content to a transport piece by piece, as the peer takes it."""

import asyncio
import collections
from collections.abc import Iterable

from pearshed._internal.http.segments import SEGMENT_BYTES

Piece = bytes | bytearray | memoryview

#: Unsent bytes in the transport at which writing pauses; the rest isn't copied there before.
WRITE_BUFFER_BYTES = SEGMENT_BYTES


class OutgoingContent:
    """Content of one connection that is to be sent, in order.

    :param transport: calls ``pause`` and ``resume`` through the connection's protocol.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._pieces: collections.deque[Piece] = collections.deque()
        self._piece_bytes = 0
        self._paused = False
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)

    @property
    def pending_bytes(self) -> int:
        """Bytes that the kernel hasn't taken yet."""
        return self._piece_bytes + self._transport.get_write_buffer_size()

    @property
    def blocked(self) -> bool:
        """Whether the peer takes bytes more slowly than they are written."""
        return self._paused or bool(self._pieces)

    def write(self, content: bytes) -> None:
        """Write bytes; large content is kept and not copied until it can be sent."""
        if len(content) <= SEGMENT_BYTES and not self.blocked:
            if content and not self._transport.is_closing():
                self._transport.write(content)
            return
        view = memoryview(content)
        starts = range(0, len(content), SEGMENT_BYTES)
        self.write_segments(view[start : start + SEGMENT_BYTES] for start in starts)

    def write_segments(self, segments: Iterable[Piece]) -> None:
        """Write segments; those that can't be sent at once are kept, not copied."""
        if self._transport.is_closing():
            return
        for segment in segments:
            self._add(segment)
        self._send()

    def pause(self) -> None:
        """Keep further content, as the transport's buffer is full."""
        self._paused = True

    def resume(self) -> None:
        """Write kept content again."""
        self._paused = False
        self._send()

    def clear(self) -> None:
        """Drop the content that isn't in the transport's buffer yet."""
        self._pieces.clear()
        self._piece_bytes = 0

    def _add(self, piece: Piece) -> None:
        self._pieces.append(piece)
        self._piece_bytes += len(piece)

    def _send(self) -> None:
        # The transport may call pause() within each write.
        while self._pieces and not self._paused and not self._transport.is_closing():
            piece = self._pieces.popleft()
            self._piece_bytes -= len(piece)
            self._transport.write(piece)
