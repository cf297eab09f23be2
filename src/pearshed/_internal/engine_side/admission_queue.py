"""Admission control for one engine: queues, grants and refuses requests.

Prefill is the engine's processing of a prompt before its first output token. In a burst an engine
that accepts every request prefills prompts whose callers have timed out, and its running requests
evict shared prompt prefixes from its memory, which must then be prefilled again: throughput
collapses. So only as many requests are granted as keep the engine busy. The others wait here in
order of priority, or are refused at once if they can't start within their budget.

Requests with terms, whose callers compete for the engine, are granted in the order of
``queue_order`` and by the engine's sustained speed; as long as there are some, requests without
terms are as well.
"""

import functools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from pearshed._internal.decisions.engine_load import EngineLoad, Quote
from pearshed._internal.decisions.fair_share import FairShares
from pearshed._internal.decisions.prefill_capacity import PrefillCapacity
from pearshed._internal.decisions.queue_order import (
    LATE_GRANT_INTERVAL,
    EngineState,
    QueuePlan,
    WaitingRequest,
    plan_queue,
    ready_s,
    youngest_of_least_urgent,
)
from pearshed._internal.engine_side.engine_silence import EngineSilence
from pearshed._internal.engine_side.messages import AdmissionRequest, request_id_of
from pearshed._internal.engine_side.monitor import EngineReport
from pearshed._internal.engine_side.prefill_speed import PrefillProgress, PrefillSpeed
from pearshed._internal.engine_side.prefill_throttle import PrefillThrottle
from pearshed._internal.engine_side.prompt_cache import PromptCache
from pearshed._internal.timers import clock

#: Pending prefill that the engine is kept supplied with, in seconds of its work: a little more
#: than the time from the engine being ready to the arrival of the next request.
PREFILL_BACKLOG_S = 0.15
#: The same for late requests, seconds: enough that the engine isn't idle between two calls of
#: ``process``, and no more, so that those to come can still meet their target.
LATE_BACKLOG_S = 0.06
#: While pending prefill is below this share of the backlog, a prompt of any size is granted; a
#: large prompt would otherwise wait until the engine is idle.
ANY_SIZE_BACKLOG_SHARE = 0.5
#: Prefill is confirmed by the first event of the response, which holds several tokens and is up to
#: this late while the engine prefills other prompts, seconds. Unconfirmed prefill is limited to
#: this much work at the measured speed, in case the engine is slower than measured.
MAX_CONFIRMATION_DELAY_S = 0.3
#: Streams that allow at most this gap between events are slowed by simultaneous prefills, seconds:
#: an engine that prefills without a break generates an event about this often.
MAX_TIGHT_GAP_S = 0.3
#: Share of the engine's memory that requests may use; the remainder caches shared prefixes.
MAX_MEMORY_SHARE = 0.8
#: A waiting reservation that the gateway has not renewed for this long is dropped, seconds;
#: gateways renew it several times in this period.
RESERVATION_TTL_S = 0.6
#: A granted request that the engine doesn't report after this time counts as lost, seconds.
GRANT_TTL_S = 0.6
#: Queueing delay for each token of a shared prefix that is not cached, seconds: a request with a
#: cached prefix is granted before others of its rank that arrived slightly earlier. The unshared
#: part of a prompt is not counted, so large requests are not delayed.
UNCACHED_TOKEN_DELAY_S = 0.00003
#: Requests that wait while there are some with terms; more couldn't start while they are of use: at
#: 50,000 tokens a second these are 8 s of the smallest prompts.
MAX_WAITING = 256


#: Time for which quotes are made from the same order of the queue, seconds; gateways renew each
#: reservation five times a second, which would order a long queue hundreds of times.
PLAN_TTL_S = 0.05


@dataclass(slots=True)
class Reservation:
    """A request that waits for admission; it has not run.

    :ivar prefill_tokens: tokens of the prompt that the engine's cache lacks.
    :ivar expires_at: clock reading after which it is refused, seconds.
    :ivar sort_time: orders reservations of one rank, the earliest first, seconds.
    :ivar requested_at: clock reading of the gateway's latest request for it, seconds.
    :ivar notify: sends the decision to the gateway.
    :ivar reason: why it was refused.
    """

    request: AdmissionRequest
    prefill_tokens: int
    expires_at: float
    sort_time: float
    submitted_at: float
    requested_at: float
    notify: Callable[[object], None] = field(repr=False)
    reason: str = ""

    @property
    def target_at(self) -> float | None:
        """Clock reading by which the first event must come, seconds; ``None`` without terms."""
        terms = self.request.terms
        if terms is None:
            return None
        return self.submitted_at + terms.target_left_ms / clock.MILLISECONDS_PER_SECOND


