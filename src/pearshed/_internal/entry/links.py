"""The links of an entry, kept in step with the records."""

import asyncio
import ssl
from collections.abc import Mapping

from pearshed._internal.configuration.catalogue import Catalogue
from pearshed._internal.entry.health import EndpointHealth
from pearshed._internal.entry.link import EntryIdentity, SideLink
from pearshed._internal.membership.subset import SubsetChooser, fallback_subset
from pearshed._internal.membership.vm_view import VMView
from pearshed._internal.models.records import Endpoint
from pearshed._internal.peers.relay import FeedRelay
from pearshed._internal.settings.model import PeerSettings
from pearshed._internal.timers.service import TimerService

_EXTRA_IDLE_CHECK_S = 5.0
_DIAL_CHECK_S = 0.02


class LinkTable:
    """Opens links to the entry's subset of sides and closes those that fell out of it.

    A link that still carries requests is closed once they have ended. Links outside of the
    subset are opened on demand for idempotency keys whose home lies there.

    :param subset: number of sides in the subset.
    """

    def __init__(
        self,
        identity: EntryIdentity,
        settings: PeerSettings,
        timers: TimerService,
        relay: FeedRelay,
        health: EndpointHealth,
        view: VMView,
        subset: int,
        tls: ssl.SSLContext | None,
    ) -> None:
        self._tls = tls
        self._identity = identity
        self._settings = settings
        self._timers = timers
        self._relay = relay
        self._health = health
        self._view = view
        self._subset = subset
        self._listed = False
        self._entries = {identity.name: identity.data_centre}
        self._chooser = SubsetChooser(self._entries, subset)
        self._links: dict[str, SideLink] = {}
        self._retiring: list[SideLink] = []
        self._wanted: dict[str, Endpoint] = {}
        self._catalogue = Catalogue()
        timers.every(_EXTRA_IDLE_CHECK_S, self._close_extra)
        timers.every(1.0, self._close_retired)

    @property
    def links(self) -> Mapping[str, SideLink]:
        """Links by endpoint."""
        return self._links

    def update(self, catalogue: Catalogue) -> None:
        """Take a new catalogue."""
        same_endpoints = catalogue.endpoints == self._catalogue.endpoints
        self._catalogue = catalogue
        if same_endpoints:
            return
        for name, link in list(self._links.items()):
            present = catalogue.endpoints.get(name)
            if present is None or present.side != link.endpoint.side:
                self._retire(name)
            else:
                link.update(present)
        self._follow_subset()

    def update_entries(self) -> None:
        """Take a new VM list; the subset moves when entries come and go."""
        entries = {**self._view.live_entries(), self._identity.name: self._identity.data_centre}
        if entries != self._entries or not self._listed:
            self._listed = True
            self._entries = entries
            self._chooser = SubsetChooser(entries, self._subset)
            self._follow_subset()

    async def wait_connected(self, name: str, patience_s: float) -> SideLink | None:
        """Find the link to an endpoint, opened on demand, once it is connected."""
        endpoint = self._catalogue.endpoints.get(name)
        if endpoint is None:
            return None
        link = self._open(endpoint)
        checks = round(patience_s / _DIAL_CHECK_S)
        for _ in range(checks):
            if link.connected and link.load.slots:
                return link
            await asyncio.sleep(_DIAL_CHECK_S)
        return link if link.connected else None

    def stop(self) -> None:
        """Stop all links."""
        for link in (*self._links.values(), *self._retiring):
            link.stop()

    def _follow_subset(self) -> None:
        """Open the links of the subset; those that fell out are closed when they are idle."""
        groups = self._catalogue.endpoints_by_service
        if self._view.revision:
            self._wanted = self._chooser.endpoints_of(self._identity.name, groups)
        else:
            self._wanted = fallback_subset(self._identity.name, groups, self._subset)
        for endpoint in self._wanted.values():
            self._open(endpoint)

    def _open(self, endpoint: Endpoint) -> SideLink:
        link = self._links.get(endpoint.name)
        if link is None:
            link = SideLink(
                endpoint, self._identity, self._settings, self._timers, self._relay, self._tls
            )
            self._links[endpoint.name] = link
            link.start()
        return link

    def _retire(self, name: str) -> None:
        self._retiring.append(self._links.pop(name))
        self._health.forget(name)

    def _close_extra(self) -> None:
        for name, link in list(self._links.items()):
            if name not in self._wanted and not link.attempts:
                self._retire(name)
        self._close_retired()

    def _close_retired(self) -> None:
        for link in list(self._retiring):
            if not link.attempts:
                link.stop()
                self._retiring.remove(link)
