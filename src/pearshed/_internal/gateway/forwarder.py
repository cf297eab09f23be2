"""Serves a caller's request: routes it, tries endpoints, and gives one final answer."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from returns.pipeline import is_successful

from pearshed._internal.gateway.admission import (
    Admission,
    AdmissionClient,
    Admitted,
    NotAdmitted,
)
from pearshed._internal.gateway.attempt import Attempt
from pearshed._internal.gateway.endpoints import Endpoint, EndpointTable
from pearshed._internal.gateway.header_codec import HeaderCodec, RequestMetadata
from pearshed._internal.gateway.placement import Placement, PlacementDecision
from pearshed._internal.gateway.request_logger import RequestLogger
from pearshed._internal.gateway.request_metrics import RequestMetrics
from pearshed._internal.gateway.request_router import RequestRouter
from pearshed._internal.gateway.response_writer import ResponseWriter
from pearshed._internal.gateway.routed_call import (
    Answered,
    AttemptOutcome,
    Failed,
    Interrupted,
    NotExecuted,
    OutOfTime,
    Refusal,
    RoutedCall,
)
from pearshed._internal.gateway.service_retry_budget import ServiceRetryBudget
from pearshed._internal.http import messages
from pearshed._internal.http.caller_connection import CallerConnection
from pearshed._internal.http.messages import HttpRequest
from pearshed._internal.models.routing import RouteKind
from pearshed._internal.timers import clock

#: Endpoints that may turn one request away before it is refused.
_MOST_REJECTIONS = 2
#: Engines that are asked to admit one request before it is refused.
_MOST_NOT_ADMITTED = 3
#: Refusals of usual engines after which others are asked.
_OVERFLOW_AFTER = 2
#: Part of the route's target for which a request waits for admission; the rest of the target is
#: for reading its prompt.
_WAITING_SHARE = 0.5
#: Another attempt with less time than this can't succeed, seconds.
_LEAST_REMAINING_S = 0.05
#: Status of a request that has not run and won't, with when to come back.
_NOT_RUN_STATUS = 503
#: Connections that may fail to open for one request.
_MOST_UNREACHABLE = 4
#: Part of the route's time that the first endpoint gets to begin an answer, plain requests.
_PATIENCE_SHARE = 0.5
#: Bounds of the random part of Retry-After, so that refused callers don't return together.
_RETRY_AFTER_S = (0.3, 0.9)


@dataclass(slots=True)
class _Progress:
    """What was tried for a request so far.

    :ivar ran: endpoints that may have run it.
    :ivar rejected: endpoints that got it and turned it away.
    :ivar wait_s: shortest time after which an engine likely could begin it, seconds.
    """

    tried: list[Endpoint] = field(default_factory=list)
    ran: int = 0
    rejected: int = 0
    unreachable: int = 0
    not_admitted: int = 0
    wait_s: float = 0.0
    last: AttemptOutcome | None = None


class Forwarder:
    """Forwards routed requests to endpoints."""

    def __init__(
        self,
        codec: HeaderCodec,
        router: RequestRouter,
        endpoints: EndpointTable,
        plain_placement: Placement,
        prompt_placement: Placement,
        admission: AdmissionClient,
        budget: Callable[[str], ServiceRetryBudget],
        request_logger: RequestLogger,
        metrics: RequestMetrics,
        source: random.Random,
    ) -> None:
        self._codec = codec
        self._router = router
        self._endpoints = endpoints
        self._plain_placement = plain_placement
        self._prompt_placement = prompt_placement
        self._admission = admission
        self._budget = budget
        self._request_logger = request_logger
        self._metrics = metrics
        self._random = source

    async def serve(
        self, request: HttpRequest, connection: CallerConnection, close: bool
    ) -> ResponseWriter:
        """Answer one request.

        :param close: the connection is to be closed after the answer.
        """
        metadata = self._codec.decode_request(request.headers)
        writer = ResponseWriter(connection, request, close)
        routed = self._router.route(request, metadata)
        if not is_successful(routed):
            self._refuse(writer, metadata, routed.failure())
            return writer
        call = routed.unwrap()
        self._budget(call.service).record_request()
        self._placement(call).record_request(call)
        try:
            await self._forward(call, writer)
        except asyncio.CancelledError:
            self._metrics.note_wasted()
            self._request_logger.write(
                "request.cancelled",
                call.request_id,
                failed=True,
                route=call.route.name,
                cause="the caller left" if connection.disconnected else "the process stops",
                events=writer.events,
                elapsed_ms=_elapsed_ms(call),
            )
            raise
        return writer

    def refuse_stopping(self, request: HttpRequest, connection: CallerConnection) -> None:
        """Refuse a request that the process might not be able to finish before it stops."""
        metadata = self._codec.decode_request(request.headers)
        writer = ResponseWriter(connection, request, close=True)
        self._refuse(writer, metadata, Refusal(503, "the gateway stops"))

    async def _forward(self, call: RoutedCall, writer: ResponseWriter) -> None:
        """Try endpoints until one answers or the request must be given up."""
        progress = _Progress()
        while not writer.caller_gone:
            decision = self._placement(call).choose(
                call,
                self._candidates(call, progress.tried),
                overflow=progress.not_admitted >= _OVERFLOW_AFTER,
            )
            if decision is None:
                self._give_up(call, writer, progress, "no endpoint is available")
                return
            progress.tried.append(decision.endpoint)
            admission = await self._admit(call, decision.endpoint, progress)
            if isinstance(admission, Admitted) and not decision.endpoint.accepting:
                # It began to leave while the request waited.
                self._admission.notify_finished(admission, decision.endpoint)
                continue
            if isinstance(admission, NotAdmitted):
                progress.not_admitted += 1
                progress.wait_s = min(progress.wait_s or admission.wait_s, admission.wait_s)
                if progress.not_admitted >= _MOST_NOT_ADMITTED:
                    self._give_up(call, writer, progress, "the engines are busy")
                    return
                continue
            outcome = await self._attempt(call, decision, writer, progress, admission)
            if isinstance(outcome, Answered):
                return
            if not self._may_go_on(call, decision.endpoint, outcome, progress):
                self._give_up(call, writer, progress, "no other attempt is allowed")
                return

    def _may_go_on(
        self, call: RoutedCall, endpoint: Endpoint, outcome: AttemptOutcome, progress: "_Progress"
    ) -> bool:
        """Count an attempt that brought no whole answer, and decide on another."""
        budget = self._budget(call.service)
        if isinstance(outcome, NotExecuted):
            if outcome.misdirected:
                endpoint.mark_misdirected()
            if not isinstance(progress.last, Failed):
                progress.last = outcome
            if not outcome.arrived:
                progress.unreachable += 1
                return progress.unreachable <= _MOST_UNREACHABLE
            progress.rejected += 1
            return progress.rejected <= _MOST_REJECTIONS and budget.try_spend()
        progress.last = outcome
        progress.ran += not isinstance(outcome, OutOfTime) or outcome.sent
        return (
            isinstance(outcome, Failed | Interrupted)
            and call.route.retryable
            and progress.ran < call.route.max_endpoints
            and call.remaining_s > _LEAST_REMAINING_S
            and budget.try_spend()
        )

    def _may_try_elsewhere(self, call: RoutedCall, progress: "_Progress") -> bool:
        """Tell whether another endpoint may answer if the one that is tried now is slow."""
        return (
            call.route.kind is RouteKind.IDEMPOTENT
            and progress.ran + 1 < call.route.max_endpoints
            and bool(self._candidates(call, progress.tried))
        )

    async def _admit(
        self, call: RoutedCall, endpoint: Endpoint, progress: "_Progress"
    ) -> Admission:
        if not call.route.has_prompt:
            return Admitted("")
        asked = clock.now()
        target_s = call.route.target_ms / clock.MILLISECONDS_PER_SECOND
        # A request that was broken off waits anew: what it has cost so far is not to be lost.
        since = asked if progress.ran else call.request.received
        budget_s = min(since + target_s * _WAITING_SHARE, call.deadline) - asked
        attempt = len(progress.tried)
        admission = await self._admission.admit(call, endpoint, attempt, max(0.0, budget_s))
        waited_s = clock.now() - asked
        self._metrics.note_admission(waited_s)
        self._request_logger.write(
            "request.admission",
            call.request_id,
            failed=isinstance(admission, NotAdmitted),
            endpoint=endpoint.entry.identity,
            attempt=attempt,
            outcome=_admission_word(admission),
            rank=call.rank,
            waited_ms=_milliseconds(waited_s),
            expected_wait_ms=_milliseconds(getattr(admission, "wait_s", 0.0)),
        )
        return admission

    def _placement(self, call: RoutedCall) -> Placement:
        return self._prompt_placement if call.route.has_prompt else self._plain_placement

    def _candidates(self, call: RoutedCall, tried: list[Endpoint]) -> list[Endpoint]:
        return [
            endpoint
            for endpoint in self._endpoints.of_service(call.service)
            if endpoint not in tried
        ]

    async def _attempt(
        self,
        call: RoutedCall,
        decision: PlacementDecision,
        writer: ResponseWriter,
        progress: "_Progress",
        admitted: Admitted,
    ) -> AttemptOutcome:
        patience_s = call.remaining_s
        if self._may_try_elsewhere(call, progress):
            patience_s *= _PATIENCE_SHARE

        def record_prefill() -> None:
            self._placement(call).record_prefill(call, decision.endpoint)
            self._admission.notify_prefilled(admitted, decision.endpoint)

        attempt = Attempt(
            call, decision, self._codec, writer, patience_s, record_prefill, self._metrics
        )
        try:
            outcome = await attempt.run()
        finally:
            self._admission.notify_finished(admitted, decision.endpoint, attempt.longest_gap_ms)
        self._note_attempt(call, decision, attempt, outcome, len(progress.tried))
        return outcome

    def _give_up(
        self, call: RoutedCall, writer: ResponseWriter, progress: "_Progress", cause: str
    ) -> None:
        """Give the final answer to a request that no endpoint has answered."""
        last = progress.last
        if writer.begun:
            self._request_logger.write(
                "request.broken_off",
                call.request_id,
                failed=True,
                route=call.route.name,
                reason=getattr(last, "reason", cause),
                events=writer.events,
                endpoints_run=progress.ran,
                elapsed_ms=_elapsed_ms(call),
            )
            writer.break_off()
            return
        if isinstance(last, Failed) and last.head is not None:
            headers = messages.end_to_end(last.head.headers)
            writer.write_whole(last.head.status, last.head.reason, headers, last.body)
            return
        reason = getattr(last, "reason", "its time ran out" if last is not None else cause)
        if isinstance(last, OutOfTime) and last.sent:
            refusal = Refusal(504, reason)
        elif progress.ran:
            refusal = Refusal(502, reason)
        else:
            refusal = Refusal(503, cause, self._retry_after_s(progress.wait_s))
        self._refuse(writer, call.metadata, refusal, call)

    def _refuse(
        self,
        writer: ResponseWriter,
        metadata: RequestMetadata,
        refusal: Refusal,
        call: RoutedCall | None = None,
    ) -> None:
        retry_after_s = refusal.retry_after_s
        if refusal.status == _NOT_RUN_STATUS and not retry_after_s:
            retry_after_s = self._retry_after_s()
        self._metrics.note_refusal(refusal.status, refusal.reason)
        self._request_logger.write(
            "request.refused",
            metadata.request_id,
            failed=True,
            status=refusal.status,
            reason=refusal.reason,
            retry_after_s=retry_after_s,
            route=call.route.name if call is not None else "",
            routed_by_version=call.version if call is not None else 0,
            elapsed_ms=_elapsed_ms(call) if call is not None else 0,
        )
        headers = self._codec.encode_refusal(metadata.request_id, retry_after_s)
        writer.write_whole(refusal.status, None, headers, refusal.reason.encode() + b"\n")

    def _retry_after_s(self, wait_s: float = 0.0) -> float:
        """Choose when a refused caller may come back: not before its turn, nor all at once."""
        least_s, most_s = _RETRY_AFTER_S
        return round(wait_s + self._random.uniform(least_s, most_s), 2)

    def _note_attempt(
        self,
        call: RoutedCall,
        decision: PlacementDecision,
        made: Attempt,
        outcome: AttemptOutcome,
        number: int,
    ) -> None:
        self._metrics.note_attempt(outcome)
        if isinstance(outcome, Answered):
            self._metrics.note_answer(call, outcome.status)
        endpoint = decision.endpoint
        self._request_logger.write(
            "request.attempt",
            call.request_id,
            failed=not isinstance(outcome, Answered),
            route=call.route.name,
            endpoint=endpoint.entry.identity,
            address=str(endpoint.entry.address),
            attempt=number,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
            status=getattr(outcome, "status", 0),
            in_flight=endpoint.in_flight,
            first_ms=made.first_ms,
            longest_gap_ms=made.longest_gap_ms,
            failure_share=round(endpoint.failure_share, 2),
            elapsed_ms=_elapsed_ms(call),
            routed_by_version=call.version,
        )


def _elapsed_ms(call: RoutedCall) -> int:
    return _milliseconds(clock.now() - call.request.received)


def _milliseconds(seconds: float) -> int:
    return round(seconds * clock.MILLISECONDS_PER_SECOND)


def _admission_word(admission: Admission) -> str:
    if isinstance(admission, NotAdmitted):
        return "refused"
    return "granted" if admission.reservation else "side silent"
