"""Slots of one endpoint: who waits, who holds a lease, who runs."""

import abc
from collections import Counter

from pearshed._internal.models.records import RequestClass
from pearshed._internal.peers import peer_pb2 as pb
from pearshed._internal.side.order import OrderPolicy, Reservation
from pearshed._internal.timers import clock
from pearshed._internal.timers.service import TimerService

_SMOOTHING = 0.1
_FIRST_SERVICE_S = 0.5
_LARGEST_QUEUE = 10_000
_SHORTEST_RETRY_S = 0.1
_LONGEST_RETRY_S = 60.0


class GrantListener(abc.ABC):
    """Is told what becomes of reservations."""

    @abc.abstractmethod
    def granted(self, reservation: Reservation) -> None:
        """Tell the entry that a slot is held for it."""

    @abc.abstractmethod
    def refused(
        self, reservation: Reservation, reason: pb.RefusalReason, retry_after_s: float
    ) -> None:
        """Tell the entry that the reservation has ended without a run."""


class SlotScheduler:
    """Grants the endpoint's slots to reservations in the policy's order.

    A granted slot is held for a lease; a body that comes later is refused. The endpoint gets
    work from nowhere else, so the scheduler knows exactly what runs.

    :param lease_s: time that a granted slot is held, seconds.
    """

    def __init__(
        self,
        policy: OrderPolicy,
        timers: TimerService,
        listener: GrantListener,
        lease_s: float,
    ) -> None:
        self._policy = policy
        self._timers = timers
        self._listener = listener
        self._lease_s = lease_s
        self._slots = 0
        self._running = 0
        self._leases: set[Reservation] = set()
        self._waiting_by_class: Counter[str] = Counter()
        self._draining = False
        self._service_s = _FIRST_SERVICE_S
        self._grants = 0
        self._expired = 0
        self._refusals: Counter[int] = Counter()

    @property
    def slots(self) -> int:
        """Requests that the endpoint runs at once; 0 until it is configured."""
        return self._slots

    @property
    def running(self) -> int:
        """Slots in use, leased ones included."""
        return self._running + len(self._leases)

    @property
    def queued(self) -> int:
        """Reservations that wait."""
        return len(self._policy)

    @property
    def draining(self) -> bool:
        """Whether the endpoint gets no new work."""
        return self._draining

    @property
    def service_s(self) -> float:
        """Smoothed time that a request holds a slot, seconds."""
        return self._service_s

    @property
    def grants(self) -> int:
        """Grants so far."""
        return self._grants

    @property
    def expired(self) -> int:
        """Leases whose body did not come in time."""
        return self._expired

    @property
    def refusals(self) -> dict[int, int]:
        """Reservations refused so far, by reason."""
        return dict(self._refusals)

    def set_slots(self, slots: int) -> None:
        """Change the number of slots; running requests keep theirs."""
        self._slots = slots
        self._grant_free_slots()

    def set_draining(self, draining: bool) -> None:
        """Refuse all that wait and all new reservations, or accept them again."""
        self._draining = draining
        if not draining:
            return
        for reservation in list(self._policy.waiting()):
            self._remove_waiting(reservation)
            self._refuse(reservation, pb.REFUSAL_DRAINING)
        for reservation in list(self._leases):
            self._leases.discard(reservation)
            self._refuse(reservation, pb.REFUSAL_DRAINING)

    def reserve(self, reservation: Reservation) -> None:
        """Queue a reservation, or refuse it at once when it can't be served in time."""
        reason = self._refusal(reservation)
        if reason is not None:
            self._refuse(reservation, reason)
            return
        self._policy.add(reservation)
        self._waiting_by_class[reservation.request_class.name] += 1
        self._grant_free_slots()

    def withdraw(self, reservation: Reservation) -> None:
        """Forget a reservation that its entry does not want any more."""
        if reservation in self._leases:
            self._leases.discard(reservation)
        else:
            self._remove_waiting(reservation)
        self._grant_free_slots()

    def claim(self, reservation: Reservation) -> bool:
        """Turn a lease into a run, if the lease still holds.

        A process that stood still may find its own lease expired: the pause is looked for
        before the lease is trusted.
        """
        self._timers.check_pause()
        if reservation not in self._leases:
            return False
        self._leases.discard(reservation)
        if clock.now() > reservation.lease_until:
            self._expired += 1
            self._grant_free_slots()
            return False
        self._running += 1
        return True

    def finish(self, rank: int, running_s: float) -> None:
        """Free the slot of a run.

        :param rank: rank of the run's tier.
        :param running_s: time that the run held the slot, seconds.
        """
        self._policy.record_service(rank, running_s)
        self._running -= 1
        self._service_s += _SMOOTHING * (running_s - self._service_s)
        self._grant_free_slots()

    def expected_wait_s(self, reservation: Reservation) -> float:
        """Estimate the wait of a new reservation from those that would go before it."""
        if not self._slots:
            return 0.0
        if self.running < self._slots and not len(self._policy):
            return 0.0
        ahead = self._policy.count_ahead(reservation.tier.rank)
        return (ahead + 1) * self._service_s / self._slots

    def _expire_leases(self) -> None:
        """Take back slots whose lease has ended."""
        moment = clock.now()
        for reservation in [held for held in self._leases if held.lease_until <= moment]:
            self._leases.discard(reservation)
            self._expired += 1
            self._refuse(reservation, pb.REFUSAL_LEASE_EXPIRED)
        self._grant_free_slots()

    def refuse_expired(self) -> None:
        """Refuse those that wait beyond their deadline."""
        moment = clock.now()
        for reservation in [held for held in self._policy.waiting() if held.deadline < moment]:
            self._remove_waiting(reservation)
            self._refuse(reservation, pb.REFUSAL_DEADLINE)

    def _refusal(self, reservation: Reservation) -> pb.RefusalReason | None:
        if self._draining:
            return pb.REFUSAL_DRAINING
        if reservation.tier.protected:
            return self._make_room(reservation)
        request_class = reservation.request_class
        if self._waiting_by_class[request_class.name] >= request_class.queue_limit:
            return pb.REFUSAL_QUEUE_FULL
        if len(self._policy) >= _LARGEST_QUEUE:
            return pb.REFUSAL_QUEUE_FULL
        if self.expected_wait_s(reservation) > _longest_wait_s(request_class):
            return pb.REFUSAL_DEADLINE
        return None

    def _make_room(self, reservation: Reservation) -> pb.RefusalReason | None:
        """Displace the newest reservation of the least urgent tier for a protected one."""
        if len(self._policy) < _LARGEST_QUEUE:
            return None
        last = max(
            self._policy.waiting(), key=lambda waiting: (waiting.tier.rank, waiting.arrived_at)
        )
        if last.tier.rank <= reservation.tier.rank or last.tier.protected:
            return pb.REFUSAL_QUEUE_FULL
        self._remove_waiting(last)
        self._refuse(last, pb.REFUSAL_DISPLACED)
        return None

    def _grant_free_slots(self) -> None:
        while not self._draining and self.running < self._slots:
            reservation = self._policy.pop()
            if reservation is None:
                return
            self._count_out(reservation)
            reservation.lease_until = clock.now() + self._lease_s
            self._leases.add(reservation)
            self._grants += 1
            self._timers.after(self._lease_s, self._expire_leases)
            self._listener.granted(reservation)

    def _remove_waiting(self, reservation: Reservation) -> None:
        before = len(self._policy)
        self._policy.remove(reservation)
        if len(self._policy) < before:
            self._count_out(reservation)

    def _count_out(self, reservation: Reservation) -> None:
        name = reservation.request_class.name
        self._waiting_by_class[name] -= 1
        if not self._waiting_by_class[name]:
            del self._waiting_by_class[name]

    def _refuse(self, reservation: Reservation, reason: pb.RefusalReason) -> None:
        self._refusals[reason] += 1
        wait_s = self.expected_wait_s(reservation)
        retry_after_s = min(_LONGEST_RETRY_S, max(_SHORTEST_RETRY_S, wait_s))
        self._listener.refused(reservation, reason, retry_after_s)


def _longest_wait_s(request_class: RequestClass) -> float:
    return request_class.max_wait_ms / clock.MILLISECONDS_PER_SECOND
