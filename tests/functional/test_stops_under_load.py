"""A planned stop cuts off no request, whatever callers send until the process is gone."""

import signal
import threading
import unittest

import urllib3
from parameterized import parameterized

from pearshed._internal.utils.addresses import Address
from tests.lib.fleet import Fleet, Node, SmallSite, chat_body, wait_for
from tests.lib.records import API_KEY
from tests.lib.stop_load import Fate, StopLoad

_ANSWERED_BEFORE = 100


def _plain_call(number: int) -> bytes:
    return (
        f"GET /services/writing/status/{number} HTTP/1.1\r\nHost: entry\r\n"
        f"Authorization: Bearer {API_KEY}\r\nX-Request-Class: chat\r\n\r\n"
    ).encode()


class _Call(threading.Thread):
    """One call whose response is read in a thread."""

    def __init__(self, fleet: Fleet, entry: Node, kind: str) -> None:
        super().__init__(daemon=True)
        self._fleet = fleet
        self._entry = entry
        self._kind = kind
        self.response: urllib3.BaseHTTPResponse | None = None

    def run(self) -> None:
        if self._kind == "order":
            self.response = self._fleet.call(
                self._entry, "/services/writing/orders", b"order", X_Request_Class="order"
            )
        else:
            body = chat_body(stream=self._kind == "stream", max_tokens=40)
            self.response = self._fleet.call(self._entry, body=body)


class LateInStopTest(unittest.TestCase):
    """Entries and sides have no grace of their own: they end with the last request."""

    @parameterized.expand(
        [
            (f"{stopped}_{kind}_{state}", stopped, kind, state)
            for stopped in ("entry", "side")
            for kind in ("stream", "plain", "order")
            for state in ("runs", "waits")
        ]
    )
    def test_a_request_that_runs_or_waits_at_the_stop_is_answered(
        self, _: str, stopped: str, kind: str, state: str
    ) -> None:
        with Fleet() as fleet:
            site = SmallSite(fleet, endpoints=1, slots=1)
            fleet.set(site.engines[0], first_ms=1500, token_ms=50)
            calls = [_Call(fleet, site.entry, kind) for _ in range(2 if state == "waits" else 1)]
            for number, call in enumerate(calls):
                call.start()
                wait_for(lambda: bool(fleet.runs(*site.engines)), "the first run")
                if number:
                    wait_for(lambda: site.sides[0].dump()["queued"] == 1, "a call that waits")
            node = site.entry if stopped == "entry" else site.sides[0]
            node.signal(signal.SIGTERM)
            for call in calls:
                call.join(60)
                assert call.response is not None, "cut without an answer"
            self.assertEqual(0, node.wait_exit())
            statuses = [call.response.status for call in calls if call.response is not None]
            runs = len(fleet.runs(*site.engines))
        self.assertEqual(200, statuses[0])
        # What waits at a side that stops is refused as not run, if no other side can take it.
        self.assertIn(statuses[-1], (200, 503) if stopped == "side" else (200,))
        self.assertEqual(sum(status == 200 for status in statuses), runs)


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
