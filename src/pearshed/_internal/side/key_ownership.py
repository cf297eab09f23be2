"""Decides whether this side's endpoint owns an idempotency key, and since when."""

from dataclasses import dataclass

from pearshed._internal.configuration.catalogue import Catalogue
from pearshed._internal.membership.rendezvous import score
from pearshed._internal.membership.vm_view import VMView
from pearshed._internal.timers import clock

OWNERSHIP_HANDOVER_S = 10.0


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
    then on.

    :param endpoint: name of this side's endpoint.
    """

    def __init__(self, endpoint: str, view: VMView) -> None:
        self._endpoint = endpoint
        self._view = view
        self._members: frozenset[str] = frozenset()
        self._member_since = clock.now()
        self._was_member = False
        self._left_at: dict[str, float] = {}
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

    def owned_since(self, key: str) -> float | OwnedElsewhere:
        """Return the clock reading since which this side knows all requests of the key."""
        own_score = score(key, self._endpoint)
        since = self._member_since
        for name in self._members:
            scores_higher = name != self._endpoint and score(key, name) > own_score
            if scores_higher and not self._view.is_leaving(name):
                return OwnedElsewhere(name)
        for name, left_at in self._left_at.items():
            if score(key, name) > own_score:
                since = max(since, left_at + OWNERSHIP_HANDOVER_S)
        return since

    def _update_leaving(self) -> None:
        now = clock.now()
        for name in self._members:
            if not self._view.is_leaving(name):
                self._left_at.pop(name, None)
            elif name not in self._left_at:
                self._left_at[name] = now
