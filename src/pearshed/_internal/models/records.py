"""Configuration records that operators publish, as checked frozen data."""

import enum
from dataclasses import dataclass, field

from pearshed._internal.utils.addresses import Address


class RecordKind(enum.StrEnum):
    """The kinds of record."""

    TIER = "tier"
    CLASS = "class"
    CUSTOMER = "customer"
    MODEL = "model"
    ENDPOINT = "endpoint"


class EndpointKind(enum.StrEnum):
    """What stands at an endpoint."""

    ENGINE = "engine"
    PLAIN = "plain"


@dataclass(frozen=True, slots=True)
class Tier:
    """A service tier.

    :ivar rank: 0 is the most urgent.
    :ivar protected: requests of the tier are never shed for a lower one.
    :ivar share: fraction of an endpoint's slot time kept for the tier while it has a backlog.
    """

    name: str
    rank: int
    protected: bool = False
    share: float = 0.0


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests with its targets and limits.

    :ivar idempotent: whether a call may be run again after a failure.
    :ivar first_token_ms: target for the first byte of the answer, milliseconds.
    :ivar between_tokens_ms: target between parts of the answer, milliseconds.
    :ivar total_ms: time after which a request is given up, milliseconds.
    :ivar queue_limit: reservations of the class that one endpoint queues at most.
    :ivar max_wait_ms: longest expected wait that is still accepted, milliseconds.
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
    """A customer and what it may use.

    :ivar api_key_sha256: hexadecimal SHA-256 of the customer's API key.
    :ivar weight: share of contended capacity, relative to other customers.
    :ivar max_in_flight: requests in flight over all entries.
    :ivar classes: names of the request classes that it may use; the first is its default.
    """

    name: str
    api_key_sha256: str
    weight: float
    max_in_flight: int
    classes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Model:
    """A model that callers ask for by name, and the service that runs it."""

    name: str
    service: str


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint: a model engine or a plain service, with the side process beside it.

    :ivar service: the group of interchangeable endpoints that it belongs to.
    :ivar side: address of its side process.
    :ivar slots: requests that it runs at once.
    :ivar draining: it gets no new work.
    :ivar checks_fence: it refuses orders that carry an old fencing number.
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
    """One accepted record.

    :ivar revision: revision of the platform at which it was published.
    :ivar value: its checked content, or nothing when the record was withdrawn.
    :ivar document: the JSON document as published, which is what peers relay.
    """

    kind: RecordKind
    name: str
    revision: int
    value: RecordValue | None
    document: bytes = field(repr=False)

    @property
    def key(self) -> tuple[RecordKind, str]:
        """What identifies the record across its revisions."""
        return (self.kind, self.name)
