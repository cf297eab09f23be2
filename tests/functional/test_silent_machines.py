"""Running work of a process that is only silent for a while is neither repeated nor given up."""

import threading
import unittest

import urllib3
from parameterized import parameterized

from tests.lib.fleet import Fleet, Node, SmallSite, chat_body, wait_for

_SILENCE_S = 0.3
#: Longer than the time after which an entry looks for another side.
_SILENT_FOR_S = 5 * _SILENCE_S


class _Call(threading.Thread):
    """One call whose response is read in a thread."""

    def __init__(self, fleet: Fleet, entry: Node, streamed: bool) -> None:
        super().__init__(daemon=True)
        self._fleet = fleet
        self._entry = entry
        self._streamed = streamed
        self.response: urllib3.BaseHTTPResponse | None = None

    def run(self) -> None:
        if self._streamed:
            body = chat_body(max_tokens=60)
            self.response = self._fleet.call(self._entry, body=body)
        else:
            self.response = self._fleet.call(
                self._entry, "/services/writing/orders", b"an order", X_Request_Class="order"
            )


class SilentMachineTest(unittest.TestCase):
    @parameterized.expand(
        [
            (f"{silent}_{kind}", silent, kind == "stream")
            for silent in ("side", "link", "entry")
            for kind in ("order", "stream")
        ]
    )
    def test_running_work_of_a_silent_process_goes_on(
        self, _: str, silent: str, streamed: bool
    ) -> None:
        with Fleet() as fleet:
            peers = {"heartbeat_s": 0.1, "silence_s": _SILENCE_S}
            site = SmallSite(fleet, endpoints=2, fault_proxies=True, peers=peers)
            for engine in site.engines:
                fleet.set(engine, first_ms=1000, token_ms=50)
            call = _Call(fleet, site.entry, streamed)
            call.start()
            wait_for(lambda: fleet.runs(*site.engines), "the run to start")
            number = 0 if fleet.runs(site.engines[0]) else 1
            if streamed:
                wait_for(lambda: fleet.journal(site.engines[number])["tokens"] > 4, "tokens")
            self.silence(site, silent, number)
            call.join(60)
            assert call.response is not None
            self.assertEqual(200, call.response.status, call.response.data)
            if streamed:
                self.assertTrue(call.response.data.endswith(b"data: [DONE]\n\n"))
            self.assertEqual(1, len(fleet.runs(*site.engines)))

    def silence(self, site: SmallSite, silent: str, number: int) -> None:
        """Silence the entry, the side that runs the request, or the link to it for a while."""
        elapsed = threading.Event()
        if silent == "link":
            site.proxies[number].partition(True)
            elapsed.wait(_SILENT_FOR_S)
            site.proxies[number].partition(False)
            return
        node = site.entry if silent == "entry" else site.sides[number]
        node.pause()
        elapsed.wait(_SILENT_FOR_S)
        node.resume()
