"""Choice of the endpoints at which a request reserves a slot."""

import abc
import random
from collections.abc import Callable, Sequence

from pearshed._internal.entry.health import EndpointHealth
from pearshed._internal.entry.link import SideLink
from pearshed._internal.membership.rendezvous import score
from pearshed._internal.membership.vm_view import VMView
from pearshed._internal.models.records import EndpointKind
from pearshed._internal.models.requests import RoutedRequest
from pearshed._internal.settings.model import PlacementName

_REMOTE_LOAD_PENALTY = 0.25
_MAX_WARM_LOAD_PER_SLOT = 1.5


class PlacementPolicy(abc.ABC):
    """Chooses among the links that can serve a request."""

    @abc.abstractmethod
    def choose(
        self, request: RoutedRequest, links: Sequence[SideLink], count: int
    ) -> list[SideLink]:
        """Choose up to ``count`` links, the preferred one first."""


class RoundRobinPlacement(PlacementPolicy):
    """Chooses links in rotation; a baseline for measurements."""

    def __init__(self) -> None:
        self._next_start = 0

    def choose(
        self, request: RoutedRequest, links: Sequence[SideLink], count: int
    ) -> list[SideLink]:
        """Choose the next links in rotation."""
        del request
        self._next_start += 1
        start = self._next_start % len(links)
        return [links[(start + step) % len(links)] for step in range(min(count, len(links)))]


class LeastLoadPlacement(PlacementPolicy):
    """Chooses the links with the least reported load; a baseline for measurements."""

    def choose(
        self, request: RoutedRequest, links: Sequence[SideLink], count: int
    ) -> list[SideLink]:
        """Choose the links whose sides reported the least load."""
        del request
        return sorted(
            links, key=lambda link: (load_per_slot(link, include_own=False), link.endpoint.name)
        )[:count]


class SampledPlacement(PlacementPolicy):
    """Chooses the least loaded links of a random sample, with prefix cache affinity.

    The endpoint whose prefix cache is likely warm comes first, unless it is overloaded. The
    others are the best of a random sample, so that entries with the same outdated load reports
    do not all choose the same endpoint.

    :param data_centre: the entry's data centre; links to others are chosen only when the links
        within it are more loaded.
    """

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng

    def choose(
        self, request: RoutedRequest, links: Sequence[SideLink], count: int
    ) -> list[SideLink]:
        """Choose the link with the warm cache, unless overloaded, and the best of a sample."""
        chosen: list[SideLink] = []
        warm = self._warm_link(request, links)
        if warm is not None:
            chosen.append(warm)
        others = [link for link in links if link is not warm]
        sample = self._rng.sample(others, min(len(others), 2 * count))
        sample.sort(key=self._cost)
        return (chosen + sample)[:count]

    def _warm_link(self, request: RoutedRequest, links: Sequence[SideLink]) -> SideLink | None:
        if not request.prefix_hash:
            return None
        engines = [link for link in links if link.endpoint.kind is EndpointKind.ENGINE]
        if not engines:
            return None
        key = str(request.prefix_hash)
        warm = max(engines, key=lambda link: score(key, link.endpoint.name))
        return warm if load_per_slot(warm) < _MAX_WARM_LOAD_PER_SLOT else None

    def _cost(self, link: SideLink) -> float:
        remote = link.endpoint.data_centre != self._data_centre
        return load_per_slot(link) + (_REMOTE_LOAD_PENALTY if remote else 0.0)


def load_per_slot(link: SideLink, include_own: bool = True) -> float:
    """Estimate the load of an endpoint per slot.

    :param include_own: count this entry's open attempts, which the last report may lack.
    """
    load = link.load
    reported = load.running + load.queued
    in_progress = max(reported, link.attempt_count) if include_own else reported
    return in_progress / max(1, load.slots)


def create_placement(name: PlacementName, data_centre: str) -> PlacementPolicy:
    """Create the placement policy of the given name."""
    if name is PlacementName.ROUND_ROBIN:
        return RoundRobinPlacement()
    if name is PlacementName.LEAST_LOAD:
        return LeastLoadPlacement()
    return SampledPlacement(data_centre, random.Random())


class Candidates:
    """Finds the links that can get a request."""

    def __init__(
        self,
        links: Callable[[], Sequence[SideLink]],
        health: EndpointHealth,
        view: VMView,
    ) -> None:
        self._links = links
        self._health = health
        self._view = view

    def for_service(self, service: str, excluded: frozenset[str]) -> list[SideLink]:
        """Return the usable links of a service.

        Ejected and excluded endpoints are left out unless no others remain, so that neither rule
        turns a partial failure into a total one.

        :param excluded: endpoints at which an earlier attempt at the request failed.
        """
        usable = [
            link
            for link in self._links()
            if link.endpoint.service == service and self._accepts_requests(link)
        ]
        not_excluded = [link for link in usable if link.endpoint.name not in excluded]
        healthy = [link for link in not_excluded if self._health.is_available(link.endpoint.name)]
        return healthy or not_excluded or usable

    def _accepts_requests(self, link: SideLink) -> bool:
        return (
            link.connected
            and link.load.slots > 0
            and not link.load.draining
            and not link.endpoint.draining
            and not self._view.is_leaving(link.endpoint.name)
        )
