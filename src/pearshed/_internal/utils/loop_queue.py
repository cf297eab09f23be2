"""Hands work from many threads to the event loop with few wake-ups."""

import asyncio
import contextlib
import threading
from collections import deque
from collections.abc import Callable

Work = Callable[[], None]


class LoopQueue:
    """Runs posted work on the event loop's thread, in the order in which it was posted.

    Waking the loop costs more than most of the work, so it is woken only when it has no wake-up
    under way: what many threads post meanwhile runs together.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._posted: deque[Work] = deque()
        self._lock = threading.Lock()
        self._wake_pending = False

    def post(self, work: Work) -> None:
        """Add work; callable from any thread. Work posted after the loop's end is dropped."""
        with self._lock:
            self._posted.append(work)
            if self._wake_pending:
                return
            self._wake_pending = True
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(self._run)

    def _run(self) -> None:
        with self._lock:
            posted = self._posted
            self._posted = deque()
            self._wake_pending = False
        for work in posted:
            work()
