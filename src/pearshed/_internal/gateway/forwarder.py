"""Serves a caller's request: routes it, tries endpoints, and writes one final response."""

import asyncio
import dataclasses
import random
from collections.abc import Sequence

from returns.pipeline import is_successful

from pearshed._internal.decisions.retry_time import MAX_LEFT_SHARE
from pearshed._internal.decisions.useful_time import CallerNeeds
from pearshed._internal.gateway.admission import (
    Admission,
    AdmissionClient,
    Admitted,
    NotAdmitted,
)
from pearshed._internal.gateway.admission_wait import AdmissionWait
from pearshed._internal.gateway.attempt import Attempt
from pearshed._internal.gateway.availability.evacuations import EvacuationTable
from pearshed._internal.gateway.availability.pauses import PauseTable
from pearshed._internal.gateway.crash_detector import CrashDetector
from pearshed._internal.gateway.endpoints import Endpoint, EndpointTable
from pearshed._internal.gateway.engine_limits.cold_engine_monitor import ColdEngineMonitor
from pearshed._internal.gateway.exchange.retry_budgets import RetryBudgets
from pearshed._internal.gateway.forwarding.candidates import CandidateFinder
from pearshed._internal.gateway.forwarding.endpoint_waits import EndpointWaits
from pearshed._internal.gateway.forwarding.progress import Progress, shorter_wait
from pearshed._internal.gateway.forwarding.request_steps import (
    RequestSteps,
    elapsed_ms,
    milliseconds,
)
from pearshed._internal.gateway.forwarding.retry_rules import RetryRules
from pearshed._internal.gateway.forwarding.return_times import ReturnTimes
from pearshed._internal.gateway.forwarding.shutdown import Shutdown
from pearshed._internal.gateway.header_codec import (
    HeaderCodec,
    RequestMetadata,
    ResponseMetadata,
)
from pearshed._internal.gateway.placement import Placement, PlacementDecision
from pearshed._internal.gateway.rate_limited_engines import (
    NoPlace,
    Place,
    RateLimitedEngines,
)
from pearshed._internal.gateway.request_logger import RequestLogger
from pearshed._internal.gateway.request_metrics import RequestMetrics
from pearshed._internal.gateway.request_router import RequestRouter
from pearshed._internal.gateway.response_writer import ResponseWriter
from pearshed._internal.gateway.routed_call import (
    Answered,
    AttemptOutcome,
    Failed,
    OutOfTime,
    Refusal,
    RoutedCall,
)
from pearshed._internal.gateway.stream_versions import StreamVersions
from pearshed._internal.gateway.waiting.plain_waiting import NoTurn, PlainWaiting
from pearshed._internal.gateway.waiting.return_exchange import ReturnExchange
from pearshed._internal.gateway.waiting.several_engines import (
    Candidates,
    SeveralEngines,
)
from pearshed._internal.http.caller_connection import CallerConnection
from pearshed._internal.http.messages import HttpRequest
from pearshed._internal.models.stream_origin import StreamOrigin
from pearshed._internal.timers import clock

#: Engines that may refuse admission to a request before the gateway refuses it.
_MAX_ADMISSION_REFUSALS = 3
#: Admission refusals after which engines outside the request's usual lane are tried.
_OVERFLOW_AFTER_REFUSALS = 2
#: Status of a refusal that promises that the request was not run; sent with Retry-After.
_NOT_RUN_STATUS = 503
#: Longest wait of an admitted request for another place at a cold engine, seconds: its admission
#: lapses after 0.6 s if it isn't sent.
_PLACE_RENEWAL_S = 0.4
#: Share of the remaining time in which an endpoint must start its response to an idempotent
#: request while another endpoint may still be tried.
_ATTEMPT_TIMEOUT_SHARE = 0.5


