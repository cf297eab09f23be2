"""What the gateway reads from and writes into headers, whatever they are called."""

import abc
from dataclasses import dataclass, field

from pearshed._internal.http.messages import Header, Headers, ResponseHead
from pearshed._internal.models.routing import EndpointEntry, PromptPart
from pearshed._internal.utils.addresses import Address


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a caller says of its request.

    :ivar request_id: the caller's id of this attempt; empty when it sent none.
    :ivar deadline_ms: time that the caller waits, milliseconds; nothing when it doesn't say.
    :ivar api_key: empty when it sent none.
    :ivar last_event_id: id of the last event that the caller has; empty when it starts anew.
    :ivar prompt: parts of the prompt in order; the last belongs to this request alone.
    :ivar prompt_tokens: tokens of the whole prompt.
    :ivar max_output_tokens: largest number of tokens to generate.
    :ivar output_tokens_hint: the caller's guess of that number; 0 when it gives none.
    :ivar forwarded_headers: headers that the endpoint gets as they came.
    """

    request_id: str
    deadline_ms: float | None
    api_key: str
    last_event_id: str
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    max_output_tokens: int
    output_tokens_hint: int
    forwarded_headers: tuple[Header, ...] = field(repr=False)

    @property
    def expected_output_tokens(self) -> int:
        """Tokens that the request likely generates."""
        if not self.output_tokens_hint:
            return self.max_output_tokens
        return min(self.output_tokens_hint, self.max_output_tokens or self.output_tokens_hint)


@dataclass(frozen=True, slots=True)
class ForwardingMetadata:
    """What the gateway adds to a request for one endpoint.

    :ivar remaining_ms: time that is left of the caller's, milliseconds.
    :ivar customer: name of the key's holder; empty when the route is public.
    :ivar rank: urgency, 0 is the most urgent; nothing leaves it to the endpoint.
    :ivar last_event_id: id of the last event that the caller has.
    :ivar fetch_from: an engine that likely keeps parts of the prompt, to be copied from there.
    """

    endpoint: EndpointEntry
    remaining_ms: int
    customer: str
    rank: int | None
    last_event_id: str
    fetch_from: Address | None = None


@dataclass(frozen=True, slots=True)
class EndpointLoadReport:
    """Load as an endpoint reports it with an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What an endpoint says of its answer.

    :ivar request_id: the request that is answered; empty when it doesn't say.
    :ivar signed: the endpoint vouches for the answer.
    :ivar not_executed: the endpoint promises that the request has not run and won't.
    """

    request_id: str
    signed: bool
    not_executed: bool
    load: EndpointLoadReport | None


class HeaderCodec(abc.ABC):
    """Translates between headers and what they mean."""

    @abc.abstractmethod
    def decode_request(self, headers: Headers) -> RequestMetadata:
        """Read the headers of a caller's request."""

    @abc.abstractmethod
    def encode_forwarding(self, metadata: ForwardingMetadata) -> list[Header]:
        """Write the headers that the gateway adds for an endpoint."""

    @abc.abstractmethod
    def decode_response(self, head: ResponseHead) -> ResponseMetadata:
        """Read the headers of an endpoint's answer."""

    @abc.abstractmethod
    def encode_refusal(self, request_id: str, retry_after_s: float) -> list[Header]:
        """Write the headers of an answer of the gateway's own.

        :param retry_after_s: when the caller may come back, seconds; 0 for no word on it.
        """
