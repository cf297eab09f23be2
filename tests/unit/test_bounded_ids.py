"""Ids that callers choose, as keys of tables."""

import unittest

from parameterized import parameterized
from returns.pipeline import is_successful

from pearshed._internal.engine_side import messages
from pearshed._internal.engine_side.crash_records import CrashRecord
from pearshed._internal.models.stream_origin import StreamOrigin
from pearshed._internal.platform.headers import PlatformHeaders
from pearshed._internal.timers import clock
from pearshed._internal.utils.bounded_ids import MAX_ID_CHARACTERS, bounded_id

KIB = 1024


class BoundedIdTest(unittest.TestCase):
    def test_ids_of_any_length_are_short_keys(self) -> None:
        texts = ["a", "b" * MAX_ID_CHARACTERS, "c" * 65, "d" * 16 * KIB, "\ud800" * 100]
        keys = [bounded_id(text) for text in texts]
        self.assertEqual(texts[:2], keys[:2])
        self.assertEqual(len(texts), len(set(keys)))
        self.assertLessEqual(max(map(len, keys)), MAX_ID_CHARACTERS)

    def test_parts_of_prompts_have_short_ids(self) -> None:
        value = b"%s:100,%s:200,c:1" % (b"a" * 5000, b"b" * 5000)
        metadata = PlatformHeaders().decode_request(((b"pearshed-prefix-hash", value),))
        self.assertEqual([100, 200, 1], [part.tokens for part in metadata.prompt])
        self.assertLessEqual(max(len(part.part_id) for part in metadata.prompt), MAX_ID_CHARACTERS)
        self.assertEqual([(b"pearshed-prefix-hash", value)], list(metadata.forwarded_headers))

    def test_ids_in_datagrams_of_peers_are_short(self) -> None:
        long = "x" * 1000
        crashes = messages.CrashReport(
            "", (CrashRecord("run", clock.now(), frozenset({(long, "a")})),), {long: clock.now()}
        )
        (datagram,) = messages.encode_all(crashes)
        report = messages.decode(datagram).unwrap()
        assert isinstance(report, messages.CrashReport)
        parts = [
            *report.successes,
            *(part for chain in report.records[0].suspects for part in chain),
        ]
        self.assertEqual(3, len(parts))
        self.assertLessEqual(max(map(len, parts)), MAX_ID_CHARACTERS)

    @parameterized.expand([("short", "v1", True), ("long", "v" * 600, False)])
    def test_origins_in_datagrams_are_short(self, _: str, version: str, accepted: bool) -> None:
        origin = StreamOrigin("fleet", version)
        (datagram,) = messages.encode_all(messages.OriginReport("", "s" * 500, origin))
        decoded = messages.decode(datagram)
        self.assertEqual(accepted, is_successful(decoded))
        if accepted:
            report = decoded.unwrap()
            assert isinstance(report, messages.OriginReport)
            self.assertLessEqual(len(report.stream), MAX_ID_CHARACTERS)
