"""Bytes in segments of one size, which grow and are sent without copies of the whole."""

import sys
from collections.abc import Iterable

#: The allocator uses the memory of freed segments of one size again.
SEGMENT_BYTES = 64 * 1024


class SegmentedBytes:
    """Bytes that are appended to, and then read in segments."""

    __slots__ = ("_full", "_full_bytes", "_last")

    def __init__(self, content: bytes = b"") -> None:
        self._full: list[bytes | bytearray] = []
        self._full_bytes = 0
        self._last = bytearray()
        self.append(content)

    @property
    def segments(self) -> list[bytes | bytearray]:
        """The segments in order; none is empty."""
        return [*self._full, self._last] if self._last else list(self._full)

    @property
    def held_bytes(self) -> int:
        """Memory of the segments, bytes."""
        return self._full_bytes + sys.getsizeof(self._last)

    def append(self, content: bytes) -> None:
        """Append bytes."""
        if len(self._last) + len(content) < SEGMENT_BYTES:
            self._last += content
            return
        start = 0
        while start < len(content):
            end = start + SEGMENT_BYTES - len(self._last)
            self._last += content[start:end]
            start = end
            if len(self._last) >= SEGMENT_BYTES:
                self._full.append(self._last)
                self._full_bytes += sys.getsizeof(self._last)
                self._last = bytearray()

    def clear(self) -> None:
        """Drop all bytes."""
        self._full.clear()
        self._full_bytes = 0
        self._last = bytearray()

    def __len__(self) -> int:
        return len(self._full) * SEGMENT_BYTES + len(self._last)

    def __bytes__(self) -> bytes:
        return b"".join(self.segments)

    def __eq__(self, other: object) -> bool:
        if isinstance(other, SegmentedBytes | bytes):
            return bytes(self) == bytes(other)
        return NotImplemented

    __hash__ = None  # type: ignore[assignment]


def segments_of(content: bytes | SegmentedBytes) -> Iterable[bytes | bytearray]:
    """Return the segments of content that may be in one piece."""
    if isinstance(content, SegmentedBytes):
        return content.segments
    return (content,) if content else ()
