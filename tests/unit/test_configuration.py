"""Tests of configuration records, feeds and their relay, settings and the VM list."""

import pathlib
import tempfile
import unittest
from typing import Any

from hypothesis import given, seed, settings, strategies
from parameterized import parameterized
from returns.pipeline import is_successful

from pearshed._internal.configuration.feed import Feed
from pearshed._internal.configuration.parser import parse_document, parse_record
from pearshed._internal.configuration.references import find_dangling
from pearshed._internal.configuration.store import RecordStore
from pearshed._internal.errors import SettingsError
from pearshed._internal.membership.vm_view import VMView, parse_vm
from pearshed._internal.models.records import RequestClass
from pearshed._internal.peers import peer_pb2 as pb
from pearshed._internal.peers.relay import FeedRelay
from pearshed._internal.settings.loader import load_settings
from tests.lib import records
from tests.lib.fakes import FakeClock, catalogue, change

_VALID_CLASS_V1 = {"tier": "urgent", "idempotent": True, "first_token_ms": 300}
_VALID_ENDPOINT = {
    "service": "s",
    "data_centre": "d",
    "kind": "engine",
    "side": "127.0.0.1:1",
    "slots": 4,
}


class RecordParserTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("not_an_object", [], "(top level): expected a mapping"),
            ("no_kind", {"name": "a"}, "kind: is missing"),
            ("other_kind", records.record("tree", "a"), "kind: must be one of"),
            ("schema", records.record("tier", "a", 3, rank=1), "schema: version 3 is not"),
            ("no_rank", records.record("tier", "a"), "spec.rank: is missing"),
            ("rank_text", records.record("tier", "a", rank="0"), "spec.rank: expected a whole"),
            ("rank_bool", records.record("tier", "a", rank=True), "spec.rank: expected a whole"),
            (
                "share",
                records.record("tier", "a", rank=1, share=0.9),
                "spec.share: must be at most",
            ),
            ("extra", records.record("tier", "a", rank=1, x=1), "spec.x: unknown field"),
            (
                "v2_form_in_v1",
                records.record("class", "a", 1, tier="t", idempotent=True, targets={}),
                "spec.first_token_ms: is missing",
            ),
            (
                "v1_form_in_v2",
                records.record("class", "a", 2, **_VALID_CLASS_V1),
                "spec.targets: is missing",
            ),
            ("no_classes", records.customer("a", "k", []), "spec.classes: must name"),
            (
                "digest",
                records.record("customer", "a", api_key_sha256="zz", classes=["c"]),
                "spec.api_key_sha256: expected 64",
            ),
            (
                "host_name",
                records.record("endpoint", "a", **{**_VALID_ENDPOINT, "side": "localhost:1"}),
                "spec.side: expected an IP address",
            ),
            (
                "slots",
                records.record("endpoint", "a", **{**_VALID_ENDPOINT, "slots": 0}),
                "spec.slots: must be at least 1",
            ),
        ]
    )
    def test_errors_in_records_name_the_field(self, _: str, raw: Any, expected: str) -> None:
        problem = parse_record(raw).failure()
        self.assertIn(expected, str(problem))

    def test_both_schemas_of_a_class_are_equivalent(self) -> None:
        targets = {"first_token_ms": 300, "total_ms": 9000}
        spec_v2 = {"tier": "urgent", "idempotent": True, "targets": targets}
        spec_v2["queue"] = {"limit": 7, "max_wait_ms": 50}
        spec_v1 = {**_VALID_CLASS_V1, "total_ms": 9000, "queue_limit": 7, "max_wait_ms": 50}
        record_v1 = parse_record(records.record("class", "a", 1, **spec_v1)).unwrap()
        record_v2 = parse_record(records.record("class", "a", 2, **spec_v2)).unwrap()
        self.assertIsInstance(record_v1.value, RequestClass)
        self.assertEqual(record_v1.value, record_v2.value)

    @seed(20261203)
    @settings(max_examples=300, deadline=None, database=None)
    @given(
        strategies.recursive(
            strategies.none() | strategies.booleans() | strategies.integers() | strategies.text(),
            lambda inner: strategies.lists(inner)
            | strategies.dictionaries(
                strategies.sampled_from(["kind", "name", "schema", "revision", "spec", "rank"])
                | strategies.text(),
                inner,
            ),
        ),
        strategies.binary(),
    )
    def test_no_input_raises_an_exception(self, raw: Any, document: bytes) -> None:
        parse_record(raw, b"")
        parse_document(document)
        parse_vm(document)

    def test_dangling_references_are_reported(self) -> None:
        documents = [
            records.request_class("a", "no-tier"),
            records.customer("c", "k", ["no-class"]),
            records.record("model", "m", service="no-service"),
        ]
        self.assertEqual(3, len(list(find_dangling(catalogue(documents)))))


class FeedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)
        self.store = RecordStore()

    def test_revision_never_decreases(self) -> None:
        self.store.apply(change(5, [records.record("tier", "a", rank=1)]))
        self.store.apply(change(4, [records.record("tier", "a", rank=9)]))
        self.assertEqual((5, 1, 1), self._state())

    def test_old_document_in_new_change_is_ignored(self) -> None:
        self.store.apply(change(5, [records.record("tier", "a", rank=1)]))
        old_documents = change(3, [records.record("tier", "a", rank=9)]).documents
        self.store.apply(change(6, []).__class__(6, old_documents))
        self.assertEqual((6, 1, 0), self._state())

    def test_documents_may_arrive_in_several_changes(self) -> None:
        first = change(3, [records.record("tier", "a", rank=1)])
        second = change(8, [records.record("tier", "b", rank=2)])
        for feed_change in (first, second, first):
            self.store.apply(feed_change)
        self.assertEqual((8, 1, 1), self._state())
        self.assertEqual({"a", "b"}, set(self.store.catalogue.tiers))

    def test_invalid_record_leaves_its_last_revision_in_force(self) -> None:
        self.store.apply(change(1, [records.record("tier", "a", rank=1)]))
        valid = records.record("tier", "b", rank=2)
        self.store.apply(change(2, [records.record("tier", "a", rank=-1), valid]))
        self.assertEqual((2, 1, 0), self._state())
        self.assertIn("tier/a: spec.rank", str(self.store.refused[0]))
        self.assertIn("b", self.store.catalogue.tiers)
        self.store.apply(change(3, [records.record("tier", "a", rank=3)]))
        self.assertEqual((), self.store.refused)

    def test_deleted_record_is_removed_and_still_relayed_to_peers(self) -> None:
        self.store.apply(change(1, [records.record("tier", "a", rank=1)]))
        deleted = {"kind": "tier", "name": "a", "schema": 1, "deleted": True}
        self.store.apply(change(2, [deleted]))
        self.assertEqual({}, dict(self.store.catalogue.tiers))
        self.assertEqual(1, len(self.store.documents_after(1)))

    def _state(self) -> tuple[int, int, int]:
        tier = self.store.catalogue.tiers["a"]
        return self.store.revision, tier.rank, self.store.stale_responses


