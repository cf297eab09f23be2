"""The history of a run, as callers and endpoints observed it, and checks of its invariants."""

import bisect
import math
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

#: Response statuses that guarantee that the request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
#: Time after which a withdrawn endpoint gets no request (the platform's bound).
DRAIN_TIMEOUT_S = 2.0
#: Time after which a revoked key is not accepted (the platform's bound).
REVOCATION_TIMEOUT_S = 5.0
#: Time after which an endpoint in an evacuated data centre gets no request (the platform's bound).
EVACUATION_TIMEOUT_S = 5.0
#: The drain bound holds again this long after a fault of the store.
STORE_SETTLE_S = 5.0
#: Bounds hold at processes without a fault for this long (the platform's bound).
STABLE_WINDOW_S = 3.0
#: An endpoint that has named a limit gets at most this many times what the limit allows in a
#: window, and so many more requests (the platform's bound).
LIMIT_WINDOW_S = 4.0
LIMIT_RATIO = 1.5
LIMIT_EXCESS = 5
#: A gateway counts once it has passed on a response with the limit for this long.
LIMIT_TOLD_S = 0.5
#: Requests that reach an endpoint later than this in a pause that it has asked for count, and so
#: many of them are allowed (the platform's bound).
PAUSE_GRACE_S = 0.5
MAX_ARRIVALS_IN_PAUSE = 2
#: Limit of the arrivals beyond the first of each request (the platform's settings).
RETRY_RATIO = 0.2
RETRY_SLACK = 12
RETRY_WINDOW_S = 10.0
#: Memory of a process, MB, and descriptors, of which some are for files (the platform's settings).
MEMORY_MB = 88
MAX_DESCRIPTORS = 700
FILE_DESCRIPTORS = 200
#: A request that has ended as many endpoints is sent to as many more at most.
MAX_CRASHES = 3


@dataclass(frozen=True)
class Run:
    """A request that an endpoint started to process.

    :ivar retryable: the request may run more than once.
    :ivar rate_limit: requests per second that the endpoint named in its response, if any.
    :ivar crashed_by: the path of the request, if the endpoint ends under it.
    :ivar data_centre: of the endpoint.
    :ivar received_at: when the request arrived; 0 if it began at once.
    """

    request_id: str
    endpoint: str
    started_at: float
    retryable: bool
    customer: str
    rate_limit: float | None = None
    crashed_by: str = ""
    data_centre: str = ""
    received_at: float = 0.0


@dataclass(frozen=True)
class RequestOutcome:
    """How a request ended for its caller.

    :ivar status: 0 when the connection ended without a response.
    :ivar complete: the response is complete by its framing.
    :ivar expected_body: the complete body that the endpoint produced for this request.
    :ivar during_planned_stop: the gateway was stopping and no other fault affected it.
    :ivar gateway: name and start of the gateway that got it.
    :ivar gateway_was_disturbed: it was stopped, killed or paused, or had been shortly before.
    :ivar stream: request that began the stream of which this one has events.
    :ivar versions: software versions that wrote these events.
    :ivar service: that its route leads to.
    """

    request_id: str
    sent_at: float
    ended_at: float
    status: int
    complete: bool
    body: bytes
    expected_body: bytes
    api_key: str = ""
    during_planned_stop: bool = False
    gateway: str = ""
    gateway_was_disturbed: bool = False
    stream: str = ""
    versions: frozenset[str] = frozenset()
    service: str = ""


@dataclass
class Evacuation:
    """An evacuation of a data centre.

    :ivar set_at: when the store accepted it.
    :ivar withdrawn_at: when it was withdrawn; infinite if it was not.
    """

    data_centre: str
    set_at: float
    withdrawn_at: float = math.inf


@dataclass(frozen=True)
class Arrival:
    """A request that reached an endpoint.

    :ivar pause_s: pause that the endpoint asked for as it turned the request away; 0 for none.
    """

    request_id: str
    endpoint: str
    at: float
    pause_s: float = 0.0
    service: str = ""


@dataclass
class History:
    """Everything observed in one run of the soak."""

    runs: list[Run] = field(default_factory=list)
    outcomes: list[RequestOutcome] = field(default_factory=list)
    #: Withdrawn endpoints, with the time at which the store accepted the change.
    withdrawn_at: dict[str, float] = field(default_factory=dict)
    #: Revoked keys, with the time at which the store accepted the change.
    revoked_at: dict[str, float] = field(default_factory=dict)
    evacuations: list[Evacuation] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    #: Start and end of each fault of the connections to endpoints.
    link_faults: list[tuple[float, float]] = field(default_factory=list)
    #: Start and end of each fault of the store or of the connections to it.
    store_faults: list[tuple[float, float]] = field(default_factory=list)
    #: Configuration versions that each incarnation of a gateway reported, in order.
    versions: dict[str, list[int]] = field(default_factory=dict)
    #: Requests sent after the recovery from the loss of all processes, and those served.
    recovery: tuple[int, int] = (0, 0)
    #: Most memory, MB, and most open descriptors of each process, while crowds of clients came.
    resources: dict[str, tuple[float, int]] = field(default_factory=dict)
    #: Processes that ended by themselves meanwhile.
    own_ends: set[str] = field(default_factory=set)

    def store_was_healthy(self, start: float, end: float) -> bool:
        """Return whether no store fault overlaps a period or the settling time before it."""
        return all(
            until + STORE_SETTLE_S < start or since > end for since, until in self.store_faults
        )


