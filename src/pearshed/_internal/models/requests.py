"""Callers' requests after classification."""

from dataclasses import dataclass, field

from pearshed._internal.models.records import Customer, RequestClass, Tier

#: Names a call towards its caller and towards endpoints.
REQUEST_ID_HEADER = "X-Request-Id"


@dataclass(frozen=True, slots=True)
class ForwardedCall:
    """The HTTP call to send to the endpoint.

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

    :ivar service: group of endpoints that can serve it.
    :ivar idempotent: whether it may run more than once.
    :ivar idempotency_key: the caller's key for a non-idempotent call; empty if not given.
    :ivar streaming: the caller requests a streamed response.
    :ivar deadline: clock reading at which the request times out, seconds.
    :ivar fingerprint: hash of the call; distinguishes a retry from a key reused for another call.
    :ivar prefix_hash: hash of the start of the prompt; 0 if there is no prompt.
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
