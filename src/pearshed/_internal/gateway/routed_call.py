"""A caller's request after routing, and the outcomes of attempts at it."""

import hashlib
from dataclasses import dataclass, field

from pearshed._internal.gateway.header_codec import RequestMetadata
from pearshed._internal.http import messages
from pearshed._internal.http.messages import HttpRequest, ResponseHead
from pearshed._internal.http.segments import SegmentedBytes, segments_of
from pearshed._internal.models.routing import Route
from pearshed._internal.timers import clock

_CONTENT_ID_BYTES = 8
#: Precedes the id of a request's content, so that it is no id of a prompt part.
CONTENT_PREFIX = "request:"


@dataclass(frozen=True, slots=True)
class RoutedCall:
    """A routed request.

    :ivar service: the group of endpoints that runs it.
    :ivar customer: customer that owns the API key; empty on public routes.
    :ivar rank: priority, 0 is the highest.
    :ivar deadline: clock reading at which the request times out, seconds.
    :ivar version: version of the configuration that routed it.
    :ivar data_centres: data centres whose endpoints may run it; ``None`` for all.
    :ivar competes: callers with very different targets compete for the service.
    :ivar waits_for_slot: a plain request that waits at the gateway while its endpoints' slots are
        in use.
    """

    request: HttpRequest = field(repr=False)
    metadata: RequestMetadata
    route: Route
    service: str
    customer: str
    rank: int
    deadline: float
    version: int
    data_centres: frozenset[str] | None = None
    competes: bool = False
    waits_for_slot: bool = False

    @property
    def request_id(self) -> str:
        """The caller's id of this attempt."""
        return self.metadata.request_id

    @property
    def remaining_s(self) -> float:
        """Time until the request times out, seconds."""
        return self.deadline - clock.now()

    def may_run_in(self, data_centre: str) -> bool:
        """Return whether endpoints of a data centre may run it."""
        return self.data_centres is None or data_centre in self.data_centres

    @property
    def takes_up_stream(self) -> bool:
        """Whether the caller has a part of the stream already."""
        resumes = self.metadata.resumes or self.metadata.last_event_id
        return self.route.streaming and bool(resumes)

    @property
    def content_id(self) -> str:
        """Id of what is asked and for which customer; a request that comes again has the same."""
        digest = hashlib.blake2b(digest_size=_CONTENT_ID_BYTES)
        request = self.request
        host = messages.header_value(request.headers, b"host") or b""
        customer = self.customer.encode()
        for value in (request.method, host.lower(), request.target, customer, request.body):
            digest.update(b"%d:" % len(value))
            for segment in segments_of(value):
                digest.update(segment)
        return digest.hexdigest()

    @property
    def shared_prefix_id(self) -> str:
        """Id of the last part of the shared prefix of the prompt; empty without one."""
        prompt = self.metadata.prompt
        if len(prompt) > 1:
            return prompt[-2].part_id
        return ""

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the parts of the prompt that other requests may share, in order."""
        return tuple(part.part_id for part in self.metadata.prompt[:-1])

    @property
    def crash_suspects(self) -> tuple[str, ...]:
        """What may crash an engine: the prompt's shared parts in order, then the content."""
        return (*self.shared_parts, CONTENT_PREFIX + self.content_id)

    @property
    def shared_prefix_tokens(self) -> int:
        """Tokens of the prompt's shared prefix."""
        return sum(part.tokens for part in self.metadata.prompt[:-1])


@dataclass(frozen=True, slots=True)
class Refusal:
    """A final response that the gateway itself generates.

    :ivar status: HTTP status.
    :ivar retry_after_s: time after which the caller may retry, seconds; 0 for none given.
    """

    status: int
    reason: str
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class NotExecuted:
    """The endpoint did not run the request and won't.

    :ivar arrived: the endpoint received the request and rejected it.
    :ivar misdirected: another endpoint responded at the address.
    :ivar withheld: this gateway did not send it, since the endpoint may get no requests now.
    """

    reason: str
    arrived: bool
    misdirected: bool = False
    withheld: bool = False


@dataclass(frozen=True, slots=True)
class Answered:
    """The endpoint's response is complete and was written to the caller."""

    status: int


@dataclass(frozen=True, slots=True)
class Failed:
    """The request may have run, and no part of the response was written to the caller.

    :ivar head: head of the endpoint's error response, if it sent one.
    :ivar body: body of that response.
    """

    reason: str
    head: ResponseHead | None = None
    body: bytes | SegmentedBytes = field(default=b"", repr=False)


@dataclass(frozen=True, slots=True)
class Interrupted:
    """A stream ended early after some of its events were written to the caller."""

    reason: str


@dataclass(frozen=True, slots=True)
class OutOfTime:
    """The request timed out during the attempt.

    :ivar sent: the request had been sent to the endpoint.
    """

    sent: bool


AttemptOutcome = NotExecuted | Answered | Failed | Interrupted | OutOfTime
