"""Short runs of the soak with kept seeds; each seed that ever failed stays here with its cause."""

import asyncio
import pathlib
import tempfile
import unittest

from parameterized import parameterized

from soak.__main__ import soak

_SECONDS = 6.0


class SoakTest(unittest.TestCase):
    @parameterized.expand([("first", 1)])
    def test_promises_hold(self, _: str, seed: int) -> None:
        with tempfile.TemporaryDirectory() as folder:
            held = asyncio.run(soak(seed, _SECONDS, pathlib.Path(folder), (2, 3, 6)))
        self.assertTrue(held)
