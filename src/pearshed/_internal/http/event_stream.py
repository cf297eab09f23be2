"""Splits a stream of server-sent events (text/event-stream) at the event boundaries."""

import re
from dataclasses import dataclass

_LINE_END = rb"(?:\r\n|\n|\r(?!\n))"
_EVENT_END = re.compile(_LINE_END * 2)
_LINE_END_BYTES = b"\r\n"

#: Larger events are refused, bytes.
MAX_EVENT_BYTES = 1024 * 1024
MEDIA_TYPE = "text/event-stream"


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

    @property
    def unfinished_event_bytes(self) -> int:
        """Bytes of an event whose end has not arrived; more blank lines belong to no event."""
        return len(self._remainder.lstrip(_LINE_END_BYTES))

    @property
    def too_large(self) -> bool:
        """Whether the unfinished event is larger than any event may be."""
        return len(self._remainder) > MAX_EVENT_BYTES

    def feed(self, content: bytes) -> list[StreamEvent]:
        """Add bytes.

        :returns: the events that they complete.
        """
        self._remainder += content
        events: list[StreamEvent] = []
        while True:
            boundary = _EVENT_END.search(self._remainder)
            if boundary is None:
                return events
            end = boundary.end()
            event, self._remainder = self._remainder[:end], self._remainder[end:]
            events.append(StreamEvent(event, _event_id(event)))


def is_event_stream(content_type: str) -> bool:
    """Return whether a Content-Type is that of server-sent events."""
    return content_type.partition(";")[0].strip().lower() == MEDIA_TYPE


def ends_inside_event(content: bytes | bytearray) -> bool:
    """Return whether a stream's last event is unfinished."""
    text_end = len(content.rstrip(_LINE_END_BYTES))
    return text_end > 0 and _EVENT_END.search(content, text_end) is None


def _event_id(content: bytes) -> str | None:
    for line in content.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            return value.strip().decode("latin-1")
    return None
