"""Choice of the endpoints at which a request asks for a slot."""

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

_FAR_PENALTY = 0.25
_HOT_PRESSURE = 1.5


class PlacementPolicy(abc.ABC):
    """Orders the links that can serve a request."""

    @abc.abstractmethod
    def choose(
        self, request: RoutedRequest, links: Sequence[SideLink], count: int
    ) -> list[SideLink]:
        """Choose up to ``count`` of the links, the preferred first."""


class RoundRobinPlacement(PlacementPolicy):
    """Takes the links in turn; a baseline for measurements."""

    def __init__(self) -> None:
        self._next = 0

    def choose(
        self, request: RoutedRequest, links: Sequence[SideLink], count: int
    ) -> list[SideLink]:
        """Choose the next links in turn."""
        del request
        self._next += 1
        start = self._next % len(links)
        return [links[(start + step) % len(links)] for step in range(min(count, len(links)))]


class LeastLoadPlacement(PlacementPolicy):
    """Takes the links with the least reported load; a baseline for measurements."""

    def choose(
        self, request: RoutedRequest, links: Sequence[SideLink], count: int
    ) -> list[SideLink]:
        """Choose the links whose sides reported the least load."""
        del request
        return sorted(links, key=lambda link: (pressure(link, own=False), link.endpoint.name))[
            :count
        ]


class SampledPlacement(PlacementPolicy):
    """Samples links and keeps the least pressed, with affinity of prompts to prefix caches.

    One place is kept for the endpoint whose prefix cache is likely warm, unless that endpoint
    is hot. The rest are the best of a random sample, so that entries which hold the same late
    report do not all choose the same endpoint.

    :param data_centre: links to other data centres are taken when near ones are pressed.
    """

    def __init__(self, data_centre: str, source: random.Random) -> None:
        self._data_centre = data_centre
        self._random = source

    def choose(
        self, request: RoutedRequest, links: Sequence[SideLink], count: int
    ) -> list[SideLink]:
        """Choose a warm link, if it is not hot, and the best of a sample."""
        chosen: list[SideLink] = []
        warm = self._warm(request, links)
        if warm is not None:
            chosen.append(warm)
        rest = [link for link in links if link is not warm]
        sample = self._random.sample(rest, min(len(rest), 2 * count))
        sample.sort(key=self._cost)
        return (chosen + sample)[:count]

    def _warm(self, request: RoutedRequest, links: Sequence[SideLink]) -> SideLink | None:
        if not request.prefix:
            return None
        engines = [link for link in links if link.endpoint.kind is EndpointKind.ENGINE]
        if not engines:
            return None
        key = str(request.prefix)
        warm = max(engines, key=lambda link: score(key, link.endpoint.name))
        return warm if pressure(warm) < _HOT_PRESSURE else None

    def _cost(self, link: SideLink) -> float:
        far = link.endpoint.data_centre != self._data_centre
        return pressure(link) + (_FAR_PENALTY if far else 0.0)


def pressure(link: SideLink, own: bool = True) -> float:
    """Estimate the load of an endpoint per slot.

    :param own: count what this entry has at the endpoint, which the last report may lack.
    """
    load = link.load
    reported = load.running + load.queued
    known = max(reported, link.attempt_count) if own else reported
    return known / max(1, load.slots)


def create_placement(name: PlacementName, data_centre: str) -> PlacementPolicy:
    """Create the policy that the settings name."""
    if name is PlacementName.ROUND_ROBIN:
        return RoundRobinPlacement()
    if name is PlacementName.LEAST_LOAD:
        return LeastLoadPlacement()
    return SampledPlacement(data_centre, random.Random())


class Candidates:
    """Finds the links that may get a request."""

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
        """List the usable links of a service.

        Excluded and ejected endpoints are left out as long as others are left: neither may turn a
        partial failure into a total one.

        :param excluded: endpoints that have failed the request before.
        """
        usable = [
            link
            for link in self._links()
            if link.endpoint.service == service and self._takes_work(link)
        ]
        fresh = [link for link in usable if link.endpoint.name not in excluded]
        healthy = [link for link in fresh if self._health.is_available(link.endpoint.name)]
        return healthy or fresh or usable

    def _takes_work(self, link: SideLink) -> bool:
        return (
            link.connected
            and link.load.slots > 0
            and not link.load.draining
            and not link.endpoint.draining
            and not self._view.is_leaving(link.endpoint.name)
        )
