"""What is blamed for crashes, and how records of crashes are exchanged."""

import dataclasses
import json
import random
import unittest
from collections.abc import Mapping, Sequence

from parameterized import parameterized
from returns.pipeline import is_successful

from pearshed._internal.engine_side import messages
from pearshed._internal.engine_side.crash_records import (
    CRASH_MEMORY_S,
    MAX_RECORDS,
    CrashRecord,
    CrashTable,
)
from pearshed._internal.engine_side.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_REPORT_DATAGRAMS,
    CrashReport,
    RequestFinished,
)
from pearshed._internal.gateway.crash_blame import (
    BLOCK_S,
    MAX_BLOCK_S,
    SUCCESS_LOOKBACK_S,
    assess,
)
from pearshed._internal.gateway.crash_detector import CrashDetector
from pearshed._internal.gateway.side_exchange import (
    EXCHANGE_SIDES,
    MAX_UNANSWERED,
    SIDE_SKIP_S,
    SideExchange,
)
from tests.lib.fakes import START_S, FakeClock
from tests.lib.routed_calls import call, entry

_NOW = 1000.0
_Crash = tuple[float, Sequence[str]]


def crash_records(crashes: Sequence[_Crash]) -> list[CrashRecord]:
    """Create records from ages in seconds and prompts, whose parts are separated by commas."""
    return [
        CrashRecord(
            f"run-{number}", _NOW - age_s, frozenset(tuple(chain.split(",")) for chain in chains)
        )
        for number, (age_s, chains) in enumerate(crashes)
    ]


class AssessmentTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("no_crash", [], {}, "", ""),
            ("one_crash", [(1, ["a"])], {}, "", ""),
            ("two_crashes", [(2, ["a"]), (1, ["a"])], {}, "", "a"),
            ("three_crashes", [(3, ["a"]), (2, ["a"]), (1, ["a"])], {}, "a", "a"),
            ("three_different", [(3, ["a"]), (2, ["b"]), (1, ["c"])], {}, "", ""),
            (
                "bystander_with_fewer_crashes",
                [(4, ["a", "b"]), (3, ["a"]), (2, ["a", "b"]), (1, ["a", "b"])],
                {},
                "a",
                "a",
            ),
            (
                "bystander_that_has_succeeded",
                [(3, ["a", "z"]), (2, ["a", "z"]), (1, ["a", "z"])],
                {"z": 2.5},
                "a",
                "a",
            ),
            (
                "success_shortly_before",
                [(3, ["a"]), (2, ["a"]), (1, ["a"])],
                {"a": 3 + SUCCESS_LOOKBACK_S - 1},
                "",
                "",
            ),
            (
                "success_long_before",
                [(3, ["a"]), (2, ["a"]), (1, ["a"])],
                {"a": 3 + SUCCESS_LOOKBACK_S + 1},
                "a",
                "a",
            ),
            ("later_part", [(3, ["a,b"]), (2, ["a,b"]), (1, ["a,b"])], {}, "b", "b"),
            (
                "later_part_and_one_crash_without_it",
                [(4, ["a,b"]), (3, ["a,b"]), (2, ["a,b"]), (1, ["a,c"])],
                {},
                "b",
                "b",
            ),
            (
                "earlier_part",
                [(5, ["a,b"]), (4, ["a,b"]), (3, ["a,b"]), (2, ["a,c"]), (1, ["a,d"])],
                {},
                "a",
                "a",
            ),
            (
                "only_the_earlier_part_in_common",
                [(n, [f"a,b{n}"]) for n in (3, 2, 1)],
                {},
                "a",
                "a",
            ),
            (
                "earlier_part_that_has_succeeded",
                [(5, ["a,b"]), (4, ["a,b"]), (3, ["a,b"]), (2, ["a,c"]), (1, ["a,d"])],
                {"a": 4},
                "b",
                "b",
            ),
            (
                "two_parts",
                [(n, ["a"]) for n in (9, 8, 7)] + [(n, ["b"]) for n in (3, 2, 1)],
                {},
                "a b",
                "a b",
            ),
            ("long_ago", [(BLOCK_S + n, ["a"]) for n in (3, 2, 1)], {}, "", ""),
            (
                "one_more_crash_after_the_block",
                [(BLOCK_S + n, ["a"]) for n in (3, 2, 1)] + [(1, ["a"])],
                {},
                "a",
                "a",
            ),
            ("order_of_parts_varies", [(n, ["a,b", "b,a"]) for n in (3, 2, 1)], {}, "a", "a"),
        ]
    )
    def test_parts_that_crash_engines(
        self,
        _: str,
        crashes: Sequence[_Crash],
        success_ages_s: Mapping[str, float],
        blocked: str,
        not_retried: str,
    ) -> None:
        successes = {part: _NOW - age_s for part, age_s in success_ages_s.items()}
        records = crash_records(crashes)
        for seed in range(3):
            random.Random(seed).shuffle(records)
            assessment = assess(records, successes, _NOW)
            self.assertEqual(set(blocked.split()), set(assessment.blocked))
            self.assertEqual(set(not_retried.split()), set(assessment.not_retried))

    @parameterized.expand(
        [
            ("one_request_again_and_again", [(n, ["a,x"]) for n in (3, 2, 1)], {}, "x"),
            ("a_plain_request", [(n, ["x", f"other{n}"]) for n in (3, 2, 1)], {}, "x"),
            ("requests_that_share_a_part", [(n, [f"a,x{n}"]) for n in (3, 2, 1)], {}, "a"),
            (
                "a_sound_request_beside_it_twice",
                [(3, ["x", "y"]), (2, ["x", "y"]), (1, ["x"])],
                {},
                "x",
            ),
            (
                "a_sound_request_that_is_sent_often",
                [(n, ["x", "y"]) for n in (3, 2, 1)],
                {"y": 2.5},
                "x",
            ),
            (
                "one_request_and_other_crashes_of_its_first_part",
                [(5, ["a,x"]), (4, ["a,x"]), (3, ["a,x"]), (2, ["a,y"])],
                {},
                "x",
            ),
            (
                "a_part_after_one_request_with_it",
                [(n, ["a,x"]) for n in (5, 4, 3)] + [(2, ["a,y"]), (1, ["a,z"])],
                {},
                "a",
            ),
            (
                "two_requests_in_the_same_crashes",
                [(n, ["a,x", "b,y"]) for n in (3, 2, 1)],
                {},
                "x y",
            ),
            (
                "one_of_two_requests_in_the_same_crashes_and_one_more",
                [(n, ["a,x", "b,y"]) for n in (4, 3, 2)] + [(1, ["a,x"])],
                {},
                "x",
            ),
            (
                "shared_parts_in_the_same_crashes",
                [(n, [f"a,x{n}", f"b,y{n}"]) for n in (3, 2, 1)],
                {},
                "b",
            ),
            (
                "two_requests",
                [(n, ["x"]) for n in (9, 8, 7)] + [(n, ["y", "z"]) for n in (3, 2)] + [(1, ["y"])],
                {},
                "x y",
            ),
        ]
    )
    def test_requests_that_crash_engines(
        self, _: str, crashes: Sequence[_Crash], success_ages_s: Mapping[str, float], blocked: str
    ) -> None:
        successes = {part: _NOW - age_s for part, age_s in success_ages_s.items()}
        assessment = assess(crash_records(crashes), successes, _NOW)
        self.assertEqual(set(blocked.split()), set(assessment.blocked))

    @parameterized.expand(
        [
            ("three_crashes", (0, 1, 2), 2 + BLOCK_S),
            ("more_that_were_on_their_way", (0, 1, 2, 3, 5), 5 + BLOCK_S),
            ("one_after_the_block", (0, 1, 2, 130), 130 + 3 * BLOCK_S),
            ("two_after_blocks", (0, 1, 2, 130, 500), 500 + 9 * BLOCK_S),
            ("one_within_the_longer_block", (0, 1, 2, 130, 300), 300 + 3 * BLOCK_S),
            ("the_longest", (0, 1, 2, 130, 500, 1600, 5000), 5000 + MAX_BLOCK_S),
            ("far_apart", (0, 500, 1000), 1000 + BLOCK_S),
        ]
    )
    def test_each_crash_after_a_block_makes_the_next_longer(
        self, _: str, times: Sequence[float], blocked_until: float
    ) -> None:
        records = [
            CrashRecord(f"r{number}", time, frozenset([("x",)]))
            for number, time in enumerate(times)
        ]
        assessment = assess(records, {}, max(times))
        self.assertEqual(blocked_until, assessment.blocked["x"].blocked_until)

    def test_a_refuted_crash_blames_nothing(self) -> None:
        records = crash_records([(3, ["a"]), (2, ["a"]), (1, ["a"])])
        records[1] = dataclasses.replace(records[1], refuted=True)
        self.assertFalse(assess(records, {}, _NOW).blocked)

    def test_a_part_is_blocked_for_a_time_after_its_latest_crash(self) -> None:
        records = crash_records([(30, ["a"]), (20, ["a"]), (10, ["a"])])
        self.assertEqual(_NOW - 10 + BLOCK_S, assess(records, {}, _NOW).blocked["a"].blocked_until)


class CrashTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)
        self.table = CrashTable()

    def test_the_reports_of_several_gateways_are_one_crash(self) -> None:
        self.table.record_crash("r", [("a", "b")])
        self.clock.advance(0.01)
        self.table.merge([CrashRecord("r", START_S + 0.01, frozenset([("c",)]))], {"c": START_S})
        (record,) = self.table.records
        self.assertEqual((START_S, {("a", "b"), ("c",)}), (record.crashed_at, set(record.suspects)))

    def test_a_run_that_crashes_after_it_had_responded_is_recorded_again(self) -> None:
        self.table.record_crash("r", [("a",)])
        self.assertFalse(self.table.refute("r", START_S - 1.0))
        self.clock.advance(1.0)
        self.assertTrue(self.table.refute("r", START_S + 0.5))
        self.table.record_crash("r", [("a",)])
        self.assertEqual([False, True], [record.refuted for record in self.table.records])

        self.clock.advance(1.0)
        self.assertTrue(self.table.refute("r", self.clock.now - 0.5))
        self.assertEqual([True, True], [record.refuted for record in self.table.records])

    def test_crashes_are_forgotten(self) -> None:
        self.table.record_crash("r", [("a",)])
        self.clock.advance(CRASH_MEMORY_S + 1.0)
        self.assertEqual((), self.table.records)

    def test_only_the_latest_crashes_are_remembered(self) -> None:
        for number in range(MAX_RECORDS + 5):
            self.clock.advance(0.1)
            self.table.record_crash(f"r{number}", [("a",)])
        runs = [record.run for record in self.table.records]
        self.assertEqual((MAX_RECORDS, f"r{MAX_RECORDS + 4}"), (len(runs), runs[0]))

    def test_refuted_crashes_are_dropped_before_others(self) -> None:
        self.table.record_crash("r", [("a",)])
        for number in range(MAX_RECORDS * 2):
            self.clock.advance(0.1)
            self.table.record_crash(f"r{number}", [("b",)])
            self.clock.advance(0.1)
            self.table.refute(f"r{number}", self.clock.now)
        self.assertEqual(["r"], [item.run for item in self.table.records if not item.refuted])


class CrashReportTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)

    def test_ages_survive_the_transfer(self) -> None:
        record = CrashRecord("i-1/5", START_S - 2.0, frozenset([("a", "b"), ("c",)]), True)
        report = CrashReport("", (record,), {"b": START_S - 3.0})
        decoded = messages.decode(messages.encode(report)).unwrap()
        assert isinstance(decoded, CrashReport)
        self.assertEqual((record,), decoded.records)
        # A success never seems later than it was.
        self.assertAlmostEqual(START_S - 3.15, decoded.successes["b"])

    def test_a_report_of_many_crashes_fits_into_a_datagram(self) -> None:
        records = tuple(
            CrashRecord(
                f"i-{number:010x}/1700000000000",
                START_S - number,
                frozenset((f"{part:016x}", f"{number:016x}") for part in range(12)),
            )
            for number in range(MAX_RECORDS)
        )
        successes = {f"{part:016x}": START_S for part in range(12)}
        datagram = messages.encode(CrashReport("", records, successes))
        self.assertLessEqual(len(datagram), MAX_DATAGRAM_BYTES)
        decoded = messages.decode(datagram).unwrap()
        assert isinstance(decoded, CrashReport)
        self.assertEqual(records[: len(decoded.records)], decoded.records)
        self.assertGreater(len(decoded.records), 2)

    def test_a_long_report_is_complete_after_all_its_datagrams(self) -> None:
        records = tuple(
            CrashRecord(
                f"i-{number:010x}/1700000000000",
                START_S - number,
                frozenset(
                    (f"{part % 5:012x}", f"request:{number:08x}{part:08x}") for part in range(100)
                ),
            )
            for number in range(3)
        )
        successes = {f"{part:012x}": START_S for part in range(5)}
        datagrams = messages.encode_all(CrashReport("", records, successes))
        self.assertGreater(len(datagrams), 2)
        table = CrashTable()
        for datagram in random.Random(1).sample(datagrams, len(datagrams)):
            self.assertLessEqual(len(datagram), MAX_DATAGRAM_BYTES)
            report = messages.decode(datagram).unwrap()
            assert isinstance(report, CrashReport)
            table.merge(report.records, report.successes)
        self.assertEqual(records, table.records)
        self.assertEqual(successes.keys(), table.successes.keys())

    def test_a_report_has_a_largest_size(self) -> None:
        records = tuple(
            CrashRecord(f"r{n}", START_S - n, frozenset((f"{n}-{part}",) for part in range(200)))
            for n in range(MAX_RECORDS)
        )
        datagrams = messages.encode_all(CrashReport("", records, {}))
        self.assertEqual(MAX_REPORT_DATAGRAMS, len(datagrams))

    def test_builds_without_crash_reports_read_the_end_of_no_request(self) -> None:
        record = CrashRecord("i-1/5", START_S, frozenset([("a",)]))
        datagram = messages.encode(CrashReport("", (record,), {}))
        kind, reservation, longest_gap_ms, *_ = json.loads(datagram)
        ended = messages.decode(json.dumps([kind, reservation, longest_gap_ms]).encode())
        self.assertEqual(RequestFinished("", 0), ended.unwrap())

    @parameterized.expand(
        [
            ("no_list", b'["d","",0,5,[]]'),
            ("age_no_number", b'["d","",0,[["r","soon",0,[]]],[]]'),
            ("suspects_no_list", b'["d","",0,[["r",1,0,5]],[]]'),
            ("success_without_age", b'["d","",0,[],[["a"]]]'),
        ]
    )
    def test_malformed_reports_are_refused(self, _: str, datagram: bytes) -> None:
        self.assertFalse(is_successful(messages.decode(datagram)))


class ExchangeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)
        self.sent: list[str] = []
        self.crashes = CrashDetector()
        self.exchange = SideExchange(lambda report, host: self.sent.append(host))
        self.exchange.add(self.crashes)
        self.hosts = [f"10.0.0.{number}" for number in range(5)]

    def chosen(self, *, answered: bool) -> set[str]:
        self.sent.clear()
        self.clock.advance(0.5)
        self.exchange.exchange(self.hosts)
        for host in self.sent if answered else ():
            self.exchange.record_response(host)
        return set(self.sent)

    def test_the_same_sides_are_chosen_while_engines_are_gone(self) -> None:
        first = self.chosen(answered=True)
        self.assertEqual(EXCHANGE_SIDES, len(first))
        self.hosts = []
        self.assertEqual(first, self.chosen(answered=True))

    def test_many_crashes_at_once_are_one_report_and_replace_no_side(self) -> None:
        first = self.chosen(answered=True)
        self.sent.clear()
        for number in range(MAX_UNANSWERED * 3):
            self.crashes.record_crash(entry(number), call(number, "a", 500))
            self.clock.advance(0.01)
        self.exchange.exchange(self.hosts)
        self.exchange.exchange(self.hosts)
        self.assertEqual(sorted(first), sorted(self.sent))
        self.assertEqual(first, self.chosen(answered=True))

    def test_sides_that_dont_respond_are_replaced_for_a_while(self) -> None:
        first = self.chosen(answered=False)
        for _ in range(MAX_UNANSWERED):
            self.chosen(answered=False)
        self.assertTrue(first.isdisjoint(self.chosen(answered=True)))
        self.clock.advance(SIDE_SKIP_S)
        self.assertEqual(first, self.chosen(answered=True))
