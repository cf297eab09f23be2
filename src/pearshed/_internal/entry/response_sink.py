"""Hands an answer from the event loop to the caller."""

import queue
import select
import socket
import threading
from collections.abc import Callable

from pearshed._internal.models.outcomes import RelayedChunk, RelayedEvent

WriteBytes = Callable[[bytes], object]


class ResponseSink:
    """A one-way channel of answer events for one request.

    The event loop puts, the caller's thread takes. Waking a thread for each token costs far more
    than the token itself, so while the caller keeps up, the event loop writes parts straight to
    the caller's connection. A connection that is not writable at once never holds the event loop
    up: the part is queued and the caller's thread, which may wait, takes over until the queue is
    empty again.
    """

    __slots__ = ("_closed", "_direct", "_direct_parts", "_events", "_lock", "_poll")

    def __init__(self) -> None:
        self._events: queue.SimpleQueue[RelayedEvent] = queue.SimpleQueue()
        self._closed = threading.Event()
        self._lock = threading.Lock()
        self._direct: WriteBytes | None = None
        self._poll: select.poll | None = None
        self._direct_parts = 0

    @property
    def closed(self) -> bool:
        """Whether the caller has gone."""
        return self._closed.is_set()

    @property
    def direct_parts(self) -> int:
        """Parts that the event loop wrote itself."""
        return self._direct_parts

    def put(self, event: RelayedEvent) -> None:
        """Write a part, or add an event for the caller's thread; never blocks."""
        with self._lock:
            if not (isinstance(event, RelayedChunk) and self._write_directly(event.content)):
                self._direct = None
                self._events.put(event)

    def get(self, timeout_s: float) -> RelayedEvent | None:
        """Take the next event, or nothing when none came in time."""
        try:
            return self._events.get(timeout=timeout_s)
        except queue.Empty:
            return None

    def get_nowait(self) -> RelayedEvent | None:
        """Take the next event if there is one already."""
        try:
            return self._events.get_nowait()
        except queue.Empty:
            return None

    def write_directly(self, write: WriteBytes, sock: socket.socket) -> None:
        """Let the event loop write from now on, unless events wait for the thread.

        The thread must not write until it has taken another event.
        """
        with self._lock:
            if not self._events.empty():
                return
            if self._poll is None:
                self._poll = select.poll()
                self._poll.register(sock, select.POLLOUT)
            self._direct = write

    def close(self) -> None:
        """Note that the caller has gone or has its whole answer."""
        self._closed.set()
        with self._lock:
            self._direct = None

    def _write_directly(self, content: bytes) -> bool:
        if self._direct is None or self._poll is None:
            return False
        try:
            ready = self._poll.poll(0)
            if not ready or ready[0][1] != select.POLLOUT:
                return False
            self._direct(content)
        except (OSError, ValueError):
            self._closed.set()
            return False
        self._direct_parts += 1
        return True
