"""What callers and endpoints saw, and which promise that breaks."""

from collections import Counter
from dataclasses import dataclass, field

#: Statuses that promise: not run, and never will be.
NOT_RUN = frozenset((408, 421, 429, 503))
#: Time after which a leaving endpoint gets no request, seconds (the platform's bound).
DRAIN_S = 2.0
#: Time after which a revoked key is not accepted, seconds (the platform's bound).
REVOKE_S = 5.0
#: After faults of the store the bound of draining holds again after this, seconds.
SETTLE_S = 5.0


@dataclass(frozen=True)
class Run:
    """A request that an endpoint began to work on."""

    request_id: str
    endpoint: str
    at: float
    repeatable: bool
    customer: str


@dataclass(frozen=True)
class Ending:
    """How a caller's request ended.

    :ivar status: 0 when the connection ended without an answer.
    :ivar complete: the answer's framing says that it is whole.
    :ivar expected: the whole body that the endpoint made for this request.
    :ivar cut_by_stop: the gateway was asked to stop and nothing else was wrong.
    """

    request_id: str
    sent: float
    ended: float
    status: int
    complete: bool
    body: bytes
    expected: bytes
    key: str = ""
    cut_by_stop: bool = False


@dataclass
class Record:
    """Everything seen in one run of the soak."""

    runs: list[Run] = field(default_factory=list)
    endings: list[Ending] = field(default_factory=list)
    #: Endpoints that leave, with the moment at which the store accepted that.
    leaving: dict[str, float] = field(default_factory=dict)
    #: Keys that were taken away, with the moment at which the store accepted that.
    revoked: dict[str, float] = field(default_factory=dict)
    #: Spans in which the store, or the way to it, was harmed.
    store_faults: list[tuple[float, float]] = field(default_factory=list)
    #: Versions that each incarnation of a gateway reported, in order.
    versions: dict[str, list[int]] = field(default_factory=dict)
    #: Requests sent after the recovery from the loss of all processes, and those served.
    recovery: tuple[int, int] = (0, 0)

    def store_calm(self, start: float, end: float) -> bool:
        """Tell whether the store was unharmed in a span and some time before it."""
        return all(until + SETTLE_S < start or since > end for since, until in self.store_faults)


def broken(record: Record) -> list[str]:
    """List the promises that are broken, with what was seen."""
    return [
        *_run_twice(record),
        *_refused_and_run(record),
        *_wrong_answers(record),
        *_late_work(record),
        *_revoked_keys(record),
        *_versions(record),
        *_stops(record),
        *_recovery(record),
    ]


def _run_twice(record: Record) -> list[str]:
    counts = Counter(run.request_id for run in record.runs if not run.repeatable)
    return [f"run {count} times: request {name}" for name, count in counts.items() if count > 1]


def _refused_and_run(record: Record) -> list[str]:
    ran = {run.request_id for run in record.runs if not run.repeatable}
    return [
        f"answered {ending.status} and has run: request {ending.request_id}"
        for ending in record.endings
        if ending.status in NOT_RUN and ending.request_id in ran
    ]


def _wrong_answers(record: Record) -> list[str]:
    return [
        f"a success that is not the endpoint's whole answer: request {ending.request_id}: "
        f"{ending.body[:60]!r}"
        for ending in record.endings
        if ending.status == 200 and ending.complete and ending.body != ending.expected
    ]


def _late_work(record: Record) -> list[str]:
    return [
        f"endpoint {run.endpoint} got request {run.request_id} "
        f"{run.at - record.leaving[run.endpoint]:.1f} s after it began to leave"
        for run in record.runs
        if run.endpoint in record.leaving
        and run.at > record.leaving[run.endpoint] + DRAIN_S
        and record.store_calm(record.leaving[run.endpoint], run.at)
    ]


def _revoked_keys(record: Record) -> list[str]:
    ran = {run.request_id for run in record.runs}
    return [
        f"request {ending.request_id} ran with key {ending.key}, "
        f"{ending.sent - record.revoked[ending.key]:.1f} s after that was revoked"
        for ending in record.endings
        if ending.key in record.revoked
        and ending.sent > record.revoked[ending.key] + REVOKE_S
        and ending.request_id in ran
    ]


def _versions(record: Record) -> list[str]:
    return [
        f"versions went back at {name}: {versions}"
        for name, versions in record.versions.items()
        if versions != sorted(versions)
    ]


def _stops(record: Record) -> list[str]:
    return [
        f"a planned stop cut request {ending.request_id}"
        for ending in record.endings
        if ending.cut_by_stop and not ending.complete
    ]


def _recovery(record: Record) -> list[str]:
    asked, served = record.recovery
    if asked and served * 4 < asked:
        return [f"after the loss of all processes {served} of {asked} requests were served"]
    return []
