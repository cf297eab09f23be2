"""Dispatches a request: reserves a slot, relays the endpoint's response, retries on failure."""

import asyncio
import itertools
from collections.abc import Sequence
from dataclasses import dataclass

from absl import logging

from pearshed._internal.entry.attempt import MIN_SERVER_ERROR_STATUS, LinkLossReason, LinkLost
from pearshed._internal.entry.health import EndpointHealth
from pearshed._internal.entry.key_router import KeyRouter
from pearshed._internal.entry.link import SideAttempt, SideLink
from pearshed._internal.entry.placement import Candidates, PlacementPolicy
from pearshed._internal.entry.response_sink import ResponseSink
from pearshed._internal.entry.retry_budget import RetryBudget
from pearshed._internal.models import statuses
from pearshed._internal.models.outcomes import (
    Execution,
    FailureCode,
    RelayedEnd,
    RelayedHead,
    RequestFailure,
)
from pearshed._internal.models.requests import RoutedRequest
from pearshed._internal.peers import frames
from pearshed._internal.peers import peer_pb2 as pb
from pearshed._internal.timers import clock

_MAX_ATTEMPTS = 3
_DEFAULT_RETRY_AFTER_S = 1.0
_HEDGE_DELAY_S = 0.01
_TURNED_AWAY_STATUS = 503

_REFUSAL_CODES = {
    pb.REFUSAL_QUEUE_FULL: FailureCode.OVERLOADED,
    pb.REFUSAL_DEADLINE: FailureCode.OVERLOADED,
    pb.REFUSAL_DISPLACED: FailureCode.OVERLOADED,
    pb.REFUSAL_DRAINING: FailureCode.DRAINING,
    pb.REFUSAL_KEY_IN_DOUBT: FailureCode.KEY_IN_DOUBT,
    pb.REFUSAL_KEY_RUNNING: FailureCode.KEY_RUNNING,
    pb.REFUSAL_KEY_MISMATCH: FailureCode.KEY_MISMATCH,
}
_CAPACITY_REFUSALS = frozenset((pb.REFUSAL_QUEUE_FULL, pb.REFUSAL_DEADLINE, pb.REFUSAL_DISPLACED))
_KEY_REFUSALS = frozenset(
    (pb.REFUSAL_KEY_IN_DOUBT, pb.REFUSAL_KEY_RUNNING, pb.REFUSAL_KEY_MISMATCH)
)


@dataclass(frozen=True, slots=True)
class _GrantedLink:
    """A side that granted a slot, or that replays the stored response for an idempotency key."""

    link: SideLink
    replayed: bool


@dataclass(frozen=True, slots=True)
class _FailedAttempt:
    """An attempt that failed.

    :ivar endpoints: endpoints that were tried; the next attempt excludes them.
    :ivar retryable: whether another endpoint may succeed; idempotency is checked separately.
    :ivar error_attempt: the attempt that holds the endpoint's own error response, if it sent one.
    """

    failure: RequestFailure
    endpoints: frozenset[str] = frozenset()
    retryable: bool = False
    error_attempt: SideAttempt | None = None


