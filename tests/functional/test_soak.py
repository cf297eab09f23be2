"""Runs the soak briefly with fixed seeds; each seed that ever failed is kept with its cause."""

import asyncio
import pathlib
import tempfile
import unittest

from parameterized import parameterized

from soak.__main__ import run_soak

_DURATION_S = 6.0


class SoakTest(unittest.TestCase):
    @parameterized.expand(
        [("first", 1), ("responses_broken_off", 607), ("limits_and_crashes", 920)]
    )
    def test_invariants_hold(self, _: str, seed: int) -> None:
        with tempfile.TemporaryDirectory() as directory:
            passed = asyncio.run(run_soak(seed, _DURATION_S, pathlib.Path(directory), (2, 3, 6)))
        self.assertTrue(passed)
