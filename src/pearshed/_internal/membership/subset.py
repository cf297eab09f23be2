"""Which side processes an entry keeps connections to."""

import itertools
from collections.abc import Mapping, Sequence

from pearshed._internal.membership.rendezvous import ranked
from pearshed._internal.membership.ring import HashRing
from pearshed._internal.models.records import Endpoint

_FEWEST_ENTRIES = 2
_FEWEST_ENDPOINTS = 2


def fallback_subset(
    entry: str, endpoints_by_service: Mapping[str, Sequence[Endpoint]], size: int
) -> dict[str, Endpoint]:
    """Choose endpoints while the live entries are not known.

    An entry that took itself for the only one would open a link to every endpoint of the fleet.
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
    """Chooses for each endpoint the entries that serve it, so that none is left without.

    Every entry makes the same choice from the same lists, and keeps links to the endpoints that
    have chosen it. Half of an endpoint's entries are of its own data centre where there are as
    many, the rest are from elsewhere, so that the loss of a data centre leaves every endpoint and
    every entry with links. Entries that came or went change few choices.

    :param entries: data centre of each live entry by name.
    :param size: links that an entry should have on average.
    """

    def __init__(self, entries: Mapping[str, str], size: int) -> None:
        self._entries = entries
        self._size = size
        self._everywhere = HashRing(entries)
        self._rings = {
            data_centre: HashRing(name for name in entries if entries[name] == data_centre)
            for data_centre in set(entries.values())
        }

    def endpoints_of(
        self, entry: str, endpoints_by_service: Mapping[str, Sequence[Endpoint]]
    ) -> dict[str, Endpoint]:
        """Find the endpoints that an entry keeps links to, by name."""
        endpoints = list(itertools.chain.from_iterable(endpoints_by_service.values()))
        if len(endpoints) <= self._size:
            return {endpoint.name: endpoint for endpoint in endpoints}
        count = self._entries_per_endpoint(len(endpoints))
        chosen = {
            endpoint.name: endpoint
            for endpoint in endpoints
            if entry in self._choose_entries(endpoint, count)
        }
        for group in endpoints_by_service.values():
            _add_for_service(entry, group, chosen)
        return chosen

    def _entries_per_endpoint(self, endpoints: int) -> int:
        wanted = round(self._size * len(self._entries) / endpoints)
        return max(_FEWEST_ENTRIES, wanted)

    def _choose_entries(self, endpoint: Endpoint, count: int) -> list[str]:
        near = self._rings.get(endpoint.data_centre)
        chosen: list[str] = []
        if near is not None:
            chosen = list(itertools.islice(near.followers(endpoint.name), (count + 1) // 2))
        far = (
            name
            for name in self._everywhere.followers(endpoint.name)
            if self._entries[name] != endpoint.data_centre
        )
        chosen.extend(itertools.islice(far, count - len(chosen)))
        if len(chosen) < count:
            rest = (name for name in self._everywhere.followers(endpoint.name))
            others = (name for name in rest if name not in chosen)
            chosen.extend(list(itertools.islice(others, count - len(chosen))))
        return chosen


def _add_for_service(entry: str, group: Sequence[Endpoint], chosen: dict[str, Endpoint]) -> None:
    """Add endpoints until the entry can serve every service."""
    missing = min(_FEWEST_ENDPOINTS, len(group))
    missing -= sum(endpoint.name in chosen for endpoint in group)
    if missing <= 0:
        return
    by_name = {endpoint.name: endpoint for endpoint in group if endpoint.name not in chosen}
    for name in ranked(entry, by_name)[:missing]:
        chosen[name] = by_name[name]
