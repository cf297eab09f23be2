"""Content of messages in few pieces of memory: header_block, segments, outgoing."""

import sys
import unittest
from typing import Any
from unittest import mock

from parameterized import parameterized

from pearshed._internal.http.header_block import Header, HeaderBlock
from pearshed._internal.http.outgoing import WRITE_BUFFER_BYTES, OutgoingContent
from pearshed._internal.http.segments import SEGMENT_BYTES, SegmentedBytes, segments_of

HEADERS: list[Header] = [
    (b"host", b"a"),
    (b"x", b""),
    (b"ost", b"b"),
    (b"x", b"y: z:host:c"),
    (b"xx", b"d"),
]


class HeaderBlockTest(unittest.TestCase):
    def test_headers_are_read_as_they_were_added(self) -> None:
        block = HeaderBlock.of(HEADERS)
        self.assertEqual(HEADERS, list(block))
        self.assertEqual(
            (len(HEADERS), HEADERS[1], tuple(HEADERS[:2])), (len(block), block[1], block[:2])
        )
        self.assertEqual(HeaderBlock.of(HEADERS), block)
        self.assertNotEqual(HeaderBlock(), block)

    @parameterized.expand(
        [
            (b"host", [b"a"]),
            (b"x", [b"", b"y: z:host:c"]),
            (b"ost", [b"b"]),
            (b"xx", [b"d"]),
            (b"y", []),
            (b"", []),
        ]
    )
    def test_values_are_found_by_the_whole_name(self, name: bytes, values: list[bytes]) -> None:
        block = HeaderBlock.of(HEADERS)
        self.assertEqual(values, block.all(name))
        self.assertEqual(values[0] if values else None, block.first(name))

    def test_memory_follows_bytes(self) -> None:
        block = HeaderBlock.of([(b"a", b"")] * 4096)
        self.assertLess(block.held_bytes, 4096 * 4)


class SegmentedBytesTest(unittest.TestCase):
    @parameterized.expand(
        [(1, 10), (3, 3 * SEGMENT_BYTES), (5000, 50), (SEGMENT_BYTES, 2), (3 * SEGMENT_BYTES, 1)]
    )
    def test_pieces_of_any_size_are_joined(self, size: int, count: int) -> None:
        pieces = [bytes([number % 251]) * size for number in range(min(count, 2000))]
        content = SegmentedBytes()
        for piece in pieces:
            content.append(piece)
        joined = b"".join(pieces)
        self.assertEqual((len(joined), joined), (len(content), bytes(content)))
        self.assertEqual(joined, b"".join(segments_of(content)))
        self.assertTrue(all(segments_of(content)))

    def test_memory_follows_bytes(self) -> None:
        content = SegmentedBytes()
        for _ in range(300_000):
            content.append(b"x")
        self.assertLess(content.held_bytes, 300_000 * 1.3)
        self.assertGreaterEqual(content.held_bytes, sum(map(sys.getsizeof, content.segments)))
        content.clear()
        self.assertEqual((0, []), (len(content), content.segments))

    def test_content_in_one_piece_is_one_segment(self) -> None:
        self.assertEqual(((b"x",), ()), (segments_of(b"x"), segments_of(b"")))


class OutgoingContentTest(unittest.TestCase):
    def setUp(self) -> None:
        self.written: list[bytes] = []
        self.transport: Any = mock.Mock()
        self.transport.is_closing.return_value = False
        self.transport.get_write_buffer_size.return_value = 0
        self.transport.write.side_effect = lambda piece: self.written.append(bytes(piece))
        self.content = OutgoingContent(self.transport)

    def test_content_is_written_in_order_as_the_peer_takes_it(self) -> None:
        self.content.write(b"first")
        self.content.pause()
        self.content.write(b"second")
        self.content.write_segments([b"third", b"fourth"])
        self.assertEqual(([b"first"], True), (self.written, self.content.blocked))
        self.assertEqual(len(b"secondthirdfourth"), self.content.pending_bytes)
        self.content.resume()
        self.assertEqual([b"first", b"second", b"third", b"fourth"], self.written)
        self.assertEqual((False, 0), (self.content.blocked, self.content.pending_bytes))

    def test_large_content_waits_outside_the_transports_buffer(self) -> None:
        def write(piece: bytes) -> None:
            self.written.append(bytes(piece))
            self.content.pause()

        self.transport.write.side_effect = write
        content = bytes(range(256)) * 2048
        self.content.write(content)
        self.assertEqual([WRITE_BUFFER_BYTES], [len(piece) for piece in self.written])
        while self.content.blocked:
            self.content.resume()
        self.assertEqual(content, b"".join(self.written))

    def test_dropped_content_is_not_written(self) -> None:
        self.content.pause()
        self.content.write(b"first")
        self.content.clear()
        self.content.resume()
        self.transport.is_closing.return_value = True
        self.content.write(b"second")
        self.assertEqual([], self.written)
