"""Ends requests before the grace of a planned stop does, so that each gets an answer."""

import asyncio
import contextlib
from collections.abc import Awaitable, Iterator
from dataclasses import dataclass

from pearshed._internal.decisions.late_sends import needs_s
from pearshed._internal.gateway.forwarding.progress import Progress
from pearshed._internal.gateway.routed_call import OutOfTime, RoutedCall
from pearshed._internal.timers import clock

#: Time before the end of the grace at which requests in progress are answered, seconds.
ANSWER_MARGIN_S = 0.2


@dataclass(eq=False, slots=True)
class _Active:
    """A request in progress.

    :ivar timeout: ends its attempts when it expires.
    """

    call: RoutedCall
    progress: Progress
    timeout: asyncio.Timeout


class Shutdown:
    """The requests in progress, and when the grace of a stop ends."""

    def __init__(self) -> None:
        self._ends_at: float | None = None
        self._grace_s = 0.0
        self._active: set[_Active] = set()

    def begin(self, ends_at: float) -> None:
        """Begin a stop.

        :param ends_at: clock reading at which connections are closed, seconds.
        """
        self._ends_at = ends_at
        self._grace_s = ends_at - clock.now()

    def may_send(self, call: RoutedCall) -> bool:
        """Return whether there is time for an endpoint to run a request."""
        if self._ends_at is None:
            return True
        target_s = call.route.target_ms / clock.MILLISECONDS_PER_SECOND
        needed_s = needs_s(target_s, call.route.streaming, call.remaining_s, self._grace_s)
        return self._ends_at - ANSWER_MARGIN_S - clock.now() >= needed_s

    async def run(self, call: RoutedCall, progress: Progress, attempts: Awaitable[None]) -> bool:
        """Run the attempts at a request; return whether they have ended by themselves.

        If they haven't, the request is to be answered now.
        """
        timeout = asyncio.timeout(None)
        with self._track(_Active(call, progress, timeout)):
            try:
                async with timeout:
                    await attempts
            except TimeoutError:
                if not timeout.expired():
                    raise
                if progress.sent:
                    progress.last_outcome = OutOfTime(sent=True)
                return False
        return True

    def end_late_requests(self) -> None:
        """End the requests that there is no time for. Called again and again during a stop."""
        if self._ends_at is None:
            return
        is_over = clock.now() >= self._ends_at - ANSWER_MARGIN_S
        for active in tuple(self._active):
            if is_over or not (active.progress.sent or self.may_send(active.call)):
                # It may have expired, and the request be on its way to its answer.
                with contextlib.suppress(RuntimeError):
                    active.timeout.reschedule(asyncio.get_running_loop().time())

    @contextlib.contextmanager
    def _track(self, active: _Active) -> Iterator[None]:
        self._active.add(active)
        try:
            yield
        finally:
            self._active.discard(active)
