"""Which requests get the places at an engine that limits how many it takes."""

import random
import unittest
from collections.abc import Sequence

from parameterized import parameterized

from pearshed._internal.engine_side.messages import PlaceRequest
from pearshed._internal.engine_side.place_queue import (
    GRANT_MEMORY_S,
    OLDEST_FIRST_EVERY,
    PROBES_PER_S,
    QUEUE_TTL_S,
    WAITING_TTL_S,
    PlaceKeeper,
    PlaceQueue,
)
from pearshed._internal.engine_side.rate_limits import LIMIT_MEMORY_S, RateLimit, RateLimitTable
from pearshed._internal.gateway.local_share import PLACE_LAPSE_S, USED_SHARE, LocalShare
from tests.lib.fakes import START_S, FakeClock

#: The operators' bound: in any 4 s one and a half times what the limit allows, and 5 requests.
WINDOW_S = 4.0
ALLOWED_RATIO = 1.5
ALLOWED_EXCESS = 5


def most_in_window(times: Sequence[float]) -> int:
    """Return the largest number of times in a window of the operators' rule."""
    return max(
        (sum(start <= time <= start + WINDOW_S for time in times) for start in times), default=0
    )


class PlaceQueueTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)
        self.per_s: float | None = 1.0
        self.granted: list[str] = []
        self.refused: dict[str, float] = {}
        self.queue = PlaceQueue(lambda: self.per_s)

    def submit(self, name: str, rank: int = 1, budget_s: float = 10.0) -> bool:
        request = PlaceRequest(name, "r", 1.0, 0, rank, round(budget_s * 1000))
        return self.queue.submit(
            request,
            lambda: self.granted.append(name),
            lambda wait_s: self.refused.update({name: wait_s}),
        )

    def let_pass(self, seconds: float) -> None:
        """Let time pass while gateways renew what waits."""
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)
            for name in self.waiting:
                self.submit(name)
            self.queue.process()

    @property
    def waiting(self) -> list[str]:
        decided = {*self.granted, *self.refused}
        return [name for name in self.submitted if name not in decided]

    def submit_all(self, requests: Sequence[tuple[str, int]]) -> None:
        self.submitted = [name for name, _ in requests]
        for name, rank in requests:
            self.submit(name, rank)
            self.clock.advance(0.001)

    @parameterized.expand(
        [
            ("in_order_of_arrival", [("a", 1), ("b", 1), ("c", 1)], 2, "a b"),
            ("urgent_first", [("a", 2), ("b", 1), ("c", 0)], 2, "c b"),
            ("none_before_the_first_place", [("a", 0)], 0.9, ""),
            ("one_for_each_second", [("a", 0), ("b", 0), ("c", 0), ("d", 0)], 3, "a b c"),
        ]
    )
    def test_places_go_by_rank(
        self, _: str, requests: Sequence[tuple[str, int]], seconds: float, expected: str
    ) -> None:
        self.submit_all(requests)
        self.let_pass(seconds)
        self.assertEqual(expected.split(), self.granted)

    def test_no_rank_is_forgotten(self) -> None:
        self.submit_all([("late", 9), *((f"urgent-{number}", 0) for number in range(30))])
        self.per_s = 10.0
        self.let_pass(OLDEST_FIRST_EVERY / 10.0 + 0.1)
        self.assertIn("late", self.granted)
        self.assertNotEqual("late", self.granted[0])

    @parameterized.expand(
        [
            ("no_budget", 0.0, 1.0),
            ("budget_shorter_than_the_wait", 0.9, 1.0),
        ]
    )
    def test_what_cant_get_a_place_in_time_is_refused_at_once(
        self, _: str, budget_s: float, wait_s: float
    ) -> None:
        self.assertFalse(self.submit("a", budget_s=budget_s))
        self.assertEqual({"a": wait_s}, self.refused)

    def test_the_expected_wait_counts_those_that_go_before(self) -> None:
        self.submit_all([("a", 0), ("b", 1), ("c", 2)])
        self.submit("d", rank=1, budget_s=0.5)
        self.assertEqual(["d"], [*self.refused])
        self.assertAlmostEqual(3.0, self.refused["d"], places=2)

    def test_a_request_that_has_waited_too_long_is_refused_with_the_time_until_a_place(
        self,
    ) -> None:
        self.submit("a", rank=1, budget_s=1.0)
        self.submit("b", rank=0, budget_s=1.0)
        self.clock.advance(0.55)
        self.submit("a")
        self.submit("b")
        self.clock.advance(0.5)
        self.queue.process()
        self.assertEqual(["a"], [*self.refused])
        self.assertGreater(self.refused["a"], 0.0)

    def test_a_request_that_isnt_renewed_is_dropped(self) -> None:
        self.submit("a")
        self.clock.advance(WAITING_TTL_S + 0.1)
        self.queue.process()
        self.assertEqual((0, [], {}), (self.queue.waiting_count, self.granted, self.refused))

    def test_a_repeated_request_gets_the_same_place(self) -> None:
        self.clock.advance(1.0)
        for _ in range(3):
            self.submit("a", budget_s=0.0)
        self.submit("b", budget_s=0.0)
        self.assertEqual((["a", "a", "a"], ["b"]), (self.granted, [*self.refused]))

    def test_a_released_place_goes_to_the_next(self) -> None:
        self.submitted = ["b"]
        self.clock.advance(1.0)
        self.submit("a")
        self.submit("b")
        self.queue.release("a")
        self.queue.release("a")
        self.assertEqual(["a", "b"], self.granted)
        self.submit("c", budget_s=0.0)
        self.assertEqual(["c"], [*self.refused])

    def test_a_place_is_not_taken_back_long_after_it_was_granted(self) -> None:
        self.clock.advance(1.0)
        self.submit("a")
        self.clock.advance(GRANT_MEMORY_S)
        self.queue.process()
        self.submit("b")
        self.queue.release("a")
        self.submit("c", budget_s=0.0)
        self.assertEqual((["a", "b"], ["c"]), (self.granted, [*self.refused]))

    def test_a_withdrawn_limit_frees_what_waits(self) -> None:
        for name in ("a", "b", "c"):
            self.submit(name)
        self.per_s = None
        self.queue.process()
        self.assertEqual(["a", "b", "c"], self.granted)
        self.per_s = 1.0
        self.submit("d", budget_s=0.0)
        self.assertEqual(["d"], [*self.refused])

    @parameterized.expand([("lower", 10.0, 1.0), ("higher", 1.0, 10.0), ("none", 1.0, 0.0)])
    def test_a_changed_limit_holds_at_once(self, _: str, before: float, after: float) -> None:
        self.per_s = before
        self.clock.advance(10.0)
        self.queue.process()
        self.per_s = after
        started_at = self.clock.now
        times: list[float] = []
        for number in range(80):
            self.submit(f"{number}", budget_s=0.0)
            times.extend([self.clock.now] * (len(self.granted) - len(times)))
            self.clock.advance(0.1)
        allowed = WINDOW_S * after * ALLOWED_RATIO + ALLOWED_EXCESS
        self.assertLessEqual(most_in_window([t for t in times if t >= started_at]), allowed)
        self.assertGreaterEqual(len(times), 8 * (after or PROBES_PER_S) - 1)

    def test_a_keeper_drops_queues_without_requests(self) -> None:
        keeper = PlaceKeeper(lambda run: 1.0)
        keeper.queue("r").submit(PlaceRequest("a", "r", 1.0, 0, 1, 0), lambda: None, lambda _: None)
        self.assertEqual(1, keeper.run_count)
        self.clock.advance(QUEUE_TTL_S + 1.0)
        keeper.process()
        self.assertEqual(0, keeper.run_count)