def find_violations(history: History) -> list[str]:
    """Describe each violated invariant with the observed values."""
    return [
        *_duplicate_runs(history),
        *_rejected_but_run(history),
        *_wrong_bodies(history),
        *_runs_after_drain(history),
        *_runs_with_revoked_keys(history),
        *_version_regressions(history),
        *_interrupted_by_stop(history),
        *_failed_recovery(history),
        *_exceeded_limits(history),
        *_repeated_crashes(history),
        *_mixed_versions(history),
        *_runs_after_evacuation(history),
        *_arrivals_in_pauses(history),
        *_excess_retries(history),
        *_exceeded_resources(history),
        *(f"a process ended by itself: {end}" for end in sorted(history.own_ends)),
    ]


def _duplicate_runs(history: History) -> list[str]:
    counts = Counter(run.request_id for run in history.runs if not run.retryable)
    return [
        f"run {count} times: request {request_id}"
        for request_id, count in counts.items()
        if count > 1
    ]


def _rejected_but_run(history: History) -> list[str]:
    run_ids = {run.request_id for run in history.runs if not run.retryable}
    return [
        f"rejected with status {outcome.status} but run: request {outcome.request_id}"
        for outcome in history.outcomes
        if outcome.status in NOT_RUN_STATUSES and outcome.request_id in run_ids
    ]


def _wrong_bodies(history: History) -> list[str]:
    return [
        f"successful response differs from the endpoint's body: request {outcome.request_id}: "
        f"{outcome.body[:60]!r}"
        for outcome in history.outcomes
        if outcome.status == 200 and outcome.complete and outcome.body != outcome.expected_body
    ]


def _runs_after_drain(history: History) -> list[str]:
    return [
        f"endpoint {run.endpoint} received request {run.request_id} "
        f"{run.started_at - history.withdrawn_at[run.endpoint]:.1f} s after it was withdrawn"
        for run in history.runs
        if run.endpoint in history.withdrawn_at
        and run.started_at > history.withdrawn_at[run.endpoint] + DRAIN_TIMEOUT_S
        and history.store_was_healthy(history.withdrawn_at[run.endpoint], run.started_at)
    ]


def _runs_with_revoked_keys(history: History) -> list[str]:
    run_ids = {run.request_id for run in history.runs}
    return [
        f"request {outcome.request_id} ran with key {outcome.api_key}, "
        f"{outcome.sent_at - history.revoked_at[outcome.api_key]:.1f} s after its revocation"
        for outcome in history.outcomes
        if outcome.api_key in history.revoked_at
        and outcome.sent_at > history.revoked_at[outcome.api_key] + REVOCATION_TIMEOUT_S
        and outcome.request_id in run_ids
    ]


def _version_regressions(history: History) -> list[str]:
    return [
        f"configuration version decreased at {incarnation}: {versions}"
        for incarnation, versions in history.versions.items()
        if versions != sorted(versions)
    ]


def _interrupted_by_stop(history: History) -> list[str]:
    return [
        f"planned stop interrupted request {outcome.request_id}"
        for outcome in history.outcomes
        if outcome.during_planned_stop and not outcome.complete
    ]


def _failed_recovery(history: History) -> list[str]:
    sent, served = history.recovery
    if sent and served * 4 < sent:
        return [f"after the loss of all processes {served} of {sent} requests were served"]
    return []


def _exceeded_limits(history: History) -> list[str]:
    """Check the requests of gateways that had passed on the endpoint's limit."""
    outcomes = {outcome.request_id: outcome for outcome in history.outcomes}
    violations = []
    for endpoint in {run.endpoint for run in history.runs if run.rate_limit is not None}:
        named_at: float | None = None
        per_s: float | None = None
        told_at: dict[str, float] = {}
        window: list[float] = []
        for run in (run for run in history.runs if run.endpoint == endpoint):
            if run.rate_limit != per_s:
                per_s, named_at, told_at, window = run.rate_limit, run.started_at, {}, []
            outcome = outcomes.get(run.request_id)
            if per_s is None or named_at is None or outcome is None:
                continue
            told_since = told_at.setdefault(outcome.gateway, run.started_at)
            if (
                run.started_at < named_at + STABLE_WINDOW_S
                or run.started_at < told_since + LIMIT_TOLD_S
                or outcome.gateway_was_disturbed
            ):
                continue
            window = [time for time in window if time > run.started_at - LIMIT_WINDOW_S]
            window.append(run.started_at)
            allowed = LIMIT_WINDOW_S * per_s * LIMIT_RATIO + LIMIT_EXCESS
            if len(window) > allowed:
                violations.append(
                    f"endpoint {endpoint} takes {per_s} a second and received {len(window)} "
                    f"requests in {LIMIT_WINDOW_S} s: request {run.request_id}"
                )
                break
    return violations


