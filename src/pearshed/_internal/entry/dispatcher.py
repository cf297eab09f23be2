"""Runs a classified request at an endpoint: reserve, grant, run, relay, retry."""

import asyncio
import itertools
from collections.abc import Sequence
from dataclasses import dataclass

from absl import logging

from pearshed._internal.entry.attempt import SERVER_ERROR, LinkLoss, LinkLost
from pearshed._internal.entry.health import EndpointHealth
from pearshed._internal.entry.key_router import KeyRouter
from pearshed._internal.entry.link import SideAttempt, SideLink
from pearshed._internal.entry.placement import Candidates, PlacementPolicy
from pearshed._internal.entry.response_sink import ResponseSink
from pearshed._internal.entry.retry_budget import RetryBudget
from pearshed._internal.models.outcomes import (
    Execution,
    FailureCode,
    RelayedEnd,
    RequestFailure,
)
from pearshed._internal.models.requests import RoutedRequest
from pearshed._internal.peers import frames
from pearshed._internal.peers import peer_pb2 as pb
from pearshed._internal.timers import clock

_MOST_ATTEMPTS = 3
_DEFAULT_RETRY_AFTER_S = 1.0
_STAGGER_S = 0.01

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
class _Granted:
    """A side has a slot for the request, or replays an earlier answer to it."""

    link: SideLink
    replayed: bool


@dataclass(frozen=True, slots=True)
class _Failed:
    """An attempt that failed.

    :ivar endpoints: those that were asked; the next attempt leaves them out.
    :ivar elsewhere: another attempt may succeed, as far as capacity goes.
    :ivar answered: the attempt, when the endpoint itself answered with an error.
    """

    failure: RequestFailure
    endpoints: frozenset[str] = frozenset()
    elsewhere: bool = False
    answered: SideAttempt | None = None


