"""Routes requests with an idempotency key to the endpoint that owns the key."""

from collections.abc import Callable

from pearshed._internal.configuration.catalogue import Catalogue
from pearshed._internal.entry.link import SideLink
from pearshed._internal.entry.links import LinkTable
from pearshed._internal.membership.rendezvous import best
from pearshed._internal.membership.vm_view import VMView
from pearshed._internal.models.requests import RoutedRequest

_CONNECT_TIMEOUT_S = 1.0


class KeyRouter:
    """Routes every request with the same key to the same endpoint, the key's owner.

    The owner is chosen among the service's endpoints by rendezvous hashing. Endpoints that the
    VM list shows as leaving are skipped; the side of the new owner decides whether requests
    with the key may have run at the old one.
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
        """Return the link to the key's owner, or None when the owner can't be reached."""
        endpoints = self._catalogue().endpoints_by_service.get(request.service, ())
        candidates = [
            endpoint.name for endpoint in endpoints if not self._view.is_leaving(endpoint.name)
        ]
        owner = best(request.idempotency_key, candidates)
        if owner is None:
            return None
        return await self._links.wait_connected(owner, _CONNECT_TIMEOUT_S)