class Dispatcher:
    """Serves requests with late binding.

    Reservations go to a few sides. The first side that grants a slot gets the body, and the
    other reservations are withdrawn. A request without a grant is known not to have run.
    Requests of protected tiers reserve at more sides: when all slots are in use, they get the
    first slot to become free at any of these.
    """

    def __init__(
        self,
        candidates: Candidates,
        placement: PlacementPolicy,
        key_router: KeyRouter,
        health: EndpointHealth,
        budget: RetryBudget,
        fanout: int,
        protected_fanout: int,
    ) -> None:
        self._candidates = candidates
        self._placement = placement
        self._key_router = key_router
        self._health = health
        self._budget = budget
        self._fanout = fanout
        self._protected_fanout = protected_fanout
        self._attempt_numbers = itertools.count(1)
        self._dropped_frames = 0
        self._wasted_responses = 0

    @property
    def dropped_frames(self) -> int:
        """Frames dropped as late, out of order or from the wrong side."""
        return self._dropped_frames

    @property
    def wasted_responses(self) -> int:
        """Runs whose response was not delivered to the caller."""
        return self._wasted_responses

    async def serve(self, request: RoutedRequest, sink: ResponseSink) -> None:
        """Serve a request; the last event put into the sink is an end or a failure."""
        self._budget.record_request()
        excluded: frozenset[str] = frozenset()
        for remaining in reversed(range(_MAX_ATTEMPTS)):
            failed = await self._attempt(request, sink, excluded)
            if failed is None:
                sink.put(RelayedEnd())
                return
            if not remaining or not self._may_retry(request, failed):
                _finish_failed(failed, sink)
                return
            logging.info("retrying request %s: %s", request.request_id, failed)
            excluded = excluded | failed.endpoints

    def _may_retry(self, request: RoutedRequest, failed: _FailedAttempt) -> bool:
        if not failed.retryable or clock.now() >= request.deadline:
            return False
        if failed.failure.execution is not Execution.NOT_RUN and not request.idempotent:
            return False
        return self._budget.try_spend()

    async def _attempt(
        self, request: RoutedRequest, sink: ResponseSink, excluded: frozenset[str]
    ) -> _FailedAttempt | None:
        """Try the request once.

        :returns: the failure, or None when the complete response was relayed.
        """
        attempt = SideAttempt(next(self._attempt_numbers), request, sink)
        if request.idempotency_key:
            owner_link = await self._key_router.link_for(request)
            links = [owner_link] if owner_link is not None else []
        else:
            usable = self._candidates.for_service(request.service, excluded)
            fanout = self._protected_fanout if request.tier.protected else self._fanout
            links = self._placement.choose(request, usable, fanout) if usable else []
        if not links:
            return _FailedAttempt(_no_endpoint_failure(request))
        try:
            granted = await self._reserve(attempt, links)
            if isinstance(granted, _FailedAttempt):
                return granted
            return await self._run(attempt, granted)
        except BaseException:
            # After a cancellation or an internal error, no side may keep the attempt.
            self._cancel(attempt)
            raise
        finally:
            self._dropped_frames += attempt.dropped_frames

    async def _reserve(
        self, attempt: SideAttempt, links: Sequence[SideLink]
    ) -> _GrantedLink | _FailedAttempt:
        """Place reservations and wait for the first grant.

        The preferred side gets the first reservation. The others get theirs only when it does not
        grant within a short delay, so that a fleet with free slots handles one reservation per
        request.
        """
        reservation = _reservation(attempt)
        unreserved = list(links)
        refusals: list[pb.Refuse] = []
        slot_deadline = _slot_deadline(attempt.request)
        while unreserved or attempt.open_links:
            if unreserved and not attempt.open_links:
                unreserved.pop(0).open_attempt(attempt, reservation)
            step_deadline = clock.now() + _HEDGE_DELAY_S if unreserved else slot_deadline
            received = await _next_event(attempt, min(slot_deadline, step_deadline))
            if received is None and clock.now() >= slot_deadline:
                self._cancel(attempt)
                return _FailedAttempt(_timeout_failure(attempt.request))
            if received is None:
                for link in unreserved:
                    link.open_attempt(attempt, reservation)
                unreserved.clear()
                continue
            link, event = received
            if isinstance(event, LinkLost):
                continue
            if event.HasField("refuse"):
                link.close_attempt(attempt)
                refusals.append(event.refuse)
            elif event.HasField("grant") or event.HasField("head"):
                self._bind(attempt, link)
                return _GrantedLink(link, replayed=event.HasField("head"))
        return _combine_refusals(refusals, frozenset(link.endpoint.name for link in links))

    def _bind(self, attempt: SideAttempt, link: SideLink) -> None:
        """Bind the attempt to the side that granted and withdraw the other reservations."""
        attempt.bind(link)
        for other in attempt.open_links:
            if other is not link:
                other.close_attempt(attempt, _withdraw_frame(attempt))

    def _cancel(self, attempt: SideAttempt) -> None:
        """Withdraw the open reservations and cancel the run, if there is one."""
        for link in attempt.open_links:
            if link is attempt.bound_link:
                self._wasted_responses += 1
                self._health.record_inconclusive(link.endpoint.name)
                cancel = pb.Frame(attempt=attempt.number, cancel=pb.Cancel())
                link.close_attempt(attempt, cancel)
            else:
                link.close_attempt(attempt, _withdraw_frame(attempt))

    async def _run(self, attempt: SideAttempt, granted: _GrantedLink) -> _FailedAttempt | None:
        """Send the body to the side that granted a slot and relay the response."""
        link = granted.link
        name = link.endpoint.name
        self._health.record_start(name)
        if not granted.replayed:
            link.send(attempt, frames.body(attempt.number, attempt.request.call))
            attempt.mark_body_sent()
        while True:
            received = await _next_event(attempt, attempt.request.deadline)
            if received is None:
                self._cancel(attempt)
                return _FailedAttempt(_timeout_failure(attempt.request, may_have_run=True))
            _, event = received
            if isinstance(event, LinkLost):
                self._health.record_failure(name)
                return self._link_lost_failure(attempt, name, event.reason)
            if event.HasField("refuse"):
                link.close_attempt(attempt)
                self._health.record_inconclusive(name)
                return _FailedAttempt(
                    _refusal_failure(event.refuse), frozenset((name,)), retryable=True
                )
            if event.HasField("end"):
                return self._handle_end(attempt, link, event.end)

    def _handle_end(
        self, attempt: SideAttempt, link: SideLink, end: pb.End
    ) -> _FailedAttempt | None:
        name = link.endpoint.name
        acknowledge = pb.Frame(attempt=attempt.number, acknowledge=pb.Acknowledge())
        link.close_attempt(attempt, acknowledge)
        if end.complete and end.length == attempt.offset:
            return self._handle_complete_response(attempt, name)
        execution = frames.execution_from_wire(end.execution)
        self._health.record_failure(name)
        failure = RequestFailure(
            FailureCode.ENDPOINT_FAILED,
            f"the endpoint failed: {end.detail or 'the answer broke off'}",
            execution,
            _DEFAULT_RETRY_AFTER_S,
        )
        return _FailedAttempt(failure, frozenset((name,)), retryable=not attempt.delivery_started)

    def _handle_complete_response(self, attempt: SideAttempt, name: str) -> _FailedAttempt | None:
        """Relay a complete response, or fail the attempt on a server error, to try elsewhere."""
        if attempt.head is not None and not statuses.is_final(attempt.head.status):
            # From a side of an older build; others don't pass it on.
            self._health.record_failure(name)
            failure = RequestFailure(
                FailureCode.ENDPOINT_FAILED,
                f"the endpoint answered with status {attempt.head.status:03}",
                Execution.MAY_HAVE_RUN,
            )
            return _FailedAttempt(failure, frozenset((name,)), retryable=True)
        if attempt.head is None or attempt.head.status < MIN_SERVER_ERROR_STATUS:
            self._health.record_success(name)
            attempt.flush_buffered()
            return None
        if _asks_for_pause(attempt.head):
            # Its side grants nothing until the end; that it asks in time is no failure.
            self._health.record_inconclusive(name)
        else:
            self._health.record_failure(name)
        failure = RequestFailure(
            FailureCode.ENDPOINT_FAILED,
            f"the endpoint answered with status {attempt.head.status}",
            Execution.RAN,
        )
        return _FailedAttempt(failure, frozenset((name,)), retryable=True, error_attempt=attempt)

    def _link_lost_failure(
        self, attempt: SideAttempt, name: str, reason: LinkLossReason
    ) -> _FailedAttempt:
        execution = Execution.MAY_HAVE_RUN if attempt.body_sent else Execution.NOT_RUN
        failure = RequestFailure(
            FailureCode.ENDPOINT_UNREACHABLE,
            f"the endpoint was lost while it had the request: {reason.value}",
            execution,
            _DEFAULT_RETRY_AFTER_S,
        )
        return _FailedAttempt(failure, frozenset((name,)), retryable=not attempt.delivery_started)


