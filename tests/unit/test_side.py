"""Tests of the side: queue order, slots, leases, runs and idempotency keys."""

import unittest
import uuid
from collections import Counter
from typing import Any

from parameterized import parameterized

from pearshed._internal.membership.rendezvous import best
from pearshed._internal.models.outcomes import Execution
from pearshed._internal.models.records import RequestClass, Tier
from pearshed._internal.peers import peer_pb2 as pb
from pearshed._internal.side.attempt_manager import OVERDUE_RUN_S
from pearshed._internal.side.key_ownership import (
    OWNERSHIP_HANDOVER_S,
    STALL_S,
    KeyOwnership,
    OwnedElsewhere,
)
from pearshed._internal.side.order import FifoOrder, OrderPolicy, Reservation, TieredOrder
from tests.lib import records
from tests.lib.fakes import START_S, AttemptManagerHarness, FakeClock, catalogue, change

_CLASS = RequestClass("c", "t", True, 300, 40, 10_000, 100, 10_000)


def reservation(rank: int, attempt: int, customer: str = "a", weight: float = 1.0) -> Reservation:
    """Create a reservation."""
    tier = Tier(f"tier-{rank}", rank, rank == 0, 0.0 if rank == 0 else 0.1)
    return Reservation("e", attempt, _CLASS, tier, customer, float(attempt), 1e9, weight)


def pop_up_to(policy: OrderPolicy, count: int) -> list[Reservation]:
    """Pop up to ``count`` reservations."""
    return [popped for popped in (policy.pop() for _ in range(count)) if popped is not None]


class OrderTest(unittest.TestCase):
    @parameterized.expand([("fifo", FifoOrder), ("tiered", TieredOrder)])
    def test_each_reservation_is_popped_once(self, _: str, policy_class: Any) -> None:
        policy = policy_class()
        queued = [reservation(number % 3, number) for number in range(30)]
        for item in queued:
            policy.add(item)
        policy.remove(queued[4])
        popped = pop_up_to(policy, 40)
        self.assertEqual({*range(30)} - {4}, {item.attempt for item in popped})
        self.assertEqual((29, 0), (len(popped), len(policy)))

    def test_highest_priority_first_without_starving_lower_tiers(self) -> None:
        policy = TieredOrder()
        for number in range(300):
            policy.add(reservation(number % 3, number))
        ranks = Counter(item.tier.rank for item in pop_up_to(policy, 101))
        self.assertEqual({0: 81, 1: 10, 2: 10}, dict(ranks))

    def test_low_priority_request_waits_for_a_bounded_number_of_grants(self) -> None:
        policy = TieredOrder()
        policy.add(reservation(2, 0))
        for number in range(1, 100):
            policy.add(reservation(0, number))
        order = [item.tier.rank for item in pop_up_to(policy, 100)]
        self.assertLessEqual(order.index(2), 10)

    def test_share_applies_to_slot_time(self) -> None:
        policy = TieredOrder()
        for _ in range(100):
            policy.record_service(0, 0.5)
            policy.record_service(2, 2.0)
        for number in range(400):
            policy.add(reservation(number % 2 * 2, number))
        ranks = Counter(item.tier.rank for item in pop_up_to(policy, 200))
        time_share = ranks[2] * 2.0 / (ranks[2] * 2.0 + ranks[0] * 0.5)
        self.assertLess(time_share, 0.25)
        self.assertGreater(time_share, 0.05)

    def test_customers_share_slots_by_weight(self) -> None:
        policy = TieredOrder()
        for number in range(200):
            policy.add(reservation(1, number, "flood"))
        for number in range(200, 240):
            policy.add(reservation(1, number, "heavy", 3.0))
        grants = Counter(item.customer for item in pop_up_to(policy, 40))
        self.assertEqual({"heavy": 30, "flood": 10}, dict(grants))


class AttemptManagerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)
        own = records.endpoint("engine-1", "writing", 1, slots=1)
        self.harness = AttemptManagerHarness([*records.base_records(), own])
        self.writer = self.harness.connect("e1")

    def run_one(self, attempt: int, **fields: Any) -> None:
        self.harness.reserve("e1", attempt, **fields)
        self.harness.body("e1", attempt)

    def test_granted_request_runs_and_its_response_is_dropped_once_acknowledged(self) -> None:
        self.run_one(1)
        self.harness.client.started[0].respond(b"whole")
        self.assertEqual(["grant", "head", "delta", "end"], self.writer.kinds(1))
        self.assertEqual(1, self.harness.manager.retained_runs)
        self.harness.send("e1", 1, acknowledge=pb.Acknowledge())
        self.assertEqual(0, self.harness.manager.retained_runs)

    @parameterized.expand(
        [
            ("in_time", 0.4, True),
            ("late", 0.6, False),
            ("after_a_pause", 30.0, False),
        ]
    )
    def test_body_runs_only_within_its_lease(self, _: str, delay_s: float, runs: bool) -> None:
        self.harness.reserve("e1", 1)
        self.clock.advance(delay_s)
        self.harness.body("e1", 1)
        self.assertEqual(runs, bool(self.harness.client.started))
        if not runs:
            self.assertEqual(pb.REFUSAL_LEASE_EXPIRED, self.writer.last(1).refuse.reason)
            self.assertFalse(self.writer.last(1).refuse.may_have_run)

    @parameterized.expand(
        [
            # idempotent, bytes sent, seconds without the entry, response is still there
            ("may_run_once", False, b"", 15.0, True),
            ("stream_that_has_begun", True, b"a part", 15.0, True),
            ("may_run_elsewhere", True, b"", 15.0, False),
            ("may_run_elsewhere_soon", True, b"", 5.0, True),
            ("may_run_once_after_its_deadline", False, b"", 65.0, False),
        ]
    )
    def test_the_work_of_a_silent_entry_goes_on(
        self, _: str, idempotent: bool, sent: bytes, silent_s: float, kept: bool
    ) -> None:
        self.run_one(1, idempotent=idempotent, deadline_ms=60_000)
        call = self.harness.client.started[0]
        if sent:
            call.receiver.set_head(200, (), until_close=False)
            call.receiver.add(sent)
        self.harness.disconnect("e1")
        self.clock.advance(silent_s)
        self.harness.timers.fire()
        self.assertEqual(not kept and idempotent, call.cancelled)
        call.receiver.add(b" the rest")
        call.receiver.finish(Execution.RAN, True, "")
        writer = self.harness.connect("e1")
        self.harness.send("e1", 1, resume=pb.Resume(offset=len(sent), head_received=bool(sent)))
        self.assertEqual(b" the rest" if kept else b"", writer.content(1))
        end = writer.last(1).end
        self.assertEqual((kept, kept), (end.complete, end.execution == pb.EXECUTION_RAN))

    @parameterized.expand(
        [
            ("before_the_deadline", 9.0, True, False),
            ("soon_after_the_deadline", 10.0 + OVERDUE_RUN_S - 1.0, False, False),
            ("long_after_the_deadline", 10.0 + OVERDUE_RUN_S + 1.0, False, True),
        ]
    )
    def test_a_run_that_never_ends_is_aborted_long_after_its_deadline(
        self, _: str, after_s: float, in_time: bool, aborted: bool
    ) -> None:
        self.run_one(1, idempotent=False, deadline_ms=10_000)
        call = self.harness.client.started[0]
        self.clock.advance(after_s)
        if not in_time:
            self.harness.send("e1", 1, cancel=pb.Cancel())
        self.harness.timers.fire()
        self.assertEqual(aborted, call.cancelled)
        self.assertGreaterEqual(call.head_timeout_s, 10.0)

    def test_expired_lease_frees_the_slot(self) -> None:
        self.harness.reserve("e1", 1)
        self.harness.reserve("e1", 2)
        self.assertEqual([], self.writer.kinds(2))
        self.clock.advance(0.6)
        self.harness.timers.fire()
        self.assertEqual(
            (["grant", "refuse"], ["grant"]), (self.writer.kinds(1), self.writer.kinds(2))
        )

    def test_withdrawn_reservation_never_runs(self) -> None:
        self.harness.reserve("e1", 1)
        self.harness.send("e1", 1, withdraw=pb.Withdraw())
        self.harness.body("e1", 1)
        self.assertEqual([], self.harness.client.started)

    @parameterized.expand(["record", "vm_list", "signal"])
    def test_draining_refuses_reservations_and_finishes_runs(self, trigger: str) -> None:
        self.run_one(1)
        self.harness.reserve("e1", 2)
        if trigger == "record":
            own = records.endpoint("engine-1", "writing", 1, slots=1, draining=True)
            self.harness.manager.update(catalogue([*records.base_records(), own]))
        elif trigger == "vm_list":
            self.harness.manager.set_leaving(True)
        else:
            self.harness.manager.begin_shutdown()
        self.harness.reserve("e1", 3)
        for attempt in (2, 3):
            self.assertEqual(pb.REFUSAL_DRAINING, self.writer.last(attempt).refuse.reason)
        self.harness.client.started[0].respond()
        self.assertTrue(self.writer.last(1).end.complete)

    def test_resumed_response_continues_at_the_requested_byte(self) -> None:
        self.run_one(1)
        receiver = self.harness.client.started[0].receiver
        receiver.set_head(200, (), until_close=False)
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
            ("discarded_after_run", True, 0, "end", True),
            ("older_than_attempt_retention", False, 700_000, "end", True),
        ]
    )
    def test_resume_of_unknown_attempt(
        self, _: str, ran: bool, age_ms: int, kind: str, in_doubt: bool
    ) -> None:
        if ran:
            self.run_one(1)
            self.harness.client.started[0].respond()
            self.clock.advance(31)
            self.harness.timers.fire()
        self.harness.send("e1", 1, resume=pb.Resume(age_ms=age_ms))
        frame = self.writer.last(1)
        self.assertEqual(kind, frame.WhichOneof("kind"))
        self.assertEqual(in_doubt, frame.end.execution == pb.EXECUTION_MAY_HAVE_RUN)
        started = len(self.harness.client.started)
        self.harness.reserve("e1", 1)
        self.harness.body("e1", 1)
        self.assertEqual(
            started, len(self.harness.client.started), "an invalidated attempt must not run"
        )

    @parameterized.expand([("idempotent", True, True), ("not", False, False)])
    def test_lost_entry_cancels_only_idempotent_runs(
        self, _: str, idempotent: bool, cancelled: bool
    ) -> None:
        self.run_one(1, idempotent=idempotent)
        self.harness.disconnect("e1")
        self.clock.advance(11)
        self.harness.timers.fire()
        self.assertEqual(cancelled, self.harness.client.started[0].cancelled)
        self.assertEqual(not idempotent, self.harness.client.started[0].fresh)

    def test_entries_with_equal_attempt_numbers_are_kept_apart(self) -> None:
        other = self.harness.connect("e2")
        self.run_one(1)
        self.harness.client.started[0].respond(b"for e1")
        self.harness.reserve("e2", 1)
        self.harness.body("e2", 1)
        self.harness.client.started[1].respond(b"for e2")
        self.assertEqual((b"for e1", b"for e2"), (self.writer.content(1), other.content(1)))

    @parameterized.expand(
        [
            ("protected_waits", "notice", None),
            ("others_are_refused", "draft", pb.REFUSAL_DEADLINE),
        ]
    )
    def test_excessive_expected_wait_is_refused_at_once(
        self, _: str, name: str, reason: Any
    ) -> None:
        for attempt in range(1, 200):
            self.harness.reserve("e1", attempt, "notice")
        self.harness.reserve("e1", 500, name)
        if reason is None:
            self.assertEqual([], self.writer.kinds(500))
        else:
            refusal = self.writer.last(500).refuse
            self.assertEqual(reason, refusal.reason)
            self.assertGreater(refusal.retry_after_ms, 0)


