"""Bodies that an entry reads: in pieces, within the limits, and without what follows them."""

import io
import unittest

from parameterized import parameterized
from returns.pipeline import is_successful

from pearshed._internal.entry.body_reader import BodySource, read_chunks, read_known_length
from pearshed._internal.models.outcomes import FailureCode

KIB = 1024
LIMIT = 256 * KIB
NEXT = b"GET /next HTTP/1.1\r\n\r\n"


class Source(BodySource):
    """Records progress, and is ended after some bytes."""

    def __init__(self, ended_after: int = 10**9) -> None:
        self._ended_after = ended_after
        self.received = 0
        self.most_held = 0

    @property
    def ended(self) -> bool:
        return self.received >= self._ended_after

    def record_received(self, received_bytes: int, held_bytes: int) -> None:
        self.received += received_bytes
        self.most_held = max(self.most_held, held_bytes)


def reader(content: bytes) -> io.BufferedReader:
    return io.BufferedReader(io.BytesIO(content))


class ChunkTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("empty", b"0\r\n\r\n", b""),
            ("one", b"3\r\nabc\r\n0\r\n\r\n", b"abc"),
            ("extension", b"3;a=b\r\nabc\r\n0\r\n\r\n", b"abc"),
            ("trailers", b"1\r\na\r\n0\r\nA: b\r\nHost: c\r\n\r\n", b"a"),
            ("many", b"2\r\nxy\r\n" * 20_000 + b"0\r\n\r\n", b"xy" * 20_000),
            ("large", b"20000\r\n" + b"z" * 0x20000 + b"\r\n0\r\n\r\n", b"z" * 0x20000),
        ]
    )
    def test_a_body_is_read_to_its_end(self, _: str, content: bytes, body: bytes) -> None:
        stream, source = reader(content + NEXT), Source()
        self.assertEqual(body, read_chunks(source, stream, LIMIT).unwrap())
        self.assertEqual(NEXT, stream.read())
        self.assertEqual(len(content), source.received)
        self.assertLess(source.most_held, 1.3 * len(body) + KIB)

    @parameterized.expand(
        [
            ("too_large", b"10000\r\n" + b"z" * 0x10000 + b"\r\n", 5, FailureCode.TOO_LARGE),
            ("malformed", b"zz\r\nabc\r\n", 1, FailureCode.MALFORMED),
            ("no_end", b"3\r\nabc\r\n", 1, FailureCode.MALFORMED),
            ("trailers", b"0\r\n" + b"a:b\r\n" * 20_000, 1, FailureCode.MALFORMED),
            ("extension", b"1;" + b"a" * 100_000, 1, FailureCode.MALFORMED),
        ]
    )
    def test_other_bodies_are_refused(
        self, _: str, content: bytes, times: int, code: FailureCode
    ) -> None:
        body = read_chunks(Source(), reader(content * times), LIMIT)
        self.assertEqual(code, body.failure().code)

    def test_one_that_ends_for_lack_of_room_may_come_back(self) -> None:
        content = b"400\r\n" + b"x" * KIB + b"\r\n"
        for read in (
            read_chunks(Source(10 * KIB), reader(content * 100), LIMIT),
            read_known_length(Source(10 * KIB), reader(b"x" * 200 * KIB), 200 * KIB, LIMIT),
        ):
            self.assertFalse(is_successful(read))
            failure = read.failure()
            self.assertEqual(FailureCode.OVERLOADED, failure.code)
            self.assertIn(failure.retry_after_s, (1, 2, 3))


class KnownLengthTest(unittest.TestCase):
    @parameterized.expand([(0,), (5,), (64 * KIB,), (200 * KIB,)])
    def test_a_body_is_read_to_its_end(self, length: int) -> None:
        stream = reader(b"x" * length + NEXT)
        self.assertEqual(b"x" * length, read_known_length(Source(), stream, length, LIMIT).unwrap())
        self.assertEqual(NEXT, stream.read())

    @parameterized.expand(
        [
            ("short", 10, 9, FailureCode.MALFORMED),
            ("too_large", LIMIT + 1, 0, FailureCode.TOO_LARGE),
        ]
    )
    def test_other_bodies_are_refused(
        self, _: str, length: int, sent: int, code: FailureCode
    ) -> None:
        body = read_known_length(Source(), reader(b"x" * sent), length, LIMIT)
        self.assertEqual(code, body.failure().code)
