"""Timer service: one-shot and periodic callbacks on the event loop; logs pauses of the process."""

import asyncio
import heapq
import itertools
import random
from collections.abc import Callable

from absl import logging

from pearshed._internal.timers import clock

Callback = Callable[[], None]

PAUSE_THRESHOLD_S = 1.0
_MAX_SLEEP_S = 0.5


class Subscription:
    """A one-shot or periodic callback that can be cancelled."""

    __slots__ = ("_callback", "_cancelled", "_interval_s", "_jitter", "_rng")

    def __init__(
        self, callback: Callback, interval_s: float, jitter: float, rng: random.Random
    ) -> None:
        self._callback = callback
        self._interval_s = interval_s
        self._jitter = jitter
        self._rng = rng
        self._cancelled = False

    @property
    def cancelled(self) -> bool:
        """Whether the callback was cancelled."""
        return self._cancelled

    @property
    def periodic(self) -> bool:
        """Whether the callback is called repeatedly."""
        return self._interval_s > 0

    def cancel(self) -> None:
        """Cancel the callback. May be called more than once."""
        self._cancelled = True

    def next_delay(self) -> float:
        """Return the jittered delay until the next call, seconds."""
        spread = self._interval_s * self._jitter
        return self._interval_s + self._rng.uniform(-spread, spread)

    def fire(self) -> None:
        """Call the callback. Exceptions are logged and don't stop the service."""
        try:
            self._callback()
        except Exception:
            logging.exception("timer callback failed")


class TimerService:
    """Calls subscribed callbacks when they are due, on the event loop's thread.

    Logs that the process was paused (a stopped process or a suspended VM) before it calls what
    became due in the meantime. Leases and deadlines need no notice of it: ``clock.now`` counts the
    pause.

    :param seed: seed of the jitter, for tests.
    """

    def __init__(self, seed: int | None = None) -> None:
        self._rng = random.Random(seed)
        self._queue: list[tuple[float, int, Subscription]] = []
        self._sequence = itertools.count()
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._last_tick = clock.now()

    @property
    def pending(self) -> int:
        """Number of scheduled calls, including cancelled ones that are still queued."""
        return len(self._queue)

    def start(self) -> None:
        """Start the service on the running event loop."""
        self._last_tick = clock.now()
        self._task = asyncio.get_running_loop().create_task(self._run(), name="timer-service")

    def stop(self) -> None:
        """Stop the service. No callback is called afterwards."""
        if self._task is not None:
            self._task.cancel()

    def every(self, interval_s: float, callback: Callback, jitter: float = 0.1) -> Subscription:
        """Call ``callback`` every ``interval_s`` seconds, plus or minus the fraction ``jitter``."""
        subscription = Subscription(callback, interval_s, jitter, self._rng)
        self._push(subscription, subscription.next_delay())
        return subscription

    def after(self, delay_s: float, callback: Callback) -> Subscription:
        """Call ``callback`` once, ``delay_s`` seconds from now."""
        subscription = Subscription(callback, 0.0, 0.0, self._rng)
        self._push(subscription, delay_s)
        return subscription

    def tick(self) -> None:
        """Log a pause, then call the callbacks that are due."""
        self._log_pause()
        self._fire_due()

    def _log_pause(self) -> None:
        now = clock.now()
        lost_s = now - self._last_tick - _MAX_SLEEP_S
        self._last_tick = now
        if lost_s < PAUSE_THRESHOLD_S:
            return
        logging.warning("process was paused for about %.1f s", lost_s)

    def _push(self, subscription: Subscription, delay_s: float) -> None:
        due_at = clock.now() + delay_s
        heapq.heappush(self._queue, (due_at, next(self._sequence), subscription))
        if self._queue[0][2] is subscription:
            self._wake.set()

    async def _run(self) -> None:
        while True:
            self.tick()
            self._wake.clear()
            try:
                await asyncio.wait_for(self._wake.wait(), self._sleep_s())
            except TimeoutError:
                pass

    def _sleep_s(self) -> float:
        if not self._queue:
            return _MAX_SLEEP_S
        return min(_MAX_SLEEP_S, max(0.0, self._queue[0][0] - clock.now()))

    def _fire_due(self) -> None:
        now = clock.now()
        while self._queue and self._queue[0][0] <= now:
            _, _, subscription = heapq.heappop(self._queue)
            if subscription.cancelled:
                continue
            subscription.fire()
            if subscription.periodic and not subscription.cancelled:
                self._push(subscription, subscription.next_delay())
