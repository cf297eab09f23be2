"""The soak's checks detect each kind of violation and accept every valid history."""

import dataclasses
import math
import unittest
from collections.abc import Callable, Sequence
from typing import Any

from parameterized import parameterized

from soak.invariants import (
    DRAIN_TIMEOUT_S,
    EVACUATION_TIMEOUT_S,
    REVOCATION_TIMEOUT_S,
    STORE_SETTLE_S,
    Arrival,
    Evacuation,
    History,
    RequestOutcome,
    Run,
    find_violations,
)

BODY = b"answer to r1"
_Change = Callable[[History], None]


def make_run(started_at: float = 10.0, *, retryable: bool = False, endpoint: str = "i-1") -> Run:
    """Create a run of request r1."""
    return Run("r1", endpoint, started_at, retryable, "guild")


def make_outcome(
    status: int = 200,
    *,
    body: bytes = BODY,
    complete: bool = True,
    during_planned_stop: bool = False,
    sent_at: float = 10.0,
) -> RequestOutcome:
    """Create an outcome of request r1."""
    return RequestOutcome(
        "r1", sent_at, 10.2, status, complete, body, BODY, "key-a", during_planned_stop
    )


def make_valid_history() -> History:
    """Create a history of one served request."""
    return History(runs=[make_run()], outcomes=[make_outcome()])


def _add_second_run(history: History) -> None:
    history.runs.append(make_run(11.0, endpoint="i-2"))


def _reject(history: History) -> None:
    history.outcomes[:] = [make_outcome(503)]


def _set_other_body(history: History) -> None:
    history.outcomes[:] = [make_outcome(body=b"answer to r2")]


def _mix_versions(history: History) -> None:
    first = dataclasses.replace(make_outcome(), stream="r1", versions=frozenset(("v1",)))
    second = dataclasses.replace(first, request_id="r2", versions=frozenset(("v2",)))
    history.outcomes[:] = [first, second]


def _take_up_at_one_version(history: History) -> None:
    first = dataclasses.replace(make_outcome(), stream="r1", versions=frozenset(("v1",)))
    refused = dataclasses.replace(make_outcome(503), request_id="r2", stream="r1")
    again = dataclasses.replace(first, request_id="r3")
    other = dataclasses.replace(first, request_id="r4", stream="r4", versions=frozenset(("v2",)))
    history.outcomes[:] = [first, refused, again, other]


def _truncate_body(history: History) -> None:
    history.outcomes[:] = [make_outcome(body=BODY[:5])]


def _withdraw_past_bound(history: History) -> None:
    history.withdrawn_at["i-1"] = 10.0 - DRAIN_TIMEOUT_S - 0.1


def _revoke_past_bound(history: History) -> None:
    history.revoked_at["key-a"] = 10.0 - REVOCATION_TIMEOUT_S - 0.1


def _evacuated(
    ago_s: float, *, withdrawn_ago_s: float = 0.0, data_centre: str = "tacoma"
) -> "_Change":
    """Evacuate a data centre some time before the run in tacoma, in the midst of a store fault."""

    def change(history: History) -> None:
        run = dataclasses.replace(make_run(), data_centre="tacoma", received_at=9.5)
        history.runs[:] = [run]
        history.store_faults.append((0.0, 20.0))
        withdrawn_at = 9.5 - withdrawn_ago_s if withdrawn_ago_s else math.inf
        history.evacuations.append(Evacuation(data_centre, 9.5 - ago_s, withdrawn_at))

    return change


def _decrease_version(history: History) -> None:
    history.versions["gateway-0#1"] = [4, 9, 8]


def _interrupt_by_stop(history: History) -> None:
    history.outcomes[:] = [make_outcome(0, complete=False, during_planned_stop=True)]


def _add_runs(history: History, times: Sequence[float], disturbed: bool, **fields: Any) -> None:
    """Add runs of requests through one gateway; they may be repeated."""
    for number, started_at in enumerate(times):
        request_id = f"r{number + 2}"
        run = Run(request_id, "i-2", started_at, True, "guild", **fields)
        history.runs.append(run)
        outcome = dataclasses.replace(make_outcome(502), request_id=request_id, gateway="g#1")
        history.outcomes.append(dataclasses.replace(outcome, gateway_was_disturbed=disturbed))


