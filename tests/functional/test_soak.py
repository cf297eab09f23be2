"""Runs the soak briefly with fixed seeds; each seed that ever failed is kept with its cause."""

import asyncio
import contextlib
import pathlib
import subprocess
import sys
import tempfile
import time
import unittest

import psutil
from parameterized import parameterized

from soak.__main__ import Evacuations, run_soak
from soak.crowds import Crowds

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_DURATION_S = 6.0
#: Processes that a soak of the usual size starts: two gateways and three sides.
_NODES = 5
_POLL_S = 0.05


class SoakTest(unittest.TestCase):
    @parameterized.expand(
        [("first", 1), ("responses_broken_off", 607), ("limits_and_crashes", 920)]
    )
    def test_invariants_hold(self, _: str, seed: int) -> None:
        with tempfile.TemporaryDirectory() as directory:
            passed = asyncio.run(run_soak(seed, _DURATION_S, pathlib.Path(directory), (2, 3, 6)))
        self.assertTrue(passed)

    @parameterized.expand([(Evacuations.OBEYED, True), (Evacuations.IGNORED, False)])
    def test_evacuations_hold_unless_they_are_ignored(
        self, evacuations: Evacuations, holds: bool
    ) -> None:
        size = (2, 3, 6)
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory)
            passed = asyncio.run(run_soak(12, _DURATION_S, path, size, evacuations))
        self.assertEqual(holds, passed)

    @parameterized.expand([(Crowds.ENDURED, True), (Crowds.UNBOUNDED, False)])
    def test_crowds_are_endured_unless_what_they_hold_is_unbounded(
        self, crowds: Crowds, holds: bool
    ) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory)
            passed = asyncio.run(run_soak(41, _DURATION_S, path, (2, 3, 6), crowds=crowds))
        self.assertEqual(holds, passed)

    def test_a_planned_stop_in_calm_cuts_nothing(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory)
            passed = asyncio.run(run_soak(2, 1.0, path, (3, 3, 12), stops_in_calm=True))
        self.assertTrue(passed)

    def test_the_check_of_the_retry_limit_finds_gateways_that_exceed_it(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory)
            passed = asyncio.run(
                run_soak(3, _DURATION_S, path, (2, 3, 12), ignores_retry_limit=True)
            )
        self.assertFalse(passed)

    def test_a_soak_that_is_terminated_leaves_no_process_behind(self) -> None:
        arguments = ["--seed", "1", "--seconds", "60"]
        soak = subprocess.Popen(
            [sys.executable, "-m", "soak", *arguments], cwd=_ROOT, stdout=subprocess.DEVNULL
        )
        self.addCleanup(soak.kill)
        children: list[psutil.Process] = []
        while len(children) < _NODES and soak.poll() is None:
            time.sleep(_POLL_S)
            children = psutil.Process(soak.pid).children()
        self.addCleanup(_kill, children)
        soak.terminate()
        soak.wait()
        left = [child for child in children if child.is_running()]
        self.assertEqual([], left)


def _kill(processes: list[psutil.Process]) -> None:
    for process in processes:
        with contextlib.suppress(psutil.NoSuchProcess):
            process.kill()
