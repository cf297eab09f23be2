"""What has been tried for a request so far."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from pearshed._internal.decisions.engine_load import Quote
from pearshed._internal.gateway.admission import NotAdmitted
from pearshed._internal.gateway.endpoints import Endpoint
from pearshed._internal.gateway.rate_limited_engines import Place
from pearshed._internal.gateway.routed_call import AttemptOutcome
from pearshed._internal.models.stream_origin import StreamOrigin
from pearshed._internal.timers import clock


@dataclass(slots=True)
class Progress:
    """Attempts made for a request so far.

    :ivar tried: endpoints chosen so far, in order.
    :ivar endpoints_run: endpoints that may have run it.
    :ivar rejections: endpoints that received it and rejected it without running it.
    :ivar connect_failures: endpoints to which no connection could be opened.
    :ivar admission_refusals: endpoints that refused admission.
    :ivar wait_s: shortest expected time until an engine can start it, seconds.
    :ivar without_place: endpoints that took no more requests when they were chosen.
    :ivar silent: endpoints that were silent when admission was requested.
    :ivar waits_for_silent: no other endpoint is left, so it waits until a silent one goes on.
    :ivar waits_for_place: no other endpoint is left, so it waits for a place at the chosen one.
    :ivar origin: what began the stream; ``None`` before its first event.
    :ivar reservations: reservations at sides of engines so far, for a service with competing
        callers; the last one's number.
    :ivar returned: the caller has come back at the time that it was given with a refusal.
    :ivar quote: the earliest one of sides that have refused it.
    :ivar blocked: it isn't sent since such requests crash engines.
    :ivar unused_place: the place at the endpoint chosen last, until the request is sent there.
    :ivar sent: an endpoint has the request and its attempt hasn't ended.
    :ivar data_centres: data centres whose endpoints may run it; ``None`` for all.
    """

    tried: list[Endpoint] = field(default_factory=list)
    endpoints_run: int = 0
    rejections: int = 0
    connect_failures: int = 0
    admission_refusals: int = 0
    wait_s: float = 0.0
    without_place: list[Endpoint] = field(default_factory=list)
    silent: list[Endpoint] = field(default_factory=list)
    waits_for_silent: bool = False
    waits_for_place: bool = False
    origin: StreamOrigin | None = None
    unused_place: Place | None = None
    reservations: int = 0
    returned: bool = False
    quote: Quote | None = None
    blocked: bool = False
    last_outcome: AttemptOutcome | None = None
    sent: bool = False
    data_centres: frozenset[str] | None = None

    def may_use(self, endpoint: Endpoint, started_at_ms: int = 0) -> bool:
        """Return whether an endpoint is in an allowed region, and the stream may go on there.

        :param started_at_ms: start of the endpoint as its side knows it; 0 if not known.
        """
        if self.data_centres is not None and endpoint.entry.data_centre not in self.data_centres:
            return False
        return self.origin is None or self.origin == StreamOrigin.of(endpoint.entry, started_at_ms)

    def record_refusal(self, refusal: NotAdmitted) -> None:
        """Remember the earliest time at which an engine expects to be ready."""
        wait_s = refusal.wait_s
        if refusal.quote is not None:
            if self.quote is None or refusal.quote.ready_ms < self.quote.ready_ms:
                self.quote = refusal.quote
            wait_s = refusal.quote.ready_ms / clock.MILLISECONDS_PER_SECOND
        self.wait_s = shorter_wait(self.wait_s, wait_s)

    def usable(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Return those that accept requests and at which the stream may go on."""
        return [endpoint for endpoint in endpoints if endpoint.accepting and self.may_use(endpoint)]


def shorter_wait(wait_s: float, other_s: float) -> float:
    """Return the shorter of two expected waits; 0 means that the first isn't known."""
    return min(wait_s or other_s, other_s)
