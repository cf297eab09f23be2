"""Passes the events of a response from the event loop to the caller's thread."""

import queue
import select
import socket
import threading
from collections.abc import Callable

from pearshed._internal.models.outcomes import RelayedChunk, RelayedEvent

WriteBytes = Callable[[bytes], object]


class ResponseSink:
    """A queue of response events from the event loop to the caller's thread, for one request.

    Waking a thread for each token costs far more than relaying the token, so while the caller
    keeps up, the event loop writes chunks directly to the caller's connection. When the
    connection is not writable at once, the event loop doesn't block: the chunk is queued, and
    the caller's thread, which may block, writes until the queue is empty again.
    """

    __slots__ = ("_closed", "_direct_write", "_direct_write_count", "_events", "_lock", "_poll")

    def __init__(self) -> None:
        self._events: queue.SimpleQueue[RelayedEvent] = queue.SimpleQueue()
        self._closed = threading.Event()
        self._lock = threading.Lock()
        self._direct_write: WriteBytes | None = None
        self._poll: select.poll | None = None
        self._direct_write_count = 0

    @property
    def closed(self) -> bool:
        """Whether the response is closed: delivered, or the caller has disconnected."""
        return self._closed.is_set()

    @property
    def direct_write_count(self) -> int:
        """Chunks written directly by the event loop."""
        return self._direct_write_count

    def put(self, event: RelayedEvent) -> None:
        """Write a chunk directly, or queue the event for the caller's thread; never blocks."""
        with self._lock:
            if not (isinstance(event, RelayedChunk) and self._try_write(event.content)):
                self._direct_write = None
                self._events.put(event)

    def get(self, timeout_s: float) -> RelayedEvent | None:
        """Return the next event, or None on timeout."""
        try:
            return self._events.get(timeout=timeout_s)
        except queue.Empty:
            return None

    def get_nowait(self) -> RelayedEvent | None:
        """Return the next event, or None when the queue is empty."""
        try:
            return self._events.get_nowait()
        except queue.Empty:
            return None

    def enable_direct_writes(self, write: WriteBytes, sock: socket.socket) -> None:
        """Let the event loop write from now on, unless events are queued for the thread.

        The thread must not write until it gets another event.
        """
        with self._lock:
            if not self._events.empty():
                return
            if self._poll is None:
                self._poll = select.poll()
                self._poll.register(sock, select.POLLOUT)
            self._direct_write = write

    def close(self) -> None:
        """Close the sink: the response is delivered, or the caller has disconnected."""
        self._closed.set()
        with self._lock:
            self._direct_write = None

    def _try_write(self, content: bytes) -> bool:
        if self._direct_write is None or self._poll is None:
            return False
        try:
            ready = self._poll.poll(0)
            if not ready or ready[0][1] != select.POLLOUT:
                return False
            self._direct_write(content)
        except (OSError, ValueError):
            self._closed.set()
            return False
        self._direct_write_count += 1
        return True