class Dispatcher:
    """Serves requests with late binding.

    A reservation goes to a few sides; the first that grants a slot gets the body and the
    others are withdrawn. A request that was never granted was truly not run. Requests of
    protected tiers ask at more sides: with every slot taken, they get the first of more slots.
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
        self._numbers = itertools.count(1)
        self._dropped_frames = 0
        self._wasted_answers = 0

    @property
    def dropped_frames(self) -> int:
        """Frames dropped as late, foreign or out of order."""
        return self._dropped_frames

    @property
    def wasted_answers(self) -> int:
        """Runs whose answer nobody received."""
        return self._wasted_answers

    async def serve(self, request: RoutedRequest, sink: ResponseSink) -> None:
        """Serve a request; its last event in the sink is an end or a failure."""
        self._budget.record_request()
        excluded: frozenset[str] = frozenset()
        for remaining in reversed(range(_MOST_ATTEMPTS)):
            failed = await self._attempt(request, sink, excluded)
            if failed is None:
                sink.put(RelayedEnd())
                return
            if not remaining or not self._may_retry(request, failed):
                _pass_on(failed, sink)
                return
            logging.info("request %s is tried again: %s", request.request_id, failed)
            excluded = excluded | failed.endpoints

    def _may_retry(self, request: RoutedRequest, failed: _Failed) -> bool:
        if not failed.elsewhere or clock.now() >= request.deadline:
            return False
        if failed.failure.execution is not Execution.NOT_RUN and not request.idempotent:
            return False
        return self._budget.try_spend()

    async def _attempt(
        self, request: RoutedRequest, sink: ResponseSink, excluded: frozenset[str]
    ) -> _Failed | None:
        """Try the request once.

        :returns: nothing when the answer was passed on whole.
        """
        attempt = SideAttempt(next(self._numbers), request, sink)
        if request.idempotency_key:
            owner_link = await self._key_router.link_for(request)
            links = [owner_link] if owner_link is not None else []
        else:
            usable = self._candidates.for_service(request.service, excluded)
            fanout = self._protected_fanout if request.tier.protected else self._fanout
            links = self._placement.choose(request, usable, fanout) if usable else []
        if not links:
            return _Failed(_no_endpoint(request))
        try:
            granted = await self._reserve(attempt, links)
            if isinstance(granted, _Failed):
                return granted
            return await self._run(attempt, granted)
        except BaseException:
            # Cancelled with its caller, or broken: either way no side may go on waiting for it.
            self._abandon(attempt)
            raise
        finally:
            self._dropped_frames += attempt.dropped

    async def _reserve(self, attempt: SideAttempt, links: Sequence[SideLink]) -> _Granted | _Failed:
        """Place reservations and wait for the first grant.

        The preferred side is asked first. The others are asked only when it does not grant at
        once, so that a fleet with free slots spends one reservation on each request.
        """
        reservation = _reservation(attempt)
        unasked = list(links)
        refusals: list[pb.Refuse] = []
        wait_until = _wait_until(attempt.request)
        while unasked or attempt.open_links:
            if unasked and not attempt.open_links:
                unasked.pop(0).open_attempt(attempt, reservation)
            patience = clock.now() + _STAGGER_S if unasked else wait_until
            event = await _next_event(attempt, min(wait_until, patience))
            if event is None and clock.now() >= wait_until:
                self._abandon(attempt)
                return _Failed(_given_up(attempt.request))
            if event is None:
                for link in unasked:
                    link.open_attempt(attempt, reservation)
                unasked.clear()
                continue
            link, what = event
            if isinstance(what, LinkLost):
                continue
            if what.HasField("refuse"):
                link.close_attempt(attempt)
                refusals.append(what.refuse)
            elif what.HasField("grant") or what.HasField("head"):
                self._bind(attempt, link)
                return _Granted(link, replayed=what.HasField("head"))
        return _refused(refusals, frozenset(link.endpoint.name for link in links))

    def _bind(self, attempt: SideAttempt, link: SideLink) -> None:
        """Choose the side that granted and withdraw the other reservations."""
        attempt.bind(link)
        for other in attempt.open_links:
            if other is not link:
                other.close_attempt(attempt, _withdraw_frame(attempt))

    def _abandon(self, attempt: SideAttempt) -> None:
        """Tell the sides that nobody wants the attempt any more."""
        for link in attempt.open_links:
            if link is attempt.bound:
                self._wasted_answers += 1
                self._health.record_inconclusive(link.endpoint.name)
                cancel = pb.Frame(attempt=attempt.number, cancel=pb.Cancel())
                link.close_attempt(attempt, cancel)
            else:
                link.close_attempt(attempt, _withdraw_frame(attempt))

    async def _run(self, attempt: SideAttempt, granted: _Granted) -> _Failed | None:
        """Send the body to the side that granted a slot and relay the answer."""
        link = granted.link
        name = link.endpoint.name
        self._health.record_start(name)
        if not granted.replayed:
            link.send(attempt, frames.body(attempt.number, attempt.request.call))
            attempt.mark_body_sent()
        while True:
            event = await _next_event(attempt, attempt.request.deadline)
            if event is None:
                self._abandon(attempt)
                return _Failed(_given_up(attempt.request, ran=True))
            _, what = event
            if isinstance(what, LinkLost):
                self._health.record_failure(name)
                return self._lost(attempt, name, what.loss)
            if what.HasField("refuse"):
                link.close_attempt(attempt)
                self._health.record_inconclusive(name)
                return _Failed(_refusal_failure(what.refuse), frozenset((name,)), elsewhere=True)
            if what.HasField("end"):
                return self._ended(attempt, link, what.end)

    def _ended(self, attempt: SideAttempt, link: SideLink, end: pb.End) -> _Failed | None:
        name = link.endpoint.name
        acknowledge = pb.Frame(attempt=attempt.number, acknowledge=pb.Acknowledge())
        link.close_attempt(attempt, acknowledge)
        if end.complete and end.length == attempt.offset:
            return self._answered(attempt, name)
        execution = frames.execution_from_wire(end.execution)
        self._health.record_failure(name)
        failure = RequestFailure(
            FailureCode.ENDPOINT_FAILED,
            f"the endpoint failed: {end.detail or 'the answer broke off'}",
            execution,
            _DEFAULT_RETRY_AFTER_S,
        )
        return _Failed(failure, frozenset((name,)), elsewhere=not attempt.delivered)

    def _answered(self, attempt: SideAttempt, name: str) -> _Failed | None:
        """Pass a whole answer on, unless it is an error that another endpoint may not make."""
        if attempt.head is None or attempt.head.status < SERVER_ERROR:
            self._health.record_success(name)
            attempt.flush_whole()
            return None
        self._health.record_failure(name)
        failure = RequestFailure(
            FailureCode.ENDPOINT_FAILED,
            f"the endpoint answered with status {attempt.head.status}",
            Execution.RAN,
        )
        return _Failed(failure, frozenset((name,)), elsewhere=True, answered=attempt)

    def _lost(self, attempt: SideAttempt, name: str, loss: LinkLoss) -> _Failed:
        execution = Execution.MAY_HAVE_RUN if attempt.body_sent else Execution.NOT_RUN
        failure = RequestFailure(
            FailureCode.ENDPOINT_UNREACHABLE,
            f"the endpoint was lost while it had the request: {loss.value}",
            execution,
            _DEFAULT_RETRY_AFTER_S,
        )
        return _Failed(failure, frozenset((name,)), elsewhere=not attempt.delivered)


def _pass_on(failed: _Failed, sink: ResponseSink) -> None:
    """End a request that is not tried again: with the endpoint's own error, if it made one."""
    if failed.answered is None:
        sink.put(failed.failure)
        return
    failed.answered.flush_whole()
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


