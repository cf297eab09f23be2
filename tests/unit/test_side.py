"""The decisions of a side process: order, slots, leases, keys, runs."""

import unittest
import uuid
from collections import Counter
from typing import Any

from parameterized import parameterized

from pearshed._internal.membership.rendezvous import best
from pearshed._internal.models.outcomes import Execution
from pearshed._internal.models.records import RequestClass, Tier
from pearshed._internal.peers import peer_pb2 as pb
from pearshed._internal.side.key_ownership import OWNERSHIP_HANDOVER_S, KeyOwnership, OwnedElsewhere
from pearshed._internal.side.order import FifoOrder, OrderPolicy, Reservation, TieredOrder
from tests.lib import records
from tests.lib.fakes import START_S, AttemptManagerHarness, FakeClock, catalogue, change

_CLASS = RequestClass("c", "t", True, 300, 40, 10_000, 100, 10_000)


def reservation(rank: int, attempt: int, customer: str = "a", weight: float = 1.0) -> Reservation:
    """Make a waiting reservation."""
    tier = Tier(f"tier-{rank}", rank, rank == 0, 0.0 if rank == 0 else 0.1)
    return Reservation("e", attempt, _CLASS, tier, customer, float(attempt), 1e9, weight)


def take_all(policy: OrderPolicy, count: int) -> list[Reservation]:
    """Take a number of reservations."""
    return [taken for taken in (policy.pop() for _ in range(count)) if taken is not None]


class OrderTest(unittest.TestCase):
    @parameterized.expand([("fifo", FifoOrder), ("tiered", TieredOrder)])
    def test_every_reservation_is_taken_once(self, _: str, policy_class: Any) -> None:
        policy = policy_class()
        waiting = [reservation(number % 3, number) for number in range(30)]
        for item in waiting:
            policy.add(item)
        policy.remove(waiting[4])
        taken = take_all(policy, 40)
        self.assertEqual({*range(30)} - {4}, {item.attempt for item in taken})
        self.assertEqual((29, 0), (len(taken), len(policy)))

    def test_urgent_goes_first_and_no_tier_is_forgotten(self) -> None:
        policy = TieredOrder()
        for number in range(300):
            policy.add(reservation(number % 3, number))
        ranks = Counter(item.tier.rank for item in take_all(policy, 101))
        self.assertEqual({0: 81, 1: 10, 2: 10}, dict(ranks))

    def test_a_lone_low_request_waits_a_bounded_number_of_grants(self) -> None:
        policy = TieredOrder()
        policy.add(reservation(2, 0))
        for number in range(1, 100):
            policy.add(reservation(0, number))
        order = [item.tier.rank for item in take_all(policy, 100)]
        self.assertLessEqual(order.index(2), 10)

    def test_a_share_is_one_of_time(self) -> None:
        policy = TieredOrder()
        for _ in range(100):
            policy.record_service(0, 0.5)
            policy.record_service(2, 2.0)
        for number in range(400):
            policy.add(reservation(number % 2 * 2, number))
        ranks = Counter(item.tier.rank for item in take_all(policy, 200))
        time_part = ranks[2] * 2.0 / (ranks[2] * 2.0 + ranks[0] * 0.5)
        self.assertLess(time_part, 0.25)
        self.assertGreater(time_part, 0.05)

    def test_customers_share_by_weight(self) -> None:
        policy = TieredOrder()
        for number in range(200):
            policy.add(reservation(1, number, "flood"))
        for number in range(200, 240):
            policy.add(reservation(1, number, "heavy", 3.0))
        taken = Counter(item.customer for item in take_all(policy, 40))
        self.assertEqual({"heavy": 30, "flood": 10}, dict(taken))


class DeskTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)
        own = records.endpoint("engine-1", "writing", 1, slots=1)
        self.harness = AttemptManagerHarness([*records.base_records(), own])
        self.writer = self.harness.connect("e1")

    def run_one(self, attempt: int, **fields: Any) -> None:
        self.harness.reserve("e1", attempt, **fields)
        self.harness.body("e1", attempt)

    def test_a_granted_request_runs_and_its_answer_is_forgotten_once_acknowledged(self) -> None:
        self.run_one(1)
        self.harness.client.started[0].answer(b"whole")
        self.assertEqual(["grant", "head", "delta", "end"], self.writer.kinds(1))
        self.assertEqual(1, self.harness.manager.retained_runs)
        self.harness.send("e1", 1, acknowledge=pb.Acknowledge())
        self.assertEqual(0, self.harness.manager.retained_runs)

    @parameterized.expand(
        [
            ("in_time", 0.4, True),
            ("late", 0.6, False),
        ]
    )
    def test_leases(self, _: str, delay_s: float, runs: bool) -> None:
        self.harness.reserve("e1", 1)
        self.clock.advance(delay_s)
        self.harness.body("e1", 1)
        self.assertEqual(runs, bool(self.harness.client.started))
        if not runs:
            self.assertEqual(pb.REFUSAL_LEASE_EXPIRED, self.writer.last(1).refuse.reason)
            self.assertFalse(self.writer.last(1).refuse.may_have_run)

    def test_an_expired_lease_frees_the_slot(self) -> None:
        self.harness.reserve("e1", 1)
        self.harness.reserve("e1", 2)
        self.assertEqual([], self.writer.kinds(2))
        self.clock.advance(0.6)
        self.harness.timers.fire()
        self.assertEqual(
            (["grant", "refuse"], ["grant"]), (self.writer.kinds(1), self.writer.kinds(2))
        )

    def test_a_withdrawn_reservation_never_runs(self) -> None:
        self.harness.reserve("e1", 1)
        self.harness.send("e1", 1, withdraw=pb.Withdraw())
        self.harness.body("e1", 1)
        self.assertEqual([], self.harness.client.started)

    @parameterized.expand(["record", "vm_list", "signal"])
    def test_draining_hands_back_what_has_not_run(self, how: str) -> None:
        self.run_one(1)
        self.harness.reserve("e1", 2)
        if how == "record":
            own = records.endpoint("engine-1", "writing", 1, slots=1, draining=True)
            self.harness.manager.update(catalogue([*records.base_records(), own]))
        elif how == "vm_list":
            self.harness.manager.set_leaving(True)
        else:
            self.harness.manager.begin_shutdown()
        self.harness.reserve("e1", 3)
        for attempt in (2, 3):
            self.assertEqual(pb.REFUSAL_DRAINING, self.writer.last(attempt).refuse.reason)
        self.harness.client.started[0].answer()
        self.assertTrue(self.writer.last(1).end.complete)

    def test_a_resumed_answer_goes_on_at_the_byte(self) -> None:
        self.run_one(1)
        receiver = self.harness.client.started[0].receiver
        receiver.set_head(200, ())
        receiver.add(b"first ")
        self.harness.disconnect("e1")
        receiver.add(b"second")
        receiver.finish(Execution.RAN, True, "")
        writer = self.harness.connect("e1")
        self.harness.send("e1", 1, resume=pb.Resume(offset=3, head_received=True))
        self.assertEqual(["delta", "end"], writer.kinds(1))
        self.assertEqual(b"st second", writer.content(1))

    @parameterized.expand(
        [
            ("never_arrived", False, 0, "refuse", False),
            ("forgotten_after_run", True, 0, "end", True),
            ("older_than_the_memory", False, 700_000, "end", True),
        ]
    )
    def test_resume_of_an_unknown_attempt(
        self, _: str, ran: bool, age_ms: int, kind: str, doubt: bool
    ) -> None:
        if ran:
            self.run_one(1)
            self.harness.client.started[0].answer()
            self.clock.advance(31)
            self.harness.timers.fire()
        self.harness.send("e1", 1, resume=pb.Resume(age_ms=age_ms))
        frame = self.writer.last(1)
        self.assertEqual(kind, frame.WhichOneof("kind"))
        self.assertEqual(doubt, frame.end.execution == pb.EXECUTION_MAY_HAVE_RUN)
        started = len(self.harness.client.started)
        self.harness.reserve("e1", 1)
        self.harness.body("e1", 1)
        self.assertEqual(started, len(self.harness.client.started), "a voided attempt must not run")

    @parameterized.expand([("idempotent", True, True), ("not", False, False)])
    def test_a_lost_entry_cancels_only_what_may_be_cut(
        self, _: str, idempotent: bool, cancelled: bool
    ) -> None:
        self.run_one(1, idempotent=idempotent)
        self.harness.disconnect("e1")
        self.clock.advance(11)
        self.harness.timers.fire()
        self.assertEqual(cancelled, self.harness.client.started[0].cancelled)
        self.assertEqual(not idempotent, self.harness.client.started[0].fresh)

    def test_entries_with_the_same_numbers_do_not_mix(self) -> None:
        other = self.harness.connect("e2")
        self.run_one(1)
        self.harness.client.started[0].answer(b"for e1")
        self.harness.reserve("e2", 1)
        self.harness.body("e2", 1)
        self.harness.client.started[1].answer(b"for e2")
        self.assertEqual((b"for e1", b"for e2"), (self.writer.content(1), other.content(1)))

    @parameterized.expand(
        [
            ("protected_waits", "notice", None),
            ("others_are_refused", "draft", pb.REFUSAL_DEADLINE),
        ]
    )
    def test_a_hopeless_wait_is_refused_at_once(self, _: str, name: str, reason: Any) -> None:
        for attempt in range(1, 200):
            self.harness.reserve("e1", attempt, "notice")
        self.harness.reserve("e1", 500, name)
        if reason is None:
            self.assertEqual([], self.writer.kinds(500))
        else:
            refusal = self.writer.last(500).refuse
            self.assertEqual(reason, refusal.reason)
            self.assertGreater(refusal.retry_after_ms, 0)


