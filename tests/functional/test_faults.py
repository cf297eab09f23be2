"""Guarantees of entries and sides under faults, tested with real processes on loopback.

``python -m tests.run test_faults`` prints a table of calls and violations by fault.
"""

import random
import signal
import unittest
from collections.abc import Callable
from typing import ClassVar

import urllib3
from parameterized import parameterized

from tests.lib import records
from tests.lib.engine import stream_chunks
from tests.lib.fleet import Fleet, Node, SmallSite, chat_body, wait_for
from tests.lib.load import NON_STREAMED, ORDER, STREAM, Audit, Load, audit, uuid7

_CALLS_BEFORE = 30
_CALLS_AFTER = 60

Fault = Callable[[SmallSite], None]


def kill_side(site: SmallSite) -> None:
    """Kill a side while it runs requests, and restart it."""
    site.sides[0].kill()
    site.sides[0] = site.start_side(0)


def kill_engine(site: SmallSite) -> None:
    """Kill an engine while it runs requests, and restart it."""
    site.engines[0].kill()
    site.engines[0] = site.fleet.restart_engine(site.engines[0])


def kill_entry(site: SmallSite) -> None:
    """Kill an entry while it forwards requests."""
    site.entries[1].kill()


def pause_side(site: SmallSite) -> None:
    """Suspend a side until an entry has disconnected from it, then resume it."""
    site.sides[0].pause()
    wait_for(lambda: not _connected(site.entry, 0), "the entry to disconnect")
    site.sides[0].resume()


def pause_entry(site: SmallSite) -> None:
    """Suspend an entry until a side has disconnected from it, then resume it."""
    site.entries[1].pause()
    side = site.sides[0]
    wait_for(lambda: "entry-2" not in side.dump()["entries"], "the side to disconnect")
    site.entries[1].resume()


def cut_links(site: SmallSite) -> None:
    """Close all connections between entries and sides, several times."""
    for _ in range(3):
        for proxy in site.proxies:
            proxy.cut()
        site.fleet.wait_links(site.entry, 2)


def silence_links(site: SmallSite) -> None:
    """Drop all further data on the open connections to one side."""
    before = _reconnects(site.entry, 0)
    site.proxies[0].silence()
    wait_for(lambda: _reconnects(site.entry, 0) > before, "a reconnection")


def partition(site: SmallSite) -> None:
    """Partition all entries from one side for a while."""
    site.proxies[0].partition(True)
    wait_for(lambda: not _connected(site.entry, 0), "the entry to disconnect")
    site.proxies[0].partition(False)
    site.fleet.wait_links(site.entry, 2)


def platform_down(site: SmallSite) -> None:
    """Restart a side while the platform is down."""
    site.fleet.set(site.fleet.platform, down=True)
    kill_side(site)
    site.fleet.wait_ready(site.sides[0])
    site.fleet.wait_links(site.entry, 2)


def stop_side(site: SmallSite) -> None:
    """Stop a side gracefully and start it again."""
    site.sides[0].signal(signal.SIGTERM)
    assert site.sides[0].wait_exit() == 0
    site.sides[0] = site.start_side(0)


def stop_entry(site: SmallSite) -> None:
    """Stop an entry gracefully."""
    site.entries[1].signal(signal.SIGTERM)


def everything(site: SmallSite) -> None:
    """Inject several faults in a row, twice, in an order drawn with a fixed seed."""
    faults = [kill_engine, pause_side, silence_links, platform_down, cut_links]
    rng = random.Random(20261203)
    for _ in range(2):
        for fault in rng.sample(faults, 3):
            fault(site)


def _connected(entry: Node, number: int) -> bool:
    return bool(entry.dump()["links"][number]["connected"])


def _reconnects(entry: Node, number: int) -> int:
    return int(entry.dump()["links"][number]["reconnects"])


def _metric(node: Node, name: str) -> float:
    lines = node.page("metrics").data.decode().splitlines()
    return sum(float(line.split()[-1]) for line in lines if line.startswith(name))


class FaultTableTest(unittest.TestCase):
    """Injects a fault under load, then compares responses with the engines' journals."""

    rows: ClassVar[list[str]] = []

    @classmethod
    def tearDownClass(cls) -> None:
        columns = (
            "case",
            "calls",
            "complete",
            "unreachable",
            "no response",
            "duplicates",
            "mismatched",
        )
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
    def test_guarantees_hold(self, name: str, fault: Fault, entry_ends: bool) -> None:
        with Fleet() as fleet:
            site = SmallSite(fleet, entries=2, fault_proxies=True)
            load = Load(fleet, site.entries).start()
            wait_for(lambda: load.complete_count() >= _CALLS_BEFORE, "calls before the fault")
            fault(site)
            calls_until_fault = len(load.outcomes)
            wait_for(
                lambda: len(load.outcomes) >= calls_until_fault + _CALLS_AFTER,
                "calls after the fault",
            )
            outcomes = load.finish()
            result = audit(outcomes, fleet.runs(*site.engines))
        self.rows.append(_row(name, result))
        self.assertEqual(0, result.violations, result)
        if name != "kill_entry":
            self.assertEqual(0, result.no_response, result)
        if not entry_ends:
            self.assertEqual(0, result.unreachable, result)
        self.assertTrue(
            any(item.complete for item in outcomes[calls_until_fault:]),
            "no call was served after the fault",
        )


