"""When an entry that has started may use its configuration."""

import unittest

from parameterized import parameterized

from pearshed._internal.configuration.feed import FeedChange
from pearshed._internal.configuration.store import RecordStore
from pearshed._internal.entry.startup_check import (
    HALF_ENOUGH_AFTER_S,
    ONE_ENOUGH_AFTER_S,
    StartupCheck,
)
from pearshed._internal.membership.vm_view import VMView
from pearshed._internal.peers import frames
from pearshed._internal.peers import peer_pb2 as pb
from pearshed._internal.peers.relay import FeedRelay
from tests.lib.fakes import FakeClock


class StartupCheckTest(unittest.TestCase):
    @parameterized.expand(
        [
            # seconds since the start, sides, those that have confirmed it, confirmed
            ("no_side_known", 0.5, 0, 0, False),
            ("one_of_three", 0.5, 3, 1, False),
            ("all", 0.0, 3, 3, True),
            ("one_of_three_after_a_second", HALF_ENOUGH_AFTER_S, 3, 1, False),
            ("two_of_three_after_a_second", HALF_ENOUGH_AFTER_S, 3, 2, True),
            ("one_of_three_after_seconds", ONE_ENOUGH_AFTER_S, 3, 1, True),
            ("none_after_seconds", ONE_ENOUGH_AFTER_S, 3, 0, False),
        ]
    )
    def test_confirmed(
        self, _: str, elapsed_s: float, sides: int, compared: int, confirmed: bool
    ) -> None:
        clock = FakeClock(self)
        check = StartupCheck()
        clock.advance(elapsed_s)
        check.update(sides, compared)
        self.assertEqual(confirmed, check.confirmed)

    def test_a_confirmed_configuration_stays_in_use_when_sides_are_lost(self) -> None:
        FakeClock(self)
        check = StartupCheck()
        check.update(2, 2)
        check.update(2, 0)
        self.assertTrue(check.confirmed)


class ComparedPeersTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("nothing_reported", (), 0),
            ("one_feed", (3, None), 0),
            ("both_as_old", (3, 2), 1),
            ("both_older", (1, 1), 1),
            ("newer_records", (4, 2), 0),
            ("newer_vms", (3, 5), 0),
        ]
    )
    def test_peers_without_newer_feeds(
        self, _: str, reported: tuple[int | None, ...], expected: int
    ) -> None:
        feeds = (RecordStore(), VMView())
        for feed, in_force in zip(feeds, (3, 2), strict=True):
            feed.apply(FeedChange(in_force, ()))
        relay = FeedRelay(feeds)
        sent: list[pb.Frame] = []
        relay.join(sent.append)
        for feed_type, revision in zip((RecordStore, VMView), reported, strict=False):
            if revision is None:
                continue
            peers_feed = feed_type()
            peers_feed.apply(FeedChange(revision, ()))
            relay.handle(frames.feed_state(peers_feed), sent.append)
        self.assertEqual(expected, relay.compared_peers)

    def test_a_peer_that_has_left_counts_no_more(self) -> None:
        relay = FeedRelay((RecordStore(),))
        sent: list[pb.Frame] = []
        peer = relay.join(sent.append)
        relay.handle(frames.feed_state(RecordStore()), sent.append)
        self.assertEqual(1, relay.compared_peers)
        relay.leave(peer)
        self.assertEqual(0, relay.compared_peers)
