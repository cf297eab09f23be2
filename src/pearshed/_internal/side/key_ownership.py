"""Decides whether this side's endpoint owns an idempotency key, and since when."""

from dataclasses import dataclass

from absl import logging

from pearshed._internal.configuration.catalogue import Catalogue
from pearshed._internal.membership.rendezvous import score
from pearshed._internal.membership.vm_view import VMView
from pearshed._internal.timers import clock

OWNERSHIP_HANDOVER_S = 10.0
#: Time without ``tick`` after which the process has stood still for too long to know of changes
#: that others have long acted on, seconds.
STALL_S = OWNERSHIP_HANDOVER_S / 2
#: Interval of ``tick``, seconds.
TICK_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class OwnedElsewhere:
    """Another endpoint owns the key.

    :ivar owner: the endpoint's name.
    """

    owner: str


class KeyOwnership:
    """Decides ownership from this side's own records and VM list, not from the entry's view.

    The owner is the service's endpoint with the highest rendezvous score, excluding leaving VMs.
    After a higher-scoring endpoint has left, other processes may use their old view until the
    handover time has passed, so this side knows all requests of that endpoint's keys only from
    then on. The same holds after this process has stood still: another one may have become the
    owner meanwhile, and this one may have its keys still waiting in its connections.

    :param endpoint: name of this side's endpoint.
    """

    def __init__(self, endpoint: str, view: VMView) -> None:
        self._endpoint = endpoint
        self._view = view
        self._members: frozenset[str] = frozenset()
        self._member_since = clock.now()
        self._was_member = False
        self._left_at: dict[str, float] = {}
        self._ticked_at: float | None = None
        self._certain_since = float("-inf")
        view.subscribe(self._update_leaving)

    def update(self, catalogue: Catalogue) -> None:
        """Apply a new catalogue."""
        record = catalogue.endpoints.get(self._endpoint)
        service = record.service if record is not None else ""
        endpoints = catalogue.endpoints_by_service.get(service, ())
        members = frozenset(endpoint.name for endpoint in endpoints)
        now = clock.now()
        for name in self._members - members:
            self._left_at[name] = now
        if record is not None and self._was_member and self._endpoint not in self._members:
            self._member_since = now + OWNERSHIP_HANDOVER_S
        self._was_member = self._was_member or record is not None
        self._members = members
        self._update_leaving()

    def tick(self) -> None:
        """Notice if the process has stood still. Called every ``TICK_INTERVAL_S``."""
        self._notice_standstill()
        self._ticked_at = clock.now()

    def owned_since(self, key: str) -> float | OwnedElsewhere:
        """Return the clock reading since which this side knows all requests of the key."""
        # Requests that came meanwhile may be read before the timer runs.
        self._notice_standstill()
        own_score = score(key, self._endpoint)
        since = max(self._member_since, self._certain_since)
        for name in self._members:
            scores_higher = name != self._endpoint and score(key, name) > own_score
            if scores_higher and not self._view.is_leaving(name):
                return OwnedElsewhere(name)
        for name, left_at in self._left_at.items():
            if score(key, name) > own_score:
                since = max(since, left_at + OWNERSHIP_HANDOVER_S)
        return since

    def _notice_standstill(self) -> None:
        now = clock.now()
        if self._ticked_at is None or now - self._ticked_at <= STALL_S:
            return
        self._certain_since = now + OWNERSHIP_HANDOVER_S
        stood_still_s = now - self._ticked_at
        logging.warning(
            "stood still for %.1f s; keys that are new here are in doubt", stood_still_s
        )
        self._ticked_at = now

    def _update_leaving(self) -> None:
        now = clock.now()
        for name in self._members:
            if not self._view.is_leaving(name):
                self._left_at.pop(name, None)
            elif name not in self._left_at:
                self._left_at[name] = now
