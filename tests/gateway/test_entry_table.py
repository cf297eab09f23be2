"""Which listed endpoints are used, over orders of drills, leases that lapse, and departures."""

import json
import unittest
from typing import Any

from parameterized import parameterized

from pearshed._internal.decisions.restored_items import EXPIRY_MARGIN_S
from pearshed._internal.gateway.availability.entry_table import EXPIRY_GRACE_S, EntryTable
from pearshed._internal.gateway.store import StoreItem
from pearshed._internal.models.revisions import compose
from pearshed._internal.models.routing import EndpointState
from pearshed._internal.platform.documents import PlatformDocuments
from pearshed._internal.platform.store_client import PlatformStore
from pearshed._internal.timers import clock
from pearshed._internal.utils.addresses import Address
from tests.lib.fakes import FakeClock
from tests.lib.gateway_platform import entry_document

_LEASE_S = 3.6
_LEASE_IS_OVER_S = _LEASE_S + EXPIRY_MARGIN_S + 0.1
_ENTRY = entry_document("fleet", "10.0.0.1:80", born=1_700_000_000_000)


def _item(era: int, count: int, **fields: Any) -> StoreItem:
    value = json.dumps({**_ENTRY, **fields}).encode()
    return StoreItem("servers/i-1", compose(era, count), value)


def _deletion(era: int, count: int) -> StoreItem:
    return StoreItem("servers/i-1", compose(era, count), None)


class EntryTableTest(unittest.TestCase):
    """Guards against engines that a drill takes out of use for good, or brings back.

    A step of a series is an item, a list of all items, or a time to wait, in seconds, after which
    the store confirms its list. All read the store after the drill; the copy ends at count 50 of
    era 2.
    """

    def setUp(self) -> None:
        self.clock = FakeClock(self)
        self.table = EntryTable(
            PlatformStore(Address("127.0.0.1", 1)), PlatformDocuments(), lambda: _LEASE_S
        )

    def play(self, steps: list[Any]) -> None:
        for step in steps:
            if isinstance(step, StoreItem):
                self.table.apply(step)
            elif isinstance(step, tuple):
                era, count, items = step
                if era > 1:
                    self.table.note_copy(compose(2, 50))
                self.table.replace(items, compose(era, count))
                self.table.confirm(clock.now())
            else:
                self.clock.advance(step)
                self.table.confirm(clock.now())
                self.table.drop_expired()

    @parameterized.expand(
        [
            # Lapsed and back before the drill; the entry is written again before the first read.
            (
                "lapsed_and_back",
                [_item(1, 9), _deletion(1, 20), _item(1, 30), (2, 55, [_item(2, 45)])],
                True,
            ),
            (
                "lapsed_and_back_in_the_copy",
                [_item(1, 9), _deletion(1, 20), _item(1, 30), (2, 55, [_item(2, 30)])],
                True,
            ),
            # It joined in the seconds that the copy lacks, and registers again.
            (
                "joined_in_the_lost_seconds",
                [_item(1, 60), (2, 50, []), EXPIRY_GRACE_S, _item(2, 52), (2, 55, [_item(2, 52)])],
                True,
            ),
            # Removed in the era before; this process reads again once all is written again.
            (
                "lapsed_across_the_drill",
                [_item(1, 9), _deletion(1, 60), (2, 50, [_item(2, 48)])],
                False,
            ),
            (
                "lapsed_across_the_drill_and_still_listed",
                [_item(1, 9), _deletion(1, 60), (2, 50, [_item(2, 48)]), _LEASE_IS_OVER_S],
                True,
            ),
            (
                "listed_for_less_than_a_lease",
                [_item(1, 9), _deletion(1, 60), (2, 50, [_item(2, 48)]), _LEASE_S],
                False,
            ),
            (
                "listed_for_a_lease_across_a_gap",
                [
                    _item(1, 9),
                    _deletion(1, 60),
                    (2, 50, [_item(2, 48)]),
                    3.0,
                    (2, 70, [_item(2, 48)]),
                    2.0,
                ],
                True,
            ),
            (
                "registers_again_after_the_copy",
                [_item(1, 9), _deletion(1, 60), (2, 50, [_item(2, 48)]), _item(2, 51)],
                True,
            ),
            (
                "left_before_the_drill",
                [_item(1, 9), _deletion(1, 20), (2, 50, [_item(2, 9)])],
                False,
            ),
            (
                "left_before_the_drill_and_expires",
                [
                    _item(1, 9),
                    _deletion(1, 20),
                    (2, 50, [_item(2, 9)]),
                    _LEASE_S,
                    _deletion(2, 53),
                    9.0,
                ],
                False,
            ),
            (
                "left_before_the_drill_and_expires_in_a_gap",
                [_item(1, 9), _deletion(1, 20), (2, 50, [_item(2, 9)]), _LEASE_S, (2, 60, []), 9.0],
                False,
            ),
            (
                "drained_before_the_drill",
                [_item(1, 9), _item(1, 20, state="draining"), (2, 50, [_item(2, 9)])],
                False,
            ),
            (
                "drained_after_the_drill",
                [
                    _item(1, 9),
                    (2, 50, [_item(2, 9)]),
                    _item(2, 52, state="draining"),
                    (2, 60, [_item(2, 52, state="draining")]),
                    9.0,
                ],
                False,
            ),
            (
                "another_run_of_one_that_left",
                [_item(1, 9), _deletion(1, 20), (2, 50, [_item(2, 48, born=1_700_000_009_000)])],
                True,
            ),
        ]
    )
    def test_an_endpoint_is_used_if_it_must_be_alive(
        self, _: str, steps: list[Any], used: bool
    ) -> None:
        self.play(steps)
        ready = [one for one in self.table.entries.values() if one.state is EndpointState.READY]
        self.assertEqual(used, bool(ready))

    def test_what_is_set_aside_is_dumped_and_logged_once(self) -> None:
        with self.assertLogs("absl", "INFO") as logs:
            self.play([_item(1, 9), _deletion(1, 60), (2, 50, [_item(2, 48)]), 1.5])
            self.play([(2, 60, [_item(2, 48)])])
        doubted = {
            "identity": "i-1",
            "service": "fleet",
            "revision": compose(2, 48),
            "listed_s": 1.5,
        }
        self.assertEqual([doubted], self.table.dump())
        messages = [record.msg for record in logs.records]
        self.assertEqual(1, messages.count("endpoint.copied"))
        with self.assertLogs("absl", "INFO") as logs:
            self.play([_LEASE_IS_OVER_S])
        self.assertEqual([], self.table.dump())
        self.assertIn("endpoint.listed", [record.msg for record in logs.records])
