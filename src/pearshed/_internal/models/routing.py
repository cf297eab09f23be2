"""Routing configuration of gateways and entries of endpoints, after validation."""

import enum
import functools
from collections.abc import Mapping
from dataclasses import dataclass, field

from pearshed._internal.utils.addresses import Address

#: Number of priorities that engines distinguish; more ranks are scaled down, keeping their order.
ENGINE_RANK_COUNT = 10
#: Callers compete for a service whose prompt routes have targets that differ by this factor: a
#: wait that does no harm to the least urgent makes the most urgent late.
COMPETING_TARGET_RATIO = 3.0
#: Least target of the least urgent route for that, milliseconds: every caller waits this long, so
#: a longer wait for an engine still leaves some of those requests on time.
COMPETING_LONGEST_TARGET_MS = 2000


class RouteKind(enum.StrEnum):
    """Kind of a route's requests: whether they may be retried or have streamed responses."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Share of a route's requests that goes to one service.

    :ivar weight: size of the share, relative to the route's other shares.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Destination, targets and retry rules for requests of one host and path prefix.

    :ivar host: host name in lower case, without a port.
    :ivar prefix: path prefix; begins and ends with a slash.
    :ivar shares: services that may run the requests.
    :ivar timeout_ms: timeout of a request, milliseconds.
    :ivar target_ms: target for the time to the start of the response, milliseconds.
    :ivar gap_target_ms: target for the gap between events, milliseconds; 0 for none.
    :ivar max_endpoints: maximum number of endpoints that may run one request.
    :ivar rank: priority, 0 is the highest.
    :ivar public: callers need no API key.
    :ivar has_prompt: requests describe their prompt, so that cached parts of it can be used.
    :ivar resumable: an interrupted stream may continue from another endpoint.
    :ivar allowed_regions: regions whose endpoints may run the requests; ``None`` for all.
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
    allowed_regions: frozenset[str] | None = None

    @property
    def retryable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable

    def allows(self, service: str) -> bool:
        """Return whether the route sends requests to a service."""
        return any(share.service == service for share in self.shares)

    @property
    def streaming(self) -> bool:
        """Whether the response is a stream of events."""
        return self.kind is RouteKind.STREAMING


@dataclass(frozen=True, slots=True)
class KeyHolder:
    """A customer identified by its API key.

    :ivar rank: priority of the customer's requests, compared before the routes' ranks.
    :ivar allowed_regions: regions whose endpoints may run its requests; ``None`` for all.
    """

    name: str
    rank: int | None
    allowed_regions: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class RoutedService:
    """A group of interchangeable endpoints.

    :ivar max_connections: maximum number of connections to one endpoint, from all clients.
    :ivar slots: maximum number of concurrent requests of one endpoint; 0 if not published.
    :ivar cache_tokens: prompt tokens that one engine can cache; 0 for plain services.
    :ivar cold_s: time for which an engine is cold after its start, seconds.
    :ivar cold_per_s: requests per second that a cold engine takes; 0 if nothing limits them.
    :ivar kv_token_bytes: size of a cached token, bytes; 0 if not published.
    :ivar link_mbps: speed at which engines copy cached tokens, megabits a second; 0 if not
        published.
    """

    name: str
    max_connections: int
    slots: int
    cache_tokens: int
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    kv_token_bytes: int = 0
    link_mbps: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on requests and connections of callers.

    :ivar header_timeout_s: timeout for receiving a request's header, seconds.
    :ivar idle_timeout_s: timeout of a connection between requests, seconds.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


#: Limits before the first configuration, and where it sets none.
DEFAULT_CALLER_LIMITS = CallerLimits(16 * 1024, 4 * 1024 * 1024, 5.0, 30.0)


@dataclass(frozen=True)
class RoutingConfiguration:
    """One published version of the routing configuration.

    :ivar version: increases with each change, in steps of any size.
    :ivar routes: routes by host, the longest prefix first.
    :ivar key_holders: customers by API key.
    :ivar keys_required: whether routes that are not public require an API key.
    :ivar route_rank_count: number of ranks of routes.
    :ivar customer_rank_count: number of ranks of customers, compared before the routes' ranks.
    :ivar prompt_services: names of the services to which routes send prompts.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]] = field(repr=False)
    services: Mapping[str, RoutedService] = field(repr=False)
    key_holders: Mapping[str, KeyHolder] = field(repr=False)
    keys_required: bool
    limits: CallerLimits
    route_rank_count: int
    customer_rank_count: int
    prompt_services: frozenset[str] = frozenset()

    @functools.cached_property
    def competing_services(self) -> frozenset[str]:
        """Services for whose engines callers with very different targets compete."""
        targets: dict[str, list[int]] = {}
        for host_routes in self.routes.values():
            for route in host_routes:
                if route.has_prompt and route.target_ms > 0:
                    for share in route.shares:
                        targets.setdefault(share.service, []).append(route.target_ms)
        return frozenset(
            service
            for service, target_ms in targets.items()
            if max(target_ms)
            >= max(min(target_ms) * COMPETING_TARGET_RATIO, COMPETING_LONGEST_TARGET_MS)
        )

    def has_competing_callers(self, service: str) -> bool:
        """Return whether callers with very different targets compete for a service."""
        return service in self.competing_services

    def rank(self, route: Route, holder: KeyHolder | None) -> int:
        """Return the rank of a request: by its customer first, then by its route."""
        customer_rank = holder.rank if holder is not None and holder.rank is not None else 0
        rank = customer_rank * self.route_rank_count + route.rank
        levels = self.route_rank_count * self.customer_rank_count
        return rank * ENGINE_RANK_COUNT // levels if levels > ENGINE_RANK_COUNT else rank

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of the path, or ``None``."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class EndpointState(enum.StrEnum):
    """State that an endpoint publishes of itself."""

    READY = "ready"
    DRAINING = "draining"


#: Identity, address and start of an endpoint: identifies one of its runs.
EndpointRun = tuple[str, Address, int]


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """Entry of one endpoint in the platform's store.

    :ivar identity: usually changes with each start.
    :ivar warmup_remaining_s: remaining time of its slow phase after a start, seconds.
    :ivar started_at_ms: Unix time of its start, milliseconds; it may restart with the same
        identity.
    :ivar software_version: version of its software; empty if it names none.
    """

    identity: str
    service: str
    address: Address
    data_centre: str
    slots: int
    state: EndpointState
    warmup_remaining_s: float
    started_at_ms: int
    software_version: str = ""

    @property
    def run(self) -> EndpointRun:
        """Identifies this run; it changes with a restart and with the address."""
        return self.identity, self.address, self.started_at_ms


def run_id(entry: EndpointEntry) -> str:
    """Identify one run of an engine, which ends with a crash or a stop."""
    return f"{entry.identity}/{entry.started_at_ms}"


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt, which other requests may share.

    :ivar part_id: equal for equal text that follows equal earlier parts.
    """

    part_id: str
    tokens: int
