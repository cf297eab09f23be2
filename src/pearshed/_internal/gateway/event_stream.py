"""Splits a stream of server-sent events (text/event-stream) at the event boundaries."""

from dataclasses import dataclass

_BOUNDARY = b"\n\n"
_CRLF_BOUNDARY = b"\r\n\r\n"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event.

    :ivar event_id: ``None`` when the event has no id.
    """

    content: bytes
    event_id: str | None


class EventBuffer:
    """Returns complete events only, so that a stream can be resumed from another endpoint."""

    def __init__(self) -> None:
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return self._remainder

    def feed(self, content: bytes) -> list[StreamEvent]:
        """Add bytes.

        :returns: the events that they complete.
        """
        self._remainder += content
        events: list[StreamEvent] = []
        while True:
            end = _boundary_end(self._remainder)
            if not end:
                return events
            event, self._remainder = self._remainder[:end], self._remainder[end:]
            events.append(StreamEvent(event, _event_id(event)))


def _boundary_end(content: bytes) -> int:
    ends = [
        index + len(boundary)
        for boundary in (_BOUNDARY, _CRLF_BOUNDARY)
        if (index := content.find(boundary)) >= 0
    ]
    return min(ends, default=0)


def _event_id(content: bytes) -> str | None:
    for line in content.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            return value.strip().decode("latin-1")
    return None
