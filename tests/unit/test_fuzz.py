"""Fuzz tests of a side: random frames and bytes from entries raise no exception.

Random steps also never run more requests than there are slots and leave no run behind.
"""

import unittest
from typing import Any

from hypothesis import given, seed, settings, strategies

from pearshed._internal.peers import frames
from pearshed._internal.peers import peer_pb2 as pb
from tests.lib import records
from tests.lib.fakes import AttemptManagerHarness, FakeClock

_SLOTS = 2
_ENTRY_INCARNATIONS = ("e1", "e2")
_NUMBERS = strategies.integers(min_value=0, max_value=2**32 - 1)

#: Steps that need a connection of the entry.
_FROM_ENTRY = ("reserve", "reserve_key", "body", "withdraw", "cancel", "resume", "acknowledge")
_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [
                "reserve",
                "reserve_key",
                "body",
                "withdraw",
                "cancel",
                "resume",
                "acknowledge",
                "answer",
                "break",
                "reconnect",
                "disconnect",
                "wait",
                "tick",
                "drain",
            ]
        ),
        strategies.sampled_from(_ENTRY_INCARNATIONS),
        strategies.integers(min_value=1, max_value=4),
        _NUMBERS,
    ),
    max_size=60,
)


class AttemptManagerFuzzTest(unittest.TestCase):
    @seed(20261203)
    @settings(max_examples=400, deadline=None, database=None)
    @given(_STEPS)
    def test_random_frames_keep_the_slot_limit(
        self, steps: list[tuple[str, str, int, int]]
    ) -> None:
        clock = FakeClock(self)
        endpoint = records.endpoint("engine-1", "writing", 1, slots=_SLOTS)
        harness = AttemptManagerHarness([*records.base_records(), endpoint])
        clock.advance(1000)
        for entry_incarnation in _ENTRY_INCARNATIONS:
            harness.connect(entry_incarnation)
        connected = set(_ENTRY_INCARNATIONS)
        for step, entry_incarnation, attempt, number in steps:
            if step == "reconnect":
                connected.add(entry_incarnation)
            elif step in _FROM_ENTRY and entry_incarnation not in connected:
                continue
            elif step == "disconnect":
                connected.discard(entry_incarnation)
            self.apply_step(harness, clock, step, entry_incarnation, attempt, number)
            self.check_slots(harness)
        for call in harness.client.started:
            if not call.ended:
                call.respond()
        for entry_incarnation in _ENTRY_INCARNATIONS:
            harness.disconnect(entry_incarnation)
        clock.advance(60)
        harness.timers.fire()
        self.assertEqual((0, 0), (harness.manager.active_runs, harness.manager.scheduler.running))

    def apply_step(
        self,
        harness: AttemptManagerHarness,
        clock: FakeClock,
        step: str,
        entry_incarnation: str,
        attempt: int,
        number: int,
    ) -> None:
        frame_steps: dict[str, dict[str, Any]] = {
            "withdraw": {"withdraw": pb.Withdraw()},
            "cancel": {"cancel": pb.Cancel()},
            "resume": {"resume": pb.Resume(offset=number % 20, age_ms=number)},
            "acknowledge": {"acknowledge": pb.Acknowledge()},
        }
        running = [call for call in harness.client.started if not call.ended]
        if step == "reserve":
            harness.reserve(entry_incarnation, attempt, deadline_ms=number)
        elif step == "reserve_key":
            key = {"idempotency_key": f"demo/{number % 3}", "idempotent": False}
            harness.reserve(entry_incarnation, attempt, "order", fingerprint=number % 2, **key)
        elif step == "body":
            harness.body(entry_incarnation, attempt)
        elif step in frame_steps:
            harness.send(entry_incarnation, attempt, **frame_steps[step])
        elif step in ("answer", "break") and running:
            running[number % len(running)].respond(complete=step == "answer")
        elif step == "reconnect":
            harness.connect(entry_incarnation)
        elif step == "disconnect":
            harness.disconnect(entry_incarnation)
        elif step == "wait":
            clock.advance(number % 700 / 1000)
        elif step == "tick":
            harness.timers.fire()
        elif step == "drain":
            harness.manager.set_leaving(number % 2 == 0)

    def check_slots(self, harness: AttemptManagerHarness) -> None:
        running = [call for call in harness.client.started if not call.ended]
        self.assertLessEqual(len(running), _SLOTS)
        self.assertEqual(len(running), harness.manager.active_runs)
        self.assertLessEqual(len(running), harness.manager.scheduler.running)


class FrameFuzzTest(unittest.TestCase):
    @seed(20261203)
    @settings(max_examples=300, deadline=None, database=None)
    @given(strategies.binary(max_size=200))
    def test_random_bytes_are_parsed_or_rejected(self, content: bytes) -> None:
        try:
            batch = pb.Batch.FromString(content)
        except Exception as error:
            self.assertEqual("DecodeError", type(error).__name__)
            return
        FakeClock(self)
        harness = AttemptManagerHarness(records.base_records())
        harness.connect("e1")
        for frame in batch.frames:
            harness.manager.handle("e1", frame)
            frames.feed_name(frame.feed_state.feed)
        self.assertEqual([], harness.client.started)


if __name__ == "__main__":
    unittest.main()
