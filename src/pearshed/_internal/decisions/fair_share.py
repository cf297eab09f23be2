"""Equal parts of an engine for customers, in tokens of work.

Addresses the load of one customer that sends several times its usual: in order of need alone, its
requests would take the engine from all others of their rank. Work is counted in tokens, not in
requests, so that long prompts don't take more than short ones.
"""

import collections
import math

from pearshed._internal.timers import clock

#: Time in which the work of a customer is forgotten but for a third, seconds: callers wait for
#: seconds, so an earlier burst has no effect on what they compete for now.
DECAY_S = 5.0
#: Customers that are tracked; those without recent work are forgotten first.
MAX_CUSTOMERS = 4_096


class _DecayingSum:
    """A sum that decays.

    :ivar value: sum at its latest change.
    """

    __slots__ = ("_changed_at", "_value")

    def __init__(self) -> None:
        self._value = 0.0
        self._changed_at = clock.now()

    @property
    def value(self) -> float:
        """The sum now."""
        return self._value * math.exp((self._changed_at - clock.now()) / DECAY_S)

    def add(self, amount: float) -> None:
        """Add an amount."""
        self._value = self.value + amount
        self._changed_at = clock.now()


class FairShares:
    """Recent work of each customer by rank, which decays."""

    def __init__(self) -> None:
        self._customers: collections.OrderedDict[tuple[int, str], _DecayingSum] = (
            collections.OrderedDict()
        )
        self._ranks: dict[int, _DecayingSum] = {}

    @property
    def customer_count(self) -> int:
        """Number of customers and ranks with recent work."""
        return len(self._customers)

    def used_tokens(self, rank: int, customer: str) -> float:
        """Return the recent work of a customer in a rank, tokens."""
        total = self._customers.get((rank, customer))
        return total.value if total is not None else 0.0

    def charge(self, rank: int, customer: str, tokens: int) -> None:
        """Add work that an engine does for a customer."""
        key = (rank, customer)
        self._customers.setdefault(key, _DecayingSum()).add(tokens)
        self._customers.move_to_end(key)
        if len(self._customers) > MAX_CUSTOMERS:
            self._customers.popitem(last=False)
        self._ranks.setdefault(rank, _DecayingSum()).add(tokens)

    def more_urgent_tokens_per_s(self, rank: int) -> float:
        """Return the recent rate of work that is more urgent than a rank, tokens per second."""
        return sum(total.value for other, total in self._ranks.items() if other < rank) / DECAY_S
