"""Ids that callers choose, as keys of tables."""

import unittest

from pearshed._internal.platform.headers import PlatformHeaders
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
