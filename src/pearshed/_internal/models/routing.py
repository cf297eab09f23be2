"""Routes, customers and endpoints of plain HTTP routing, as checked frozen data."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from pearshed._internal.utils.addresses import Address

#: Levels of urgency that engines tell apart; more ranks than that are drawn together in order.
ENGINE_RANK_COUNT = 10


class RouteKind(enum.StrEnum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """The part of a route's requests that goes to one service.

    :ivar weight: relative to the route's other shares.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, and what may be done with them.

    :ivar host: host name in lower case, without a port.
    :ivar prefix: path prefix; begins and ends with a slash.
    :ivar shares: services that may run the requests.
    :ivar timeout_ms: time after which a request has its final answer, milliseconds.
    :ivar target_ms: time within which the first part of an answer is on time, milliseconds.
    :ivar gap_target_ms: longest pause between events that is on time, milliseconds; 0 for none.
    :ivar max_endpoints: endpoints that may run one request.
    :ivar rank: urgency, 0 is the most urgent.
    :ivar public: callers need no API key.
    :ivar has_prompt: requests describe their prompt, so that cached parts of it can be used.
    :ivar resumable: a broken stream may go on at another endpoint.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_ms: int
    target_ms: int
    gap_target_ms: int
    max_endpoints: int
    rank: int
    public: bool
    has_prompt: bool
    resumable: bool

    @property
    def retryable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable

    @property
    def streaming(self) -> bool:
        """Whether the answer is a series of events."""
        return self.kind is RouteKind.STREAMING


@dataclass(frozen=True, slots=True)
class KeyHolder:
    """A customer as its API key shows it.

    :ivar rank: urgency of the customer's requests, compared before the routes' own.
    """

    name: str
    rank: int | None


@dataclass(frozen=True, slots=True)
class RoutedService:
    """A group of interchangeable endpoints.

    :ivar max_connections: connections that one endpoint accepts from all callers together.
    :ivar slots: requests that one endpoint runs at once; 0 when not published.
    :ivar cache_tokens: tokens of prompts that one engine keeps; 0 for plain services.
    """

    name: str
    max_connections: int
    slots: int
    cache_tokens: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what callers send.

    :ivar header_timeout_s: longest time to send a request's header, seconds.
    :ivar idle_timeout_s: longest time that a connection stays open between requests, seconds.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """One published version of the routing configuration.

    :ivar version: grows with each change, in uneven steps.
    :ivar routes: by host, the longest prefix first.
    :ivar key_holders: customers by API key.
    :ivar keys_required: whether routes that are not public need a key.
    :ivar route_rank_count: number of the routes' ranks; customers' ranks go before these.
    :ivar customer_rank_count: number of the customers' ranks.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]] = field(repr=False)
    services: Mapping[str, RoutedService] = field(repr=False)
    key_holders: Mapping[str, KeyHolder] = field(repr=False)
    keys_required: bool
    limits: CallerLimits
    route_rank_count: int
    customer_rank_count: int

    def rank(self, route: Route, holder: KeyHolder | None) -> int:
        """Rank a request: by its customer first, then by its route."""
        customer_rank = holder.rank if holder is not None and holder.rank is not None else 0
        rank = customer_rank * self.route_rank_count + route.rank
        levels = self.route_rank_count * self.customer_rank_count
        return rank * ENGINE_RANK_COUNT // levels if levels > ENGINE_RANK_COUNT else rank

    def match(self, host: str, path: str) -> Route | None:
        """Find the route of a host whose prefix is the longest that begins the path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class EndpointState(enum.StrEnum):
    """State of an endpoint as it publishes it itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One endpoint as the platform lists it.

    :ivar identity: changes with each start, mostly.
    :ivar started_at_ms: Unix time of its start, milliseconds; an old identity may start anew.
    :ivar warmup_remaining_s: how much longer it is slow after its start, seconds.
    """

    identity: str
    service: str
    address: Address
    data_centre: str
    slots: int
    state: EndpointState
    warmup_remaining_s: float
    started_at_ms: int


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share.

    :ivar part_id: equal for equal text after equal earlier parts.
    """

    part_id: str
    tokens: int
