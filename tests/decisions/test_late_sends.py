"""Which requests a stopping gateway still sends."""

import unittest

from parameterized import parameterized

from pearshed._internal.decisions.late_sends import needs_s


class LateSendsTest(unittest.TestCase):
    @parameterized.expand(
        [
            # target, stream, time until it times out, grace, time that must be left
            ("plain", 0.2, False, 5.0, 8.0, 0.8),
            ("plain_with_a_short_target", 0.05, False, 5.0, 8.0, 0.5),
            ("stream", 0.5, True, 8.0, 8.0, 3.0),
            ("stream_with_a_long_target", 0.9, True, 8.0, 8.0, 3.6),
            ("ends_by_itself_before", 0.9, True, 1.0, 8.0, 1.0),
            ("short_grace", 0.9, True, 8.0, 3.0, 1.5),
        ]
    )
    def test_time_that_must_be_left(
        self,
        _: str,
        target_s: float,
        streaming: bool,
        left_s: float,
        grace_s: float,
        expected: float,
    ) -> None:
        self.assertAlmostEqual(expected, needs_s(target_s, streaming, left_s, grace_s))