class Forwarder:
    """Forwards requests to endpoints, with retries."""

    def __init__(
        self,
        codec: HeaderCodec,
        router: RequestRouter,
        endpoints: EndpointTable,
        plain_placement: Placement,
        prompt_placement: Placement,
        admission: AdmissionClient,
        retry_budgets: RetryBudgets,
        crashes: CrashDetector,
        rate_limited: RateLimitedEngines,
        cold_engines: ColdEngineMonitor,
        stream_versions: StreamVersions,
        returns: ReturnExchange,
        plain_waiting: PlainWaiting,
        request_logger: RequestLogger,
        metrics: RequestMetrics,
        rng: random.Random,
        evacuations: EvacuationTable,
        pauses: PauseTable,
        shutdown: Shutdown,
    ) -> None:
        self._shutdown = shutdown
        self._evacuations = evacuations
        self._codec = codec
        self._router = router
        self._candidates = CandidateFinder(endpoints)
        self._plain_placement = plain_placement
        self._prompt_placement = prompt_placement
        self._admission = admission
        self._retry_budgets = retry_budgets
        self._waits = EndpointWaits(evacuations, pauses)
        self._retry_rules = RetryRules(retry_budgets.try_spend, crashes, self._waits)
        self._crashes = crashes
        self._rate_limited = rate_limited
        self._cold_engines = cold_engines
        self._stream_versions = stream_versions
        self._returns = returns
        self._plain_waiting = plain_waiting
        self._request_logger = request_logger
        self._steps = RequestSteps(request_logger, metrics)
        self._metrics = metrics
        self._return_times = ReturnTimes(request_logger, rng)
        self._admission_wait = AdmissionWait()

    async def serve(
        self, request: HttpRequest, connection: CallerConnection, close_connection: bool
    ) -> ResponseWriter:
        """Serve one request.

        :param close_connection: close the connection after the response.
        """
        metadata = self._codec.decode_request(request.headers)
        writer = ResponseWriter(connection, request, close_connection)
        routed = self._router.route(request, metadata, connection.hold_metadata)
        if not is_successful(routed):
            self._refuse(writer, metadata, routed.failure())
            return writer
        call = routed.unwrap()
        self._retry_budgets.record_request(call.service)
        self.placement(call).record_request(call)
        self._admission_wait.record_request(call)
        try:
            await self._forward(call, writer)
        except asyncio.CancelledError:
            self._metrics.record_cancelled()
            self._request_logger.write(
                "request.cancelled",
                call.request_id,
                failed=True,
                route=call.route.name,
                customer=call.customer,
                cause="the caller left" if connection.disconnected else "the process stops",
                events=writer.event_count,
                elapsed_ms=elapsed_ms(call),
            )
            raise
        return writer

    def refuse_while_stopping(self, request: HttpRequest, connection: CallerConnection) -> None:
        """Refuse a request that might not finish before the process stops."""
        metadata = self._codec.decode_request(request.headers)
        writer = ResponseWriter(connection, request, close_connection=True)
        self._refuse(writer, metadata, Refusal(503, "the gateway stops"))

    async def _forward(self, call: RoutedCall, writer: ResponseWriter) -> None:
        """Try endpoints, and end the request if a stop of the gateway does."""
        progress = self._begin(call)
        attempts = self._try_endpoints(call, writer, progress)
        if not await self._shutdown.run(call, progress, attempts):
            self._finish_failed(call, writer, progress, "the gateway stops")

    async def _try_endpoints(
        self, call: RoutedCall, writer: ResponseWriter, progress: Progress
    ) -> None:
        """Try endpoints until one responds or no further attempt is allowed."""
        cause = self._candidates.exclusion_cause(call, progress)
        if not cause and call.takes_up_stream:
            cause = await self._find_origin(call, progress)
            if progress.origin is not None:
                call = dataclasses.replace(call, service=progress.origin.service)
        if cause:
            self._finish_failed(call, writer, progress, cause)
            return
        while not writer.caller_disconnected:
            if await self._finish_early(call, writer, progress):
                return
            turn = await self._take_turn(call, progress)
            if isinstance(turn, NoTurn):
                progress.wait_s = shorter_wait(progress.wait_s, turn.wait_s)
                self._finish_failed(call, writer, progress, "no slot is free in time")
                return
            decision = turn or self._choose(call, progress)
            if decision is None:
                self._finish_failed(
                    call, writer, progress, self._candidates.describe_lack(call, progress)
                )
                return
            try:
                if await self._try_with_place(call, decision, writer, progress):
                    return
            finally:
                if turn is not None:
                    self._plain_waiting.finish(turn.endpoint)

    async def _try_with_place(
        self,
        call: RoutedCall,
        decision: PlacementDecision,
        writer: ResponseWriter,
        progress: Progress,
    ) -> bool:
        """Take a place at an endpoint and try it; return whether the request has ended."""
        place = await self._waits.wait(
            decision.endpoint, self._take_place(call, decision.endpoint, progress)
        )
        if place is None:
            return False
        if isinstance(place, NoPlace):
            progress.wait_s = shorter_wait(progress.wait_s, place.wait_s)
            if progress.waits_for_place:
                self._finish_failed(call, writer, progress, "the engines are at their limits")
                return True
            progress.without_place.append(decision.endpoint)
            return False
        progress.unused_place = place
        try:
            return await self._try_endpoint(call, decision, writer, progress)
        finally:
            if progress.unused_place is not None:
                self._rate_limited.release(progress.unused_place)

    async def _take_turn(
        self, call: RoutedCall, progress: Progress
    ) -> PlacementDecision | NoTurn | None:
        """Wait for a slot of an endpoint, if such requests wait at the gateway.

        :returns: ``None`` if the request doesn't wait, or has no candidate.
        """
        if not call.waits_for_slot:
            return None
        started_at = clock.now()
        turn = await self._plain_waiting.take_turn(
            call,
            lambda: self._candidates.find(call, progress),
            lambda endpoints: self._plain_placement.choose(call, endpoints),
        )
        waited_s = clock.now() - started_at
        self._steps.record_turn(call, turn, waited_s, self._plain_waiting.waiting_count)
        return turn

    async def _find_origin(self, call: RoutedCall, progress: Progress) -> str:
        """Find what began the stream that a caller takes up.

        :returns: why the stream can't go on; empty if it can.
        """
        progress.origin = await self._stream_versions.find(call)
        if progress.origin is None:
            return "what began the stream isn't known"
        if not call.route.allows(progress.origin.service):
            progress.origin = None
            return "the stream's service has changed"
        return ""

    def _begin(self, call: RoutedCall) -> Progress:
        """Start the record of a request's attempts, and note if its caller has returned."""
        returned = call.competes and self._returns.take_return(call)
        progress = Progress(data_centres=call.data_centres, returned=returned)
        if not returned:
            return progress
        self._request_logger.write(
            "request.returned",
            call.request_id,
            failed=False,
            route=call.route.name,
            customer=call.customer,
            rank=call.rank,
            content=call.content_id,
            left_ms=milliseconds(call.remaining_s),
        )
        return progress

    def _choose(self, call: RoutedCall, progress: Progress) -> PlacementDecision | None:
        """Choose the next endpoint; the one with the next place if all others have none."""
        placement = self.placement(call)
        overflow = progress.admission_refusals >= _OVERFLOW_AFTER_REFUSALS
        candidates = self._candidates.find(call, progress)
        decision = (
            next(iter(placement.rank(call, candidates, 1)), None)
            if call.competes and not overflow
            else placement.choose(call, candidates, overflow=overflow)
        )
        limited = progress.usable(progress.without_place)
        progress.waits_for_place = decision is None and bool(limited)
        if decision is None and not limited:
            return self._choose_silent(call, progress)
        if not progress.waits_for_place:
            return decision
        first = min(limited, key=lambda endpoint: self._rate_limited.next_place_s(endpoint.entry))
        progress.without_place.remove(first)
        return placement.choose(call, [first], overflow=overflow)

    def _choose_silent(self, call: RoutedCall, progress: Progress) -> PlacementDecision | None:
        """Choose a silent endpoint to wait for, as no other one is left."""
        silent = progress.usable(progress.silent)
        if not silent or progress.waits_for_silent:
            return None
        progress.waits_for_silent = True
        return self.placement(call).choose(call, silent, overflow=True)

    async def _take_place(
        self, call: RoutedCall, endpoint: Endpoint, progress: Progress
    ) -> Place | NoPlace:
        budget_s = self._wait_budget_s(call, progress) if progress.waits_for_place else 0.0
        started_at = clock.now()
        place = await self._rate_limited.take_place(call, endpoint, budget_s)
        if isinstance(place, NoPlace) or place.reservation:
            failed = isinstance(place, NoPlace) and progress.waits_for_place
            self._steps.record_place(call, endpoint, place, clock.now() - started_at, failed=failed)
        return place

    async def _renew_place(
        self, call: RoutedCall, endpoint: Endpoint, progress: Progress
    ) -> Place | NoPlace:
        """Take another place if the one at a cold engine lapsed in the wait for admission."""
        place = progress.unused_place
        assert place is not None
        if not self._rate_limited.needs_new_place(endpoint.entry, place):
            return place
        self._rate_limited.release(place)
        progress.unused_place = None
        self._rate_limited.record_lapse()
        budget_s = _PLACE_RENEWAL_S if progress.waits_for_place else 0.0
        renewed = await self._rate_limited.take_place(call, endpoint, budget_s)
        if isinstance(renewed, Place):
            progress.unused_place = renewed
        return renewed

    async def _try_endpoint(
        self,
        call: RoutedCall,
        decision: PlacementDecision,
        writer: ResponseWriter,
        progress: Progress,
    ) -> bool:
        """Request admission and make an attempt; return whether the request has ended."""
        if call.competes:
            granted = await self._admit_at_several(call, decision, progress)
            if granted is None:
                return self._finish_refused(call, writer, progress)
            decision, admitted = granted
            return await self._try_admitted(call, decision, writer, progress, admitted)
        progress.tried.append(decision.endpoint)
        admission = await self._waits.wait(
            decision.endpoint, self._admit(call, decision.endpoint, progress)
        )
        if admission is None:
            # The cancelled wait has already released the reservation at the side.
            progress.waits_for_silent = False
            return False
        if isinstance(admission, Admitted) and not decision.endpoint.accepting:
            # The endpoint started to drain while the request waited for admission.
            self._admission.notify_finished(admission, decision.endpoint)
            return False
        if isinstance(admission, Admitted) and not progress.may_use(
            decision.endpoint, admission.started_at_ms
        ):
            # The endpoint has restarted, and its entry doesn't say so yet.
            self._admission.notify_finished(admission, decision.endpoint)
            return False
        if isinstance(admission, NotAdmitted) and admission.engine_silent:
            progress.silent.append(decision.endpoint)
            return False
        if isinstance(admission, NotAdmitted):
            progress.admission_refusals += 1
            progress.wait_s = shorter_wait(progress.wait_s, admission.wait_s)
            if progress.admission_refusals >= _MAX_ADMISSION_REFUSALS:
                self._finish_failed(call, writer, progress, "the engines are busy")
                return True
            return False
        return await self._try_admitted(call, decision, writer, progress, admission)

    async def _try_admitted(
        self,
        call: RoutedCall,
        decision: PlacementDecision,
        writer: ResponseWriter,
        progress: Progress,
        admitted: Admitted,
    ) -> bool:
        """Make an attempt after admission; return whether the request has ended."""
        if self._finish_blocked(call, writer, progress):
            self._admission.notify_finished(admitted, decision.endpoint)
            return True
        renewed = await self._renew_place(call, decision.endpoint, progress)
        if isinstance(renewed, NoPlace):
            self._admission.notify_finished(admitted, decision.endpoint)
            progress.wait_s = shorter_wait(progress.wait_s, renewed.wait_s)
            if progress.waits_for_place:
                self._finish_failed(call, writer, progress, "the engines are at their limits")
                return True
            progress.without_place.append(decision.endpoint)
            return False
        outcome = await self._attempt(call, decision, writer, progress, admitted)
        if isinstance(outcome, Answered):
            return True
        if not await self._retry_rules.may_retry(call, decision.endpoint, outcome, progress):
            self._finish_failed(call, writer, progress, "no other attempt is allowed")
            return True
        return False

    async def _finish_early(
        self, call: RoutedCall, writer: ResponseWriter, progress: Progress
    ) -> bool:
        """End a request that may not be sent to any endpoint now; return whether it has ended."""
        if self._finish_blocked(call, writer, progress):
            return True
        if await self._evacuations.wait_until_trusted():
            return False
        self._finish_failed(call, writer, progress, "the evacuations known are too old")
        return True

    async def _admit_at_several(
        self, call: RoutedCall, first: PlacementDecision, progress: Progress
    ) -> tuple[PlacementDecision, Admitted] | None:
        """Let the request wait at several engines; return the one that takes it."""
        needs = self._needs(call, progress)
        place, progress.unused_place = progress.unused_place, None
        assert needs is not None and place is not None
        requested_at = clock.now()
        without_place: list[Endpoint] = []

        def remaining() -> Sequence[Endpoint]:
            excluded = (*engines.asked, *without_place)
            candidates = self._candidates.find(call, progress)
            return [endpoint for endpoint in candidates if endpoint not in excluded]

        def rank() -> Sequence[PlacementDecision]:
            return self.placement(call).rank(call, remaining(), 1)

        async def take_place(endpoint: Endpoint) -> Place | None:
            taken = await self._rate_limited.take_place(call, endpoint, 0.0)
            if isinstance(taken, Place):
                return taken
            progress.wait_s = shorter_wait(progress.wait_s, taken.wait_s)
            without_place.append(endpoint)
            return None

        def next_number() -> int:
            progress.reservations += 1
            return progress.reservations

        def may_use(endpoint: Endpoint, admitted: Admitted) -> bool:
            # It may have begun to leave, or have restarted without its entry saying so yet.
            return endpoint.accepting and progress.may_use(endpoint, admitted.started_at_ms)

        engines = SeveralEngines(
            call,
            needs,
            self._admission,
            Candidates(
                lambda: bool(remaining()),
                rank,
                take_place,
                self._rate_limited.release,
                may_use,
                next_number,
                lambda item: self._steps.record_reservation(call, needs, item),
            ),
            progress.waits_for_silent,
        )
        granted = await engines.admit(first, place)
        waited_s = clock.now() - requested_at
        self._metrics.record_admission_wait(waited_s)
        self._metrics.record_wait(call.rank, waited_s, len(engines.asked))
        progress.without_place.extend(without_place)
        for endpoint, refusal in engines.refused:
            progress.tried.append(endpoint)
            if refusal.engine_silent:
                progress.silent.append(endpoint)
            else:
                progress.admission_refusals += 1
                progress.record_refusal(refusal)
        if granted is None:
            progress.tried.extend(
                endpoint for endpoint in engines.asked if endpoint not in progress.tried
            )
            return None
        used, admitted = granted
        progress.tried.append(used.endpoint)
        progress.unused_place = used.place
        return used.decision, admitted

    def _finish_refused(self, call: RoutedCall, writer: ResponseWriter, progress: Progress) -> bool:
        """End a request that no engine takes in time, unless some may still take it later.

        :returns: whether it has ended.
        """
        needs = self._needs(call, progress)
        assert needs is not None
        if needs.useful_left_s <= 0.0:
            self._finish_failed(call, writer, progress, "no engine was ready in time")
            return True
        only_silent = bool(progress.silent) and not progress.admission_refusals
        if self._candidates.find(call, progress) and not only_silent:
            # The remaining engines promise nothing in time, or the search took too long.
            self._finish_failed(call, writer, progress, "the engines are busy")
            return True
        return False

    def _finish_blocked(self, call: RoutedCall, writer: ResponseWriter, progress: Progress) -> bool:
        """End a request if it, or a part of its prompt, crashes engines; return whether it does."""
        blocked_s = self._crashes.blocked_s(call)
        if not blocked_s:
            return False
        progress.wait_s = blocked_s
        progress.blocked = True
        self._finish_failed(call, writer, progress, "such requests crash engines")
        return True

    async def _admit(self, call: RoutedCall, endpoint: Endpoint, progress: Progress) -> Admission:
        if not call.route.has_prompt:
            return Admitted("")
        requested_at = clock.now()
        attempt = len(progress.tried)
        needs = self._needs(call, progress)
        budget_s = self._wait_budget_s(call, progress)
        has_alternative = not progress.waits_for_silent and bool(
            self._candidates.find(call, progress)
        )
        admission = await self._admission.admit(
            call, endpoint, attempt, budget_s, has_alternative, needs
        )
        waited_s = clock.now() - requested_at
        self._steps.record_admission(call, endpoint, attempt, admission, waited_s)
        return admission

    def _wait_budget_s(self, call: RoutedCall, progress: Progress) -> float:
        """Return how long a request may still wait before it is sent, seconds."""
        needs = self._needs(call, progress)
        if needs is not None:
            return max(0.0, needs.useful_left_s)
        # A retry after an interrupted run gets the full waiting time again, so that the work
        # already spent on the request isn't wasted.
        started_at = clock.now() if progress.endpoints_run else call.request.received_at
        return self._admission_wait.wait_s(call, started_at)

    def _needs(self, call: RoutedCall, progress: Progress) -> CallerNeeds | None:
        """Return what the caller needs if callers compete for the service, else ``None``."""
        if not call.competes:
            return None
        # A caller's patience begins again with each event that it receives.
        resumes = progress.endpoints_run > 0 and progress.origin is not None
        waiting_since = clock.now() if resumes else call.request.received_at
        return self._admission_wait.needs(call, waiting_since, progress.returned)

    def placement(self, call: RoutedCall) -> Placement:
        """Return the placement for a request."""
        return self._prompt_placement if call.route.has_prompt else self._plain_placement

    async def _attempt(
        self,
        call: RoutedCall,
        decision: PlacementDecision,
        writer: ResponseWriter,
        progress: Progress,
        admitted: Admitted,
    ) -> AttemptOutcome:
        timeout_s = call.remaining_s
        if self._candidates.has_alternative(call, progress):
            timeout_s *= _ATTEMPT_TIMEOUT_SHARE

        entry = decision.endpoint.entry
        rate_limit = self._rate_limited.effective_per_s(entry)

        def record_send() -> bool:
            place = progress.unused_place
            if place is not None and self._rate_limited.needs_new_place(entry, place):
                self._rate_limited.record_lapse()
                return False
            if not self._shutdown.may_send(call):
                return False
            progress.unused_place = None
            progress.sent = True
            self._rate_limited.record_send(entry)
            return True

        def record_response(metadata: ResponseMetadata) -> None:
            self._crashes.record_response(entry, attempt.sent_at)
            if metadata.cold_s is not None:
                self._cold_engines.record_header(entry, metadata.cold_s)
            # Only the engine itself can say that it no longer has a limit.
            if metadata.rate_limit is not None or metadata.signed:
                self._rate_limited.record_response(entry, metadata.rate_limit)

        def record_prefill() -> None:
            if call.route.streaming:
                progress.origin = StreamOrigin.of(entry, admitted.started_at_ms)
                self._stream_versions.record(call, progress.origin)
            self.placement(call).record_prefill(call, decision.endpoint)
            self._admission.notify_prefilled(admitted, decision.endpoint)

        attempt = Attempt(
            call,
            decision,
            self._codec,
            writer,
            timeout_s,
            # A stream that has begun, or may be taken up later, depends on the engine's version.
            progress.origin is not None
            or (call.route.streaming and call.route.retryable and not admitted.started_at_ms),
            lambda: self._waits.withheld_reason(decision.endpoint),
            record_send,
            record_response,
            record_prefill,
            self._metrics,
        )
        try:
            outcome = await attempt.run()
            progress.sent = False
        finally:
            self._admission.notify_finished(admitted, decision.endpoint, attempt.longest_gap_ms)
        self._steps.record_attempt(
            call, decision, attempt, outcome, len(progress.tried), writer, rate_limit
        )
        if attempt.may_have_crashed_engine:
            self._crashes.record_crash(entry, call)
        elif isinstance(outcome, Answered) and attempt.complete:
            self._crashes.record_success(call)
            if call.waits_for_slot:
                self._plain_waiting.record_response(call, clock.now() - attempt.sent_at)
            if call.competes and attempt.first_ms:
                self._admission_wait.record_stream(call, attempt.generating_s)
            elapsed_s = clock.now() - attempt.sent_at
            self.placement(call).record_answer(
                call, decision.endpoint, elapsed_s, attempt.generating_s
            )
        return outcome

    def _finish_failed(
        self, call: RoutedCall, writer: ResponseWriter, progress: Progress, cause: str
    ) -> None:
        """End a request after its last attempt: write an error, or abort a started stream."""
        last_outcome = progress.last_outcome
        if writer.started:
            self._request_logger.write(
                "request.broken_off",
                call.request_id,
                failed=True,
                route=call.route.name,
                customer=call.customer,
                reason=getattr(last_outcome, "reason", cause),
                events=writer.event_count,
                endpoints_run=progress.endpoints_run,
                elapsed_ms=elapsed_ms(call),
            )
            writer.abort()
            return
        if isinstance(last_outcome, Failed) and last_outcome.head is not None:
            writer.relay_response(last_outcome.head, last_outcome.body)
            return
        reason = getattr(
            last_outcome, "reason", "its time ran out" if last_outcome is not None else cause
        )
        if isinstance(last_outcome, OutOfTime) and last_outcome.sent:
            refusal = Refusal(504, reason)
        elif progress.endpoints_run:
            refusal = Refusal(502, reason)
        else:
            pause_s = self._candidates.pause_s(call, progress)
            retry_after_s = self._return_times.after_refusal_s(call, progress, pause_s)
            refusal = Refusal(503, cause, retry_after_s)
        self._refuse(writer, call.metadata, refusal, call)
        if call.competes and refusal.status == _NOT_RUN_STATUS and not progress.blocked:
            # A caller comes back after a third of its remaining time at the latest.
            left_s = call.remaining_s * MAX_LEFT_SHARE
            self._returns.record_refusal(call, min(refusal.retry_after_s, left_s))

    def _refuse(
        self,
        writer: ResponseWriter,
        metadata: RequestMetadata,
        refusal: Refusal,
        call: RoutedCall | None = None,
    ) -> None:
        retry_after_s = refusal.retry_after_s
        if refusal.status == _NOT_RUN_STATUS and not retry_after_s:
            retry_after_s = self._return_times.spread_s()
        self._metrics.record_refusal(refusal.status, refusal.reason)
        self._request_logger.write(
            "request.refused",
            metadata.request_id,
            failed=call is not None,
            status=refusal.status,
            reason=refusal.reason,
            retry_after_s=retry_after_s,
            route=call.route.name if call is not None else "",
            customer=call.customer if call is not None else "",
            routed_by_version=call.version if call is not None else 0,
            elapsed_ms=elapsed_ms(call) if call is not None else 0,
        )
        headers = self._codec.encode_refusal(metadata.request_id, retry_after_s)
        writer.write_response(refusal.status, None, headers, refusal.reason.encode() + b"\n")
