"""A caller's request after routing, and how attempts at it end."""

from dataclasses import dataclass, field

from pearshed._internal.gateway.header_codec import RequestMetadata
from pearshed._internal.http.messages import HttpRequest, ResponseHead
from pearshed._internal.models.routing import Route
from pearshed._internal.timers import clock


@dataclass(frozen=True, slots=True)
class RoutedCall:
    """A routed request.

    :ivar service: the group of endpoints that runs it.
    :ivar customer: holder of its key; empty on public routes.
    :ivar rank: urgency, 0 is the most urgent.
    :ivar deadline: clock reading at which it is given up, seconds.
    :ivar version: version of the configuration that routed it.
    """

    request: HttpRequest = field(repr=False)
    metadata: RequestMetadata
    route: Route
    service: str
    customer: str
    rank: int
    deadline: float
    version: int

    @property
    def request_id(self) -> str:
        """The caller's id of this attempt."""
        return self.metadata.request_id

    @property
    def remaining_s(self) -> float:
        """Time until the request is given up, seconds."""
        return self.deadline - clock.now()

    @property
    def shared_prefix_id(self) -> str:
        """Id of the last part of the prompt that other requests share; empty without one."""
        prompt = self.metadata.prompt
        if len(prompt) > 1:
            return prompt[-2].part_id
        return ""

    @property
    def shared_prefix_tokens(self) -> int:
        """Tokens of the prompt's parts that other requests may share."""
        return sum(part.tokens for part in self.metadata.prompt[:-1])


@dataclass(frozen=True, slots=True)
class Refusal:
    """A final answer of the gateway's own.

    :ivar status: HTTP status.
    :ivar retry_after_s: when the caller may come back, seconds; 0 for no word on it.
    """

    status: int
    reason: str
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class NotExecuted:
    """The attempt did not run and never will.

    :ivar arrived: the endpoint got the request and turned it away.
    :ivar misdirected: another endpoint answered at the address.
    """

    reason: str
    arrived: bool
    misdirected: bool = False


@dataclass(frozen=True, slots=True)
class Answered:
    """The endpoint's answer is whole and was handed to the caller."""

    status: int


@dataclass(frozen=True, slots=True)
class Failed:
    """The attempt may have run, and nothing of its answer has reached the caller.

    :ivar head: the endpoint's own failure, when it answered with one.
    """

    reason: str
    head: ResponseHead | None = None
    body: bytes = field(default=b"", repr=False)


@dataclass(frozen=True, slots=True)
class Interrupted:
    """A stream broke off after some of its events had reached the caller."""

    reason: str


@dataclass(frozen=True, slots=True)
class OutOfTime:
    """The request's time ran out during the attempt."""

    sent: bool


AttemptOutcome = NotExecuted | Answered | Failed | Interrupted | OutOfTime
