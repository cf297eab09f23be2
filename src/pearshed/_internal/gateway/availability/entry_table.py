"""Entries of endpoints as the store lists them, and what this process knows beyond the list."""

import hashlib
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from absl import logging
from returns.pipeline import is_successful

from pearshed._internal.decisions.restored_items import DEFAULT_LEASE_S, is_lease_over
from pearshed._internal.gateway.availability.departures import Departures
from pearshed._internal.gateway.store import DocumentDecoder, Store, StoreItem
from pearshed._internal.models.routing import EndpointEntry, EndpointState
from pearshed._internal.timers import clock
from pearshed._internal.utils.foreign_values import shorten

#: Entries that expired in an outage are back within this time after it if their endpoint runs.
EXPIRY_GRACE_S = 2.0
_DIGEST_BYTES = 8


@dataclass(frozen=True, slots=True)
class DoubtedEntry:
    """A listed entry of an endpoint that has left, as far as this process knows.

    :ivar listed_since: clock reading when it was first listed in this era, seconds.
    """

    entry: EndpointEntry
    item: StoreItem
    listed_since: float


class EntryTable:
    """The endpoints that may be used.

    A deleted entry means that its endpoint has left; one that expired in an outage of the store
    gets a grace period to come back. An entry that may come from a copy isn't used if its endpoint
    had left, until the endpoint writes again, or the store has listed it for longer than the lease
    of an endpoint that is gone.

    :param lease_s: returns the silence of an endpoint after which the store removes its entry,
        seconds.
    """

    def __init__(
        self,
        store: Store,
        decoder: DocumentDecoder,
        lease_s: Callable[[], float] = lambda: DEFAULT_LEASE_S,
    ) -> None:
        self._store = store
        self._decoder = decoder
        self._lease_s = lease_s
        self._doubted: dict[str, DoubtedEntry] = {}
        self._entries: dict[str, EndpointEntry] = {}
        self._items: dict[str, StoreItem] = {}
        self._departures = Departures()
        self._digest = ""
        self._revisions: dict[str, int] = {}
        self._received_at: dict[str, float] = {}
        self._grace_deadlines: dict[str, float] = {}
        self._missing_since: dict[str, int] = {}
        self._grace_until = float("-inf")
        self._entry_callbacks: list[Callable[[EndpointEntry], None]] = []

    @property
    def entries(self) -> Mapping[str, EndpointEntry]:
        """Entries by identity."""
        return self._entries

    @property
    def items(self) -> tuple[StoreItem, ...]:
        """The store's items of all entries."""
        return tuple(self._items.values())

    @property
    def digest(self) -> str:
        """Digest of the entries; equal in processes with the same entries."""
        if not self._digest:
            digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
            for identity, item in sorted(self._items.items()):
                digest.update(f"{identity} {item.revision}\n".encode())
            self._digest = digest.hexdigest()
        return self._digest

    def received(self, identity: str) -> tuple[int, float]:
        """Return the revision of an entry, and the clock reading when it was first received."""
        return self._revisions.get(identity, 0), self._received_at.get(identity, clock.now())

    def on_entry(self, callback: Callable[[EndpointEntry], None]) -> None:
        """Call ``callback`` with each entry that is listed."""
        self._entry_callbacks.append(callback)

    def note_copy(self, copied_until: int) -> None:
        """Record up to which revision entries may come from a copy of the store."""
        self._departures.copied_until = copied_until

    def begin_grace(self) -> None:
        """Give entries that are missing from now on some time to come back."""
        self._grace_until = clock.now() + EXPIRY_GRACE_S

    def drop_expired(self) -> bool:
        """Drop entries that did not come back within the grace period; return whether any were."""
        now = clock.now()
        expired = [identity for identity, until in self._grace_deadlines.items() if until <= now]
        for identity in expired:
            del self._grace_deadlines[identity]
            self._drop(identity, self._missing_since.pop(identity))
            _log("endpoint.gone", identity=identity, cause="entry did not come back")
        return bool(expired)

    def replace(self, items: Iterable[StoreItem], revision: int) -> None:
        """Apply the store's list of all entries.

        :param revision: of the store, as of which the list is complete.
        """
        listed = self._apply_list(items, revision)
        for identity in self._doubted.keys() - listed:
            del self._doubted[identity]

    def merge(self, items: Iterable[StoreItem], revision: int) -> None:
        """Apply the entries that another process uses; they end no doubt.

        It lists none that it doubts itself, and some that the store has removed while they may come
        back.

        :param revision: of the store, as of which the list is complete.
        """
        self._apply_list(items, revision)

    def confirm(self, confirmed_at: float) -> bool:
        """Use the entries whose endpoints must be alive, since the store still lists them.

        :param confirmed_at: clock reading as of which the store's list is known, seconds.
        :returns: whether the entries that may be used have changed.
        """
        changed = False
        for doubted in tuple(self._doubted.values()):
            if is_lease_over(doubted.listed_since, confirmed_at, self._lease_s()):
                self._departures.take_back(doubted.entry)
                changed = self.apply(doubted.item) or changed
        return changed

    def dump(self) -> list[Mapping[str, Any]]:
        """Return the listed entries that aren't used, for the state dump."""
        now = clock.now()
        return [
            {
                "identity": identity,
                "service": doubted.entry.service,
                "revision": doubted.item.revision,
                "listed_s": round(now - doubted.listed_since, 3),
            }
            for identity, doubted in sorted(self._doubted.items())
        ]

    def apply(self, item: StoreItem) -> bool:
        """Apply one entry or its deletion, unless a later one is known.

        :returns: whether the entries that may be used have changed.
        """
        identity = self._store.endpoint_identity(item.key)
        if item.revision < self._revisions.get(identity, 0):
            return False
        is_new = item.revision > self._revisions.get(identity, 0)
        if is_new:
            self._received_at[identity] = clock.now()
        self._revisions[identity] = item.revision
        doubted = self._doubted.pop(identity, None)
        if item.value is None:
            return self._drop_or_defer(identity, item.revision)
        decoded = self._decoder.endpoint(identity, item.value)
        if not is_successful(decoded):
            if is_new:
                # Read again, it would be logged again.
                _log("endpoint.refused", identity=shorten(identity), reason=decoded.failure())
            return self._drop_or_defer(identity, item.revision)
        entry = decoded.unwrap()
        current = self._entries.get(identity)
        if entry.state is not EndpointState.READY:
            self._departures.record(entry, item.revision)
        elif self._departures.has_left(entry, item.revision):
            self._doubt(entry, item, doubted)
            return self._drop_or_defer(identity, item.revision)
        elif self._departures.take_back(entry) or doubted is not None:
            _log("endpoint.returned", identity=identity, revision=item.revision)
        self._entries[identity] = entry
        self._items[identity] = item
        for callback in self._entry_callbacks:
            callback(entry)
        self._digest = ""
        self._grace_deadlines.pop(identity, None)
        self._missing_since.pop(identity, None)
        if current is None or current.state is not entry.state:
            _log(
                "endpoint.listed",
                identity=identity,
                service=entry.service,
                address=str(entry.address),
                state=entry.state.value,
                software_version=entry.software_version,
                revision=item.revision,
            )
        return current != entry

    def _apply_list(self, items: Iterable[StoreItem], revision: int) -> set[str]:
        """Apply a list; return the identities that it has."""
        listed = set()
        for item in items:
            identity = self._store.endpoint_identity(item.key)
            if identity:
                listed.add(identity)
                self.apply(item)
        for identity in self._entries.keys() - listed:
            self._drop_or_defer(identity, revision)
        return listed

    def _doubt(self, entry: EndpointEntry, item: StoreItem, before: DoubtedEntry | None) -> None:
        """Set an entry aside until it is known whether its endpoint has left."""
        if before is not None and before.item.revision == item.revision:
            self._doubted[entry.identity] = before
            return
        self._doubted[entry.identity] = DoubtedEntry(entry, item, clock.now())
        fields = {"identity": entry.identity, "service": entry.service, "revision": item.revision}
        _log("endpoint.copied", **fields)

    def _drop_or_defer(self, identity: str, revision: int) -> bool:
        """Drop an entry that is no longer listed, after a grace period where it may come back.

        :param revision: of the store, as of which it isn't listed.
        """
        entry = self._entries.get(identity)
        if entry is None or identity in self._grace_deadlines:
            return False
        if clock.now() < self._grace_until and entry.state is EndpointState.READY:
            self._grace_deadlines[identity] = self._grace_until
            self._missing_since[identity] = revision
            _log("endpoint.lapsed", identity=identity, service=entry.service)
            return False
        self._drop(identity, revision)
        _log("endpoint.gone", identity=identity, cause="entry removed")
        return True

    def _drop(self, identity: str, revision: int) -> None:
        entry = self._entries.pop(identity, None)
        if entry is not None:
            self._departures.record(entry, max(revision, self._revisions.get(identity, 0)))
        self._items.pop(identity, None)
        self._digest = ""


def _log(event: str, **fields: object) -> None:
    logging.info(event, extra={"fields": fields})
