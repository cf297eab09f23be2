"""Configuration records that operators publish, after validation."""

import enum
from dataclasses import dataclass, field

from pearshed._internal.utils.addresses import Address


class RecordKind(enum.StrEnum):
    """Kind of a record."""

    TIER = "tier"
    CLASS = "class"
    CUSTOMER = "customer"
    MODEL = "model"
    ENDPOINT = "endpoint"


class EndpointKind(enum.StrEnum):
    """Kind of server at an endpoint: a model engine or a plain HTTP service."""

    ENGINE = "engine"
    PLAIN = "plain"


@dataclass(frozen=True, slots=True)
class Tier:
    """A service tier.

    :ivar rank: priority, 0 is the highest.
    :ivar protected: requests of the tier are never shed in favour of a lower tier.
    :ivar share: fraction of an endpoint's slot time reserved for the tier while it has a backlog.
    """

    name: str
    rank: int
    protected: bool = False
    share: float = 0.0


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests with its targets and limits.

    :ivar idempotent: whether a call may be run again after a failure.
    :ivar first_token_ms: target for the first byte of the response, milliseconds.
    :ivar between_tokens_ms: target for the gap between parts of the response, milliseconds.
    :ivar total_ms: timeout of a request, milliseconds.
    :ivar queue_limit: maximum number of reservations of the class in one endpoint's queue.
    :ivar max_wait_ms: maximum expected wait at which a request is still accepted, milliseconds.
    """

    name: str
    tier: str
    idempotent: bool
    first_token_ms: int
    between_tokens_ms: int
    total_ms: int
    queue_limit: int
    max_wait_ms: int


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer with its API key, limits and permitted request classes.

    :ivar api_key_sha256: hexadecimal SHA-256 of the customer's API key.
    :ivar weight: share of contended capacity, relative to other customers.
    :ivar max_in_flight: maximum number of requests in flight over all entries.
    :ivar classes: names of the permitted request classes; the first is the default.
    """

    name: str
    api_key_sha256: str
    weight: float
    max_in_flight: int
    classes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Model:
    """A model that callers request by name, and the service that runs it."""

    name: str
    service: str


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint: a model engine or a plain service, with the side process beside it.

    :ivar service: group of interchangeable endpoints that it belongs to.
    :ivar side: address of its side process.
    :ivar slots: maximum number of requests that it runs concurrently.
    :ivar draining: it gets no new requests.
    :ivar checks_fence: it refuses calls that carry an outdated fencing token.
    """

    name: str
    service: str
    data_centre: str
    kind: EndpointKind
    side: Address
    slots: int
    draining: bool = False
    checks_fence: bool = False


RecordValue = Tier | RequestClass | Customer | Model | Endpoint


@dataclass(frozen=True, slots=True)
class Record:
    """A valid record.

    :ivar revision: revision of the platform at which it was published.
    :ivar value: its validated content; ``None`` if the record was deleted.
    :ivar document: the JSON document as published, which is forwarded to peers.
    """

    kind: RecordKind
    name: str
    revision: int
    value: RecordValue | None
    document: bytes = field(repr=False)

    @property
    def key(self) -> tuple[RecordKind, str]:
        """Kind and name, which identify the record across its revisions."""
        return (self.kind, self.name)
