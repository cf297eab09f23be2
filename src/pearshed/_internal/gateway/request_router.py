"""Resolves the route, the customer and the deadline of a request."""

import random
from collections.abc import Callable, Mapping

from returns.result import Failure, Result, Success

from pearshed._internal.decisions.room_refusal import NO_ROOM, return_after_s
from pearshed._internal.gateway.availability.regions import allowed_data_centres
from pearshed._internal.gateway.header_codec import RequestMetadata
from pearshed._internal.gateway.routed_call import Refusal, RoutedCall
from pearshed._internal.http import messages
from pearshed._internal.http.messages import HttpRequest
from pearshed._internal.models.routing import Route, RoutingConfiguration
from pearshed._internal.timers import clock


class RequestRouter:
    """Routes requests by the current configuration.

    :param configuration: returns the current configuration, or ``None`` before the first.
    :param keys_trusted: returns whether the configuration is fresh enough to accept API keys.
    :param routes_trusted: returns whether it is fresh enough to say that a route doesn't exist.
    :param regions: returns the region of each data centre.
    """

    def __init__(
        self,
        configuration: Callable[[], RoutingConfiguration | None],
        keys_trusted: Callable[[], bool],
        routes_trusted: Callable[[], bool],
        rng: random.Random,
        regions: Callable[[], Mapping[str, str]] = dict,
    ) -> None:
        self._regions = regions
        self._configuration = configuration
        self._keys_trusted = keys_trusted
        self._routes_trusted = routes_trusted
        self._rng = rng

    def route(
        self,
        request: HttpRequest,
        metadata: RequestMetadata,
        hold: Callable[[int], bool] = lambda _: True,
    ) -> Result[RoutedCall, Refusal]:
        """Route a request.

        :param hold: charges bytes that the decoded request holds; returns whether there is room.

        An unknown route or key is refused with 404 or 401 only by a fresh configuration. Without
        one, the refusal is a 503, which guarantees that the request was not run.
        """
        if not hold(metadata.held_bytes):
            return Failure(Refusal(503, NO_ROOM, return_after_s(self._rng)))
        configuration = self._configuration()
        if configuration is None:
            return Failure(Refusal(503, "no configuration is known yet"))
        host = messages.header_value(request.headers, b"host") or b""
        host_name = host.decode("latin-1").partition(":")[0].lower()
        route = configuration.match(host_name, request.path)
        if route is None:
            if not self._routes_trusted():
                return Failure(Refusal(503, "the routes known are too old"))
            return Failure(Refusal(404, "no route matches host and path"))
        if not metadata.request_id:
            return Failure(Refusal(400, "the request has no id"))
        key_holder = None
        if configuration.keys_required and not route.public:
            if not self._keys_trusted():
                return Failure(Refusal(503, "the keys known are too old"))
            key_holder = configuration.key_holders.get(metadata.api_key)
            if key_holder is None:
                return Failure(Refusal(401, "the API key is unknown"))
        timeout_ms = float(route.timeout_ms)
        if metadata.deadline_ms is not None:
            timeout_ms = min(timeout_ms, metadata.deadline_ms)
        service = self._pick_service(route)
        return Success(
            RoutedCall(
                request,
                metadata,
                route,
                service,
                key_holder.name if key_holder is not None else "",
                configuration.rank(route, key_holder),
                request.received_at + timeout_ms / clock.MILLISECONDS_PER_SECOND,
                configuration.version,
                allowed_data_centres(route, key_holder, self._regions()),
                route.has_prompt and configuration.has_competing_callers(service),
                not route.has_prompt and bool(configuration.competing_services),
            )
        )

    def _pick_service(self, route: Route) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._rng.choices(route.shares, weights)[0].service
