"""The soak's checker finds each kind of broken promise, and nothing in a sound record."""

import unittest
from collections.abc import Callable

from parameterized import parameterized

from soak.promises import DRAIN_S, REVOKE_S, SETTLE_S, Ending, Record, Run, broken

BODY = b"answer to r1"


def run(at: float = 10.0, *, repeatable: bool = False, endpoint: str = "i-1") -> Run:
    """Make a run of request r1."""
    return Run("r1", endpoint, at, repeatable, "guild")


def ending(
    status: int = 200,
    *,
    body: bytes = BODY,
    complete: bool = True,
    cut_by_stop: bool = False,
    sent: float = 10.0,
) -> Ending:
    """Make the end of request r1."""
    return Ending("r1", sent, 10.2, status, complete, body, BODY, "key-a", cut_by_stop)


def served() -> Record:
    """Make a record of one request that went well."""
    return Record(runs=[run()], endings=[ending()])


def _twice(record: Record) -> None:
    record.runs.append(run(11.0, endpoint="i-2"))


def _refused(record: Record) -> None:
    record.endings[:] = [ending(503)]


def _foreign(record: Record) -> None:
    record.endings[:] = [ending(body=b"answer to r2")]


def _short(record: Record) -> None:
    record.endings[:] = [ending(body=BODY[:5])]


def _left(record: Record) -> None:
    record.leaving["i-1"] = 10.0 - DRAIN_S - 0.1


def _revoked(record: Record) -> None:
    record.revoked["key-a"] = 10.0 - REVOKE_S - 0.1


def _went_back(record: Record) -> None:
    record.versions["gateway-0#1"] = [4, 9, 8]


def _cut(record: Record) -> None:
    record.endings[:] = [ending(0, complete=False, cut_by_stop=True)]


def _not_recovered(record: Record) -> None:
    record.recovery = (12, 2)


def _repeated_lookup(record: Record) -> None:
    record.runs[:] = [run(repeatable=True), run(11.0, repeatable=True, endpoint="i-2")]


def _refused_lookup(record: Record) -> None:
    record.runs[:] = [run(repeatable=True)]
    record.endings[:] = [ending(503)]


def _broken_off(record: Record) -> None:
    record.endings[:] = [ending(body=BODY[:5], complete=False)]


def _left_lately(record: Record) -> None:
    record.leaving["i-1"] = 10.0 - DRAIN_S + 0.1


def _left_unheard(record: Record) -> None:
    record.leaving["i-1"] = 5.0
    record.store_faults.append((4.0, 6.0 - SETTLE_S + 4.0))


def _crashed(record: Record) -> None:
    record.endings[:] = [ending(0, complete=False)]


class PromisesTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("run_twice", _twice, "run 2 times"),
            ("false_refusal", _refused, "answered 503 and has run"),
            ("foreign_answer", _foreign, "not the endpoint's whole answer"),
            ("short_answer", _short, "not the endpoint's whole answer"),
            ("late_work", _left, "after it began to leave"),
            ("revoked_key", _revoked, "after that was revoked"),
            ("version", _went_back, "versions went back"),
            ("stop", _cut, "a planned stop cut"),
            ("recovery", _not_recovered, "2 of 12 requests"),
        ]
    )
    def test_a_broken_promise_is_found(
        self, _: str, spoil: Callable[[Record], None], told: str
    ) -> None:
        record = served()
        spoil(record)
        problems = broken(record)
        self.assertEqual(1, len(problems))
        self.assertIn(told, problems[0])

    @parameterized.expand(
        [
            ("served", lambda record: None),
            ("idempotent_twice", _repeated_lookup),
            ("idempotent_refused", _refused_lookup),
            ("broken_off", _broken_off),
            ("drain_in_time", _left_lately),
            ("store_harmed", _left_unheard),
            ("crash", _crashed),
        ]
    )
    def test_what_is_allowed_is_not_reported(
        self, _: str, change: Callable[[Record], None]
    ) -> None:
        record = served()
        change(record)
        self.assertEqual([], broken(record))
