"""Limits retries to a small share of the requests."""

from pearshed._internal.timers import clock

_RETRIES_PER_REQUEST = 0.1
_MIN_RETRIES_PER_S = 2.0
_MAX_BALANCE_RETRIES = 50.0


class RetryBudget:
    """A token bucket that requests and time fill, and retries drain.

    Each request adds a tenth of a retry. Time adds a small minimum, so that an entry with little
    traffic can retry too, while a failing fleet doesn't get every request twice. It begins empty:
    a restart would allow again what was spent before.
    """

    def __init__(self) -> None:
        self._balance = 0.0
        self._credited_at = clock.now()
        self._spent = 0
        self._denied = 0

    @property
    def spent(self) -> int:
        """Retries allowed so far."""
        return self._spent

    @property
    def denied(self) -> int:
        """Retries denied because the budget was empty."""
        return self._denied

    def record_request(self) -> None:
        """Credit the budget for a new request."""
        self._balance = min(_MAX_BALANCE_RETRIES, self._balance + _RETRIES_PER_REQUEST)

    def try_spend(self) -> bool:
        """Spend one retry if the budget allows it."""
        now = clock.now()
        credit = (now - self._credited_at) * _MIN_RETRIES_PER_S
        self._credited_at = now
        self._balance = min(_MAX_BALANCE_RETRIES, self._balance + credit)
        if self._balance < 1.0:
            self._denied += 1
            return False
        self._balance -= 1.0
        self._spent += 1
        return True
