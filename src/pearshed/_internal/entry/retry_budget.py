"""A budget that keeps retries a small share of the traffic."""

from pearshed._internal.timers import clock

_SHARE = 0.1
_FLOOR_PER_S = 2.0
_LARGEST_BALANCE = 50.0


class RetryBudget:
    """A token bucket that requests fill and retries empty.

    Each request adds a tenth of a retry and time adds a small floor, so that a quiet entry can
    retry too while a failing fleet is not asked twice for everything.
    """

    def __init__(self) -> None:
        self._balance = _FLOOR_PER_S
        self._filled_at = clock.now()
        self._spent = 0
        self._denied = 0

    @property
    def spent(self) -> int:
        """Retries allowed so far."""
        return self._spent

    @property
    def denied(self) -> int:
        """Retries refused for want of budget."""
        return self._denied

    def record_request(self) -> None:
        """Add the share that a new request brings."""
        self._balance = min(_LARGEST_BALANCE, self._balance + _SHARE)

    def try_spend(self) -> bool:
        """Take one retry from the budget, if it has one."""
        moment = clock.now()
        gained = (moment - self._filled_at) * _FLOOR_PER_S
        self._filled_at = moment
        self._balance = min(_LARGEST_BALANCE, self._balance + gained)
        if self._balance < 1.0:
            self._denied += 1
            return False
        self._balance -= 1.0
        self._spent += 1
        return True