class ManyGatewaysTest(unittest.TestCase):
    """Gateways with uneven traffic, while sides restart and change."""

    def setUp(self) -> None:
        self.clock = FakeClock(self)

    @parameterized.expand(
        [
            (f"{per_s}_a_second_{label}_seed_{seed}", per_s, restart_s, takeover, seed)
            for per_s in (0.0, 0.3, 1.0, 6.0, 40.0)
            for label, restart_s, takeover in (
                ("calm", 0.0, False),
                ("sides_restart", 3.0, False),
                ("two_sides_count", 0.0, True),
            )
            for seed in (1, 2)
        ]
    )
    def test_an_engine_gets_no_more_than_the_operators_allow(
        self, _: str, per_s: float, restart_s: float, takeover: bool, seed: int
    ) -> None:
        rng = random.Random(seed)
        queues = [PlaceQueue(lambda: per_s) for _ in range(2 if takeover else 1)]
        sent: list[float] = []
        restart_at = self.clock.now + restart_s
        for number in range(6000):
            self.clock.advance(rng.expovariate(300.0))
            if restart_s and self.clock.now > restart_at:
                restart_at += restart_s
                queues[0] = PlaceQueue(lambda: per_s)
            # Gateways leave out a side for a second; two count for a little longer.
            queue = queues[rng.randrange(2) if takeover and self.clock.now < START_S + 1.5 else 0]
            budget_ms = rng.choice((0, 0, 500))
            request = PlaceRequest(f"{number}", "r", per_s, 0, rng.randrange(3), budget_ms)
            queue.submit(request, lambda: sent.append(self.clock.now), lambda _: None)
            queue.process()
        allowed = WINDOW_S * per_s * ALLOWED_RATIO + ALLOWED_EXCESS
        self.assertLessEqual(most_in_window(sent), allowed)


class LocalShareTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)

    @parameterized.expand(
        [
            (
                f"{gateways}_gateways_{per_s}_a_second_{label}_seed_{seed}",
                gateways,
                per_s,
                idle,
                seed,
            )
            for gateways in (1, 4, 21, 60)
            for per_s in (0.0, 0.3, 1.0, 6.0)
            for label, idle in (("steady", 0.0), ("after_idle_time", 120.0))
            for seed in (1, 2, 3)
        ]
    )
    def test_the_shares_of_all_gateways_keep_the_limit(
        self, _: str, gateways: int, per_s: float, idle_s: float, seed: int
    ) -> None:
        rng = random.Random(seed)
        shares = [LocalShare(rng) for _ in range(gateways)]
        for share in shares:
            share.reserve(per_s, gateways, 0.0)
        self.clock.advance(idle_s)
        sent: list[float] = []
        for _step in range(400):
            self.clock.advance(0.05)
            for share in shares:
                reserved, wait_s = share.reserve(per_s, gateways, 0.0)
                self.assertEqual(reserved, not wait_s)
                sent.extend([self.clock.now] * reserved)
        allowed = WINDOW_S * per_s * ALLOWED_RATIO + ALLOWED_EXCESS
        self.assertLessEqual(most_in_window(sent), allowed)

    def test_a_place_that_isnt_used_lapses(self) -> None:
        share = LocalShare(random.Random(1))
        _, wait_s = share.reserve(0.1, 1, 0.0)
        self.clock.advance(wait_s + PLACE_LAPSE_S + 0.1)
        self.assertFalse(share.reserve(0.1, 1, 0.0)[0])

    def test_a_place_can_be_waited_for(self) -> None:
        share = LocalShare(random.Random(1))
        interval_s = 1.0 / USED_SHARE
        reserved, wait_s = share.reserve(1.0, 1, interval_s)
        self.assertTrue(reserved)
        self.assertEqual((True, wait_s + interval_s), share.reserve(1.0, 1, 2 * interval_s))

    def test_a_higher_limit_brings_the_next_place_nearer(self) -> None:
        share = LocalShare(random.Random(1))
        share.reserve(0.001, 1, 0.0)
        self.assertLessEqual(share.reserve(1.0, 1, 0.0)[1], 1.0 / USED_SHARE)


class RateLimitTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)
        self.table = RateLimitTable()

    @parameterized.expand(
        [
            ("never_named", [(None, 0)], None, ()),
            ("named", [(2.0, 0)], 2.0, ("r",)),
            ("changed", [(2.0, 1), (3.0, 0)], 3.0, ("r",)),
            ("withdrawn", [(2.0, 1), (None, 0)], None, ("r",)),
            ("named_again", [(2.0, 2), (None, 1), (1.0, 0)], 1.0, ("r",)),
        ]
    )
    def test_the_latest_statement_counts(
        self,
        _: str,
        statements: Sequence[tuple[float | None, float]],
        per_s: float | None,
        runs: Sequence[str],
    ) -> None:
        other = RateLimitTable()
        for value, age_s in statements:
            self.clock.now = START_S - age_s
            self.table.record("r", value)
            other.record("r", value)
        self.clock.now = START_S
        for _repeat in range(2):
            self.table.merge(reversed(other.limits))
            self.assertEqual(per_s, self.table.per_s("r"))
        self.assertEqual(runs, tuple(limit.run for limit in self.table.limits))

    def test_an_older_statement_of_another_process_changes_nothing(self) -> None:
        self.table.record("r", 2.0)
        self.table.merge([RateLimit("r", None, START_S - 1.0)])
        self.assertEqual(2.0, self.table.per_s("r"))

    def test_another_run_at_the_address_has_no_limit(self) -> None:
        self.table.record("i-1/5", 2.0)
        self.assertIsNone(self.table.per_s("i-2/5"))

    def test_statements_are_forgotten(self) -> None:
        self.table.record("r", 2.0)
        self.clock.advance(LIMIT_MEMORY_S + 1.0)
        self.assertEqual((), self.table.limits)