class EndpointPauseTest(unittest.TestCase):
    """An endpoint turns a run away and asks for a pause; it has two slots."""

    def setUp(self) -> None:
        self.clock = FakeClock(self)
        own = records.endpoint("engine-1", "writing", 1, slots=2)
        self.harness = AttemptManagerHarness([*records.base_records(), own])
        self.writer = self.harness.connect("e1")

    def turn_away(self, value: str = "3", status: int = 503) -> None:
        self.harness.reserve("e1", 1)
        self.harness.body("e1", 1)
        self.harness.client.started[0].respond(status=status, headers=(("Retry-After", value),))

    def test_a_lease_is_not_used_in_the_pause(self) -> None:
        self.harness.reserve("e1", 2)
        self.turn_away()
        self.assertEqual(["grant", "refuse"], self.writer.kinds(2))
        self.assertFalse(self.writer.last(2).refuse.may_have_run)
        self.harness.body("e1", 2)
        self.assertEqual(1, len(self.harness.client.started))

    @parameterized.expand(
        [
            ("protected_waits", "notice", True),
            ("within_its_wait", "chat", True),
            ("others_are_refused", "draft", False),
        ]
    )
    def test_new_requests_wait_or_are_refused_with_the_time_that_is_left(
        self, _: str, class_name: str, waits: bool
    ) -> None:
        self.turn_away("100" if class_name == "draft" else "2")
        self.clock.advance(0.5)
        self.harness.reserve("e1", 2, class_name)
        if not waits:
            self.assertGreaterEqual(self.writer.last(2).refuse.retry_after_ms, 59_000)
            return
        self.assertEqual([], self.writer.kinds(2))
        self.clock.advance(1.6)
        self.harness.timers.fire()
        self.assertEqual(["grant"], self.writer.kinds(2))

    def test_queued_requests_that_may_not_wait_so_long_are_refused_at_once(self) -> None:
        for attempt in (2, 3, 4):
            self.harness.reserve("e1", attempt, "draft")
        self.harness.body("e1", 2)
        self.harness.body("e1", 3)
        headers = (("Retry-After", "100"),)
        self.harness.client.started[0].respond(status=503, headers=headers)
        self.assertEqual(["refuse"], self.writer.kinds(4))

    @parameterized.expand(
        [
            ("another_status", "3", 429),
            ("negative", "-3", 503),
            ("nothing", "", 503),
        ]
    )
    def test_what_asks_for_no_pause(self, _: str, value: str, status: int) -> None:
        self.turn_away(value, status)
        self.harness.reserve("e1", 2)
        self.assertEqual(["grant"], self.writer.kinds(2))

    @parameterized.expand([("huge", "9" * 400, 301.0), ("date", "Sat, 05 Dec 2026", 1.1)])
    def test_odd_values_are_bounded(self, _: str, value: str, ended_s: float) -> None:
        self.turn_away(value)
        self.harness.reserve("e1", 2, "notice", deadline_ms=1_000_000)
        self.assertEqual([], self.writer.kinds(2))
        self.clock.advance(ended_s)
        self.harness.timers.fire()
        self.assertEqual(["grant"], self.writer.kinds(2))


