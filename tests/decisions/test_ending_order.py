"""Which connections are ended first: those that hold much and make no progress."""

import random
import unittest

from parameterized import parameterized

from pearshed._internal.decisions.ending_order import (
    LARGE_SHARE,
    SMALL_BYTES,
    STALLED_AFTER_S,
    Holding,
    HoldingStage,
    Room,
    choose_ended,
    ending_order,
)
from pearshed._internal.decisions.room_refusal import return_after_s

NOW = 100.0
KIB = 1024
ROOM = Room(1024 * KIB, 100)
_FRESH_S = STALLED_AFTER_S / 4
_STALLED_S = STALLED_AFTER_S * 2


def holding(
    key: str,
    stage: HoldingStage = HoldingStage.RECEIVING,
    held: int = 4 * KIB,
    moved: int = 1000,
    age_s: float = 2.0,
    stalled_s: float = 0.0,
    freed: int | None = None,
) -> Holding[str]:
    """Create what one connection holds."""
    freed_bytes = held if freed is None else freed
    return Holding(key, stage, held, freed_bytes, moved, NOW - age_s, NOW - stalled_s)


REFUSED = holding("refused", HoldingStage.REFUSED)
IDLE = holding("idle", HoldingStage.IDLE, stalled_s=_STALLED_S)
NEW = holding("new", HoldingStage.IDLE, age_s=0.0)
STALLED = holding("stalled", stalled_s=_STALLED_S)
STALLED_LARGE = holding("stalled large", held=300 * KIB, stalled_s=_STALLED_S)
UNREAD = holding("unread", HoldingStage.SENDING, held=400 * KIB, stalled_s=_STALLED_S)
SLOW_LARGE = holding("slow large", held=300 * KIB, moved=3000)
FAST_LARGE = holding("fast large", held=300 * KIB, moved=300_000)
TRICKLING = holding("trickling", moved=40, age_s=20.0)
ORDINARY = holding("ordinary", moved=600, age_s=0.01)
READ = holding("read", HoldingStage.SENDING, held=400 * KIB)
AHEAD = holding("ahead", HoldingStage.AHEAD, held=200 * KIB, freed=100 * KIB)
SERVING = holding("serving", HoldingStage.SERVING, held=500 * KIB, stalled_s=_STALLED_S)


class EndingOrderTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("refused_first", REFUSED, STALLED_LARGE),
            ("most_held_of_those_that_stall", UNREAD, STALLED_LARGE),
            ("stalled_before_idle", STALLED, IDLE),
            ("sent_ahead_before_idle", AHEAD, IDLE),
            ("idle_before_progress", IDLE, SLOW_LARGE),
            ("slow_before_fast", SLOW_LARGE, FAST_LARGE),
            ("large_before_small", FAST_LARGE, TRICKLING),
            ("trickling_before_ordinary", TRICKLING, ORDINARY),
            ("trickling_before_new", TRICKLING, NEW),
            ("ordinary_before_an_answer_that_is_read", ORDINARY, READ),
        ]
    )
    def test_who_makes_progress_is_ended_later(
        self, _: str, first: Holding[str], second: Holding[str]
    ) -> None:
        for holdings in ([first, second], [second, first]):
            self.assertEqual([first, second], ending_order(holdings, NOW))

    def test_a_request_that_is_served_is_not_ended(self) -> None:
        holdings = [SERVING, holding("other", HoldingStage.SERVING, held=900 * KIB)]
        self.assertEqual([], choose_ended(holdings, ROOM, NOW))
        self.assertEqual([], choose_ended(holdings, Room(1, 1), NOW))


class ChosenTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("fits", [SLOW_LARGE, ORDINARY, NEW], ROOM, []),
            ("bytes", [ORDINARY, SERVING, STALLED_LARGE, READ], ROOM, ["stalled large"]),
            (
                "large_ones_leave_room_to_small_ones",
                [SLOW_LARGE, FAST_LARGE, SERVING, ORDINARY],
                ROOM,
                ["slow large", "fast large"],
            ),
            ("what_was_sent_ahead", [AHEAD, SERVING, IDLE], Room(650 * KIB, 9), ["ahead"]),
            ("connections", [IDLE, NEW, ORDINARY], Room(1024 * KIB, 2), ["idle"]),
            ("new_connection", [SERVING, NEW], Room(1024 * KIB, 1), ["new"]),
        ]
    )
    def test_the_others_fit(
        self, _: str, holdings: list[Holding[str]], room: Room, expected: list[str]
    ) -> None:
        self.assertEqual(expected, choose_ended(holdings, room, NOW))

    @parameterized.expand([(seed,) for seed in range(20)])
    def test_what_remains_fits_or_is_served(self, seed: int) -> None:
        rng = random.Random(seed)
        holdings = [
            holding(
                str(number),
                rng.choice([stage for stage in HoldingStage if stage is not HoldingStage.AHEAD]),
                rng.choice([8, 8, 8, 100, 500]) * KIB,
                rng.randrange(100_000),
                rng.uniform(0, 30),
                rng.uniform(0, 3),
            )
            for number in range(rng.randrange(1, 200))
        ]
        ended = choose_ended(holdings, ROOM, NOW)
        self.assertEqual(len(ended), len(set(ended)))
        kept = [one for one in holdings if one.key not in ended]
        self.assertFalse(
            [one for one in holdings if one.key in ended and one.stage is HoldingStage.SERVING]
        )
        endable = [one for one in kept if one.stage is not HoldingStage.SERVING]
        if endable:
            self.assertLessEqual(sum(one.held_bytes for one in kept), ROOM.held_bytes)
            self.assertLessEqual(len(kept), ROOM.connections)
        ended_before_answers = [one for one in endable if one.stage is not HoldingStage.SENDING]
        if any(one.held_bytes > SMALL_BYTES for one in ended_before_answers):
            large = sum(one.held_bytes for one in kept if one.held_bytes > SMALL_BYTES)
            self.assertLessEqual(large, ROOM.held_bytes * LARGE_SHARE)


class ReturnTest(unittest.TestCase):
    def test_those_that_are_refused_together_return_at_different_times(self) -> None:
        rng = random.Random(1)
        self.assertEqual({1, 2, 3}, {return_after_s(rng) for _ in range(100)})
