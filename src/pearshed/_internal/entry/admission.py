"""Admission limits of an entry, per tier and per customer."""

import math
import threading
from collections import Counter
from collections.abc import Callable

from returns.result import Failure, Result, Success

from pearshed._internal.configuration.catalogue import Catalogue
from pearshed._internal.models.outcomes import FailureCode, RequestFailure
from pearshed._internal.models.records import Customer, Tier

_RESERVED_SHARE_PER_RANK = 0.15
_MIN_TIER_SHARE = 0.4
_FAIR_SHARE_THRESHOLD = 0.7
_BALANCER_SLACK_FACTOR = 2.0
_RETRY_AFTER_S = 1.0


class EntryAdmission:
    """Admits requests of callers or refuses them at once.

    The highest tier may use the entry's whole capacity; each lower tier leaves some of it free
    for the tiers above. A customer may use this entry's part of its limit and, once the entry
    is nearly full, at most its weighted fair share of the capacity, unless the tier is protected.
    Entries share no state: each divides a customer's limit by the number of entries in the VM
    list, and adds slack if there are several.

    :param max_requests: maximum number of requests in flight.
    :param live_entries: returns the number of live entries.
    """

    def __init__(
        self,
        max_requests: int,
        catalogue: Callable[[], Catalogue],
        live_entries: Callable[[], int],
    ) -> None:
        self._max_requests = max_requests
        self._catalogue = catalogue
        self._live_entries = live_entries
        self._lock = threading.Lock()
        self._in_flight = 0
        self._in_flight_by_customer: Counter[str] = Counter()
        self._closed = False

    @property
    def in_flight(self) -> int:
        """Requests in flight."""
        return self._in_flight

    def close(self) -> None:
        """Refuse all new requests from now on."""
        self._closed = True

    def admit(self, customer: Customer, tier: Tier) -> Result[None, RequestFailure]:
        """Admit a request or refuse it; ``release`` ends an admitted one."""
        with self._lock:
            refusal = self._refusal(customer, tier)
            if refusal is not None:
                return Failure(refusal)
            self._in_flight += 1
            self._in_flight_by_customer[customer.name] += 1
            return Success(None)

    def release(self, customer: Customer) -> None:
        """Free the capacity of an admitted request."""
        with self._lock:
            self._in_flight -= 1
            self._in_flight_by_customer[customer.name] -= 1
            if not self._in_flight_by_customer[customer.name]:
                del self._in_flight_by_customer[customer.name]

    def _refusal(self, customer: Customer, tier: Tier) -> RequestFailure | None:
        if self._closed:
            return RequestFailure(
                FailureCode.DRAINING, "this entry is stopping", retry_after_s=_RETRY_AFTER_S
            )
        if self._in_flight >= self._tier_limit(tier):
            return RequestFailure(
                FailureCode.OVERLOADED,
                f"this entry is full for tier {tier.name}",
                retry_after_s=_RETRY_AFTER_S,
            )
        if self._in_flight_by_customer[customer.name] >= self._customer_limit(customer, tier):
            return RequestFailure(
                FailureCode.CUSTOMER_LIMIT,
                f"customer {customer.name} has its share of requests in flight",
                retry_after_s=_RETRY_AFTER_S,
            )
        return None

    def _tier_limit(self, tier: Tier) -> float:
        ranks = sorted({other.rank for other in self._catalogue().tiers.values()} | {tier.rank})
        tiers_above = ranks.index(tier.rank)
        share = max(_MIN_TIER_SHARE, 1.0 - _RESERVED_SHARE_PER_RANK * tiers_above)
        return max(1.0, self._max_requests * share)

    def _customer_limit(self, customer: Customer, tier: Tier) -> float:
        live_entries = max(1, self._live_entries())
        slack = _BALANCER_SLACK_FACTOR if live_entries > 1 else 1.0
        limit = float(math.ceil(customer.max_in_flight * slack / live_entries))
        if tier.protected or self._in_flight < self._max_requests * _FAIR_SHARE_THRESHOLD:
            return limit
        return min(limit, self._fair_share(customer))

    def _fair_share(self, customer: Customer) -> float:
        customers = self._catalogue().customers
        active = set(self._in_flight_by_customer) | {customer.name}
        weights = sum(customers[name].weight for name in active if name in customers)
        return max(1.0, self._max_requests * customer.weight / max(customer.weight, weights))