def _row(name: str, result: Audit) -> str:
    return (
        f"{name} | {result.calls} | {result.complete} | {result.unreachable} | "
        f"{result.no_response} | {result.duplicates} | "
        f"{result.mismatched} | {result.false_not_run} | {result.violations}"
    )


class StreamFaultTest(unittest.TestCase):
    """A stream whose link to the side fails is resumed without losing or repeating a byte."""

    @parameterized.expand([("cut",), ("silence",)])
    def test_a_stream_resumes_on_a_new_connection(self, fault: str) -> None:
        with Fleet() as fleet:
            site = SmallSite(fleet, endpoints=1, fault_proxies=True)
            # Slow enough that each caller is still in its first stream when the fault is injected.
            fleet.set(site.engines[0], token_ms=200)
            load = Load(fleet, site.entries, [STREAM], tokens=800, callers=3).start()
            side = site.sides[0]
            wait_for(lambda: side.dump()["counts"].get("runs", 0) == 3, "the streams to run")
            getattr(site.proxies[0], fault)()
            wait_for(lambda: side.dump()["counts"].get("resumes", 0) >= 3, "the resumption")
            fleet.set(site.engines[0], token_ms=1)
            outcomes = load.finish()
        self.assertEqual([True] * len(outcomes), [outcome.complete for outcome in outcomes])

    @parameterized.expand([("slow_but_sound", 60_000, True), ("never_ends", 1_500, False)])
    def test_a_slow_stream_ends_with_its_last_token_or_at_its_class_limit(
        self, _: str, total_ms: int, complete: bool
    ) -> None:
        with Fleet() as fleet:
            site = SmallSite(fleet, endpoints=1, side={"idle_timeout_s": 0.6})
            document = records.request_class("chat", "standard", total_ms=total_ms)
            revision = fleet.publish("records", [document])
            wait_for(
                lambda: site.entry.dump()["feeds"]["records"]["revision"] == revision, "the class"
            )
            fleet.set(site.engines[0], token_ms=200, first_ms=1200)
            body = chat_body(max_tokens=16)
            if complete:
                response = fleet.call(site.entry, body=body, X_Request_Class="chat")
                self.assertTrue(response.data.endswith(b"data: [DONE]\n\n"), response.data)
            else:
                received = fleet.call_until_broken(site.entry, body=body, X_Request_Class="chat")
                self.assertTrue(b"".join(stream_chunks(body)).startswith(received), received)
                self.assertNotIn(b"[DONE]", received)
                fleet.wait_logged(site.entry, "code=deadline_exceeded")
            wait_for(lambda: fleet.journal(site.engines[0])["running"] == 0, "the run to end")

    @parameterized.expand([("alone", 1), ("beside_an_engine_that_fails", 2)])
    def test_a_stream_that_the_engine_truncates_is_neither_ended_nor_joined_by_an_error(
        self, _: str, endpoints: int
    ) -> None:
        with Fleet() as fleet:
            site = SmallSite(fleet, endpoints=endpoints)
            body = chat_body()
            for engine in site.engines:
                fleet.set(engine, cut_after=5)
            received = fleet.call_until_broken(site.entry, body=body)
            self.assertEqual(b"".join(list(stream_chunks(body))[:5]), received)
            fields = ("code=endpoint_failed", "execution=may_have_run")
            fleet.wait_logged(site.entry, *fields)
            runs = sum(len(fleet.journal(engine)["journal"]) for engine in site.engines)
            self.assertEqual(1, runs)

    def test_a_stream_that_ends_before_its_first_byte_runs_elsewhere(self) -> None:
        with Fleet() as fleet:
            site = SmallSite(fleet, endpoints=2)
            fleet.set(site.engines[0], cut_after=0)
            load = Load(fleet, site.entries, [STREAM], callers=1).start()
            wait_for(lambda: len(load.outcomes) >= 12, "the calls")
            outcomes = load.finish()
            self.assertGreater(len(fleet.journal(site.engines[0])["journal"]), 0)
        self.assertEqual([True] * len(outcomes), [outcome.complete for outcome in outcomes])


