"""What must always hold, under faults: real processes on loopback, one row for each case.

``python -m tests.run test_faults`` prints promise, case, calls and violations.
"""

import random
import signal
import unittest
from collections.abc import Callable
from typing import ClassVar

import urllib3
from parameterized import parameterized

from tests.lib import records
from tests.lib.fleet import Fleet, Node, SmallSite, chat_body, wait_for
from tests.lib.load import ORDER, STREAM, WHOLE, Audit, Load, audit, uuid7

_CALLS_BEFORE = 30
_CALLS_AFTER = 60

Fault = Callable[[SmallSite], None]


def kill_side(site: SmallSite) -> None:
    """Kill a side in the middle of its work and start it again."""
    site.sides[0].kill()
    site.sides[0] = site.start_side(0)


def kill_engine(site: SmallSite) -> None:
    """Kill an engine in the middle of its work and start it again."""
    site.engines[0].kill()
    site.engines[0] = site.fleet.restart_engine(site.engines[0])


def kill_entry(site: SmallSite) -> None:
    """Kill an entry in the middle of its work."""
    site.entries[1].kill()


def pause_side(site: SmallSite) -> None:
    """Stop a side until its entries have given up on it, then let it go on."""
    site.sides[0].pause()
    wait_for(lambda: not _connected(site.entry, 0), "the entry to notice the silence")
    site.sides[0].resume()


def pause_entry(site: SmallSite) -> None:
    """Stop an entry until a side has given up on it, then let it go on."""
    site.entries[1].pause()
    side = site.sides[0]
    wait_for(lambda: "entry-2" not in side.dump()["entries"], "the side to notice the silence")
    site.entries[1].resume()


def cut_links(site: SmallSite) -> None:
    """Cut all connections between entries and sides, several times."""
    for _ in range(3):
        for proxy in site.proxies:
            proxy.cut()
        site.fleet.wait_links(site.entry, 2)


def silence_links(site: SmallSite) -> None:
    """Let the connections to one side go silent for good."""
    before = _reconnects(site.entry, 0)
    site.proxies[0].silence()
    wait_for(lambda: _reconnects(site.entry, 0) > before, "the silent connection's replacement")


def partition(site: SmallSite) -> None:
    """Separate all entries from one side for a while."""
    site.proxies[0].partition(True)
    wait_for(lambda: not _connected(site.entry, 0), "the entry to notice the partition")
    site.proxies[0].partition(False)
    site.fleet.wait_links(site.entry, 2)


def platform_down(site: SmallSite) -> None:
    """Take the platform down and restart a side meanwhile."""
    site.fleet.set(site.fleet.platform, down=True)
    kill_side(site)
    site.fleet.wait_ready(site.sides[0])
    site.fleet.wait_links(site.entry, 2)


def stop_side(site: SmallSite) -> None:
    """Stop a side as planned and start it again."""
    site.sides[0].signal(signal.SIGTERM)
    assert site.sides[0].wait_exit() == 0
    site.sides[0] = site.start_side(0)


def stop_entry(site: SmallSite) -> None:
    """Stop an entry as planned."""
    site.entries[1].signal(signal.SIGTERM)


def everything(site: SmallSite) -> None:
    """Bring several faults together, twice, in an order drawn from a fixed seed."""
    faults = [kill_engine, pause_side, silence_links, platform_down, cut_links]
    source = random.Random(20261203)
    for _ in range(2):
        for fault in source.sample(faults, 3):
            fault(site)


def _connected(entry: Node, number: int) -> bool:
    return bool(entry.dump()["links"][number]["connected"])


def _reconnects(entry: Node, number: int) -> int:
    return int(entry.dump()["links"][number]["reconnects"])


def _metric(node: Node, name: str) -> float:
    lines = node.page("metrics").data.decode().splitlines()
    return sum(float(line.split()[-1]) for line in lines if line.startswith(name))


