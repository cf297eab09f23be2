"""Local limits of an entry: how many requests it holds, for whom."""

import math
import threading
from collections import Counter
from collections.abc import Callable

from returns.result import Failure, Result, Success

from pearshed._internal.configuration.catalogue import Catalogue
from pearshed._internal.models.outcomes import FailureCode, RequestFailure
from pearshed._internal.models.records import Customer, Tier

_RESERVE_PER_RANK = 0.15
_SMALLEST_TIER_PART = 0.4
_FAIR_SHARE_ABOVE = 0.7
_BALANCER_SLACK = 2.0
_RETRY_AFTER_S = 1.0


class EntryAdmission:
    """Admits requests of callers, or refuses them at once.

    The most urgent tier may use every place; each tier below leaves some free for those above.
    A customer may use its limit's part of this entry, and once the entry is nearly full no
    more than its weight's share of it. No state is shared between entries: each knows from the
    VM list how many entries divide a customer's limit.

    :param max_requests: requests held at once.
    :param entries: counts the live entries.
    """

    def __init__(
        self,
        max_requests: int,
        catalogue: Callable[[], Catalogue],
        entries: Callable[[], int],
    ) -> None:
        self._max_requests = max_requests
        self._catalogue = catalogue
        self._entries = entries
        self._lock = threading.Lock()
        self._in_flight = 0
        self._by_customer: Counter[str] = Counter()
        self._closing = False

    @property
    def in_flight(self) -> int:
        """Requests held now."""
        return self._in_flight

    def close(self) -> None:
        """Refuse all new requests from now on."""
        self._closing = True

    def admit(self, customer: Customer, tier: Tier) -> Result[None, RequestFailure]:
        """Take a place for a request; ``release`` gives it back."""
        with self._lock:
            refusal = self._refusal(customer, tier)
            if refusal is not None:
                return Failure(refusal)
            self._in_flight += 1
            self._by_customer[customer.name] += 1
            return Success(None)

    def release(self, customer: Customer) -> None:
        """Give a place back."""
        with self._lock:
            self._in_flight -= 1
            self._by_customer[customer.name] -= 1
            if not self._by_customer[customer.name]:
                del self._by_customer[customer.name]

    def _refusal(self, customer: Customer, tier: Tier) -> RequestFailure | None:
        if self._closing:
            return RequestFailure(
                FailureCode.DRAINING, "this entry is stopping", retry_after_s=_RETRY_AFTER_S
            )
        if self._in_flight >= self._tier_limit(tier):
            return RequestFailure(
                FailureCode.OVERLOADED,
                f"this entry is full for tier {tier.name}",
                retry_after_s=_RETRY_AFTER_S,
            )
        if self._by_customer[customer.name] >= self._customer_limit(customer, tier):
            return RequestFailure(
                FailureCode.CUSTOMER_LIMIT,
                f"customer {customer.name} has its share of requests in flight",
                retry_after_s=_RETRY_AFTER_S,
            )
        return None

    def _tier_limit(self, tier: Tier) -> float:
        ranks = sorted({known.rank for known in self._catalogue().tiers.values()} | {tier.rank})
        below_first = ranks.index(tier.rank)
        part = max(_SMALLEST_TIER_PART, 1.0 - _RESERVE_PER_RANK * below_first)
        return max(1.0, self._max_requests * part)

    def _customer_limit(self, customer: Customer, tier: Tier) -> float:
        entries = max(1, self._entries())
        slack = _BALANCER_SLACK if entries > 1 else 1.0
        limit = float(math.ceil(customer.max_in_flight * slack / entries))
        if tier.protected or self._in_flight < self._max_requests * _FAIR_SHARE_ABOVE:
            return limit
        return min(limit, self._fair_share(customer))

    def _fair_share(self, customer: Customer) -> float:
        customers = self._catalogue().customers
        active = set(self._by_customer) | {customer.name}
        weights = sum(customers[name].weight for name in active if name in customers)
        return max(1.0, self._max_requests * customer.weight / max(customer.weight, weights))
