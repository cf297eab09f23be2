"""A stream for log lines that never holds up the writer."""

import collections
import contextlib
import io
import os

#: Lines waiting for a reader that is slow; about two seconds of the busiest node.
MOST_WAITING_LINES = 4000
_BATCH_LINES = 64


class BoundedLogStream(io.TextIOBase):
    """Keeps lines until ``drain`` writes them, and drops lines when too many wait.

    :param descriptor: file descriptor that is written to without blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._dropped = 0
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines dropped since too many waited."""
        return self._dropped

    def write(self, text: str) -> int:
        """Keep a line for ``drain``."""
        if len(self._lines) >= MOST_WAITING_LINES:
            self._dropped += 1
        else:
            self._lines.append(text.encode("utf-8", "backslashreplace"))
        return len(text)

    def flush(self) -> None:
        """Do nothing: lines are written by ``drain``."""

    def drain(self) -> None:
        """Write the lines that wait, as far as the reader takes them."""
        while self._lines:
            batch = b"".join(self._lines.popleft() for _ in range(self._batch_size()))
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
                return

    def _batch_size(self) -> int:
        return min(_BATCH_LINES, len(self._lines))
