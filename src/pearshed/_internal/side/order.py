"""The order in which waiting reservations get free slots."""

import abc
from collections.abc import Iterator
from dataclasses import dataclass, field

from pearshed._internal.models.records import RequestClass, Tier
from pearshed._internal.settings.model import OrderName

# Just under 1, since ten times a share of 0.1 adds up to a little less.
_WHOLE_GRANT = 1.0 - 1e-9
_LARGEST_COST = 20.0
_SMOOTHING = 0.1


@dataclass(eq=False, slots=True)
class Reservation:
    """A request that waits for a slot, or holds one until its body arrives.

    :ivar entry_incarnation: identifies the entry's start that asked.
    :ivar attempt: the entry's number for the attempt.
    :ivar arrived_at: clock reading, seconds.
    :ivar deadline: clock reading after which the entry gives up, seconds.
    :ivar weight: the customer's weight.
    :ivar lease_until: clock reading until which a granted slot is held; 0 while waiting.
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
    key: str = ""
    idempotent: bool = True
    virtual_start: float = field(default=0.0)

    @property
    def granted(self) -> bool:
        """Whether a slot is held for the reservation."""
        return self.lease_until > 0


class OrderPolicy(abc.ABC):
    """Holds waiting reservations and says which is next."""

    @abc.abstractmethod
    def add(self, reservation: Reservation) -> None:
        """Add a waiting reservation."""

    @abc.abstractmethod
    def remove(self, reservation: Reservation) -> None:
        """Remove a waiting reservation."""

    @abc.abstractmethod
    def pop(self) -> Reservation | None:
        """Remove and return the next reservation, or nothing when none waits."""

    @abc.abstractmethod
    def waiting(self) -> Iterator[Reservation]:
        """List the waiting reservations, in no particular order."""

    def record_service(self, rank: int, running_s: float) -> None:
        """Learn how long a request of a tier's rank held its slot, seconds."""
        del rank, running_s

    @abc.abstractmethod
    def count_ahead(self, rank: int) -> int:
        """Count the waiting reservations that would go before a new one of a tier's rank."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Count the waiting reservations."""


class FifoOrder(OrderPolicy):
    """First come, first served; a baseline for measurements."""

    def __init__(self) -> None:
        self._queue: dict[int, Reservation] = {}

    def add(self, reservation: Reservation) -> None:
        """Add a waiting reservation."""
        self._queue[id(reservation)] = reservation

    def remove(self, reservation: Reservation) -> None:
        """Remove a waiting reservation."""
        self._queue.pop(id(reservation), None)

    def pop(self) -> Reservation | None:
        """Remove and return the oldest reservation."""
        for key in self._queue:
            return self._queue.pop(key)
        return None

    def waiting(self) -> Iterator[Reservation]:
        """List the waiting reservations."""
        return iter(list(self._queue.values()))

    def count_ahead(self, rank: int) -> int:
        """Count all: every one of them came first."""
        del rank
        return len(self._queue)

    def __len__(self) -> int:
        """Count the waiting reservations."""
        return len(self._queue)


class _CustomerQueues:
    """Reservations of one tier, shared between customers by weight.

    Start-time fair queueing: each customer's next request starts where its last one would have
    ended, had the customer got exactly its share; the earliest start goes first.
    """

    def __init__(self) -> None:
        self._queues: dict[str, list[Reservation]] = {}
        self._ends: dict[str, float] = {}
        self._virtual_now = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, reservation: Reservation) -> None:
        start = max(self._virtual_now, self._ends.get(reservation.customer, 0.0))
        reservation.virtual_start = start
        self._ends[reservation.customer] = start + 1.0 / reservation.weight
        self._queues.setdefault(reservation.customer, []).append(reservation)
        self._count += 1

    def remove(self, reservation: Reservation) -> bool:
        queue = self._queues.get(reservation.customer, [])
        if reservation not in queue:
            return False
        queue.remove(reservation)
        self._forget_if_empty(reservation.customer)
        self._count -= 1
        return True

    def pop(self) -> Reservation | None:
        if not self._queues:
            self._ends.clear()
            return None
        heads = (queue[0] for queue in self._queues.values())
        first = min(heads, key=lambda head: (head.virtual_start, head.arrived_at))
        self._virtual_now = max(self._virtual_now, first.virtual_start)
        self.remove(first)
        return first

    def waiting(self) -> Iterator[Reservation]:
        for queue in self._queues.values():
            yield from queue

    def _forget_if_empty(self, customer: str) -> None:
        if not self._queues[customer]:
            del self._queues[customer]


class TieredOrder(OrderPolicy):
    """The most urgent tier first, with a small share kept for each tier below.

    Each grant adds a tier's share to the credit of every lower tier that waits. A tier whose
    credit pays for a grant goes first once, so its wait is bounded however long the tiers above
    are saturated. A grant of a tier with long answers costs more, so that the share is one of the
    slots' time and not of their number. Within a tier, customers share by weight.
    """

    def __init__(self) -> None:
        self._service_s: dict[int, float] = {}
        self._mean_service_s = 0.0
        self._queues: dict[int, _CustomerQueues] = {}
        self._shares: dict[int, float] = {}
        self._credits: dict[int, float] = {}

    def add(self, reservation: Reservation) -> None:
        """Add a waiting reservation."""
        rank = reservation.tier.rank
        self._shares[rank] = reservation.tier.share
        self._queues.setdefault(rank, _CustomerQueues()).add(reservation)

    def remove(self, reservation: Reservation) -> None:
        """Remove a waiting reservation."""
        queue = self._queues.get(reservation.tier.rank)
        if queue is not None:
            queue.remove(reservation)

    def pop(self) -> Reservation | None:
        """Remove and return the next reservation."""
        ranks = sorted(rank for rank, queue in self._queues.items() if len(queue))
        if not ranks:
            self._credits.clear()
            return None
        chosen = self._choose(ranks)
        return self._queues[chosen].pop()

    def record_service(self, rank: int, running_s: float) -> None:
        """Learn how long requests of a tier hold their slots, beside those of all tiers."""
        known = self._service_s.get(rank, running_s)
        self._service_s[rank] = known + _SMOOTHING * (running_s - known)
        mean = self._mean_service_s or running_s
        self._mean_service_s = mean + _SMOOTHING * (running_s - mean)

    def waiting(self) -> Iterator[Reservation]:
        """List the waiting reservations."""
        for queue in self._queues.values():
            yield from queue.waiting()

    def count_ahead(self, rank: int) -> int:
        """Count those of the same tier and of more urgent ones."""
        return sum(len(queue) for other, queue in self._queues.items() if other <= rank)

    def __len__(self) -> int:
        """Count the waiting reservations."""
        return sum(len(queue) for queue in self._queues.values())

    def _cost(self, rank: int) -> float:
        """Find what a grant of a tier costs: its time relative to the mean, one at least."""
        if not self._mean_service_s:
            return 1.0
        relative = self._service_s.get(rank, 0.0) / self._mean_service_s
        return min(_LARGEST_COST, max(1.0, relative))

    def _choose(self, ranks: list[int]) -> int:
        for rank in ranks[1:]:
            self._credits[rank] = self._credits.get(rank, 0.0) + self._shares[rank]
        for rank in ranks[1:]:
            cost = self._cost(rank)
            if self._credits[rank] >= cost * _WHOLE_GRANT:
                self._credits[rank] -= cost
                return rank
        return ranks[0]


def create_order(name: OrderName) -> OrderPolicy:
    """Create the policy that the settings name."""
    return FifoOrder() if name is OrderName.FIFO else TieredOrder()