def _limited(per_s: float, times: Sequence[float], disturbed: bool = False) -> "_Change":
    return lambda history: _add_runs(history, times, disturbed, rate_limit=per_s)


def _crashed(times: Sequence[float], disturbed: bool = False) -> "_Change":
    return lambda history: _add_runs(history, times, disturbed, crashed_by="/a")


def _paused(
    times: Sequence[float], *, gateway: str = "g#1", disturbed: bool = False, fault_at: float = 0.0
) -> "_Change":
    """Ask gateway g#1 for 3 s at 100 s; requests of a gateway arrive after that, seconds."""

    def change(history: History) -> None:
        for number, after_s in enumerate((0.0, *times)):
            request_id = f"r{number + 2}"
            pause_s = 0.0 if number else 3.0
            history.arrivals.append(Arrival(request_id, "i-2", 100.0 + after_s, pause_s))
            outcome = dataclasses.replace(make_outcome(502), request_id=request_id)
            sender = gateway if number else "g#1"
            history.outcomes.append(
                dataclasses.replace(outcome, gateway=sender, gateway_was_disturbed=disturbed)
            )
        if fault_at:
            history.link_faults.append((fault_at, fault_at + 1.0))

    return change


def _retried(retried: range, requests: int, spread_s: float = 5.0) -> "_Change":
    """Send requests to a service, of which some arrive twice, within a time from 100 s on."""

    def change(history: History) -> None:
        for number in range(requests):
            request_id, at = f"q{number}", 100.0 + spread_s * number / requests
            outcome = dataclasses.replace(make_outcome(502, sent_at=at), service="fleet")
            history.outcomes.append(dataclasses.replace(outcome, request_id=request_id))
            for _ in range(2 if number in retried else 1):
                history.arrivals.append(Arrival(request_id, "i-2", at, service="fleet"))

    return change


def _fail_recovery(history: History) -> None:
    history.recovery = (12, 2)


def _retry_idempotent(history: History) -> None:
    history.runs[:] = [make_run(retryable=True), make_run(11.0, retryable=True, endpoint="i-2")]


def _reject_idempotent(history: History) -> None:
    history.runs[:] = [make_run(retryable=True)]
    history.outcomes[:] = [make_outcome(503)]


def _truncate_visibly(history: History) -> None:
    history.outcomes[:] = [make_outcome(body=BODY[:5], complete=False)]


def _withdraw_within_bound(history: History) -> None:
    history.withdrawn_at["i-1"] = 10.0 - DRAIN_TIMEOUT_S + 0.1


def _withdraw_during_store_fault(history: History) -> None:
    history.withdrawn_at["i-1"] = 5.0
    history.store_faults.append((4.0, 6.0 - STORE_SETTLE_S + 4.0))


def _lose_response(history: History) -> None:
    history.outcomes[:] = [make_outcome(0, complete=False)]


class InvariantsTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("run_twice", _add_second_run, "run 2 times"),
            ("rejected_but_run", _reject, "rejected with status 503 but run"),
            ("other_body", _set_other_body, "differs from the endpoint's body"),
            ("truncated_body", _truncate_body, "differs from the endpoint's body"),
            ("mixed_versions", _mix_versions, "holds events of versions v1, v2"),
            ("run_after_drain", _withdraw_past_bound, "after it was withdrawn"),
            ("revoked_key", _revoke_past_bound, "after its revocation"),
            ("version", _decrease_version, "configuration version decreased"),
            ("stop", _interrupt_by_stop, "planned stop interrupted"),
            ("recovery", _fail_recovery, "2 of 12 requests"),
            (
                "limit",
                _limited(1.0, [0.0, *(5.0 + n / 10 for n in range(12))]),
                "takes 1.0 a second",
            ),
            ("crashes", _crashed([0, 1, 2, 6, 7, 8, 9]), "sent to 4 more"),
            ("evacuated", _evacuated(EVACUATION_TIMEOUT_S + 0.1), "tacoma was evacuated"),
            (
                "retries",
                _retried(range(67, 100), 100),
                "service fleet received 32 retries in 10.0 s",
            ),
            ("pause", _paused([0.6, 1.0, 2.9]), "asked g#1 for 3.0 s and received 3 requests"),
        ]
    )
    def test_violation_is_detected(
        self, _: str, violate: Callable[[History], None], expected_text: str
    ) -> None:
        history = make_valid_history()
        violate(history)
        violations = find_violations(history)
        self.assertEqual(1, len(violations))
        self.assertIn(expected_text, violations[0])

    @parameterized.expand(
        [
            ("served", lambda history: None),
            ("idempotent_twice", _retry_idempotent),
            ("idempotent_rejected", _reject_idempotent),
            ("taken_up", _take_up_at_one_version),
            ("truncated", _truncate_visibly),
            ("drain_in_time", _withdraw_within_bound),
            ("store_fault", _withdraw_during_store_fault),
            ("crash", _lose_response),
            ("limit_kept", _limited(1.0, [0.0, *(5.0 + n / 10 for n in range(11))])),
            ("limit_just_named", _limited(1.0, [n / 10 for n in range(29)])),
            (
                "limit_of_a_disturbed_gateway",
                _limited(1.0, [5.0 + n / 10 for n in range(30)], True),
            ),
            ("limit_over_a_longer_time", _limited(1.0, [float(n) for n in range(60)])),
            ("crashes_at_once", _crashed([0, 1, 2, 3, 4, 4.5, 4.9])),
            ("crashes_later", _crashed([0, 1, 2, 6, 130, 500])),
            ("crashes_by_a_disturbed_gateway", _crashed([0, 1, 2, 6, 7, 8, 9], True)),
            ("retries_within_the_limit", _retried(range(68, 100), 100)),
            ("retries_over_a_longer_time", _retried(range(0, 1000, 4), 1000, spread_s=60.0)),
            ("pause_kept_but_for_two", _paused([0.1, 0.2, 0.3, 0.4, 0.6, 2.9, 3.1, 3.2])),
            ("pause_of_another_gateway", _paused([0.6, 1.0, 2.9], gateway="g#2")),
            ("pause_of_a_disturbed_gateway", _paused([0.6, 1.0, 2.9], disturbed=True)),
            ("pause_behind_a_link_fault", _paused([0.6, 1.0, 2.9], fault_at=101.0)),
            ("evacuated_in_time", _evacuated(EVACUATION_TIMEOUT_S - 0.1)),
            ("evacuation_withdrawn", _evacuated(EVACUATION_TIMEOUT_S + 1.0, withdrawn_ago_s=0.1)),
            ("another_evacuated", _evacuated(EVACUATION_TIMEOUT_S + 1.0, data_centre="olympia")),
        ]
    )
    def test_valid_history_passes(self, _: str, change: Callable[[History], None]) -> None:
        history = make_valid_history()
        change(history)
        self.assertEqual([], find_violations(history))


class ResourceInvariantTest(unittest.TestCase):
    """Guards against a check of crowds that finds nothing."""

    @parameterized.expand(
        [
            ("within", {"gateway-0": (87.0, 499)}, set(), 0),
            ("memory", {"gateway-0": (88.0, 10)}, set(), 1),
            ("descriptors", {"side-1": (30.0, 500)}, set(), 1),
            ("own_end", {}, {"gateway-0: exit status 1"}, 1),
        ]
    )
    def test_a_process_that_exceeds_its_machine_or_ends_is_named(
        self, _: str, resources: dict[str, tuple[float, int]], ends: set[str], found: int
    ) -> None:
        history = History(resources=resources, own_ends=ends)
        names = ("descriptors where", "ended by itself")
        violations = [one for one in find_violations(history) if any(name in one for name in names)]
        self.assertEqual(found, len(violations))
