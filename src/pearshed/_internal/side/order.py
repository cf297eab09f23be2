"""Policies for the order in which queued reservations get free slots."""

import abc
from collections.abc import Iterator
from dataclasses import dataclass, field

from pearshed._internal.models.records import RequestClass, Tier
from pearshed._internal.settings.model import OrderName

# Just under 1, since ten additions of a share of 0.1 sum to slightly less than 1.
_FULL_CREDIT = 1.0 - 1e-9
_MAX_GRANT_COST = 20.0
_SMOOTHING_FACTOR = 0.1


@dataclass(eq=False, slots=True)
class Reservation:
    """A request that is queued for a slot, or leases one until its body arrives.

    :ivar entry_incarnation: identifies one start of the entry's process.
    :ivar attempt: the entry's number for the attempt.
    :ivar arrived_at: clock reading at its arrival, seconds.
    :ivar deadline: clock reading at which the request expires, seconds.
    :ivar weight: the customer's weight.
    :ivar lease_until: clock reading at which the slot's lease expires; 0 while queued.
    :ivar virtual_start: start in the virtual time of its tier's fair queue.
    """

    entry_incarnation: str
    attempt: int
    request_class: RequestClass
    tier: Tier
    customer: str
    arrived_at: float
    deadline: float
    weight: float = 1.0
    lease_until: float = 0.0
    idempotency_key: str = ""
    idempotent: bool = True
    virtual_start: float = field(default=0.0)

    @property
    def granted(self) -> bool:
        """Whether the reservation has been granted a slot."""
        return self.lease_until > 0


class OrderPolicy(abc.ABC):
    """Queues reservations and selects the next one to be granted a slot."""

    @abc.abstractmethod
    def add(self, reservation: Reservation) -> None:
        """Add a reservation to the queue."""

    @abc.abstractmethod
    def remove(self, reservation: Reservation) -> None:
        """Remove a reservation from the queue."""

    @abc.abstractmethod
    def pop(self) -> Reservation | None:
        """Remove and return the next reservation, or None if the queue is empty."""

    @abc.abstractmethod
    def queued(self) -> Iterator[Reservation]:
        """List the queued reservations, in no particular order."""

    def record_service(self, rank: int, running_s: float) -> None:
        """Record how long a request of a tier's rank occupied its slot, seconds."""
        del rank, running_s

    @abc.abstractmethod
    def count_ahead(self, rank: int) -> int:
        """Count the queued reservations ahead of a new one of a tier's rank."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Count the queued reservations."""


class FifoOrder(OrderPolicy):
    """First in, first out; a baseline for benchmarks."""

    def __init__(self) -> None:
        self._queue: dict[int, Reservation] = {}

    def add(self, reservation: Reservation) -> None:
        """Add a reservation to the queue."""
        self._queue[id(reservation)] = reservation

    def remove(self, reservation: Reservation) -> None:
        """Remove a reservation from the queue."""
        self._queue.pop(id(reservation), None)

    def pop(self) -> Reservation | None:
        """Remove and return the oldest reservation."""
        for key in self._queue:
            return self._queue.pop(key)
        return None

    def queued(self) -> Iterator[Reservation]:
        """List the queued reservations."""
        return iter(list(self._queue.values()))

    def count_ahead(self, rank: int) -> int:
        """Count all reservations, since all arrived earlier."""
        del rank
        return len(self._queue)

    def __len__(self) -> int:
        """Count the queued reservations."""
        return len(self._queue)


