"""Metadata that travels in HTTP headers, independent of the names of the headers."""

import abc
from dataclasses import dataclass, field

from pearshed._internal.decisions.engine_pauses import PauseRequest
from pearshed._internal.http.header_block import Header
from pearshed._internal.http.messages import Headers, ResponseHead
from pearshed._internal.models.routing import EndpointEntry, PromptPart
from pearshed._internal.utils.addresses import Address

#: Memory of one part of a prompt, bytes; its id is a part of the head that is charged anyway.
_PROMPT_PART_BYTES = 200


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Metadata of a caller's request.

    :ivar request_id: the caller's id of this attempt; empty if not given.
    :ivar deadline_ms: time that the caller waits, milliseconds; ``None`` if not given.
    :ivar api_key: empty if not given.
    :ivar last_event_id: id of the last event that the caller received; empty for a new stream.
    :ivar resumes: id of the request that brought the first event of the stream that this one takes
        up; empty for a new stream, or if not given.
    :ivar prompt: parts of the prompt in order; the last belongs to this request alone.
    :ivar prompt_tokens: tokens of the complete prompt.
    :ivar max_output_tokens: largest number of tokens to generate.
    :ivar output_tokens_hint: the caller's estimate of that number; 0 if not given.
    :ivar forwarded_headers: headers that are forwarded unchanged.
    """

    request_id: str
    deadline_ms: float | None
    api_key: str
    last_event_id: str
    resumes: str
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    max_output_tokens: int
    output_tokens_hint: int
    forwarded_headers: Headers = field(repr=False)

    @property
    def held_bytes(self) -> int:
        """Memory of the decoded prompt, bytes; the forwarded headers are charged with the head."""
        return len(self.prompt) * _PROMPT_PART_BYTES

    @property
    def expected_output_tokens(self) -> int:
        """Estimated number of tokens that the request generates."""
        if not self.output_tokens_hint:
            return self.max_output_tokens
        return min(self.output_tokens_hint, self.max_output_tokens or self.output_tokens_hint)


@dataclass(frozen=True, slots=True)
class ForwardingMetadata:
    """Metadata that the gateway adds to a request for one endpoint.

    :ivar remaining_ms: time until the request times out, milliseconds.
    :ivar customer: customer that owns the API key; empty when the route is public.
    :ivar rank: priority, 0 is the highest; ``None`` leaves it to the endpoint.
    :ivar last_event_id: id of the last event that the caller received.
    :ivar fetch_from: address of an engine that likely has the prompt's shared prefix cached,
        from which it can be copied.
    """

    endpoint: EndpointEntry
    remaining_ms: int
    customer: str
    rank: int | None
    last_event_id: str
    fetch_from: Address | None = None


@dataclass(frozen=True, slots=True)
class EndpointLoadReport:
    """Load that an endpoint reports in its response.

    :ivar busy_percent: how long work takes now on the endpoint's VM, in percent of the usual;
        ``None`` if the endpoint doesn't say so.
    """

    running: int
    waiting: int
    slots: int
    busy_percent: int | None = None


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Metadata of an endpoint's response.

    :ivar request_id: id of the request that it responds to; empty if not given.
    :ivar signed: the response carries the endpoint's signature.
    :ivar not_executed: the endpoint guarantees that the request was not run and won't be.
    :ivar load: the endpoint's load, if reported.
    :ivar leaving: the endpoint announces that it leaves.
    :ivar rate_limit: requests per second that the endpoint takes from all gateways together;
        ``None`` if it names no limit.
    :ivar cold_s: rest of the time for which the endpoint is cold, seconds; ``None`` if it doesn't
        say so.
    :ivar pause: the pause that the endpoint asks this gateway for; ``None`` if it asks for none.
    """

    request_id: str
    signed: bool
    not_executed: bool
    load: EndpointLoadReport | None
    leaving: bool = False
    rate_limit: float | None = None
    cold_s: float | None = None
    pause: PauseRequest | None = None


class HeaderCodec(abc.ABC):
    """Converts between headers and metadata, and asks an endpoint for its run."""

    @abc.abstractmethod
    def decode_request(self, headers: Headers) -> RequestMetadata:
        """Decode the headers of a caller's request."""

    @abc.abstractmethod
    def encode_forwarding(self, metadata: ForwardingMetadata) -> list[Header]:
        """Encode the headers that the gateway adds for an endpoint."""

    @abc.abstractmethod
    def decode_response(self, head: ResponseHead) -> ResponseMetadata:
        """Decode the headers of an endpoint's response."""

    @abc.abstractmethod
    def encode_refusal(self, request_id: str, retry_after_s: float) -> list[Header]:
        """Encode the headers of a response that the gateway itself generates.

        :param retry_after_s: time after which the caller may retry, seconds; 0 for none given.
        """

    @abc.abstractmethod
    def encode_report_request(self, endpoint: EndpointEntry) -> bytes:
        """Encode a request for what an endpoint reports of itself."""

    @abc.abstractmethod
    def decode_report_start(self, report: bytes) -> int:
        """Return the Unix time of an endpoint's start from its report, milliseconds.

        :returns: 0 if the report doesn't say it.
        """
