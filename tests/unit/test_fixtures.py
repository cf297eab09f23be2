"""Tests of the test helpers."""

import unittest

from tests.lib.gateway_fixture import free_address


class FreeAddressTest(unittest.TestCase):
    def test_returned_ports_are_unique(self) -> None:
        ports = [free_address().port for _ in range(2000)]
        self.assertEqual(2000, len(set(ports)))
