"""Writes what becomes of a request's steps to the log, and counts its attempts."""

from pearshed._internal.decisions.useful_time import CallerNeeds
from pearshed._internal.gateway.admission import Admission, NotAdmitted
from pearshed._internal.gateway.attempt import Attempt
from pearshed._internal.gateway.endpoints import Endpoint
from pearshed._internal.gateway.placement import PlacementDecision
from pearshed._internal.gateway.rate_limited_engines import NoPlace, Place, decision_name
from pearshed._internal.gateway.request_logger import RequestLogger
from pearshed._internal.gateway.request_metrics import RequestMetrics
from pearshed._internal.gateway.response_writer import ResponseWriter
from pearshed._internal.gateway.routed_call import Answered, AttemptOutcome, RoutedCall
from pearshed._internal.gateway.waiting.plain_waiting import NoTurn
from pearshed._internal.gateway.waiting.several_engines import Reservation
from pearshed._internal.timers import clock


class RequestSteps:
    """Log lines and metrics of the steps of requests."""

    def __init__(self, request_logger: RequestLogger, metrics: RequestMetrics) -> None:
        self._request_logger = request_logger
        self._metrics = metrics

    def record_turn(
        self,
        call: RoutedCall,
        turn: PlacementDecision | NoTurn | None,
        waited_s: float,
        waiting: int,
    ) -> None:
        """Record the wait of a plain request for a slot.

        :param waiting: requests that wait at this gateway.
        """
        self._metrics.record_slot_wait(call.rank, waited_s)
        endpoint = turn.endpoint if isinstance(turn, PlacementDecision) else None
        load = endpoint.reported_load if endpoint is not None else None
        self._request_logger.write(
            "request.slot",
            call.request_id,
            failed=isinstance(turn, NoTurn),
            route=call.route.name,
            rank=call.rank,
            endpoint=endpoint.entry.identity if endpoint is not None else "",
            waited_ms=milliseconds(waited_s),
            left_ms=milliseconds(call.remaining_s),
            waiting=waiting,
            running=load.running if load is not None else None,
            load_age_ms=(
                milliseconds(endpoint.load_age_s(clock.now()))
                if endpoint is not None and load is not None
                else None
            ),
            expected_wait_ms=milliseconds(getattr(turn, "wait_s", 0.0)),
        )

    def record_place(
        self,
        call: RoutedCall,
        endpoint: Endpoint,
        place: Place | NoPlace,
        waited_s: float,
        *,
        failed: bool,
    ) -> None:
        """Record the wait for a place at an engine with a limit.

        :param failed: no other engine is left.
        """
        self._request_logger.write(
            "request.place",
            call.request_id,
            failed=failed,
            endpoint=endpoint.entry.identity,
            outcome=decision_name(place),
            rank=call.rank,
            waited_ms=milliseconds(waited_s),
            expected_wait_ms=milliseconds(getattr(place, "wait_s", 0.0)),
        )

    def record_admission(
        self,
        call: RoutedCall,
        endpoint: Endpoint,
        number: int,
        admission: Admission,
        waited_s: float,
    ) -> None:
        """Record the wait for admission at one engine.

        :param number: of the attempt.
        """
        self._metrics.record_admission_wait(waited_s)
        self._request_logger.write(
            "request.admission",
            call.request_id,
            failed=isinstance(admission, NotAdmitted),
            endpoint=endpoint.entry.identity,
            attempt=number,
            outcome=_admission_outcome(admission),
            rank=call.rank,
            waited_ms=milliseconds(waited_s),
            expected_wait_ms=milliseconds(getattr(admission, "wait_s", 0.0)),
        )

    def record_reservation(self, call: RoutedCall, needs: CallerNeeds, item: Reservation) -> None:
        """Record the end of a reservation at one of several engines."""
        estimate = item.decision.estimate
        quote = item.quote
        now = clock.now()
        self._request_logger.write(
            "request.admission",
            call.request_id,
            failed=item.outcome == "refused",
            endpoint=item.endpoint.entry.identity,
            attempt=item.number,
            outcome=item.outcome,
            rank=call.rank,
            returned=needs.returned,
            waited_ms=milliseconds(now - item.asked_at),
            target_left_ms=milliseconds(needs.target_left_s),
            useful_left_ms=milliseconds(needs.useful_left_s),
            estimated_ms=round(estimate.ready_ms) if estimate is not None else None,
            estimate_age_ms=round(estimate.age_ms) if estimate is not None else None,
            quoted_ms=quote.ready_ms if quote is not None else None,
            quote_age_ms=milliseconds(now - item.quoted_at) if quote is not None else None,
        )

    def record_attempt(
        self,
        call: RoutedCall,
        decision: PlacementDecision,
        attempt: Attempt,
        outcome: AttemptOutcome,
        number: int,
        writer: ResponseWriter,
        rate_limit: float | None,
    ) -> None:
        """Record an attempt and its outcome.

        :param number: of the attempt.
        :param rate_limit: requests per second that the engine takes; ``None`` without a limit.
        """
        self._metrics.record_attempt(outcome, attempt.framing)
        if isinstance(outcome, Answered):
            self._metrics.record_response(call, outcome.status)
        endpoint = decision.endpoint
        unanswered_fields = (
            {}
            if isinstance(outcome, Answered)
            else {
                "content": call.content_id,
                "parts": ",".join(call.shared_parts),
                "generating_ms": milliseconds(attempt.generating_s),
            }
        )
        self._request_logger.write(
            "request.attempt",
            call.request_id,
            failed=not isinstance(outcome, Answered),
            route=call.route.name,
            customer=call.customer,
            rank=call.rank,
            target_ms=call.route.target_ms,
            gap_target_ms=call.route.gap_target_ms,
            endpoint=endpoint.entry.identity,
            address=str(endpoint.entry.address),
            software_version=endpoint.entry.software_version,
            resumes=call.metadata.resumes,
            resumes_after=call.metadata.last_event_id,
            attempt=number,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
            status=getattr(outcome, "status", 0),
            framing=attempt.framing.value if attempt.framing is not None else "",
            body_bytes=attempt.body_bytes,
            unfinished_event_bytes=attempt.unfinished_event_bytes,
            last_event_id=writer.last_event_id,
            in_flight=endpoint.in_flight,
            rate_limit=rate_limit,
            first_ms=attempt.first_ms,
            longest_gap_ms=attempt.longest_gap_ms,
            failure_share=round(endpoint.failure_share, 2),
            elapsed_ms=elapsed_ms(call),
            routed_by_version=call.version,
            **unanswered_fields,
        )


def elapsed_ms(call: RoutedCall) -> int:
    """Return the time since a request arrived, milliseconds."""
    return milliseconds(clock.now() - call.request.received_at)


def milliseconds(seconds: float) -> int:
    """Return seconds as whole milliseconds."""
    return round(seconds * clock.MILLISECONDS_PER_SECOND)


def _admission_outcome(admission: Admission) -> str:
    if isinstance(admission, NotAdmitted):
        return "engine silent" if admission.engine_silent else "refused"
    return "granted" if admission.reservation else "side silent"