def _wait_until(request: RoutedRequest) -> float:
    """Find the moment at which a request stops waiting for a slot.

    A protected tier waits until its deadline; others until the class's longest wait.
    """
    if request.tier.protected:
        return request.deadline
    wait_s = request.request_class.max_wait_ms / clock.MILLISECONDS_PER_SECOND
    return min(request.deadline, clock.now() + wait_s)


async def _next_event(
    attempt: SideAttempt, until: float
) -> tuple[SideLink, pb.Frame | LinkLost] | None:
    """Wait for an event of the attempt; nothing when time is up."""
    remaining_s = until - clock.now()
    if remaining_s <= 0:
        return None
    try:
        async with asyncio.timeout(remaining_s):
            return await attempt.next_event()
    except TimeoutError:
        return None


def _given_up(request: RoutedRequest, ran: bool = False) -> RequestFailure:
    execution = Execution.MAY_HAVE_RUN if ran else Execution.NOT_RUN
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


def _no_endpoint(request: RoutedRequest) -> RequestFailure:
    return RequestFailure(
        FailureCode.NO_ENDPOINT,
        f"no endpoint of service {request.service} takes work at present",
        Execution.NOT_RUN,
        _DEFAULT_RETRY_AFTER_S,
    )


def _refused(refusals: Sequence[pb.Refuse], asked: frozenset[str]) -> _Failed:
    """Combine the refusals of all sides that were asked."""
    if not refusals:
        failure = RequestFailure(
            FailureCode.ENDPOINT_UNREACHABLE,
            "the connections to the endpoints broke before the request was granted",
            Execution.NOT_RUN,
            _DEFAULT_RETRY_AFTER_S,
        )
        return _Failed(failure, asked, elsewhere=True)
    soonest = min(refusals, key=lambda refusal: refusal.retry_after_ms)
    full = all(refusal.reason in _CAPACITY_REFUSALS for refusal in refusals)
    final = full or soonest.reason in _KEY_REFUSALS
    return _Failed(_refusal_failure(soonest), asked, elsewhere=not final)


def _refusal_failure(refusal: pb.Refuse) -> RequestFailure:
    execution = Execution.MAY_HAVE_RUN if refusal.may_have_run else Execution.NOT_RUN
    retry_after_s = refusal.retry_after_ms / clock.MILLISECONDS_PER_SECOND
    return RequestFailure(
        _REFUSAL_CODES.get(refusal.reason, FailureCode.NO_ENDPOINT),
        refusal.detail or "the endpoint refused the request",
        execution,
        retry_after_s or _DEFAULT_RETRY_AFTER_S,
    )
