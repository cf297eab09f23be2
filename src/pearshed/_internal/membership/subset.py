"""Chooses the sides to which an entry keeps connections."""

import itertools
from collections.abc import Mapping, Sequence

from pearshed._internal.membership.rendezvous import ranked
from pearshed._internal.membership.ring import HashRing
from pearshed._internal.models.records import Endpoint

_MIN_ENTRIES_PER_ENDPOINT = 2
_MIN_ENDPOINTS_PER_SERVICE = 2


def fallback_subset(
    entry: str, endpoints_by_service: Mapping[str, Sequence[Endpoint]], size: int
) -> dict[str, Endpoint]:
    """Choose endpoints for an entry while the list of live entries is not known.

    An entry that assumed it was the only one would open a link to every endpoint of the fleet.

    :param size: number of links that the entry should have.
    """
    endpoints = {
        endpoint.name: endpoint
        for endpoint in itertools.chain.from_iterable(endpoints_by_service.values())
    }
    if len(endpoints) <= size:
        return endpoints
    chosen = {name: endpoints[name] for name in ranked(entry, endpoints)[:size]}
    for group in endpoints_by_service.values():
        _add_for_service(entry, group, chosen)
    return chosen


class SubsetChooser:
    """Assigns entries to each endpoint, so that every endpoint has some.

    Every entry computes the same assignment from the same lists, and keeps links to the endpoints
    that it is assigned to. Half of an endpoint's entries are in its own data centre if there are
    that many, the others elsewhere, so that every endpoint and every entry still has links after
    the loss of a data centre. An entry that joins or leaves changes few assignments.

    :param entries: data centre of each live entry by name.
    :param size: number of links that an entry should have on average.
    """

    def __init__(self, entries: Mapping[str, str], size: int) -> None:
        self._entries = entries
        self._size = size
        self._global_ring = HashRing(entries)
        self._rings_by_data_centre = {
            data_centre: HashRing(name for name in entries if entries[name] == data_centre)
            for data_centre in set(entries.values())
        }

    def endpoints_of(
        self, entry: str, endpoints_by_service: Mapping[str, Sequence[Endpoint]]
    ) -> dict[str, Endpoint]:
        """Return the endpoints to which an entry keeps links, by name."""
        endpoints = list(itertools.chain.from_iterable(endpoints_by_service.values()))
        if len(endpoints) <= self._size:
            return {endpoint.name: endpoint for endpoint in endpoints}
        count = self._entries_per_endpoint(len(endpoints))
        chosen = {
            endpoint.name: endpoint
            for endpoint in endpoints
            if entry in self._assigned_entries(endpoint, count)
        }
        for group in endpoints_by_service.values():
            _add_for_service(entry, group, chosen)
        return chosen

    def _entries_per_endpoint(self, endpoint_count: int) -> int:
        target = round(self._size * len(self._entries) / endpoint_count)
        return max(_MIN_ENTRIES_PER_ENDPOINT, target)

    def _assigned_entries(self, endpoint: Endpoint, count: int) -> list[str]:
        local_ring = self._rings_by_data_centre.get(endpoint.data_centre)
        chosen: list[str] = []
        if local_ring is not None:
            chosen = list(itertools.islice(local_ring.successors(endpoint.name), (count + 1) // 2))
        remote_entries = (
            name
            for name in self._global_ring.successors(endpoint.name)
            if self._entries[name] != endpoint.data_centre
        )
        chosen.extend(itertools.islice(remote_entries, count - len(chosen)))
        if len(chosen) < count:
            successors = (name for name in self._global_ring.successors(endpoint.name))
            others = (name for name in successors if name not in chosen)
            chosen.extend(list(itertools.islice(others, count - len(chosen))))
        return chosen


def _add_for_service(entry: str, group: Sequence[Endpoint], chosen: dict[str, Endpoint]) -> None:
    """Add endpoints of a service until the entry has links to enough of them."""
    missing = min(_MIN_ENDPOINTS_PER_SERVICE, len(group))
    missing -= sum(endpoint.name in chosen for endpoint in group)
    if missing <= 0:
        return
    by_name = {endpoint.name: endpoint for endpoint in group if endpoint.name not in chosen}
    for name in ranked(entry, by_name)[:missing]:
        chosen[name] = by_name[name]
