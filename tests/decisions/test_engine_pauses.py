"""How long an engine that has asked for a pause gets no requests."""

import math
import unittest

from parameterized import parameterized

from pearshed._internal.decisions.engine_pauses import (
    MAX_PAUSE_S,
    UNREADABLE_PAUSE_S,
    parse_pause,
)


class PauseValueTest(unittest.TestCase):
    """Guards against pauses without end, and against pauses that are ignored."""

    @parameterized.expand(
        [
            # value, pause kept, odd
            ("seconds", b"3", 3.0, False),
            ("fraction", b"0.25", 0.25, False),
            ("spaces", b" 2 ", 2.0, False),
            ("zero", b"0", 0.0, False),
            ("negative", b"-4", 0.0, True),
            ("huge", b"9" * 5000, MAX_PAUSE_S, True),
            ("beyond_a_float", b"1e999", MAX_PAUSE_S, True),
            ("below_a_float", b"-1e999", 0.0, True),
            ("an_hour", b"3600", MAX_PAUSE_S, True),
            ("infinite", b"Infinity", MAX_PAUSE_S, True),
            ("not_a_number", b"nan", UNREADABLE_PAUSE_S, True),
            ("word", b"soon", UNREADABLE_PAUSE_S, True),
            ("date", b"Sat, 05 Dec 2026 01:00:00 GMT", UNREADABLE_PAUSE_S, True),
            ("two_values", b"1, 2", UNREADABLE_PAUSE_S, True),
            ("no_ascii", b"\xb2", UNREADABLE_PAUSE_S, True),
        ]
    )
    def test_pause(self, _: str, value: bytes, pause_s: float, odd: bool) -> None:
        asked = parse_pause(value)
        self.assertEqual((pause_s, odd), (asked.pause_s, asked.odd))
        self.assertTrue(math.isfinite(asked.pause_s))
        self.assertLess(len(asked.text), 100)
