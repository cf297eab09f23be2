"""Random peers: whatever they send, nothing breaks and nothing runs twice."""

import unittest
from typing import Any

from hypothesis import given, seed, settings, strategies

from pearshed._internal.peers import frames
from pearshed._internal.peers import peer_pb2 as pb
from tests.lib import records
from tests.lib.fakes import DeskBench, FakeClock

_SLOTS = 2
_OWNERS = ("e1", "e2")
_NUMBERS = strategies.integers(min_value=0, max_value=2**32 - 1)

#: Frames come over a connection.
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
        strategies.sampled_from(_OWNERS),
        strategies.integers(min_value=1, max_value=4),
        _NUMBERS,
    ),
    max_size=60,
)


class DeskFuzzTest(unittest.TestCase):
    @seed(20261203)
    @settings(max_examples=400, deadline=None, database=None)
    @given(_STEPS)
    def test_any_order_of_frames(self, steps: list[tuple[str, str, int, int]]) -> None:
        clock = FakeClock(self)
        own = records.endpoint("engine-1", "writing", 1, slots=_SLOTS)
        bench = DeskBench([*records.base_records(), own])
        clock.advance(1000)
        for owner in _OWNERS:
            bench.connect(owner)
        connected = set(_OWNERS)
        for step, owner, attempt, number in steps:
            if step == "reconnect":
                connected.add(owner)
            elif step in _FROM_ENTRY and owner not in connected:
                continue
            elif step == "disconnect":
                connected.discard(owner)
            self.play(bench, clock, step, owner, attempt, number)
            self.check(bench)
        for call in bench.client.started:
            if not call.ended:
                call.answer()
        for owner in _OWNERS:
            bench.disconnect(owner)
        clock.advance(60)
        bench.timers.fire()
        self.assertEqual((0, 0), (bench.desk.active_runs, bench.desk.scheduler.running))

    def play(
        self, bench: DeskBench, clock: FakeClock, step: str, owner: str, attempt: int, number: int
    ) -> None:
        frame_steps: dict[str, dict[str, Any]] = {
            "withdraw": {"withdraw": pb.Withdraw()},
            "cancel": {"cancel": pb.Cancel()},
            "resume": {"resume": pb.Resume(offset=number % 20, age_ms=number)},
            "acknowledge": {"acknowledge": pb.Acknowledge()},
        }
        running = [call for call in bench.client.started if not call.ended]
        if step == "reserve":
            bench.reserve(owner, attempt, deadline_ms=number)
        elif step == "reserve_key":
            key = {"idempotency_key": f"demo/{number % 3}", "idempotent": False}
            bench.reserve(owner, attempt, "order", fingerprint=number % 2, **key)
        elif step == "body":
            bench.body(owner, attempt)
        elif step in frame_steps:
            bench.send(owner, attempt, **frame_steps[step])
        elif step in ("answer", "break") and running:
            running[number % len(running)].answer(complete=step == "answer")
        elif step == "reconnect":
            bench.connect(owner)
        elif step == "disconnect":
            bench.disconnect(owner)
        elif step == "wait":
            clock.advance(number % 700 / 1000)
        elif step == "tick":
            bench.timers.fire()
        elif step == "drain":
            bench.desk.set_leaving(number % 2 == 0)

    def check(self, bench: DeskBench) -> None:
        running = [call for call in bench.client.started if not call.ended]
        self.assertLessEqual(len(running), _SLOTS)
        self.assertEqual(len(running), bench.desk.active_runs)
        self.assertLessEqual(len(running), bench.desk.scheduler.running)


class FrameFuzzTest(unittest.TestCase):
    @seed(20261203)
    @settings(max_examples=300, deadline=None, database=None)
    @given(strategies.binary(max_size=200))
    def test_any_bytes_parse_or_are_refused(self, content: bytes) -> None:
        try:
            batch = pb.Batch.FromString(content)
        except Exception as error:
            self.assertEqual("DecodeError", type(error).__name__)
            return
        FakeClock(self)
        bench = DeskBench(records.base_records())
        bench.connect("e1")
        for frame in batch.frames:
            bench.desk.handle("e1", frame)
            frames.feed_name(frame.feed_state.feed)
        self.assertEqual([], bench.client.started)


if __name__ == "__main__":
    unittest.main()
