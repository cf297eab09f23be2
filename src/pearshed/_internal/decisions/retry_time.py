"""When the caller of a refused request may come back.

Addresses bursts in which many requests are refused within a moment: callers that all come back at
the time at which an engine is expected to be ready would be refused again.
"""

from pearshed._internal.decisions.engine_load import Quote
from pearshed._internal.timers import clock

#: Shortest time after which a caller may come back, seconds.
MIN_RETRY_AFTER_S = 0.3
#: Share of the time that the caller has left after which it comes back at the latest, so that it
#: can still be served then.
MAX_LEFT_SHARE = 1.0 / 3.0
#: Shortest time over which returns are spread, seconds; equal to the shortest time to come back.
_MIN_SPREAD_S = 0.3


def retry_after_s(
    quote: Quote | None, wait_s: float, rank: int, left_s: float, draw: float
) -> float:
    """Return the time after which the caller may come back, seconds.

    The returns are spread over the time in which the engine works off what is ahead; those of less
    urgent requests begin later.

    :param quote: the earliest one; ``None`` if no side gave one.
    :param wait_s: expected time until an engine is ready, if there is no quote, seconds.
    :param left_s: time that the caller has left, seconds.
    :param draw: random number from 0 to 1, which places the request within the spread.
    """
    drain_s = 0.0
    if quote is not None:
        wait_s = quote.ready_ms / clock.MILLISECONDS_PER_SECOND
        load = quote.load
        if load.tokens_per_s > 0:
            drain_s = (load.pending_tokens + load.waiting_tokens) / load.tokens_per_s
    spread_s = max(_MIN_SPREAD_S, drain_s)
    expected_s = wait_s + spread_s * (rank + draw) / (rank + 1)
    return max(MIN_RETRY_AFTER_S, min(expected_s, left_s * MAX_LEFT_SHARE))
