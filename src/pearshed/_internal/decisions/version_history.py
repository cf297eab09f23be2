"""Concludes which software version began a stream that nobody remembers.

Addresses releases in which gateways end or lose touch: a stream whose origin is lost may go on only
if one version alone can have begun it.
"""

from collections.abc import Iterable

from pearshed._internal.models.routing import EndpointEntry, Route, RoutingConfiguration
from pearshed._internal.models.stream_origin import StreamOrigin
from pearshed._internal.timers import clock

#: Longer than a caller goes on to take up a stream, seconds.
HISTORY_S = 30.0


#: Prefixes of a host's routes, with the services that they lead to.
_Destinations = frozenset[tuple[str, frozenset[str]]]


class VersionHistory:
    """Versions of the engines that were listed within ``HISTORY_S``, however briefly.

    It also knows since when the routes of a host lead where they do: the stream may have begun at
    another service, under another route.
    """

    def __init__(self) -> None:
        self._listed: frozenset[StreamOrigin] = frozenset()
        self._left_at: dict[StreamOrigin, float] = {}
        self._complete_since: float | None = None
        self._destinations: dict[str, tuple[_Destinations, float]] = {}

    def update(self, entries: Iterable[EndpointEntry]) -> None:
        """Record the engines that are listed from now on."""
        now = clock.now()
        listed = frozenset(StreamOrigin.of(entry) for entry in entries)
        self._left_at.update(dict.fromkeys(self._listed - listed, now))
        self._listed = listed
        self._left_at = {
            origin: left_at
            for origin, left_at in self._left_at.items()
            if now - left_at <= HISTORY_S
        }

    def record(self, entry: EndpointEntry) -> None:
        """Record an engine that was listed, though it may be gone by the next update."""
        self._left_at[StreamOrigin.of(entry)] = clock.now()

    def update_routes(self, configuration: RoutingConfiguration) -> None:
        """Record where the routes of each host lead from now on."""
        now = clock.now()
        before = self._destinations
        self._destinations = {}
        for host, routes in configuration.routes.items():
            destinations = frozenset((route.prefix, _services(route)) for route in routes)
            known, since = before.get(host, (None, now))
            self._destinations[host] = (destinations, since if known == destinations else now)

    def record_gap(self) -> None:
        """Record that engines may have come and gone unnoticed until now."""
        self._complete_since = clock.now()

    def sole_origin(self, route: Route, arrived_at: float) -> StreamOrigin | None:
        """Return the only origin that a stream of a route can have; ``None`` if it isn't certain.

        The result holds only if the list of engines is known as of ``arrived_at`` or later: what
        began the stream was listed before its caller took it up, but may not be known here yet.

        :param arrived_at: clock reading when the caller's request arrived, seconds.
        """
        _, routed_since = self._destinations.get(route.host, (None, arrived_at))
        since = max(routed_since, self._complete_since or arrived_at)
        services = _services(route)
        if arrived_at - since < HISTORY_S or len(services) != 1:
            return None
        now = clock.now()
        recent = (origin for origin, at in self._left_at.items() if now - at <= HISTORY_S)
        origins = {origin for origin in (*self._listed, *recent) if origin.service in services}
        return origins.pop() if len(origins) == 1 else None


def _services(route: Route) -> frozenset[str]:
    return frozenset(share.service for share in route.shares)
