"""Whether a request that waits at engines asks one more.

Addresses bursts in which a request waits at an engine that is slow or busy for a moment while
others have free capacity. Each reservation is work that its side takes into account, so a further
engine is asked only if it promises an earlier first event.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from pearshed._internal.decisions.useful_time import CallerNeeds
from pearshed._internal.timers import clock

#: Engines at which one request may wait at the same time.
MAX_RESERVATIONS = 3
#: A side responds within a few milliseconds; after this long the datagram is likely lost, or the
#: side is gone, seconds.
UNANSWERED_S = 0.06
#: Time for which engines are asked one after another while none lets the request wait, seconds. A
#: refusal is due 0.1 s after the arrival of the request.
SEARCH_S = 0.08
#: Share of the time to the target after which a further engine is asked if a side lets the request
#: wait without a quote, as sides of older builds do.
_UNQUOTED_WAIT_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class PendingReservation:
    """A reservation without a decision.

    :ivar asked_at: clock reading when it was first asked for, seconds.
    :ivar queued: the side has said that the request waits.
    :ivar ready_at: clock reading of the quoted first event, seconds; ``None`` without a quote.
    """

    asked_at: float
    queued: bool = False
    ready_at: float | None = None


def asks_another(
    pending: Sequence[PendingReservation], needs: CallerNeeds, next_ready_ms: float | None
) -> bool:
    """Return whether to ask the next candidate too.

    :param next_ready_ms: time until the first event there by its estimate, milliseconds; ``None``
        without an estimate.
    """
    now = clock.now()
    if len(pending) >= MAX_RESERVATIONS or needs.useful_until <= now:
        return False
    next_at = (
        now + next_ready_ms / clock.MILLISECONDS_PER_SECOND if next_ready_ms is not None else None
    )
    if next_at is not None and next_at > needs.useful_until:
        return False
    quoted = [item.ready_at for item in pending if item.ready_at is not None]
    if quoted:
        # What was quoted for a time that has passed comes now at the earliest.
        promised_at = max(now, min(quoted))
        return promised_at > (next_at if next_at is not None else needs.target_at)
    return all(_is_overdue(item, needs, now) for item in pending)


def _is_overdue(item: PendingReservation, needs: CallerNeeds, now: float) -> bool:
    """Return whether a reservation without a quote has waited for long enough."""
    if not item.queued:
        return now - item.asked_at >= UNANSWERED_S
    wait_s = max(0.0, needs.target_at - item.asked_at) * _UNQUOTED_WAIT_SHARE
    return now - item.asked_at >= wait_s
