"""Schedules the slots of one endpoint: queue, leases and running requests."""

import abc
from collections import Counter

from pearshed._internal.models.records import RequestClass
from pearshed._internal.peers import peer_pb2 as pb
from pearshed._internal.side.order import OrderPolicy, Reservation
from pearshed._internal.timers import clock
from pearshed._internal.timers.service import TimerService

_SMOOTHING_FACTOR = 0.1
_INITIAL_SERVICE_S = 0.5
_MAX_QUEUE_LENGTH = 10_000
_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 60.0


class GrantListener(abc.ABC):
    """Receives the outcome of each reservation."""

    @abc.abstractmethod
    def on_granted(self, reservation: Reservation) -> None:
        """Handle the grant of a slot, which starts the lease."""

    @abc.abstractmethod
    def on_refused(
        self, reservation: Reservation, reason: pb.RefusalReason, retry_after_s: float
    ) -> None:
        """Handle the refusal of a reservation; its request does not run."""


class SlotScheduler:
    """Grants the endpoint's slots to reservations in the policy's order.

    A granted slot is leased: the request's body must arrive before the lease expires, or it is
    refused. All of the endpoint's work passes through this scheduler, so its count of running
    requests is exact.

    :param lease_s: duration of a lease, seconds.
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
        self._queued_by_class: Counter[str] = Counter()
        self._draining = False
        self._paused_until = float("-inf")
        self._service_s = _INITIAL_SERVICE_S
        self._grants = 0
        self._expired = 0
        self._refusals: Counter[int] = Counter()

    @property
    def slots(self) -> int:
        """Maximum number of concurrent requests; 0 until the endpoint is configured."""
        return self._slots

    @property
    def running(self) -> int:
        """Number of slots in use, including leased ones."""
        return self._running + len(self._leases)

    @property
    def queued(self) -> int:
        """Number of queued reservations."""
        return len(self._policy)

    @property
    def draining(self) -> bool:
        """Whether the endpoint gets no new work."""
        return self._draining

    @property
    def pause_s(self) -> float:
        """Rest of the pause that the endpoint has asked for, seconds; 0 without one."""
        return max(0.0, self._paused_until - clock.now())

    @property
    def service_s(self) -> float:
        """Smoothed time for which a request occupies a slot, seconds."""
        return self._service_s

    @property
    def grants(self) -> int:
        """Number of slots granted."""
        return self._grants

    @property
    def expired(self) -> int:
        """Number of leases that expired before their request's body arrived."""
        return self._expired

    @property
    def refusals(self) -> dict[int, int]:
        """Number of refused reservations, by reason."""
        return dict(self._refusals)

    def set_slots(self, slots: int) -> None:
        """Change the number of slots; running requests are not affected."""
        self._slots = slots
        self._grant_free_slots()

    def set_draining(self, draining: bool) -> None:
        """Refuse all queued, leased and new reservations, or accept new ones again."""
        self._draining = draining
        if not draining:
            return
        for reservation in list(self._policy.queued()):
            self._remove_queued(reservation)
            self._refuse(reservation, pb.REFUSAL_DRAINING)
        for reservation in list(self._leases):
            self._leases.discard(reservation)
            self._refuse(reservation, pb.REFUSAL_DRAINING)

    def pause(self, pause_s: float) -> None:
        """Grant nothing for a time that the endpoint asks for; of several the latest end counts.

        Leased reservations are refused, and queued ones that may not wait so long.

        :param pause_s: seconds.
        """
        if pause_s <= self.pause_s:
            return
        self._paused_until = clock.now() + pause_s
        for reservation in list(self._leases):
            self._leases.discard(reservation)
            self._refuse(reservation, pb.REFUSAL_LEASE_EXPIRED)
        for reservation in list(self._policy.queued()):
            if self._waits_too_long(reservation):
                self._remove_queued(reservation)
                self._refuse(reservation, pb.REFUSAL_DEADLINE)
        self._timers.after(pause_s, self._grant_free_slots)

    def reserve(self, reservation: Reservation) -> None:
        """Queue a reservation, or refuse it at once if it can't be served in time."""
        reason = self._refusal_reason(reservation)
        if reason is not None:
            self._refuse(reservation, reason)
            return
        self._policy.add(reservation)
        self._queued_by_class[reservation.request_class.name] += 1
        self._grant_free_slots()

    def withdraw(self, reservation: Reservation) -> None:
        """Remove a reservation that its entry no longer needs."""
        if reservation in self._leases:
            self._leases.discard(reservation)
        else:
            self._remove_queued(reservation)
        self._grant_free_slots()

    def start_run(self, reservation: Reservation) -> bool:
        """Convert a lease into a run.

        After a pause of the process the lease may have expired without its timer firing; its time
        decides.

        :returns: whether the lease was still valid.
        """
        if reservation not in self._leases:
            return False
        self._leases.discard(reservation)
        if clock.now() > reservation.lease_until:
            self._expired += 1
            self._grant_free_slots()
            return False
        self._running += 1
        return True

    def finish_run(self, rank: int, running_s: float) -> None:
        """Free a run's slot.

        :param rank: rank of the run's tier.
        :param running_s: time for which the run occupied the slot, seconds.
        """
        self._policy.record_service(rank, running_s)
        self._running -= 1
        self._service_s += _SMOOTHING_FACTOR * (running_s - self._service_s)
        self._grant_free_slots()

    def expected_wait_s(self, reservation: Reservation) -> float:
        """Estimate a new reservation's wait from the number of reservations ahead of it."""
        if not self._slots or (self.running < self._slots and not len(self._policy)):
            return self.pause_s
        ahead = self._policy.count_ahead(reservation.tier.rank)
        return self.pause_s + (ahead + 1) * self._service_s / self._slots

    def _expire_leases(self) -> None:
        """Refuse reservations whose lease has expired and free their slots."""
        now = clock.now()
        for reservation in [
            reservation for reservation in self._leases if reservation.lease_until <= now
        ]:
            self._leases.discard(reservation)
            self._expired += 1
            self._refuse(reservation, pb.REFUSAL_LEASE_EXPIRED)
        self._grant_free_slots()

    def refuse_expired(self) -> None:
        """Refuse queued reservations whose deadline has passed."""
        now = clock.now()
        for reservation in [
            reservation for reservation in self._policy.queued() if reservation.deadline < now
        ]:
            self._remove_queued(reservation)
            self._refuse(reservation, pb.REFUSAL_DEADLINE)

    def _refusal_reason(self, reservation: Reservation) -> pb.RefusalReason | None:
        if self._draining:
            return pb.REFUSAL_DRAINING
        if reservation.tier.protected:
            return self._displace_lower_tier(reservation)
        request_class = reservation.request_class
        if self._queued_by_class[request_class.name] >= request_class.queue_limit:
            return pb.REFUSAL_QUEUE_FULL
        if len(self._policy) >= _MAX_QUEUE_LENGTH:
            return pb.REFUSAL_QUEUE_FULL
        if self._waits_too_long(reservation):
            return pb.REFUSAL_DEADLINE
        return None

    def _waits_too_long(self, reservation: Reservation) -> bool:
        if reservation.tier.protected:
            return False
        return self.expected_wait_s(reservation) > _max_wait_s(reservation.request_class)

    def _displace_lower_tier(self, reservation: Reservation) -> pb.RefusalReason | None:
        """Displace the newest reservation of the lowest-priority tier for a protected one."""
        if len(self._policy) < _MAX_QUEUE_LENGTH:
            return None
        last = max(self._policy.queued(), key=lambda queued: (queued.tier.rank, queued.arrived_at))
        if last.tier.rank <= reservation.tier.rank or last.tier.protected:
            return pb.REFUSAL_QUEUE_FULL
        self._remove_queued(last)
        self._refuse(last, pb.REFUSAL_DISPLACED)
        return None

    def _grant_free_slots(self) -> None:
        while not (self._draining or self.pause_s) and self.running < self._slots:
            reservation = self._policy.pop()
            if reservation is None:
                return
            self._decrement_class_count(reservation)
            reservation.lease_until = clock.now() + self._lease_s
            self._leases.add(reservation)
            self._grants += 1
            self._timers.after(self._lease_s, self._expire_leases)
            self._listener.on_granted(reservation)

    def _remove_queued(self, reservation: Reservation) -> None:
        before = len(self._policy)
        self._policy.remove(reservation)
        if len(self._policy) < before:
            self._decrement_class_count(reservation)

    def _decrement_class_count(self, reservation: Reservation) -> None:
        name = reservation.request_class.name
        self._queued_by_class[name] -= 1
        if not self._queued_by_class[name]:
            del self._queued_by_class[name]

    def _refuse(self, reservation: Reservation, reason: pb.RefusalReason) -> None:
        self._refusals[reason] += 1
        wait_s = self.expected_wait_s(reservation)
        retry_after_s = min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s))
        self._listener.on_refused(reservation, reason, retry_after_s)


def _max_wait_s(request_class: RequestClass) -> float:
    return request_class.max_wait_ms / clock.MILLISECONDS_PER_SECOND
