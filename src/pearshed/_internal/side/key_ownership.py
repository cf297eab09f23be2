"""Whether this side is the home of an idempotency key, and since when."""

from dataclasses import dataclass

from pearshed._internal.configuration.catalogue import Catalogue
from pearshed._internal.membership.rendezvous import score
from pearshed._internal.membership.vm_view import VMView
from pearshed._internal.timers import clock

OWNERSHIP_HANDOVER_S = 10.0


@dataclass(frozen=True, slots=True)
class OwnedElsewhere:
    """Another endpoint is the key's home.

    :ivar owner: its name.
    """

    owner: str


class KeyOwnership:
    """Decides from this side's own view, whatever the entry believes.

    The home is the best of the service's endpoints by rendezvous hash, leaving VMs passed over.
    After a better endpoint has gone, this side remembers only what came to it since, plus the
    time that others may take to hear of the change.

    :param endpoint: name of this side's endpoint.
    """

    def __init__(self, endpoint: str, view: VMView) -> None:
        self._endpoint = endpoint
        self._view = view
        self._members: frozenset[str] = frozenset()
        self._member_since = clock.now()
        self._ever_member = False
        self._gone_at: dict[str, float] = {}
        view.subscribe(self._note_leaving)

    def update(self, catalogue: Catalogue) -> None:
        """Take a new catalogue."""
        own = catalogue.endpoints.get(self._endpoint)
        service = own.service if own is not None else ""
        endpoints = catalogue.endpoints_by_service.get(service, ())
        members = frozenset(endpoint.name for endpoint in endpoints)
        moment = clock.now()
        for name in self._members - members:
            self._gone_at[name] = moment
        if own is not None and self._ever_member and self._endpoint not in self._members:
            self._member_since = moment + OWNERSHIP_HANDOVER_S
        self._ever_member = self._ever_member or own is not None
        self._members = members
        self._note_leaving()

    def owned_since(self, key: str) -> float | OwnedElsewhere:
        """Find the clock reading since which this side remembers the key's requests."""
        own_score = score(key, self._endpoint)
        since = self._member_since
        for name in self._members:
            better = name != self._endpoint and score(key, name) > own_score
            if better and not self._view.is_leaving(name):
                return OwnedElsewhere(name)
        for name, gone_at in self._gone_at.items():
            if score(key, name) > own_score:
                since = max(since, gone_at + OWNERSHIP_HANDOVER_S)
        return since

    def _note_leaving(self) -> None:
        moment = clock.now()
        for name in self._members:
            if not self._view.is_leaving(name):
                self._gone_at.pop(name, None)
            elif name not in self._gone_at:
                self._gone_at[name] = moment