class RelayTest(unittest.TestCase):
    """Connects relays by a queue of frames that the test delivers."""

    def setUp(self) -> None:
        self.clock = FakeClock(self)
        self.feeds: list[tuple[Feed, VMView]] = [(RecordStore(), VMView()) for _ in range(3)]
        self.relays = [FeedRelay(pair) for pair in self.feeds]
        self.queue: list[tuple[int, int, pb.Frame]] = []
        self.delivered: list[str] = []

    def connect(self, first: int, second: int) -> None:
        self.relays[first].join(lambda frame: self.queue.append((first, second, frame)))
        self.relays[second].join(lambda frame: self.queue.append((second, first, frame)))

    def heartbeat(self, sender: int, receiver: int) -> None:
        self.queue.extend((sender, receiver, state) for state in self.relays[sender].states())
        self.deliver_all()

    def deliver_all(self) -> None:
        while self.queue:
            sender, receiver, frame = self.queue.pop(0)
            self.delivered.append(str(frame.WhichOneof("kind")))
            self.relays[receiver].handle(
                frame, lambda response, a=receiver, b=sender: self.queue.append((a, b, response))  # type: ignore[misc]
            )

    def test_update_reaches_each_peer_once(self) -> None:
        for pair in ((0, 1), (1, 2), (0, 2)):
            self.connect(*pair)
        self.deliver_all()
        self.delivered.clear()
        self.feeds[0][0].apply(change(7, [records.record("tier", "a", rank=1)]))
        self.relays[0].announce_changes()
        self.deliver_all()
        self.assertEqual([7, 7, 7], [feeds[0].revision for feeds in self.feeds])
        self.assertEqual(2, self.delivered.count("feed_update"))

    def test_new_process_gets_the_highest_revision_of_its_peers(self) -> None:
        self.feeds[0][0].apply(change(3, [records.record("tier", "a", rank=3)]))
        self.feeds[1][0].apply(change(9, [records.record("tier", "a", rank=9)]))
        self.connect(0, 2)
        self.connect(1, 2)
        self.deliver_all()
        self.clock.advance(3)
        self.heartbeat(0, 2)
        self.heartbeat(1, 2)
        self.assertEqual([9, 9, 9], [feeds[0].revision for feeds in self.feeds])

    def test_confirmation_time_is_relayed(self) -> None:
        self.connect(0, 1)
        self.feeds[0][0].apply(change(1, []))
        self.relays[0].announce_changes()
        self.deliver_all()
        self.clock.advance(30)
        self.feeds[0][0].confirm(1, 0.0)
        self.heartbeat(1, 0)
        self.assertAlmostEqual(0.0, self.feeds[1][0].confirmed_ago_s)


class SettingsTest(unittest.TestCase):
    VALID = (
        "process:\n  name: e\n  data_centre: d\n  admin: 127.0.0.1:1\n"
        "platform:\n  url: http://127.0.0.1:9\n"
        "entry:\n  listen: 127.0.0.1:2\n"
    )

    @parameterized.expand(
        [
            ("number", "fanout: many", ":9: entry.fanout: expected a whole number, found a string"),
            ("bound", "fanout: 0", ":9: entry.fanout: must be at least 1"),
            ("unknown", "fan_out: 2", ":9: entry.fan_out: unknown field"),
            ("address", "listen: localhost:2", ":9: entry.listen: expected an IP address"),
            ("yaml", "- x", "is not YAML"),
        ]
    )
    def test_errors_name_file_line_and_field(self, _: str, line: str, expected: str) -> None:
        with self.assertRaises(SettingsError) as caught:
            self._load(f"{self.VALID}  {line}\n")
        self.assertIn(expected, str(caught.exception))

    def test_missing_fields_are_named(self) -> None:
        with self.assertRaises(SettingsError) as caught:
            self._load("process:\n  name: e\n")
        self.assertIn("process.data_centre: is missing", str(caught.exception))
        self.assertIn("platform: is missing", str(caught.exception))

    def test_valid_settings_are_loaded(self) -> None:
        self.assertEqual("e", self._load(self.VALID).process.name)

    def _load(self, text: str) -> Any:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.yaml"
            path.write_text(text)
            return load_settings(path)


class VMListTest(unittest.TestCase):
    def test_leaving_reader_is_replaced(self) -> None:
        view = VMView()
        names = [f"entry-{number}" for number in range(5)]
        view.apply(change(1, [records.vm(name, "entry") for name in names]))
        readers = [name for name in names if view.is_reader(name, "olympia", 2)]
        self.assertEqual(2, len(readers))
        view.apply(change(2, [records.vm(readers[0], "entry", state="leaving")]))
        new_readers = [name for name in names if view.is_reader(name, "olympia", 2)]
        self.assertEqual(2, len(new_readers))
        self.assertNotIn(readers[0], new_readers)
        self.assertIn(readers[1], new_readers)
        self.assertTrue(view.is_leaving(readers[0]))
        self.assertFalse(is_successful(parse_vm(b"{}")))


if __name__ == "__main__":
    unittest.main()
