"""Passes callbacks from threads to the event loop with few wake-ups."""

import asyncio
import contextlib
import threading
from collections import deque
from collections.abc import Callable

Callback = Callable[[], None]


class LoopQueue:
    """Runs posted callbacks on the event loop's thread, in the order in which they were posted.

    Waking the loop costs more than most callbacks, so it is woken only if no wake-up is pending:
    callbacks that threads post in the meantime run in one batch.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._posted: deque[Callback] = deque()
        self._lock = threading.Lock()
        self._wake_pending = False

    def post(self, callback: Callback) -> None:
        """Queue a callback; thread-safe. Callbacks posted after the loop is closed are dropped."""
        with self._lock:
            self._posted.append(callback)
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
        for callback in posted:
            callback()
