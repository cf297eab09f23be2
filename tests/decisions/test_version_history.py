"""What gateways and sides remember of engines' software versions."""

import unittest
from typing import Any

from parameterized import parameterized

from pearshed._internal.decisions.version_history import HISTORY_S, VersionHistory
from pearshed._internal.engine_side import stream_origins
from pearshed._internal.engine_side.stream_origins import (
    AMBIGUOUS,
    MAX_ORIGINS,
    ORIGIN_TTL_S,
    OriginTable,
    content_key,
    stream_key,
)
from pearshed._internal.models.routing import EndpointEntry, RoutingConfiguration
from pearshed._internal.models.stream_origin import StreamOrigin
from tests.lib.fakes import FakeClock
from tests.lib.routed_calls import entry, route, routing

_ROUTE, _OTHER = route("draft"), route("draft", services=("other",))
_SPLIT = route("draft", services=("fleet", "other"))
#: Takes some of the first route's requests to another service.
_LONGER = route("letters", "/letters/", ("other",))
V1, V2 = StreamOrigin("fleet", "v1"), StreamOrigin("fleet", "v2")


def engine(number: int, version: str, **overrides: Any) -> EndpointEntry:
    """Create an engine's entry."""
    return entry(number, software_version=version, **overrides)


class VersionHistoryTest(unittest.TestCase):
    @parameterized.expand(
        [
            # what happens, in order: versions listed, seconds that pass, or what else is noticed
            ("one_version", [["v1", "v1"], HISTORY_S], V1),
            ("known_for_too_short_a_time", [["v1"], HISTORY_S - 1.0], None),
            ("two_versions", [["v1", "v2"], HISTORY_S], None),
            ("replaced_lately", [["v1"], HISTORY_S, ["v2"], 5.0], None),
            ("replaced_long_ago", [["v1"], 9.0, ["v2"], HISTORY_S + 1.0], V2),
            ("gone_lately", [["v1"], HISTORY_S, [], 5.0], V1),
            ("gone_long_ago", [["v1"], HISTORY_S, [], HISTORY_S + 1.0], None),
            ("read_anew_lately", [["v1"], 60.0, "gap", ["v1"], 9.0], None),
            ("read_anew_now", [["v1"], 60.0, "gap", ["v1"]], None),
            ("read_anew_long_ago", [["v1"], 60.0, "gap", ["v1"], HISTORY_S], V1),
            ("listed_within_one_response", [["v1"], HISTORY_S, "brief v2", ["v1"], 5.0], None),
            ("listed_briefly_long_ago", [["v1"], 5.0, "brief v2", ["v1"], HISTORY_S + 1.0], V1),
            ("no_version_named", [["", ""], HISTORY_S], None),
            ("other_routes_lately", [["v1"], 60.0, routing(_OTHER), 5.0], None),
            ("led_elsewhere_lately", [["v1"], routing(_OTHER), 60.0, routing(_ROUTE), 5.0], None),
            ("another_prefix_lately", [["v1"], 60.0, routing(_ROUTE, _LONGER), 5.0], None),
            (
                "another_prefix_gone",
                [["v1"], routing(_ROUTE, _LONGER), 60.0, routing(_ROUTE)],
                None,
            ),
            ("same_routes_again", [["v1"], 60.0, routing(_ROUTE), 5.0], V1),
            ("routes_changed_long_ago", [["v1"], 5.0, routing(_ROUTE, _LONGER), HISTORY_S], V1),
        ]
    )
    def test_only_a_version_without_others_is_known_to_have_begun_all_streams(
        self,
        _: str,
        steps: list[list[str] | float | str | RoutingConfiguration],
        expected: StreamOrigin | None,
    ) -> None:
        fake_clock = FakeClock(self)
        history = VersionHistory()
        history.record_gap()
        history.update_routes(routing(_ROUTE))
        for step in steps:
            if isinstance(step, float):
                fake_clock.advance(step)
            elif isinstance(step, RoutingConfiguration):
                history.update_routes(step)
            elif isinstance(step, list):
                history.update(engine(number, version) for number, version in enumerate(step))
            elif step == "gap":
                history.record_gap()
            else:
                history.record(engine(9, step.removeprefix("brief ")))
        self.assertEqual(expected, history.sole_origin(_ROUTE, fake_clock.now))
        self.assertIsNone(history.sole_origin(_OTHER, fake_clock.now))
        self.assertIsNone(history.sole_origin(_SPLIT, fake_clock.now))

    def test_nothing_is_concluded_before_the_list_is_known(self) -> None:
        fake_clock = FakeClock(self)
        history = VersionHistory()
        history.update_routes(routing(_ROUTE))
        history.update([engine(1, "v1")])
        fake_clock.advance(2 * HISTORY_S)
        self.assertIsNone(history.sole_origin(_ROUTE, fake_clock.now))

    def test_a_request_that_came_before_enough_was_known_is_not_answered_from_it(self) -> None:
        fake_clock = FakeClock(self)
        history = VersionHistory()
        history.record_gap()
        history.update_routes(routing(_ROUTE))
        history.update([engine(1, "v1")])
        arrived_at = fake_clock.now + HISTORY_S - 1.0
        fake_clock.advance(HISTORY_S + 1.0)
        self.assertIsNone(history.sole_origin(_ROUTE, arrived_at))
        self.assertEqual(V1, history.sole_origin(_ROUTE, fake_clock.now))


class StreamOriginTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("same_version", engine(1, "v1"), engine(2, "v1"), True),
            ("other_version", engine(1, "v1"), engine(2, "v2"), False),
            ("other_service", engine(1, "v1"), engine(2, "v1", service="other"), False),
            ("restarted", engine(1, "v1"), engine(1, "v1", started_at_ms=7), True),
            ("same_run_without_version", engine(1, ""), engine(1, ""), True),
            ("restarted_without_version", engine(1, ""), engine(1, "", started_at_ms=7), False),
            ("others_without_version", engine(1, ""), engine(2, ""), False),
        ]
    )
    def test_engines_share_an_origin(
        self, _: str, first: EndpointEntry, second: EndpointEntry, shared: bool
    ) -> None:
        self.assertEqual(shared, StreamOrigin.of(first) == StreamOrigin.of(second))


class RestartedEngineTest(unittest.TestCase):
    @parameterized.expand(
        [
            # start by the entry, start by the side, whether it has the version of the entry
            ("as_listed", 5, 5, True),
            ("not_known_to_the_side", 5, 0, True),
            ("restarted", 5, 7, False),
            ("not_listed", 0, 7, False),
        ]
    )
    def test_a_run_that_the_entry_does_not_describe_has_no_version_of_it(
        self, _: str, listed_ms: int, reported_ms: int, listed_version: bool
    ) -> None:
        listed = engine(1, "v1", started_at_ms=listed_ms)
        self.assertEqual(listed_version, StreamOrigin.of(listed, reported_ms) == V1)


class OriginTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)
        self.table = OriginTable()

    def test_what_began_a_stream_holds_against_later_reports(self) -> None:
        self.table.record("s", V1)
        self.table.record("s", V2)
        self.assertEqual(V1, self.table.find("s"))

    @parameterized.expand(
        [("one_version", (V1, V1), V1), ("two_versions", (V1, V2, V1), AMBIGUOUS)]
    )
    def test_a_content_has_an_origin_while_one_version_has_answered_it(
        self, _: str, origins: tuple[StreamOrigin, ...], expected: StreamOrigin
    ) -> None:
        for origin in origins:
            self.table.record(content_key("c"), origin)
        self.assertEqual(expected, self.table.find(content_key("c")))

    def test_a_stream_is_forgotten_when_it_has_not_gone_on_for_long(self) -> None:
        self.table.record("s", V1)
        self.clock.advance(ORIGIN_TTL_S - 1.0)
        self.table.record("s", V1)
        self.clock.advance(ORIGIN_TTL_S - 1.0)
        self.assertEqual(V1, self.table.find("s"))
        self.clock.advance(2.0)
        self.assertIsNone(self.table.find("s"))
        self.table.record("t", V2)
        self.assertEqual(1, len(self.table))

    def test_the_streams_that_went_on_last_are_remembered(self) -> None:
        for number in range(MAX_ORIGINS + 10):
            self.table.record(str(number), V1)
            self.table.record("first", V1)
        self.assertEqual(MAX_ORIGINS, len(self.table))
        self.assertEqual(V1, self.table.find("first"))
        self.assertIsNone(self.table.find("0"))

    def test_keys_have_one_size(self) -> None:
        sizes = {len(stream_key(request_id)) for request_id in ("", "a", "x" * 5000, "\u00e9")}
        self.assertEqual({2 * stream_origins.KEY_BYTES}, sizes)
