"""What was withdrawn stays withdrawn while processes restart and the platform is stale."""

import threading
import unittest
from collections import Counter

import urllib3
from parameterized import parameterized

from tests.lib import records
from tests.lib.fleet import Fleet, Node, SmallSite, wait_for

_CALLS_AFTER = 40


class CallsDuringStart(threading.Thread):
    """Calls an entry from its first moment on, until enough calls got a response.

    :ivar statuses: responses by status.
    """

    def __init__(self, entry: Node, key: str) -> None:
        super().__init__(daemon=True)
        self._url = f"{entry.url}/services/writing/status"
        self._headers = {"Authorization": f"Bearer {key}", "X-Request-Class": "chat"}
        self.statuses: Counter[int] = Counter()
        self.stopped = threading.Event()

    def run(self) -> None:
        with urllib3.PoolManager(retries=False, timeout=10.0) as http:
            while not self.stopped.is_set():
                try:
                    response = http.request("GET", self._url, headers=self._headers)
                except urllib3.exceptions.HTTPError:
                    self.stopped.wait(0.001)
                    continue
                self.statuses[response.status] += 1


class RestartTest(unittest.TestCase):
    """The platform answers with what it had before the last change."""

    @parameterized.expand(
        [
            # processes that restart at once: entry, number of sides
            ("an_entry", 0),
            ("an_entry_and_a_side", 1),
        ]
    )
    def test_a_withdrawn_key_stays_withdrawn(self, _: str, sides: int) -> None:
        with Fleet() as fleet:
            site = SmallSite(fleet, endpoints=2, entries=2)
            fleet.publish("records", [records.customer("old", "old-key", ["chat"])])
            wait_for(lambda: self.status(fleet, site.entries[0], "old-key") == 200, "the key")
            fleet.set(fleet.platform, mark=True)
            revision = fleet.publish(
                "records",
                [{"kind": "customer", "name": "old", "schema": 1, "revision": 1, "deleted": True}],
            )
            self.wait_revision(site, revision)
            fleet.set(fleet.platform, stale=True)
            entry = self.restart(fleet, site, sides)
            calls = CallsDuringStart(entry, "old-key")
            calls.start()
            fleet.wait_ready(entry)
            wait_for(lambda: calls.statuses[401] >= _CALLS_AFTER, "refusals")
            calls.stopped.set()
            calls.join()
            self.assertEqual({401, 503}, {401, 503} | calls.statuses.keys(), calls.statuses)
            self.assertEqual(200, self.status(fleet, entry, records.API_KEY))

    def test_an_endpoint_that_has_left_gets_no_calls(self) -> None:
        with Fleet() as fleet:
            site = SmallSite(fleet, endpoints=2, entries=2)
            fleet.set(fleet.platform, mark=True)
            revision = fleet.publish("vms", [records.vm(site.names[0], "side", state="leaving")])
            wait_for(
                lambda: all(
                    node.dump()["feeds"]["vms"]["revision"] == revision
                    for node in (*site.sides, *site.entries)
                ),
                "the VM list",
            )
            fleet.set(fleet.platform, stale=True)
            runs_before = len(fleet.runs(site.engines[0]))
            entry = self.restart(fleet, site, sides=0)
            calls = CallsDuringStart(entry, records.API_KEY)
            calls.start()
            fleet.wait_ready(entry)
            wait_for(lambda: calls.statuses[200] >= _CALLS_AFTER, "calls")
            calls.stopped.set()
            calls.join()
            self.assertEqual(runs_before, len(fleet.runs(site.engines[0])))

    def restart(self, fleet: Fleet, site: SmallSite, sides: int) -> Node:
        """Kill the first entry and some sides, and start them again."""
        site.entries[0].kill()
        for number in range(sides):
            site.sides[number].kill()
            site.sides[number] = site.start_side(number)
        return fleet.start_entry("entry-1")

    def status(self, fleet: Fleet, entry: Node, key: str) -> int:
        return fleet.call(
            entry, "/services/writing/status", method="GET", key=key, X_Request_Class="chat"
        ).status

    def wait_revision(self, site: SmallSite, revision: int) -> None:
        nodes = (*site.sides, *site.entries)
        wait_for(
            lambda: all(node.dump()["feeds"]["records"]["revision"] >= revision for node in nodes),
            f"revision {revision} to be in force",
        )