@dataclass(slots=True)
class Grant:
    """An admitted request, in flight to the engine or running on it.

    :ivar prefilled: the engine has prefilled its prompt.
    :ivar reported: the engine has listed it in a report.
    """

    request: AdmissionRequest
    prefill_tokens: int
    granted_at: float
    prefilled: bool = False
    reported: bool = False

    @property
    def rank(self) -> int:
        """Priority of the request."""
        return self.request.rank

    @property
    def memory_tokens(self) -> int:
        """Engine memory that the request uses, tokens."""
        return sum(part.tokens for part in self.request.prompt) + self.request.output_tokens


class AdmissionQueue:
    """Admits requests to one engine.

    :param on_granted: called with each reservation that is granted.
    :param on_refused: called with each reservation that is refused and the expected wait, seconds.
    """

    def __init__(
        self,
        cache: PromptCache,
        on_granted: Callable[[Reservation], None],
        on_refused: Callable[[Reservation, float], None],
    ) -> None:
        self._cache = cache
        self._on_granted = on_granted
        self._on_refused = on_refused
        self._waiting: dict[str, Reservation] = {}
        self._grants: dict[str, Grant] = {}
        self._report: EngineReport | None = None
        self._speed = PrefillSpeed()
        self._progress = PrefillProgress(self._speed)
        self._throttle = PrefillThrottle()
        self._silence = EngineSilence()
        self._capacity = PrefillCapacity()
        self._shares = FairShares()
        self._latest_plan: QueuePlan | None = None
        self._planned_at = float("-inf")
        self._terms_granted = 0
        self._late_granted = 0
        self._grants_since_late = 0

    @property
    def waiting_count(self) -> int:
        """Number of reservations in the queue."""
        return len(self._waiting)

    @property
    def granted_count(self) -> int:
        """Number of admitted requests that have not finished."""
        return len(self._grants)

    @property
    def tokens_per_s(self) -> float:
        """Measured prefill speed."""
        return self._speed.tokens_per_s

    @property
    def capacity(self) -> PrefillCapacity:
        """Sustained prefill speed, by which requests with terms are granted."""
        return self._capacity

    @property
    def late_share(self) -> float:
        """Share of grants of requests with terms that went to late requests."""
        return self._late_granted / self._terms_granted if self._terms_granted else 0.0

    @property
    def waiting_by_rank(self) -> Counter[int]:
        """Number of reservations in the queue by rank."""
        return Counter(reservation.request.rank for reservation in self._waiting.values())

    @property
    def waiting_customer_count(self) -> int:
        """Number of customers that have a request with terms in the queue."""
        return len(
            {
                reservation.request.terms.customer
                for reservation in self._waiting.values()
                if reservation.request.terms is not None
            }
        )

    @property
    def prefill_share(self) -> float:
        """Share of the time for prefill while streams need short gaps between events."""
        return self._throttle.share

    @property
    def pending_prefill_tokens(self) -> int:
        """Estimated tokens sent to the engine and not prefilled yet."""
        return round(self._progress.pending(self._unconfirmed_tokens()))

    @property
    def engine_started_at_ms(self) -> int:
        """Unix time of the engine's start by its last report, milliseconds; 0 if not known."""
        return self._report.started_at_ms if self._report is not None else 0

    @property
    def silence(self) -> EngineSilence:
        """What is known of silences of the engine."""
        return self._silence

    def is_granted(self, reservation_id: str) -> bool:
        """Return whether a reservation is granted."""
        return reservation_id in self._grants

    def submit(self, request: AdmissionRequest, notify: Callable[[object], None]) -> bool:
        """Queue a new reservation, or renew one that is queued.

        :returns: whether it is queued or granted; otherwise it was refused.
        """
        now = clock.now()
        queued = self._waiting.get(request.reservation)
        if queued is not None:
            queued.requested_at = now
            return True
        if request.reservation in self._grants:
            return True
        prefill_tokens = self._cache.uncached_tokens(request.prompt)
        wait_ms = request.budget_ms if request.terms is None else request.terms.useful_left_ms
        reservation = Reservation(
            request,
            prefill_tokens,
            now + wait_ms / clock.MILLISECONDS_PER_SECOND,
            now
            + max(0, prefill_tokens - request.prompt[-1].tokens if request.prompt else 0)
            * UNCACHED_TOKEN_DELAY_S,
            now,
            now,
            notify,
        )
        self._waiting[request.reservation] = reservation
        self.process()
        if request.reservation in self._grants:
            return True
        if request.reservation not in self._waiting:
            return False
        if self._is_competing:
            return self._keep_if_useful(reservation)
        wait_s = self._expected_wait_s(reservation)
        if not self._silence.is_silent and now + wait_s > reservation.expires_at:
            del self._waiting[request.reservation]
            reservation.reason = "not in time"
            self._on_refused(reservation, wait_s)
            return False
        return True

    def record_prefill(self, reservation_id: str) -> None:
        """Mark the prompt of a granted reservation as prefilled."""
        grant = self._grants.get(reservation_id)
        if grant is None or grant.prefilled:
            return
        grant.prefilled = True
        self._end_silence()
        self._silence.record_response()
        self._speed.record_prefill(grant.prefill_tokens)
        self._capacity.confirm(reservation_id)
        self._cache.record_prefill(grant.request.prompt)
        self.process()

    def finish(self, reservation_id: str, longest_gap_ms: int = 0) -> None:
        """Remove a request that has ended or was cancelled.

        :param longest_gap_ms: longest gap between its events, milliseconds.
        """
        self._waiting.pop(reservation_id, None)
        grant = self._grants.pop(reservation_id, None)
        if grant is None:
            return
        self._capacity.discard(reservation_id)
        gap_ms = grant.request.gap_ms
        if 0 < gap_ms <= MAX_TIGHT_GAP_S * clock.MILLISECONDS_PER_SECOND:
            self._throttle.record_stream(longest_gap_ms, gap_ms)
        self.process()

    def apply_report(self, report: EngineReport) -> None:
        """Reconcile the grants with the requests that the engine reports."""
        if self.engine_started_at_ms != report.started_at_ms and self.engine_started_at_ms:
            self._capacity.restart()
        self._report = report
        self._end_silence()
        self._silence.record_report()
        now = clock.now()
        events = {run.request_id: run.events for run in report.runs}
        for reservation_id, grant in tuple(self._grants.items()):
            request_id = request_id_of(reservation_id)
            if request_id in events:
                grant.reported = True
                if events[request_id] > 0:
                    self.record_prefill(reservation_id)
            elif now - grant.granted_at > GRANT_TTL_S and (grant.reported or not report.waiting):
                del self._grants[reservation_id]
                self._capacity.discard(reservation_id)
        self.process()

    def _end_silence(self) -> None:
        """Restart the measurement after a silence, in which the engine prefilled nothing."""
        if self._silence.has_paused:
            self._speed.restart_window()
            self._capacity.skip_measurements()

    def process(self) -> None:
        """Refuse or drop expired reservations, then grant those that fit.

        A silent engine gets nothing: what waits for it may still go to another one.
        """
        now = clock.now()
        is_silent = self._silence.is_silent
        for reservation_id, reservation in tuple(self._waiting.items()):
            if reservation.expires_at < now or (is_silent and reservation.request.has_alternative):
                reservation.reason = "expired" if reservation.expires_at < now else "silent engine"
                del self._waiting[reservation_id]
                self._on_refused(reservation, self._expected_wait_s(reservation))
            elif now - reservation.requested_at > RESERVATION_TTL_S:
                del self._waiting[reservation_id]
        if is_silent:
            return
        if self._is_competing:
            self._process_competing()
            return
        for reservation in sorted(self._waiting.values(), key=_sort_key):
            if not self._fits(reservation):
                return
            self._grant(reservation)

    @property
    def next_grant_s(self) -> float | None:
        """Time until the engine likely has room for another request of competing callers, seconds.

        ``None`` if none waits, or if something else than pending prefill holds them back.
        """
        if not self._waiting or not self._is_competing or self._silence.is_silent:
            return None
        room_s = self._prefill_excess() / self._capacity.tokens_per_s
        return room_s if room_s > 0.0 else None

    def quote(self, reservation: Reservation) -> Quote | None:
        """Estimate when a request would have its first event; ``None`` without terms.

        :param reservation: one that waits, or was refused now.
        """
        if reservation.request.terms is None:
            return None
        plan, age_s = self._latest_plan, clock.now() - self._planned_at
        if plan is None or age_s > PLAN_TTL_S or reservation.request.reservation not in plan.wait_s:
            plan, age_s = self._plan(reservation), 0.0
        ready = max(0.0, self._ready_s(reservation, plan) - age_s)
        return self._build_quote(ready, reservation.prefill_tokens)

    def quote_of(self, reservation_id: str) -> Quote | None:
        """Estimate when a request that is granted or waits will have its first event.

        :returns: ``None`` without terms.
        """
        queued = self._waiting.get(reservation_id)
        if queued is not None:
            return self.quote(queued)
        grant = self._grants.get(reservation_id)
        if grant is None or grant.request.terms is None:
            return None
        # The prompt itself is among what is pending.
        pending = 0.0 if grant.prefilled else self._capacity.pending_tokens(grant.rank)
        wait_s = pending / self._capacity.tokens_per_s + self._capacity.first_event_s
        return self._build_quote(wait_s, grant.prefill_tokens)

    @property
    def _is_competing(self) -> bool:
        """Whether a request with terms waits or is granted."""
        return any(item.request.terms is not None for item in self._waiting.values()) or any(
            grant.request.terms is not None for grant in self._grants.values()
        )

    def _build_quote(self, first_event_s: float, uncached_tokens: int) -> Quote:
        report = self._report
        free_tokens = -1
        if report is not None and report.total_tokens:
            free = report.total_tokens * MAX_MEMORY_SHARE - self._expected_memory(report)
            free_tokens = max(0, int(free))
        load = EngineLoad(
            round(self._capacity.tokens_per_s),
            round(self._capacity.pending_tokens()),
            sum(item.prefill_tokens for item in self._waiting.values()),
            len(self._waiting),
            len(self._grants),
            free_tokens,
        )
        return Quote(round(first_event_s * clock.MILLISECONDS_PER_SECOND), uncached_tokens, load)

    def _grant(self, reservation: Reservation) -> None:
        request = reservation.request
        self._waiting.pop(request.reservation, None)
        unconfirmed_tokens = self._unconfirmed_tokens()
        if not unconfirmed_tokens:
            self._speed.restart_window()
        self._progress.add(reservation.prefill_tokens, unconfirmed_tokens)
        self._capacity.start(request.reservation, request.rank, reservation.prefill_tokens)
        if request.terms is not None:
            self._shares.charge(request.rank, request.terms.customer, reservation.prefill_tokens)
        self._grants[request.reservation] = Grant(request, reservation.prefill_tokens, clock.now())
        self._on_granted(reservation)

    def _keep_if_useful(self, reservation: Reservation) -> bool:
        """Refuse a new request that can't have its first event in time, or one too many.

        :returns: whether it waits.
        """
        plan = self._plan(reservation)
        key = reservation.request.reservation
        if not self._silence.is_silent and (
            not reservation.request.budget_ms
            or clock.now() + self._ready_s(reservation, plan) > reservation.expires_at
        ):
            reservation.reason = "not in time"
            del self._waiting[key]
            self._on_refused(reservation, plan.wait_s[key])
            return False
        if len(self._waiting) > MAX_WAITING:
            since = {name: item.submitted_at for name, item in self._waiting.items()}
            excess = self._waiting.pop(youngest_of_least_urgent(plan.order, since).key)
            excess.reason = "queue full"
            self._on_refused(excess, plan.wait_s[excess.request.reservation])
        return key in self._waiting

    def _process_competing(self) -> None:
        """Grant what fits in the order of ``queue_order``, and refuse what is of no more use."""
        engine = self._engine_state()
        now = clock.now()
        for reservation in tuple(self._waiting.values()):
            # Another request may have had the same parts prefilled since.
            reservation.prefill_tokens = self._cache.uncached_tokens(reservation.request.prompt)
            if reservation.request.terms is not None and (
                now + ready_s(_describe(reservation), engine) > reservation.expires_at
            ):
                wait_s = self._expected_wait_s(reservation)
                reservation.reason = "not in time"
                del self._waiting[reservation.request.reservation]
                self._on_refused(reservation, wait_s)
        while self._waiting and self._grant_next():
            pass

    def _grant_next(self) -> bool:
        """Grant the next request if it fits.

        Every fourth grant goes to the late request with the oldest need. The engine prefills the
        more urgent first, so one that is less urgent than others needn't wait until there are none
        of them, if the engine has no other work of its rank.

        :returns: whether a request was granted.
        """
        if not self._may_fit_any():
            return False
        plan = self._plan()
        late = {item.key for item in plan.late}
        candidates = [plan.order[0].key]
        if plan.late and self._grants_since_late >= LATE_GRANT_INTERVAL - 1:
            candidates.insert(0, plan.late[0].key)
        for key in candidates:
            reservation = self._waiting[key]
            is_turn_of_late = len(candidates) > 1 and key == candidates[0]
            if not self._fits_competing(reservation, is_turn_of_late, key in late):
                continue
            self._grants_since_late = 0 if key in late else self._grants_since_late + 1
            if reservation.request.terms is not None:
                self._terms_granted += 1
                self._late_granted += key in late
            self._grant(reservation)
            return True
        return False

    def _may_fit_any(self) -> bool:
        """Return ``False`` if nothing fits; much cheaper than to order the queue for that."""
        if self._grants_since_late >= LATE_GRANT_INTERVAL - 1:
            return True
        return self._prefill_excess() <= 0.0

    def _prefill_excess(self) -> float:
        """Return the pending tokens that the engine must prefill before any request may fit."""
        backlog_tokens = self._capacity.tokens_per_s * PREFILL_BACKLOG_S
        most_urgent = min(item.request.rank for item in self._waiting.values())
        pending_tokens = self._capacity.pending_tokens(most_urgent)
        least_tokens = min(item.prefill_tokens for item in self._waiting.values())
        allowed_tokens = max(backlog_tokens * ANY_SIZE_BACKLOG_SHARE, backlog_tokens - least_tokens)
        return pending_tokens - allowed_tokens

    def _fits_competing(
        self, reservation: Reservation, is_turn_of_late: bool, is_late: bool
    ) -> bool:
        """Return whether the engine has room for a request beside those as urgent as it."""
        if not self._has_slot(reservation):
            return False
        rank = reservation.request.rank
        tokens_per_s = self._capacity.tokens_per_s
        backlog_s = LATE_BACKLOG_S if is_late else PREFILL_BACKLOG_S
        backlog_tokens = tokens_per_s * backlog_s
        pending_tokens = self._capacity.pending_tokens(rank)
        if is_turn_of_late:
            pending_tokens = min(pending_tokens, self._capacity.pending_tokens_from(rank))
        if (
            pending_tokens > backlog_tokens * ANY_SIZE_BACKLOG_SHARE
            and pending_tokens + reservation.prefill_tokens > backlog_tokens
        ):
            return False
        unconfirmed_tokens = sum(
            grant.prefill_tokens
            for grant in self._grants.values()
            if not grant.prefilled and grant.rank <= rank
        )
        confirmation_s = self._capacity.first_event_s + MAX_CONFIRMATION_DELAY_S
        if unconfirmed_tokens > tokens_per_s * confirmation_s and not is_turn_of_late:
            return False
        return self._allows_gaps(reservation, tokens_per_s, rank) and self._has_memory(reservation)

    def _engine_state(self) -> EngineState:
        capacity = self._capacity
        # Many requests are compared at one time, for which the pending tokens don't change.
        pending_tokens = functools.cache(capacity.pending_tokens)
        return EngineState(capacity.tokens_per_s, capacity.first_event_s, pending_tokens)

    def _plan(self, other: Reservation | None = None) -> QueuePlan:
        """Order the queue.

        :param other: also ordered if it doesn't wait.
        """
        waiting = {**self._waiting}
        if other is not None:
            waiting[other.request.reservation] = other
        requests = [_describe(reservation) for reservation in waiting.values()]
        self._latest_plan = plan_queue(requests, self._engine_state(), self._shares)
        self._planned_at = clock.now()
        return self._latest_plan

    def _ready_s(self, reservation: Reservation, plan: QueuePlan) -> float:
        prefill_s = reservation.prefill_tokens / self._capacity.tokens_per_s
        wait_s = plan.wait_s[reservation.request.reservation]
        return wait_s + prefill_s + self._capacity.first_event_s

    def _fits(self, reservation: Reservation) -> bool:
        if not self._has_slot(reservation):
            return False
        pending_tokens = self.pending_prefill_tokens
        tokens_per_s = self._speed.tokens_per_s
        backlog_tokens = tokens_per_s * PREFILL_BACKLOG_S
        if (
            pending_tokens > backlog_tokens * ANY_SIZE_BACKLOG_SHARE
            and pending_tokens + reservation.prefill_tokens > backlog_tokens
        ):
            return False
        if self._unconfirmed_tokens() > tokens_per_s * MAX_CONFIRMATION_DELAY_S:
            return False
        return self._allows_gaps(reservation, tokens_per_s) and self._has_memory(reservation)

    def _has_slot(self, reservation: Reservation) -> bool:
        slots = reservation.request.slots
        return not slots or len(self._grants) < slots

    def _expected_memory(self, report: EngineReport) -> int:
        """Return the engine memory in use once it has begun all that was granted, tokens."""
        return report.used_tokens + sum(
            grant.memory_tokens for grant in self._grants.values() if not grant.reported
        )

    def _has_memory(self, reservation: Reservation) -> bool:
        report = self._report
        if report is None or not report.total_tokens:
            return True
        if not report.running and not self._grants:
            return True
        request_tokens = sum(part.tokens for part in reservation.request.prompt)
        limit = report.total_tokens * MAX_MEMORY_SHARE
        return self._expected_memory(report) + request_tokens <= limit

    def _allows_gaps(
        self, reservation: Reservation, tokens_per_s: float, least_urgent: int | None = None
    ) -> bool:
        """Return whether streams that need short gaps keep them during the prompt's prefill.

        :param least_urgent: rank of the prompts that count; those of all ranks if ``None``.

        Applies only while most granted requests are such streams: a few of them among long prompts
        can't be protected, and delaying the long prompts would cost more.
        """
        if not self._throttle.is_active:
            return True
        tight_gaps = [gap for gap in self._allowed_gaps_s(reservation) if gap <= MAX_TIGHT_GAP_S]
        if len(tight_gaps) * 2 <= len(self._grants):
            return True
        gap_s = min(tight_gaps)
        window_start = clock.now() - gap_s
        recent_tokens = sum(
            grant.prefill_tokens
            for grant in self._grants.values()
            if grant.granted_at > window_start
            and (least_urgent is None or grant.rank <= least_urgent)
        )
        return (
            not recent_tokens
            or recent_tokens + reservation.prefill_tokens
            <= tokens_per_s * gap_s * self._throttle.share
        )

    def _allowed_gaps_s(self, reservation: Reservation) -> list[float]:
        """List the longest allowed gaps of the request and of those granted."""
        requests = [reservation.request, *(grant.request for grant in self._grants.values())]
        return [
            request.gap_ms / clock.MILLISECONDS_PER_SECOND for request in requests if request.gap_ms
        ]

    def _unconfirmed_tokens(self) -> int:
        """Count the tokens sent to the engine whose prefill is not confirmed."""
        return sum(grant.prefill_tokens for grant in self._grants.values() if not grant.prefilled)

    def _expected_wait_s(self, reservation: Reservation) -> float:
        """Estimate the time until the prefill of a reservation starts."""
        if reservation.request.terms is not None:
            return self._plan(reservation).wait_s[reservation.request.reservation]
        own_key = _sort_key(reservation)
        tokens_before = sum(
            other.prefill_tokens
            for other in self._waiting.values()
            if other is not reservation and _sort_key(other) < own_key
        )
        return (self.pending_prefill_tokens + tokens_before) / self._speed.tokens_per_s


def _sort_key(reservation: Reservation) -> tuple[int, float]:
    return (reservation.request.rank, reservation.sort_time)


def _describe(reservation: Reservation) -> WaitingRequest:
    request = reservation.request
    terms = request.terms
    return WaitingRequest(
        request.reservation,
        request.rank,
        reservation.prefill_tokens,
        reservation.target_at,
        reservation.expires_at,
        terms.customer if terms is not None else "",
        terms is not None and terms.returned,
    )
