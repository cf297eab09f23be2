"""Where requests with an idempotency key go."""

from collections.abc import Callable

from pearshed._internal.configuration.catalogue import Catalogue
from pearshed._internal.entry.link import SideLink
from pearshed._internal.entry.links import LinkTable
from pearshed._internal.membership.rendezvous import best
from pearshed._internal.membership.vm_view import VMView
from pearshed._internal.models.requests import RoutedRequest

_DIAL_PATIENCE_S = 1.0


class KeyRouter:
    """Sends every request with the same key to the same endpoint, its home.

    The home is the best of the service's endpoints by rendezvous hash. Endpoints that the VM
    list shows as leaving are passed over; the side that is asked instead decides for itself
    whether it can know what they have run.
    """

    def __init__(
        self,
        catalogue: Callable[[], Catalogue],
        links: LinkTable,
        view: VMView,
    ) -> None:
        self._catalogue = catalogue
        self._links = links
        self._view = view

    async def link_for(self, request: RoutedRequest) -> SideLink | None:
        """Find the link to the key's home, or nothing when the home can't be reached."""
        endpoints = self._catalogue().endpoints_by_service.get(request.service, ())
        live = [endpoint.name for endpoint in endpoints if not self._view.is_leaving(endpoint.name)]
        owner = best(request.idempotency_key, live)
        if owner is None:
            return None
        return await self._links.wait_connected(owner, _DIAL_PATIENCE_S)
