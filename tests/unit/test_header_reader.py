"""Headers of callers' requests, as the library reads them, but for those that nobody uses."""

import io
import unittest
from typing import Any

from cheroot import errors, server
from parameterized import parameterized

from pearshed._internal.entry.header_reader import KnownHeaderReader

NAMES = frozenset((b"Host", b"Accept", b"Content-Length", b"Authorization"))
BODY = b"body: not a header\r\n\r\n"
_MAX_BYTES = 64 * 1024


class _Pieces(io.RawIOBase):
    """Yields content in pieces of a size."""

    def __init__(self, content: bytes, size: int) -> None:
        self._content = io.BytesIO(content)
        self._size = size

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int:
        piece = self._content.read(min(self._size, len(buffer)))
        buffer[: len(piece)] = piece
        return len(piece)


def source(content: bytes, size: int) -> tuple[Any, Any]:
    stream = io.BufferedReader(_Pieces(content, size))
    return server.SizeCheckWrapper(stream, _MAX_BYTES), stream


_SIZES = (1, 3, 100, 100_000)


class KnownHeaderReaderTest(unittest.TestCase):
    @parameterized.expand(
        [
            (f"{name}_{size}", content, size)
            for name, content in [
                ("none", b""),
                ("one", b"Host: a\r\n"),
                ("case_and_spaces", b"hOST:  a \r\naccept:b\r\n"),
                ("repeated", b"Host: a\r\nHost: b\r\nAccept: c\r\nAccept: d\r\n"),
                ("folded", b"Accept: a\r\n b\r\nX: c\r\n\td\r\nHost: e\r\n"),
                ("colons", b"Host: a:1:2\r\nAuthorization: Bearer x:y\r\n"),
                ("many", b"a:\r\n" * 10_000 + b"Host: a\r\n"),
                ("empty_value", b"Host:\r\nContent-Length: 5\r\n"),
            ]
            for size in _SIZES
        ]
    )
    def test_headers_are_those_that_the_library_reads(
        self, _: str, content: bytes, size: int
    ) -> None:
        checked, stream = source(content + b"\r\n" + BODY, size)
        headers = KnownHeaderReader(NAMES)(checked)
        expected = server.HeaderReader()(io.BytesIO(content + b"\r\n"))
        known = {name: value for name, value in expected.items() if name in NAMES}
        self.assertEqual(known, headers)
        self.assertEqual(BODY, stream.read())

    @parameterized.expand(
        [
            (f"{name}_{size}", content, size)
            for name, content in [
                ("no_end", b"Host: a\r\n"),
                ("nothing", b""),
                ("line_feeds", b"Host: a\n\n"),
                ("no_colon", b"Host\r\n\r\n"),
                ("folded_first", b" a\r\n\r\n"),
            ]
            for size in _SIZES
        ]
    )
    def test_malformed_headers_are_refused(self, _: str, content: bytes, size: int) -> None:
        with self.assertRaises(ValueError):
            KnownHeaderReader(NAMES)(source(content, size)[0])

    @parameterized.expand([("lines", b"a:\r\n" * 20_000), ("line", b"a" * 80_000)])
    def test_headers_beyond_the_limit_are_refused(self, _: str, content: bytes) -> None:
        with self.assertRaises(errors.MaxSizeExceeded):
            KnownHeaderReader(NAMES)(source(content, 8192)[0])
