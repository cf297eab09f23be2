"""Hands an answer from the event loop to the thread that serves the caller."""

import queue
import threading

from pearshed._internal.models.outcomes import AnswerEvent


class AnswerSink:
    """A one-way channel of answer events for one request.

    The event loop puts, the caller's thread takes. The caller's thread marks the sink closed
    when nobody wants the answer any more.
    """

    __slots__ = ("_closed", "_events")

    def __init__(self) -> None:
        self._events: queue.SimpleQueue[AnswerEvent] = queue.SimpleQueue()
        self._closed = threading.Event()

    @property
    def closed(self) -> bool:
        """Whether the caller has gone."""
        return self._closed.is_set()

    def put(self, event: AnswerEvent) -> None:
        """Add an event; never blocks."""
        self._events.put(event)

    def take(self, timeout_s: float) -> AnswerEvent | None:
        """Take the next event, or nothing when none came in time."""
        try:
            return self._events.get(timeout=timeout_s)
        except queue.Empty:
            return None

    def take_ready(self) -> AnswerEvent | None:
        """Take the next event if there is one already."""
        try:
            return self._events.get_nowait()
        except queue.Empty:
            return None

    def close(self) -> None:
        """Note that the caller has gone or has its whole answer."""
        self._closed.set()
