"""Requests of callers after classification."""

from dataclasses import dataclass, field

from pearshed._internal.models.records import Customer, RequestClass, Tier


@dataclass(frozen=True, slots=True)
class ForwardedCall:
    """The HTTP call that the endpoint is to receive.

    :ivar target: path with query string.
    :ivar headers: end-to-end headers only.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    content: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A classified request.

    :ivar service: the group of endpoints that can serve it.
    :ivar idempotent: whether it may run more than once.
    :ivar idempotency_key: the caller's key for a non-idempotent call, or an empty string.
    :ivar streaming: the caller wants parts as they come.
    :ivar deadline: clock reading after which the request is given up, seconds.
    :ivar fingerprint: hash of the call; tells a repeat from a reused key.
    :ivar prefix_hash: hash of the start of the prompt; 0 when there is none.
    """

    request_id: str
    customer: Customer
    request_class: RequestClass
    tier: Tier
    service: str
    call: ForwardedCall
    idempotent: bool
    idempotency_key: str
    streaming: bool
    deadline: float
    fingerprint: int
    prefix_hash: int
