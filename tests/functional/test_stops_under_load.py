"""A planned stop cuts off no request, whatever callers send until the process is gone."""

import signal
import unittest

from parameterized import parameterized

from pearshed._internal.utils.addresses import Address
from tests.lib.fleet import Fleet, SmallSite, wait_for
from tests.lib.records import API_KEY
from tests.lib.stop_load import Fate, StopLoad

_ANSWERED_BEFORE = 100


def _plain_call(number: int) -> bytes:
    return (
        f"GET /services/writing/status/{number} HTTP/1.1\r\nHost: entry\r\n"
        f"Authorization: Bearer {API_KEY}\r\nX-Request-Class: chat\r\n\r\n"
    ).encode()


class StopUnderLoadTest(unittest.TestCase):
    @parameterized.expand([("few_callers", 4), ("many_callers", 48)])
    def test_a_stopping_entry_answers_all_requests_that_it_has_accepted(
        self, _: str, callers: int
    ) -> None:
        with Fleet() as fleet:
            site = SmallSite(fleet, endpoints=1, slots=16)
            fleet.set(site.engines[0], first_ms=2)
            load = StopLoad(Address("127.0.0.1", site.entry.port), _plain_call, callers)
            load.start()
            wait_for(lambda: load.counts[Fate.ANSWERED] >= _ANSWERED_BEFORE, "calls before")
            site.entry.signal(signal.SIGTERM)
            self.assertEqual(0, site.entry.wait_exit())
            wait_for(lambda: load.finished, "the callers to find the entry gone")
        self.assertEqual(0, load.counts[Fate.CUT], load.counts)