class FaultTableTest(unittest.TestCase):
    """Load from both entries, a fault, more load; then callers and journals are compared."""

    rows: ClassVar[list[str]] = []

    @classmethod
    def tearDownClass(cls) -> None:
        columns = ("case", "calls", "whole", "refused connects", "lost", "duplicates", "foreign")
        print("\n" + " | ".join((*columns, "false not_run", "violations")))
        print("\n".join(cls.rows))

    @parameterized.expand(
        [
            ("kill_side", kill_side, False),
            ("kill_engine", kill_engine, False),
            ("kill_entry", kill_entry, True),
            ("pause_side", pause_side, False),
            ("pause_entry", pause_entry, False),
            ("cut_links", cut_links, False),
            ("silence_links", silence_links, False),
            ("partition", partition, False),
            ("platform_down", platform_down, False),
            ("stop_side", stop_side, False),
            ("stop_entry", stop_entry, True),
            ("everything_twice", everything, False),
        ]
    )
    def test_promises_hold(self, name: str, fault: Fault, entry_goes: bool) -> None:
        with Fleet() as fleet:
            site = SmallSite(fleet, entries=2, fault_proxies=True)
            load = Load(fleet, site.entries).start()
            wait_for(lambda: load.answered() >= _CALLS_BEFORE, "calls before the fault")
            fault(site)
            mark = len(load.outcomes)
            wait_for(lambda: len(load.outcomes) >= mark + _CALLS_AFTER, "calls after the fault")
            outcomes = load.finish()
            report = audit(outcomes, fleet.runs(*site.engines))
        self.rows.append(_row(name, report))
        self.assertEqual(0, report.violations, report)
        if name != "kill_entry":
            self.assertEqual(0, report.lost, report)
        if not entry_goes:
            self.assertEqual(0, report.unreached, report)
        self.assertTrue(any(item.whole for item in outcomes[mark:]), "service must go on")


def _row(name: str, report: Audit) -> str:
    return (
        f"{name} | {report.calls} | {report.whole} | {report.unreached} | {report.lost} | "
        f"{report.duplicates} | "
        f"{report.foreign} | {report.false_not_run} | {report.violations}"
    )


class StreamFaultTest(unittest.TestCase):
    """One long stream across a fault of its connection arrives whole, to the byte."""

    @parameterized.expand([("cut",), ("silence",)])
    def test_a_stream_goes_on_over_a_new_connection(self, how: str) -> None:
        with Fleet() as fleet:
            site = SmallSite(fleet, endpoints=1, fault_proxies=True)
            # So slow that all three streams are still their callers' first when they are cut.
            fleet.set(site.engines[0], token_ms=200)
            load = Load(fleet, site.entries, [STREAM], tokens=800, callers=3).start()
            side = site.sides[0]
            wait_for(lambda: side.dump()["counts"].get("runs", 0) == 3, "the streams to run")
            getattr(site.proxies[0], how)()
            wait_for(lambda: side.dump()["counts"].get("resumes", 0) >= 3, "the resumption")
            fleet.set(site.engines[0], token_ms=1)
            outcomes = load.finish()
        self.assertEqual([True] * len(outcomes), [outcome.whole for outcome in outcomes])

    def test_an_engine_that_breaks_off_ends_the_stream_with_an_error(self) -> None:
        with Fleet() as fleet:
            site = SmallSite(fleet, endpoints=1)
            fleet.set(site.engines[0], cut_after=5)
            response = fleet.call(site.entry, body=chat_body())
            self.assertIn(b'"code": "endpoint_failed"', response.data)
            self.assertIn(b'"execution": "may_have_run"', response.data)
            self.assertNotIn(b"[DONE]", response.data)


class KeyFaultTest(unittest.TestCase):
    """A key's request runs at most once, whatever happens to its home."""

    def test_a_restarted_home_does_not_run_an_old_key_and_serves_new_ones(self) -> None:
        with Fleet() as fleet:
            site = SmallSite(fleet, endpoints=1, entries=2)
            self.wait_memory(fleet, site)
            old = uuid7()
            self.assertEqual(200, self.order(fleet, site.entries[0], old).status)
            self.assertEqual(200, self.order(fleet, site.entries[1], old).status)
            site.sides[0].kill()
            site.sides[0] = site.start_side(0)
            fleet.wait_links(site.entry, 1)
            repeat = self.order(fleet, site.entries[0], old)
            self.assertEqual(409, repeat.status)
            self.assertIn(b'"execution": "may_have_run"', repeat.data)
            self.wait_memory(fleet, site)
            contents = [run["content"] for run in fleet.runs(*site.engines)]
            self.assertEqual(1, contents.count(old))

    def order(self, fleet: Fleet, entry: Node, key: str) -> urllib3.BaseHTTPResponse:
        return fleet.call(
            entry,
            "/services/writing/orders",
            key.encode(),
            X_Request_Class="order",
            Idempotency_Key=key,
        )

    def wait_memory(self, fleet: Fleet, site: SmallSite) -> None:
        """Wait until the home is old enough to know that a new key is new."""
        wait_for(lambda: self.order(fleet, site.entry, uuid7()).status == 200, "new keys")


