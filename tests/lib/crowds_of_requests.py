"""What crowds send: requests without an end, in many small pieces, or one after the other."""

from collections.abc import Iterable

from tests.lib.crowds import repeated
from tests.lib.platform_process import KIB

#: The shortest lines that a head may have, and a trailer as short as most parsers take.
SHORTEST_LINE = b"a:\r\n"
TRAILER = b"a:b\r\n"


def open_head(start: bytes, line: bytes, size: int) -> Iterable[bytes]:
    """Yield a head of a size that gets no end.

    :param start: its first lines.
    """
    yield start
    yield from repeated(line, size - len(start) - len(line))


def whole_head(start: bytes, line: bytes, size: int) -> bytes:
    """Return a head of at most a size."""
    return start + line * ((size - 2 - len(start)) // len(line)) + b"\r\n"


def body(start: bytes, size: int, sent: int) -> Iterable[bytes]:
    """Yield a request with a body, of which only some is sent."""
    yield start + b"Content-Length: %d\r\n\r\n" % size
    yield from repeated(b"x" * KIB, sent - sent % KIB)
    yield b"x" * (sent % KIB)


def chunks(start: bytes, piece: bytes, size: int) -> Iterable[bytes]:
    """Yield a request whose body comes in chunks and gets no end."""
    yield start + b"Transfer-Encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n%s\r\n" % (len(piece), piece)
    yield from repeated(chunk, size // len(piece) * len(chunk))


def trailers(start: bytes, line: bytes, size: int) -> Iterable[bytes]:
    """Yield a request with a body of one chunk, and trailers that get no end."""
    yield start + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
    yield from repeated(line, size)