def _asks_for_pause(head: RelayedHead) -> bool:
    """Return whether an endpoint has turned a request away and asked for a pause."""
    return head.status == _TURNED_AWAY_STATUS and any(
        name.lower() == "retry-after" for name, _ in head.headers
    )


def _finish_failed(failed: _FailedAttempt, sink: ResponseSink) -> None:
    """End a request that is not retried, with the endpoint's own error response if it sent one."""
    if failed.error_attempt is None:
        sink.put(failed.failure)
        return
    failed.error_attempt.flush_buffered()
    sink.put(RelayedEnd())


def _reservation(attempt: SideAttempt) -> pb.Frame:
    request = attempt.request
    remaining_s = max(0.0, request.deadline - clock.now())
    return pb.Frame(
        attempt=attempt.number,
        reserve=pb.Reserve(
            request_id=request.request_id,
            class_name=request.request_class.name,
            customer=request.customer.name,
            deadline_ms=round(remaining_s * clock.MILLISECONDS_PER_SECOND),
            idempotency_key=request.idempotency_key,
            idempotent=request.idempotent,
            fingerprint=request.fingerprint,
        ),
    )


def _withdraw_frame(attempt: SideAttempt) -> pb.Frame:
    return pb.Frame(attempt=attempt.number, withdraw=pb.Withdraw())