def key_made(clock: FakeClock, age_s: float) -> str:
    """Make a UUID of version 7 of a given age."""
    created_ms = clock.unix_ms() - round(age_s * 1000)
    return f"demo/{uuid.UUID(int=created_ms << 80 | 7 << 76 | 2 << 62)}"


class KeyTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)
        own = records.endpoint("engine-1", "writing", 1, slots=4)
        self.harness = AttemptManagerHarness([*records.base_records(), own])
        self.writer = self.harness.connect("e1")

    def ask(
        self, attempt: int, key: str, fingerprint: int = 1, entry_incarnation: str = "e1"
    ) -> None:
        self.harness.reserve(
            entry_incarnation,
            attempt,
            "order",
            idempotency_key=key,
            idempotent=False,
            fingerprint=fingerprint,
        )

    @parameterized.expand(
        [
            ("new_key_soon_after_start", 20.0, 1.0, "grant", False),
            ("key_older_than_the_process", 20.0, 30.0, "refuse", True),
            ("key_within_the_skew_of_the_start", 20.0, 17.0, "refuse", True),
            ("key_older_than_the_memory", 5000.0, 1000.0, "refuse", True),
            ("key_of_the_future", 20.0, -60.0, "refuse", False),
            ("opaque_key_at_a_fresh_home", 20.0, None, "refuse", True),
            ("opaque_key_at_an_old_home", 1000.0, None, "grant", False),
        ]
    )
    def test_unknown_keys(
        self, _: str, uptime_s: float, age_s: float | None, kind: str, doubt: bool
    ) -> None:
        self.clock.advance(uptime_s)
        self.ask(1, "demo/opaque" if age_s is None else key_made(self.clock, age_s))
        frame = self.writer.last(1)
        self.assertEqual((kind, doubt), (frame.WhichOneof("kind"), frame.refuse.may_have_run))

    def test_a_repeat_gets_the_first_answer_whichever_entry_asks(self) -> None:
        self.clock.advance(100)
        key = key_made(self.clock, 0)
        self.ask(1, key)
        other = self.harness.connect("e2")
        self.ask(1, key, entry_incarnation="e2")
        self.assertEqual(pb.REFUSAL_KEY_RUNNING, other.last(1).refuse.reason)
        self.harness.body("e1", 1)
        self.harness.client.started[0].answer(b"done once")
        self.ask(2, key, entry_incarnation="e2")
        self.assertEqual(["head", "delta", "end"], other.kinds(2))
        self.assertEqual(b"done once", other.content(2))
        self.ask(3, key, fingerprint=2)
        self.assertEqual(pb.REFUSAL_KEY_MISMATCH, self.writer.last(3).refuse.reason)
        self.assertEqual(1, len(self.harness.client.started))

    @parameterized.expand(
        [
            ("withdrawn", "withdraw", "grant"),
            ("lease_expired", "expire", "grant"),
            ("never_reached_the_endpoint", "not_run", "grant"),
            ("broke_off", "broken", "refuse"),
        ]
    )
    def test_a_key_may_run_again_only_if_it_truly_did_not(
        self, _: str, fate: str, kind: str
    ) -> None:
        self.clock.advance(100)
        key = key_made(self.clock, 0)
        self.ask(1, key)
        if fate == "withdraw":
            self.harness.send("e1", 1, withdraw=pb.Withdraw())
        elif fate == "expire":
            self.clock.advance(1)
            self.harness.timers.fire()
        else:
            self.harness.body("e1", 1)
            execution = Execution.NOT_RUN if fate == "not_run" else Execution.MAY_HAVE_RUN
            self.harness.client.started[0].receiver.finish(execution, False, "")
        self.ask(2, key)
        self.assertEqual(kind, self.writer.last(2).WhichOneof("kind"))

    def test_the_home_moves_with_a_handover(self) -> None:
        names = ["engine-1", "engine-2"]
        key = next(f"k{n}" for n in range(99) if best(f"k{n}", names) == "engine-2")
        both = [records.endpoint(name, "writing", 1) for name in names]
        harness = AttemptManagerHarness([*records.base_records(), *both])
        rule = KeyOwnership("engine-1", harness.view)
        rule.update(catalogue(both))
        self.assertEqual(OwnedElsewhere("engine-2"), rule.owned_since(key))
        self.clock.advance(500)
        harness.view.apply(change(1, [records.vm("engine-2", "side", state="leaving")]))
        self.assertEqual(START_S + 500 + OWNERSHIP_HANDOVER_S, rule.owned_since(key))
        own_key = next(f"k{n}" for n in range(99) if best(f"k{n}", names) == "engine-1")
        self.assertEqual(START_S, rule.owned_since(own_key))
        rule.update(catalogue(both[:1], revision=2))
        self.assertEqual(START_S + 500 + OWNERSHIP_HANDOVER_S, rule.owned_since(key))


if __name__ == "__main__":
    unittest.main()