class _CustomerQueues:
    """Reservations of one tier, queued per customer and shared by the customers' weights.

    Implements start-time fair queueing: a request virtually starts when the customer's previous
    request would have ended if the customer got exactly its share. The request with the earliest
    virtual start is next.
    """

    def __init__(self) -> None:
        self._queues: dict[str, list[Reservation]] = {}
        self._virtual_ends: dict[str, float] = {}
        self._virtual_now = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, reservation: Reservation) -> None:
        start = max(self._virtual_now, self._virtual_ends.get(reservation.customer, 0.0))
        reservation.virtual_start = start
        self._virtual_ends[reservation.customer] = start + 1.0 / reservation.weight
        self._queues.setdefault(reservation.customer, []).append(reservation)
        self._count += 1

    def remove(self, reservation: Reservation) -> bool:
        queue = self._queues.get(reservation.customer, [])
        if reservation not in queue:
            return False
        queue.remove(reservation)
        self._remove_if_empty(reservation.customer)
        self._count -= 1
        return True

    def pop(self) -> Reservation | None:
        if not self._queues:
            self._virtual_ends.clear()
            return None
        heads = (queue[0] for queue in self._queues.values())
        first = min(heads, key=lambda head: (head.virtual_start, head.arrived_at))
        self._virtual_now = max(self._virtual_now, first.virtual_start)
        self.remove(first)
        return first

    def queued(self) -> Iterator[Reservation]:
        for queue in self._queues.values():
            yield from queue

    def _remove_if_empty(self, customer: str) -> None:
        if not self._queues[customer]:
            del self._queues[customer]


class TieredOrder(OrderPolicy):
    """Strict priority by tier, with a small reserved share for each lower tier.

    Each grant adds a tier's share to the credit of every lower tier with queued reservations. A
    tier whose credit covers the cost of a grant is served next, so its wait is bounded even while
    higher tiers are saturated. A grant costs more for a tier with long responses, so that shares
    apply to slot time rather than to the number of grants. Within a tier, customers share by
    weight.
    """

    def __init__(self) -> None:
        self._service_s: dict[int, float] = {}
        self._mean_service_s = 0.0
        self._queues: dict[int, _CustomerQueues] = {}
        self._shares: dict[int, float] = {}
        self._credits: dict[int, float] = {}

    def add(self, reservation: Reservation) -> None:
        """Add a reservation to the queue."""
        rank = reservation.tier.rank
        self._shares[rank] = reservation.tier.share
        self._queues.setdefault(rank, _CustomerQueues()).add(reservation)

    def remove(self, reservation: Reservation) -> None:
        """Remove a reservation from the queue."""
        queue = self._queues.get(reservation.tier.rank)
        if queue is not None:
            queue.remove(reservation)

    def pop(self) -> Reservation | None:
        """Remove and return the next reservation."""
        ranks = sorted(rank for rank, queue in self._queues.items() if len(queue))
        if not ranks:
            self._credits.clear()
            return None
        rank = self._choose_rank(ranks)
        return self._queues[rank].pop()

    def record_service(self, rank: int, running_s: float) -> None:
        """Update the mean slot time of a tier's requests and that of all tiers."""
        tier_mean = self._service_s.get(rank, running_s)
        self._service_s[rank] = tier_mean + _SMOOTHING_FACTOR * (running_s - tier_mean)
        mean = self._mean_service_s or running_s
        self._mean_service_s = mean + _SMOOTHING_FACTOR * (running_s - mean)

    def queued(self) -> Iterator[Reservation]:
        """List the queued reservations."""
        for queue in self._queues.values():
            yield from queue.queued()

    def count_ahead(self, rank: int) -> int:
        """Count the reservations of the same tier and of higher-priority ones."""
        return sum(len(queue) for queued_rank, queue in self._queues.items() if queued_rank <= rank)

    def __len__(self) -> int:
        """Count the queued reservations."""
        return sum(len(queue) for queue in self._queues.values())

    def _grant_cost(self, rank: int) -> float:
        """Return the cost of a tier's grant: its slot time relative to the mean, at least 1."""
        if not self._mean_service_s:
            return 1.0
        relative_time = self._service_s.get(rank, 0.0) / self._mean_service_s
        return min(_MAX_GRANT_COST, max(1.0, relative_time))

    def _choose_rank(self, ranks: list[int]) -> int:
        for rank in ranks[1:]:
            self._credits[rank] = self._credits.get(rank, 0.0) + self._shares[rank]
        for rank in ranks[1:]:
            cost = self._grant_cost(rank)
            if self._credits[rank] >= cost * _FULL_CREDIT:
                self._credits[rank] -= cost
                return rank
        return ranks[0]


def create_order(name: OrderName) -> OrderPolicy:
    """Create the policy selected in the settings."""
    return FifoOrder() if name is OrderName.FIFO else TieredOrder()