class KeyFaultTest(unittest.TestCase):
    """A request with an idempotency key runs at most once, even if the key's owner restarts."""

    def test_a_restarted_owner_refuses_a_used_key_and_serves_new_keys(self) -> None:
        with Fleet() as fleet:
            site = SmallSite(fleet, endpoints=1, entries=2)
            self.wait_new_keys_served(fleet, site)
            used_key = uuid7()
            self.assertEqual(200, self.order(fleet, site.entries[0], used_key).status)
            self.assertEqual(200, self.order(fleet, site.entries[1], used_key).status)
            site.sides[0].kill()
            site.sides[0] = site.start_side(0)
            fleet.wait_links(site.entry, 1)
            retry = self.order(fleet, site.entries[0], used_key)
            self.assertEqual(409, retry.status)
            self.assertIn(b'"execution": "may_have_run"', retry.data)
            self.wait_new_keys_served(fleet, site)
            contents = [run["content"] for run in fleet.runs(*site.engines)]
            self.assertEqual(1, contents.count(used_key))

    def order(self, fleet: Fleet, entry: Node, key: str) -> urllib3.BaseHTTPResponse:
        return fleet.call(
            entry,
            "/services/writing/orders",
            key.encode(),
            X_Request_Class="order",
            Idempotency_Key=key,
        )

    def wait_new_keys_served(self, fleet: Fleet, site: SmallSite) -> None:
        """Wait until the owner has run long enough to know that a new key is unused."""
        wait_for(
            lambda: self.order(fleet, site.entry, uuid7()).status == 200, "new keys to be served"
        )


class DrainTest(unittest.TestCase):
    """A draining endpoint or stopping process takes no new requests and completes the others."""

    @parameterized.expand(["record", "vm_list", "signal"])
    def test_drain(self, trigger: str) -> None:
        with Fleet() as fleet:
            site = SmallSite(fleet)
            load = Load(fleet, site.entries, [STREAM, NON_STREAMED, ORDER], tokens=60).start()
            wait_for(lambda: load.complete_count() >= _CALLS_BEFORE, "calls before")
            if trigger == "record":
                port = site.side_ports[0]
                document = records.endpoint(site.names[0], "writing", port, draining=True)
                fleet.publish("records", [document])
            elif trigger == "vm_list":
                fleet.publish("vms", [records.vm(site.names[0], "side", state="leaving")])
            else:
                site.sides[0].signal(signal.SIGTERM)
            wait_for(lambda: self.is_excluded(site), "the entry to exclude the endpoint")
            wait_for(lambda: fleet.journal(site.engines[0])["running"] == 0, "the last run to end")
            before = len(fleet.runs(site.engines[0]))
            calls_before = len(load.outcomes)
            wait_for(lambda: len(load.outcomes) >= calls_before + _CALLS_AFTER, "calls after")
            outcomes = load.finish()
            self.assertEqual(before, len(fleet.runs(site.engines[0])))
            if trigger == "signal":
                self.assertEqual(0, site.sides[0].wait_exit())
        self.assertEqual([], [item for item in outcomes if not item.complete])

    def is_excluded(self, site: SmallSite) -> bool:
        link = site.entry.dump()["links"][0]
        return bool(link["draining"] or not link["connected"])

    def test_a_stopping_entry_completes_its_streams_and_reports_not_ready(self) -> None:
        with Fleet() as fleet:
            site = SmallSite(fleet, endpoints=1)
            fleet.set(site.engines[0], token_ms=200)
            load = Load(fleet, site.entries, [STREAM], tokens=600, callers=4).start()
            wait_for(lambda: site.entry.dump()["in_flight"] == 4, "streams in flight")
            load.stop()
            site.entry.signal(signal.SIGTERM)
            wait_for(
                lambda: b"stopping" in site.entry.page("readyz").data,
                "the entry to report not ready",
            )
            fleet.set(site.engines[0], token_ms=1)
            outcomes = load.finish()
            self.assertEqual(0, site.entry.wait_exit())
        self.assertEqual([True] * 4, [outcome.complete for outcome in outcomes])


class ConfigurationFaultTest(unittest.TestCase):
    """Every process applies an accepted configuration, and none reverts to an older one."""

    def test_stale_platform_responses_revert_nothing(self) -> None:
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
            metric = "pearshed_feed_stale_answers_total"
            wait_for(lambda: _metric(site.entry, metric) > 0, "a stale response")
            self.wait_revision([*site.sides, *site.entries], revision)

    def test_every_process_applies_the_last_of_rapid_updates(self) -> None:
        with Fleet() as fleet:
            site = SmallSite(fleet, entries=2)
            last = 0
            for number in range(1, 41):
                document = records.request_class("notice", "urgent", queue_limit=number)
                last = fleet.publish("records", [document])
            self.wait_revision([*site.sides, *site.entries], last)

    def test_an_invalid_record_is_listed_and_changes_nothing(self) -> None:
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
            revisions = [node.dump()["feeds"]["records"]["revision"] for node in nodes]
            return all(item == revision for item in revisions)

        wait_for(reached, f"revision {revision} in every process")


if __name__ == "__main__":
    unittest.main()
