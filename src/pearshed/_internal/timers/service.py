"""A timer service that the parts of a process subscribe to."""

import asyncio
import heapq
import itertools
import random
from collections.abc import Callable

from absl import logging

from pearshed._internal.timers import clock

Callback = Callable[[], None]
PauseCallback = Callable[[float], None]

PAUSE_THRESHOLD_S = 1.0
_LONGEST_SLEEP_S = 0.5


class Subscription:
    """A callback that is due once or again and again, until it is cancelled."""

    __slots__ = ("_callback", "_cancelled", "_jitter", "_period_s", "_random")

    def __init__(
        self, callback: Callback, period_s: float, jitter: float, source: random.Random
    ) -> None:
        self._callback = callback
        self._period_s = period_s
        self._jitter = jitter
        self._random = source
        self._cancelled = False

    @property
    def cancelled(self) -> bool:
        """Whether the callback will not be called any more."""
        return self._cancelled

    @property
    def repeats(self) -> bool:
        """Whether the callback is called again and again."""
        return self._period_s > 0

    def cancel(self) -> None:
        """Stop calling the callback; calling this twice is harmless."""
        self._cancelled = True

    def next_delay(self) -> float:
        """Draw the time to the next call, seconds."""
        spread = self._period_s * self._jitter
        return self._period_s + self._random.uniform(-spread, spread)

    def fire(self) -> None:
        """Call the callback; an exception in it is logged and does not stop the service."""
        try:
            self._callback()
        except Exception:
            logging.exception("timer callback failed")


class TimerService:
    """Calls subscribers when they are due, on the event loop's thread.

    It also notices that the process stood still (a stopped or suspended VM) and tells
    the subscribers of pauses before it fires anything that became due meanwhile.

    :param seed: seed of the jitter; tests fix it.
    """

    def __init__(self, seed: int | None = None) -> None:
        self._random = random.Random(seed)
        self._due: list[tuple[float, int, Subscription]] = []
        self._order = itertools.count()
        self._pause_callbacks: list[PauseCallback] = []
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._last_tick = clock.now()

    @property
    def pending(self) -> int:
        """Number of calls that are due later, cancelled ones included."""
        return len(self._due)

    def start(self) -> None:
        """Start the service on the running event loop."""
        self._last_tick = clock.now()
        self._task = asyncio.get_running_loop().create_task(self._run(), name="timer-service")

    def stop(self) -> None:
        """Stop the service; nothing fires any more."""
        if self._task is not None:
            self._task.cancel()

    def every(self, period_s: float, callback: Callback, jitter: float = 0.1) -> Subscription:
        """Call ``callback`` each ``period_s`` seconds, give or take the jitter's fraction."""
        subscription = Subscription(callback, period_s, jitter, self._random)
        self._push(subscription, subscription.next_delay())
        return subscription

    def after(self, delay_s: float, callback: Callback) -> Subscription:
        """Call ``callback`` once, ``delay_s`` seconds from now."""
        subscription = Subscription(callback, 0.0, 0.0, self._random)
        self._push(subscription, delay_s)
        return subscription

    def on_pause(self, callback: PauseCallback) -> None:
        """Call ``callback`` with the seconds lost whenever the process stood still."""
        self._pause_callbacks.append(callback)

    def check_pause(self) -> None:
        """Look for a pause now, before the service's own turn.

        Code that is about to act on a lease calls this first.
        """
        moment = clock.now()
        lost_s = moment - self._last_tick - _LONGEST_SLEEP_S
        self._last_tick = moment
        if lost_s < PAUSE_THRESHOLD_S:
            return
        logging.warning("process stood still for about %.1f s", lost_s)
        for callback in self._pause_callbacks:
            callback(lost_s)

    def tick(self) -> None:
        """Look for a pause, then call what is due."""
        self.check_pause()
        self._fire_due()

    def _push(self, subscription: Subscription, delay_s: float) -> None:
        due = clock.now() + delay_s
        heapq.heappush(self._due, (due, next(self._order), subscription))
        if self._due[0][2] is subscription:
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
        if not self._due:
            return _LONGEST_SLEEP_S
        return min(_LONGEST_SLEEP_S, max(0.0, self._due[0][0] - clock.now()))

    def _fire_due(self) -> None:
        moment = clock.now()
        while self._due and self._due[0][0] <= moment:
            _, _, subscription = heapq.heappop(self._due)
            if subscription.cancelled:
                continue
            subscription.fire()
            if subscription.repeats and not subscription.cancelled:
                self._push(subscription, subscription.next_delay())
