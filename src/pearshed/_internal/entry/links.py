"""The links of an entry, kept in sync with the endpoint records."""

import asyncio
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
from pearshed._internal.utils.tls import ReloadingContext

_UNUSED_LINK_CHECK_INTERVAL_S = 5.0
_CONNECT_POLL_INTERVAL_S = 0.02


class LinkTable:
    """Opens links to the entry's subset of sides and closes links that have left the subset.

    A link with requests in flight is closed once they have ended. Links outside the subset are
    opened on demand for idempotency keys that an endpoint outside the subset owns.

    :param subset_size: number of sides in the subset.
    """

    def __init__(
        self,
        identity: EntryIdentity,
        settings: PeerSettings,
        timers: TimerService,
        relay: FeedRelay,
        health: EndpointHealth,
        view: VMView,
        subset_size: int,
        tls: ReloadingContext | None,
    ) -> None:
        self._tls = tls
        self._identity = identity
        self._settings = settings
        self._timers = timers
        self._relay = relay
        self._health = health
        self._view = view
        self._subset_size = subset_size
        self._vm_list_applied = False
        self._entry_data_centres = {identity.name: identity.data_centre}
        self._subset_chooser = SubsetChooser(self._entry_data_centres, subset_size)
        self._links: dict[str, SideLink] = {}
        self._retiring: list[SideLink] = []
        self._subset_endpoints: dict[str, Endpoint] = {}
        self._catalogue = Catalogue()
        timers.every(_UNUSED_LINK_CHECK_INTERVAL_S, self._close_unused)
        timers.every(1.0, self._close_retired)

    @property
    def links(self) -> Mapping[str, SideLink]:
        """Links by endpoint."""
        return self._links

    def update(self, catalogue: Catalogue) -> None:
        """Apply a new catalogue."""
        same_endpoints = catalogue.endpoints == self._catalogue.endpoints
        self._catalogue = catalogue
        if same_endpoints:
            return
        for name, link in list(self._links.items()):
            current = catalogue.endpoints.get(name)
            if current is None or current.side != link.endpoint.side:
                self._retire(name)
            else:
                link.update(current)
        self._open_subset()

    def update_entries(self) -> None:
        """Apply a new VM list; the subset is recomputed when the live entries change."""
        entry_data_centres = {
            **self._view.live_entries(),
            self._identity.name: self._identity.data_centre,
        }
        if entry_data_centres != self._entry_data_centres or not self._vm_list_applied:
            self._vm_list_applied = True
            self._entry_data_centres = entry_data_centres
            self._subset_chooser = SubsetChooser(entry_data_centres, self._subset_size)
            self._open_subset()

    async def wait_connected(self, name: str, timeout_s: float) -> SideLink | None:
        """Return the link to an endpoint, opened on demand, once it is connected.

        :returns: None when the endpoint is unknown or not connected in time.
        """
        endpoint = self._catalogue.endpoints.get(name)
        if endpoint is None:
            return None
        link = self._open_link(endpoint)
        poll_count = round(timeout_s / _CONNECT_POLL_INTERVAL_S)
        for _ in range(poll_count):
            if link.connected and link.load.slots:
                return link
            await asyncio.sleep(_CONNECT_POLL_INTERVAL_S)
        return link if link.connected else None

    def stop(self) -> None:
        """Stop all links."""
        for link in (*self._links.values(), *self._retiring):
            link.stop()

    def _open_subset(self) -> None:
        """Open the links of the subset; other links are closed once they have no attempts."""
        endpoints_by_service = self._catalogue.endpoints_by_service
        if self._view.revision:
            self._subset_endpoints = self._subset_chooser.endpoints_of(
                self._identity.name, endpoints_by_service
            )
        else:
            self._subset_endpoints = fallback_subset(
                self._identity.name, endpoints_by_service, self._subset_size
            )
        for endpoint in self._subset_endpoints.values():
            self._open_link(endpoint)

    def _open_link(self, endpoint: Endpoint) -> SideLink:
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
        self._health.remove(name)

    def _close_unused(self) -> None:
        for name, link in list(self._links.items()):
            if name not in self._subset_endpoints and not link.attempt_count:
                self._retire(name)
        self._close_retired()

    def _close_retired(self) -> None:
        for link in list(self._retiring):
            if not link.attempt_count:
                link.stop()
                self._retiring.remove(link)
