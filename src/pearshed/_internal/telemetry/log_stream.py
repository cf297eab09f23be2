"""A stream for log lines that never holds up the writer."""

import collections
import contextlib
import io
import os

#: Bytes of lines that wait for a slow reader; about five seconds of the busiest node.
MAX_PENDING_BYTES = 512 * 1024
_BATCH_BYTES = 32 * 1024


class BoundedLogStream(io.TextIOBase):
    """Keeps lines until ``drain`` writes them, and drops lines when too many wait.

    :param descriptor: file descriptor that is written to without blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._dropped = 0
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines dropped since too many waited."""
        return self._dropped

    def write(self, text: str) -> int:
        """Keep a line for ``drain``."""
        line = text.encode("utf-8", "backslashreplace")
        if self._waiting_bytes + len(line) > MAX_PENDING_BYTES:
            self._dropped += 1
        else:
            self._lines.append(line)
            self._waiting_bytes += len(line)
        return len(text)

    def flush(self) -> None:
        """Do nothing: lines are written by ``drain``."""

    def drain(self) -> None:
        """Write the lines that wait, as far as the reader takes them."""
        while self._lines:
            batch = self._take_batch()
            try:
                written = os.write(self._descriptor, batch)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader is gone; nobody is left to tell.
                self._dropped += batch.count(b"\n")
                return
            if written < len(batch):
                self._lines.appendleft(batch[written:])
                self._waiting_bytes += len(batch) - written
                return

    def _take_batch(self) -> bytes:
        batch = [self._lines.popleft()]
        size = len(batch[0])
        while self._lines and size + len(self._lines[0]) <= _BATCH_BYTES:
            batch.append(self._lines.popleft())
            size += len(batch[-1])
        self._waiting_bytes -= size
        return b"".join(batch)