class DrainTest(unittest.TestCase):
    """An endpoint or process that leaves gets no new work and cuts nothing off."""

    @parameterized.expand(["record", "vm_list", "signal"])
    def test_leaving(self, how: str) -> None:
        with Fleet() as fleet:
            site = SmallSite(fleet)
            load = Load(fleet, site.entries, [STREAM, WHOLE, ORDER], tokens=60).start()
            wait_for(lambda: load.answered() >= _CALLS_BEFORE, "calls before")
            if how == "record":
                port = site.side_ports[0]
                document = records.endpoint(site.names[0], "writing", port, draining=True)
                fleet.publish("records", [document])
            elif how == "vm_list":
                fleet.publish("vms", [records.vm(site.names[0], "side", state="leaving")])
            else:
                site.sides[0].signal(signal.SIGTERM)
            wait_for(lambda: self.is_out(site), "the entry to leave the endpoint out")
            wait_for(lambda: fleet.journal(site.engines[0])["running"] == 0, "the last run")
            before = len(fleet.runs(site.engines[0]))
            mark = len(load.outcomes)
            wait_for(lambda: len(load.outcomes) >= mark + _CALLS_AFTER, "calls after")
            outcomes = load.finish()
            self.assertEqual(before, len(fleet.runs(site.engines[0])))
            if how == "signal":
                self.assertEqual(0, site.sides[0].wait_exit())
        self.assertEqual([], [item for item in outcomes if not item.whole])

    def is_out(self, site: SmallSite) -> bool:
        link = site.entry.dump()["links"][0]
        return bool(link["draining"] or not link["connected"])

    def test_a_stopping_entry_answers_what_it_has_and_says_that_it_is_not_ready(self) -> None:
        with Fleet() as fleet:
            site = SmallSite(fleet, endpoints=1)
            fleet.set(site.engines[0], token_ms=200)
            load = Load(fleet, site.entries, [STREAM], tokens=600, callers=4).start()
            wait_for(lambda: site.entry.dump()["in_flight"] == 4, "streams in flight")
            load.stop()
            site.entry.signal(signal.SIGTERM)
            wait_for(lambda: b"stopping" in site.entry.page("readyz").data, "readiness off")
            fleet.set(site.engines[0], token_ms=1)
            outcomes = load.finish()
            self.assertEqual(0, site.entry.wait_exit())
        self.assertEqual([True] * 4, [outcome.whole for outcome in outcomes])


class ConfigurationFaultTest(unittest.TestCase):
    """An accepted configuration is in force everywhere and never reverts."""

    def test_a_stale_platform_does_not_turn_anything_back(self) -> None:
        with Fleet() as fleet:
            site = SmallSite(fleet)
            fleet.set(fleet.platform, mark=True)
            revision = fleet.publish("records", [records.request_class("notice", "urgent")])
            self.wait_revision([*site.sides, *site.entries], revision)
            fleet.set(fleet.platform, stale=True)
            site.sides[0].kill()
            site.sides[0] = site.start_side(0)
            fleet.wait_ready(site.sides[0])
            self.wait_revision([*site.sides, *site.entries], revision)
            stale = "pearshed_feed_stale_answers_total"
            wait_for(lambda: _metric(site.entry, stale) > 0, "a stale answer")
            self.wait_revision([*site.sides, *site.entries], revision)

    def test_operators_in_a_race_leave_every_process_with_the_last_word(self) -> None:
        with Fleet() as fleet:
            site = SmallSite(fleet, entries=2)
            last = 0
            for number in range(1, 41):
                limit = records.request_class("notice", "urgent", queue_limit=number)
                last = fleet.publish("records", [limit])
            self.wait_revision([*site.sides, *site.entries], last)

    def test_a_bad_record_changes_nothing_and_is_shown(self) -> None:
        with Fleet() as fleet:
            site = SmallSite(fleet)
            bad = records.request_class("notice", "urgent", first_token_ms=-1)
            revision = fleet.publish("records", [bad])
            self.wait_revision([*site.sides, *site.entries], revision)
            self.assertEqual(200, fleet.call(site.entry, body=chat_body()).status)
            refused = site.entry.dump()["refused_records"]
            self.assertIn("class/notice: spec.first_token_ms", refused[0])

    def wait_revision(self, nodes: list[Node], revision: int) -> None:
        def reached() -> bool:
            found = [node.dump()["feeds"]["records"]["revision"] for node in nodes]
            return all(item == revision for item in found)

        wait_for(reached, f"revision {revision} everywhere")


if __name__ == "__main__":
    unittest.main()
