"""The history of a run, as callers and endpoints observed it, and checks of its invariants."""

from collections import Counter
from dataclasses import dataclass, field

#: Response statuses that guarantee that the request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
#: Time after which a withdrawn endpoint gets no request (the platform's bound).
DRAIN_TIMEOUT_S = 2.0
#: Time after which a revoked key is not accepted (the platform's bound).
REVOCATION_TIMEOUT_S = 5.0
#: The drain bound holds again this long after a fault of the store.
STORE_SETTLE_S = 5.0


@dataclass(frozen=True)
class Run:
    """A request that an endpoint started to process.

    :ivar retryable: the request may run more than once.
    """

    request_id: str
    endpoint: str
    started_at: float
    retryable: bool
    customer: str


@dataclass(frozen=True)
class RequestOutcome:
    """How a request ended for its caller.

    :ivar status: 0 when the connection ended without a response.
    :ivar complete: the response is complete by its framing.
    :ivar expected_body: the complete body that the endpoint produced for this request.
    :ivar during_planned_stop: the gateway was stopping and no other fault affected it.
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


@dataclass
class History:
    """Everything observed in one run of the soak."""

    runs: list[Run] = field(default_factory=list)
    outcomes: list[RequestOutcome] = field(default_factory=list)
    #: Withdrawn endpoints, with the time at which the store accepted the change.
    withdrawn_at: dict[str, float] = field(default_factory=dict)
    #: Revoked keys, with the time at which the store accepted the change.
    revoked_at: dict[str, float] = field(default_factory=dict)
    #: Start and end of each fault of the store or of the connections to it.
    store_faults: list[tuple[float, float]] = field(default_factory=list)
    #: Configuration versions that each incarnation of a gateway reported, in order.
    versions: dict[str, list[int]] = field(default_factory=dict)
    #: Requests sent after the recovery from the loss of all processes, and those served.
    recovery: tuple[int, int] = (0, 0)

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
