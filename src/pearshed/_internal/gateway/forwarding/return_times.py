"""When the callers of refused requests may come back."""

import random

from pearshed._internal.decisions.retry_time import retry_after_s
from pearshed._internal.gateway.forwarding.progress import Progress
from pearshed._internal.gateway.request_logger import RequestLogger
from pearshed._internal.gateway.routed_call import RoutedCall
from pearshed._internal.timers import clock

#: Bounds of the jitter of Retry-After, so that refused callers don't all retry at once.
_RETRY_AFTER_JITTER_S = (0.3, 0.9)


class ReturnTimes:
    """Chooses the times that are sent with refusals."""

    def __init__(self, request_logger: RequestLogger, rng: random.Random) -> None:
        self._request_logger = request_logger
        self._rng = rng

    def after_refusal_s(self, call: RoutedCall, progress: Progress, pause_s: float) -> float:
        """Return the time after which the caller of a refused request may come back, seconds.

        :param pause_s: time for which all engines get no requests, seconds; 0 if some do.
        """
        if progress.blocked:
            return self.spread_s(max(pause_s, progress.wait_s))
        if pause_s:
            return self.spread_s(pause_s)
        if not call.competes:
            return self.spread_s(progress.wait_s)
        seconds = retry_after_s(
            progress.quote, progress.wait_s, call.rank, call.remaining_s, self._rng.random()
        )
        quote = progress.quote
        self._request_logger.write(
            "request.retry_time",
            call.request_id,
            failed=True,
            rank=call.rank,
            retry_after_s=round(seconds, 2),
            quoted_ms=quote.ready_ms if quote is not None else None,
            expected_wait_ms=_milliseconds(progress.wait_s),
            pending_tokens=quote.load.pending_tokens if quote is not None else None,
            waiting_tokens=quote.load.waiting_tokens if quote is not None else None,
            tokens_per_s=quote.load.tokens_per_s if quote is not None else None,
            left_ms=_milliseconds(call.remaining_s),
            asked=progress.reservations,
        )
        return round(seconds, 2)

    def spread_s(self, wait_s: float = 0.0) -> float:
        """Return the expected wait plus jitter, so that refused callers spread their retries."""
        min_s, max_s = _RETRY_AFTER_JITTER_S
        return round(wait_s + self._rng.uniform(min_s, max_s), 2)


def _milliseconds(seconds: float) -> int:
    return round(seconds * clock.MILLISECONDS_PER_SECOND)
