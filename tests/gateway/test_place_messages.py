"""Datagrams about places and limits, and builds that don't know them."""

import json
import unittest

from parameterized import parameterized
from returns.pipeline import is_successful

from pearshed._internal.engine_side import messages
from pearshed._internal.engine_side.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_REPORTED_LIMITS,
    LimitReport,
    Message,
    PlaceReleased,
    PlaceRequest,
    RequestFinished,
)
from pearshed._internal.engine_side.rate_limits import RateLimit
from tests.lib.fakes import START_S, FakeClock

_REQUEST = PlaceRequest("1/place-1", "i-1/5", 0.5, 250, 3, 400)
_REPORT = LimitReport(
    "", (RateLimit("i-1/5", 0.5, START_S - 2.0), RateLimit("i-2/5", None, START_S - 3.0))
)


class PlaceMessagesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)

    @parameterized.expand(
        [
            ("request", _REQUEST),
            ("released", PlaceReleased("1/place-1", "i-1/5")),
            ("report", _REPORT),
            ("empty_report", LimitReport("", ())),
        ]
    )
    def test_messages_survive_the_transfer(self, _: str, message: Message) -> None:
        self.assertEqual(message, messages.decode(messages.encode(message)).unwrap())

    @parameterized.expand([("request", _REQUEST), ("report", _REPORT)])
    def test_older_builds_read_the_end_of_no_request(self, _: str, message: Message) -> None:
        kind, reservation, longest_gap_ms, *rest = json.loads(messages.encode(message))
        # Builds with crash reports read these from a fourth field on.
        self.assertEqual(1, len(rest))
        ended = messages.decode(json.dumps([kind, reservation, longest_gap_ms]).encode())
        self.assertEqual(RequestFinished(message.reservation, 0), ended.unwrap())

    def test_a_report_of_many_limits_fits_into_a_datagram(self) -> None:
        limits = tuple(
            RateLimit(f"i-{number:028x}/1700000000000", 1234.5678, START_S - 599.0)
            for number in range(MAX_REPORTED_LIMITS * 2)
        )
        datagram = messages.encode(LimitReport("", limits))
        self.assertLessEqual(len(datagram), MAX_DATAGRAM_BYTES)
        decoded = messages.decode(datagram).unwrap()
        assert isinstance(decoded, LimitReport)
        self.assertEqual(limits[:MAX_REPORTED_LIMITS], decoded.limits)

    @parameterized.expand(
        [
            ("no_object", b'["d","",0,5]'),
            ("unknown", b'["d","",0,{"other":[]}]'),
            ("empty", b'["d","",0,{}]'),
            ("place_too_short", b'["d","1",0,{"place":["r",1.0]}]'),
            ("rate_no_number", b'["d","1",0,{"place":["r","x",0,0,0]}]'),
            ("rate_not_finite", b'["d","1",0,{"place":["r",1e999,0,0,0]}]'),
            ("rate_negative", b'["d","1",0,{"place":["r",-1,0,0,0]}]'),
            ("limits_no_list", b'["d","",0,{"limits":5}]'),
            ("limit_too_short", b'["d","",0,{"limits":[["r"]]}]'),
            ("limit_negative", b'["d","",0,{"limits":[["r",-0.5,0]]}]'),
        ]
    )
    def test_malformed_messages_are_refused(self, _: str, datagram: bytes) -> None:
        self.assertFalse(is_successful(messages.decode(datagram)))