def create_key(clock: FakeClock, age_s: float) -> str:
    """Create a UUIDv7 key of a given age."""
    created_ms = clock.unix_ms() - round(age_s * 1000)
    return f"demo/{uuid.UUID(int=created_ms << 80 | 7 << 76 | 2 << 62)}"


class IdempotencyKeyTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)
        own = records.endpoint("engine-1", "writing", 1, slots=4)
        self.harness = AttemptManagerHarness([*records.base_records(), own])
        self.writer = self.harness.connect("e1")

    def reserve(
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
            ("key_older_than_retention", 5000.0, 1000.0, "refuse", True),
            ("key_of_the_future", 20.0, -60.0, "refuse", False),
            ("opaque_key_at_new_owner", 20.0, None, "refuse", True),
            ("opaque_key_at_old_owner", 1000.0, None, "grant", False),
        ]
    )
    def test_unknown_keys(
        self, _: str, uptime_s: float, age_s: float | None, kind: str, in_doubt: bool
    ) -> None:
        self.clock.advance(uptime_s)
        self.reserve(1, "demo/opaque" if age_s is None else create_key(self.clock, age_s))
        frame = self.writer.last(1)
        self.assertEqual((kind, in_doubt), (frame.WhichOneof("kind"), frame.refuse.may_have_run))

    def test_retry_gets_the_first_response_from_any_entry(self) -> None:
        self.clock.advance(100)
        key = create_key(self.clock, 0)
        self.reserve(1, key)
        other = self.harness.connect("e2")
        self.reserve(1, key, entry_incarnation="e2")
        self.assertEqual(pb.REFUSAL_KEY_RUNNING, other.last(1).refuse.reason)
        self.harness.body("e1", 1)
        self.harness.client.started[0].respond(b"done once")
        self.reserve(2, key, entry_incarnation="e2")
        self.assertEqual(["head", "delta", "end"], other.kinds(2))
        self.assertEqual(b"done once", other.content(2))
        self.reserve(3, key, fingerprint=2)
        self.assertEqual(pb.REFUSAL_KEY_MISMATCH, self.writer.last(3).refuse.reason)
        self.assertEqual(1, len(self.harness.client.started))

    @parameterized.expand(
        [
            ("withdrawn", "withdraw", "grant"),
            ("lease_expired", "expire", "grant"),
            ("never_reached_the_endpoint", "not_run", "grant"),
            ("interrupted", "broken", "refuse"),
        ]
    )
    def test_key_may_run_again_only_if_it_provably_did_not_run(
        self, _: str, outcome: str, kind: str
    ) -> None:
        self.clock.advance(100)
        key = create_key(self.clock, 0)
        self.reserve(1, key)
        if outcome == "withdraw":
            self.harness.send("e1", 1, withdraw=pb.Withdraw())
        elif outcome == "expire":
            self.clock.advance(1)
            self.harness.timers.fire()
        else:
            self.harness.body("e1", 1)
            execution = Execution.NOT_RUN if outcome == "not_run" else Execution.MAY_HAVE_RUN
            self.harness.client.started[0].receiver.finish(execution, False, "")
        self.reserve(2, key)
        self.assertEqual(kind, self.writer.last(2).WhichOneof("kind"))

    def test_ownership_moves_after_the_handover_time(self) -> None:
        names = ["engine-1", "engine-2"]
        key = next(f"k{n}" for n in range(99) if best(f"k{n}", names) == "engine-2")
        both = [records.endpoint(name, "writing", 1) for name in names]
        harness = AttemptManagerHarness([*records.base_records(), *both])
        ownership = KeyOwnership("engine-1", harness.view)
        ownership.update(catalogue(both))
        self.assertEqual(OwnedElsewhere("engine-2"), ownership.owned_since(key))
        self.clock.advance(500)
        harness.view.apply(change(1, [records.vm("engine-2", "side", state="leaving")]))
        self.assertEqual(START_S + 500 + OWNERSHIP_HANDOVER_S, ownership.owned_since(key))
        own_key = next(f"k{n}" for n in range(99) if best(f"k{n}", names) == "engine-1")
        self.assertEqual(START_S, ownership.owned_since(own_key))
        ownership.update(catalogue(both[:1], revision=2))
        self.assertEqual(START_S + 500 + OWNERSHIP_HANDOVER_S, ownership.owned_since(key))

    @parameterized.expand(
        [
            # seconds without the process running, whether it knows all requests of its keys since
            # its start, also those read before its timers run
            ("a_moment", 1.0, True),
            ("a_busy_time", STALL_S - 0.1, True),
            ("a_standstill", STALL_S + 0.1, False),
            ("a_long_standstill", 600.0, False),
        ]
    )
    def test_a_side_that_stood_still_does_not_know_all_requests_of_its_keys(
        self, _: str, still_s: float, is_certain: bool
    ) -> None:
        harness = AttemptManagerHarness(records.base_records())
        ownership = KeyOwnership("engine-1", harness.view)
        ownership.update(catalogue([records.endpoint("engine-1", "writing", 1)]))
        for _second in range(30):
            self.clock.advance(1.0)
            ownership.tick()
        self.clock.advance(still_s)
        woke_at = self.clock.now
        expected = START_S if is_certain else woke_at + OWNERSHIP_HANDOVER_S
        self.assertEqual(expected, ownership.owned_since("k1"))
        ownership.tick()
        self.clock.advance(1.0)
        ownership.tick()
        self.assertEqual(expected, ownership.owned_since("k1"))

    def test_a_key_that_another_side_may_have_run_in_a_standstill_is_in_doubt(self) -> None:
        for _second in range(200):
            self.harness.key_ownership.tick()
            self.clock.advance(1.0)
        key = create_key(self.clock, 0)
        self.clock.advance(60.0)
        self.reserve(1, key)
        self.assertEqual(pb.REFUSAL_KEY_IN_DOUBT, self.writer.last(1).refuse.reason)


if __name__ == "__main__":
    unittest.main()
