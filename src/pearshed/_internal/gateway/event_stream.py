"""Events of a stream (text/event-stream), cut at their boundaries."""

from dataclasses import dataclass

_BOUNDARY = b"\n\n"
_CRLF_BOUNDARY = b"\r\n\r\n"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event.

    :ivar event_id: nothing when the event carries none.
    """

    content: bytes
    event_id: str | None


class EventBuffer:
    """Collects bytes and gives out whole events only, so that a stream can go on elsewhere."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes behind the last whole event."""
        return self._rest

    def feed(self, content: bytes) -> list[StreamEvent]:
        """Add bytes.

        :returns: the events that are whole now.
        """
        self._rest += content
        events: list[StreamEvent] = []
        while True:
            end = _boundary_end(self._rest)
            if not end:
                return events
            piece, self._rest = self._rest[:end], self._rest[end:]
            events.append(StreamEvent(piece, _event_id(piece)))


def _boundary_end(content: bytes) -> int:
    ends = [
        at + len(boundary)
        for boundary in (_BOUNDARY, _CRLF_BOUNDARY)
        if (at := content.find(boundary)) >= 0
    ]
    return min(ends, default=0)


def _event_id(content: bytes) -> str | None:
    for line in content.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            return value.strip().decode("latin-1")
    return None
