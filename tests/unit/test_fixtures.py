"""Tests of the test helpers."""

import pathlib
import socket
import subprocess
import sys
import tempfile
import unittest

from tests.lib.gateway_fixture import free_address
from tests.lib.ports import PortRegistry

_FIRST, _LAST = 9_600, 9_640
_OTHER_PROCESS = """
import pathlib, sys
from tests.lib.ports import PortRegistry
registry = PortRegistry({first}, {last}, lock_file=pathlib.Path({path!r}))
print(*(registry.take() for _ in range({count})), flush=True)
sys.stdin.read()
"""


class FreeAddressTest(unittest.TestCase):
    def test_returned_ports_are_unique(self) -> None:
        ports = [free_address().port for _ in range(2000)]
        self.assertEqual(2000, len(set(ports)))


class PortRegistryTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "ports"

    def registry(self, most: int = 100) -> PortRegistry:
        return PortRegistry(_FIRST, _LAST, most, self.path)

    def other_process(self, count: int) -> "subprocess.Popen[str]":
        """Start a process that takes some ports and keeps them until its input ends."""
        code = _OTHER_PROCESS.format(first=_FIRST, last=_LAST, path=str(self.path), count=count)
        other = subprocess.Popen(
            [sys.executable, "-c", code], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        self.addCleanup(other.wait)
        for pipe in (other.stdin, other.stdout):
            assert pipe is not None
            self.addCleanup(pipe.close)
        return other

    def test_processes_get_different_ports_although_nobody_listens(self) -> None:
        other = self.other_process(15)
        assert other.stdin is not None and other.stdout is not None
        theirs = {int(port) for port in other.stdout.readline().split()}
        registry = self.registry(15)
        ours = {registry.take() for _ in range(15)}
        self.assertEqual((15, 15), (len(theirs), len(ours)))
        self.assertEqual(set(), ours & theirs)
        other.stdin.close()
        other.wait()
        # The locks have ended with the process.
        later = self.registry()
        self.assertLessEqual(theirs, {later.take() for _ in range(_LAST - _FIRST)})

    def test_a_port_that_is_in_use_is_passed_over(self) -> None:
        with socket.socket() as used:
            used.bind(("127.0.0.1", _FIRST + 1))
            registry = self.registry()
            taken = {registry.take() for _ in range(_LAST - _FIRST - 1)}
        self.assertNotIn(_FIRST + 1, taken)

    def test_own_ports_are_returned_again_the_oldest_first(self) -> None:
        registry = self.registry(most=3)
        first = [registry.take() for _ in range(3)]
        self.assertEqual(first, [registry.take() for _ in range(3)])