def _slot_deadline(request: RoutedRequest) -> float:
    """Return the time until which a request may wait for a slot.

    Requests of a protected tier wait until their deadline, others at most ``max_wait_ms``.
    """
    if request.tier.protected:
        return request.deadline
    wait_s = request.request_class.max_wait_ms / clock.MILLISECONDS_PER_SECOND
    return min(request.deadline, clock.now() + wait_s)


async def _next_event(
    attempt: SideAttempt, deadline: float
) -> tuple[SideLink, pb.Frame | LinkLost] | None:
    """Wait for an event of the attempt; return None on timeout."""
    remaining_s = deadline - clock.now()
    if remaining_s <= 0:
        return None
    try:
        async with asyncio.timeout(remaining_s):
            return await attempt.next_event()
    except TimeoutError:
        return None


def _timeout_failure(request: RoutedRequest, may_have_run: bool = False) -> RequestFailure:
    execution = Execution.MAY_HAVE_RUN if may_have_run else Execution.NOT_RUN
    if clock.now() >= request.deadline:
        return RequestFailure(
            FailureCode.DEADLINE,
            f"the request was given up after {request.request_class.total_ms} ms",
            execution,
            _DEFAULT_RETRY_AFTER_S,
        )
    return RequestFailure(
        FailureCode.OVERLOADED,
        f"no slot came free within {request.request_class.max_wait_ms} ms",
        execution,
        request.request_class.max_wait_ms / clock.MILLISECONDS_PER_SECOND,
    )


def _no_endpoint_failure(request: RoutedRequest) -> RequestFailure:
    return RequestFailure(
        FailureCode.NO_ENDPOINT,
        f"no endpoint of service {request.service} takes work at present",
        Execution.NOT_RUN,
        _DEFAULT_RETRY_AFTER_S,
    )


def _combine_refusals(refusals: Sequence[pb.Refuse], endpoints: frozenset[str]) -> _FailedAttempt:
    """Combine the refusals of all sides into one failure."""
    if not refusals:
        failure = RequestFailure(
            FailureCode.ENDPOINT_UNREACHABLE,
            "the connections to the endpoints broke before the request was granted",
            Execution.NOT_RUN,
            _DEFAULT_RETRY_AFTER_S,
        )
        return _FailedAttempt(failure, endpoints, retryable=True)
    earliest = min(refusals, key=lambda refusal: refusal.retry_after_ms)
    full = all(refusal.reason in _CAPACITY_REFUSALS for refusal in refusals)
    final = full or earliest.reason in _KEY_REFUSALS
    return _FailedAttempt(_refusal_failure(earliest), endpoints, retryable=not final)


def _refusal_failure(refusal: pb.Refuse) -> RequestFailure:
    execution = Execution.MAY_HAVE_RUN if refusal.may_have_run else Execution.NOT_RUN
    retry_after_s = refusal.retry_after_ms / clock.MILLISECONDS_PER_SECOND
    return RequestFailure(
        _REFUSAL_CODES.get(refusal.reason, FailureCode.NO_ENDPOINT),
        refusal.detail or "the endpoint refused the request",
        execution,
        retry_after_s or _DEFAULT_RETRY_AFTER_S,
    )