def _repeated_crashes(history: History) -> list[str]:
    """Check the requests that end each endpoint and come again, by their paths."""
    outcomes = {outcome.request_id: outcome for outcome in history.outcomes}
    violations = []
    for path in sorted({run.crashed_by for run in history.runs} - {""}):
        crashes = [run for run in history.runs if run.crashed_by == path]
        if len(crashes) <= MAX_CRASHES:
            continue
        settled_at = crashes[MAX_CRASHES - 1].started_at + STABLE_WINDOW_S
        later = [
            run
            for run in crashes
            if run.started_at > settled_at
            and run.request_id in outcomes
            and not outcomes[run.request_id].gateway_was_disturbed
        ]
        if len(later) > MAX_CRASHES:
            violations.append(
                f"a request to {path} that had ended {MAX_CRASHES} endpoints was sent to "
                f"{len(later)} more: request {later[-1].request_id}"
            )
    return violations


def _mixed_versions(history: History) -> list[str]:
    """Check that one software version wrote all events of a stream, over all tries at it."""
    writers: dict[str, set[str]] = {}
    for outcome in history.outcomes:
        if outcome.stream:
            writers.setdefault(outcome.stream, set()).update(outcome.versions)
    return [
        f"stream holds events of versions {', '.join(sorted(versions))}: request {stream}"
        for stream, versions in writers.items()
        if len(versions) > 1
    ]


def _runs_after_evacuation(history: History) -> list[str]:
    """Check that nothing arrives in an evacuated data centre, whatever the faults."""
    return [
        f"endpoint {run.endpoint} received request {run.request_id} "
        f"{received_at - one.set_at:.1f} s after its data centre {one.data_centre} was evacuated"
        for run in history.runs
        for received_at in (run.received_at or run.started_at,)
        for one in history.evacuations
        if run.data_centre == one.data_centre
        and one.set_at + EVACUATION_TIMEOUT_S < received_at < one.withdrawn_at
    ]


def _arrivals_in_pauses(history: History) -> list[str]:
    """Check the requests of each gateway that an endpoint has asked for a pause."""
    gateways = {
        outcome.request_id: outcome.gateway
        for outcome in history.outcomes
        if not outcome.gateway_was_disturbed
    }
    arrivals: dict[tuple[str, str], list[Arrival]] = {}
    for arrival in history.arrivals:
        if arrival.request_id in gateways:
            key = arrival.endpoint, gateways[arrival.request_id]
            arrivals.setdefault(key, []).append(arrival)
    violations = []
    for (endpoint, gateway), received in arrivals.items():
        for asked in received:
            end = asked.at + asked.pause_s
            late = [one for one in received if asked.at + PAUSE_GRACE_S < one.at < end]
            # What is held up on a link arrives late.
            held_up = any(since < end and until > asked.at for since, until in history.link_faults)
            if len(late) > MAX_ARRIVALS_IN_PAUSE and not held_up:
                violations.append(
                    f"endpoint {endpoint} asked {gateway} for {asked.pause_s} s and received "
                    f"{len(late)} requests in it: request {late[-1].request_id}"
                )
                break
    return violations


def _excess_retries(history: History) -> list[str]:
    """Check the arrivals beyond the first of each request, of all gateways together."""
    violations = []
    for service in sorted({arrival.service for arrival in history.arrivals}):
        sent = sorted(one.sent_at for one in history.outcomes if one.service == service)
        arrived: set[str] = set()
        retries: list[float] = []
        for arrival in sorted(history.arrivals, key=lambda one: one.at):
            if arrival.service == service and arrival.request_id in arrived:
                retries.append(arrival.at)
            elif arrival.service == service:
                arrived.add(arrival.request_id)
        for end in retries:
            requests = max(_count(sent, end - shift * RETRY_WINDOW_S) for shift in (0.0, 0.5, 1.0))
            allowed = RETRY_RATIO * requests + RETRY_SLACK
            if _count(retries, end) > allowed:
                violations.append(
                    f"service {service} received {_count(retries, end)} retries in "
                    f"{RETRY_WINDOW_S} s where {allowed:.1f} are allowed"
                )
                break
    return violations


def _exceeded_resources(history: History) -> list[str]:
    """Describe processes that used more than the machine of their settings has."""
    return [
        f"{name} used {memory_mb:.0f} MB and {descriptors} descriptors where {MEMORY_MB} MB and "
        f"{MAX_DESCRIPTORS - FILE_DESCRIPTORS} are allowed"
        for name, (memory_mb, descriptors) in history.resources.items()
        if memory_mb >= MEMORY_MB or descriptors >= MAX_DESCRIPTORS - FILE_DESCRIPTORS
    ]


def _count(times: Sequence[float], end: float) -> int:
    """Count the ascending times in the window until ``end``."""
    return bisect.bisect_right(times, end) - bisect.bisect_right(times, end - RETRY_WINDOW_S)
