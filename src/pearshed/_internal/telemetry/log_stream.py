"""A stream for log lines that never blocks the writer."""

import collections
import contextlib
import io
import os

#: Limit of the buffer for a slow reader; about five seconds of logs of the busiest node.
MAX_PENDING_BYTES = 512 * 1024
_BATCH_BYTES = 32 * 1024


class BoundedLogStream(io.TextIOBase):
    """Buffers lines until ``drain`` writes them, and drops new lines when the buffer is full.

    :param descriptor: file descriptor to write to; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self._dropped = 0
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of lines dropped."""
        return self._dropped

    def write(self, text: str) -> int:
        """Buffer a line for ``drain``."""
        line = text.encode("utf-8", "backslashreplace")
        if self._pending_bytes + len(line) > MAX_PENDING_BYTES:
            self._dropped += 1
        else:
            self._lines.append(line)
            self._pending_bytes += len(line)
        return len(text)

    def flush(self) -> None:
        """Do nothing: lines are written by ``drain``."""

    def drain(self) -> None:
        """Write buffered lines until the descriptor would block."""
        while self._lines:
            batch = self._pop_batch()
            try:
                written = os.write(self._descriptor, batch)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader is gone, so the error can't be logged either.
                self._dropped += batch.count(b"\n")
                return
            if written < len(batch):
                self._lines.appendleft(batch[written:])
                self._pending_bytes += len(batch) - written
                return

    def _pop_batch(self) -> bytes:
        batch = [self._lines.popleft()]
        size = len(batch[0])
        while self._lines and size + len(self._lines[0]) <= _BATCH_BYTES:
            batch.append(self._lines.popleft())
            size += len(batch[-1])
        self._pending_bytes -= size
        return b"".join(batch)
