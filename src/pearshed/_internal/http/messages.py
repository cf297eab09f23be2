"""HTTP messages after parsing, and encoding of their parts."""

import enum
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from pearshed._internal.http.header_block import Header, HeaderBlock
from pearshed._internal.http.segments import SegmentedBytes

Headers = Sequence[Header]

#: Hop-by-hop headers (RFC 9110, section 7.6.1).
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)

#: Responses with these statuses have no body.
_BODILESS_STATUSES = (204, 304)

REASON_PHRASES = {
    100: b"Continue",
    200: b"OK",
    204: b"No Content",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request of a caller.

    :ivar target: path with query string, as sent.
    :ivar headers: names in lower case.
    :ivar body: in segments if it is large.
    :ivar received_at: clock reading when its first byte was received, seconds.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes | SegmentedBytes = field(repr=False)
    keep_alive: bool
    http_1_1: bool
    received_at: float

    @property
    def head_only(self) -> bool:
        """Whether its response has no body whatever the response's headers say."""
        return self.method == b"HEAD"

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclass(frozen=True, slots=True)
class RequestProblem:
    """An invalid request; the connection is closed after the error response.

    :ivar status: HTTP status of the error response.
    :ivar retry_after_s: time after which the caller may send it again, seconds; 0 for none given.
    """

    status: int
    message: str
    retry_after_s: int = 0


class BodyFraming(enum.Enum):
    """What marks the end of a message's body."""

    NO_BODY = "no body"
    LENGTH = "length"
    CHUNKED = "chunked"
    UNTIL_CLOSE = "until close"


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status line and headers of an endpoint's response.

    :ivar reason: reason phrase as sent.
    :ivar headers: names in lower case.
    """

    status: int
    reason: bytes
    headers: Headers

    @property
    def framing(self) -> BodyFraming:
        """What marks the end of the body, as sent by the endpoint."""
        if self.status in _BODILESS_STATUSES:
            return BodyFraming.NO_BODY
        if header_value(self.headers, b"transfer-encoding") is not None:
            return BodyFraming.CHUNKED
        if header_value(self.headers, b"content-length") is not None:
            return BodyFraming.LENGTH
        return BodyFraming.UNTIL_CLOSE


def header_value(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header, or ``None``.

    :param name: in lower case.
    """
    if isinstance(headers, HeaderBlock):
        return headers.first(name)
    for candidate, value in headers:
        if candidate == name:
            return value
    return None


def header_values(headers: Iterable[Header], name: bytes) -> list[bytes]:
    """Return all values of a header that may occur several times."""
    if isinstance(headers, HeaderBlock):
        return headers.all(name)
    return [value for candidate, value in headers if candidate == name]


def connection_options(headers: Iterable[Header]) -> frozenset[bytes]:
    """Return the options of the Connection headers, in lower case."""
    options: set[bytes] = set()
    for value in header_values(headers, b"connection"):
        options.update(option.strip().lower() for option in value.split(b","))
    options.discard(b"")
    return frozenset(options)


def end_to_end(headers: Headers) -> list[Header]:
    """Return the headers without hop-by-hop headers and Content-Length."""
    options = connection_options(headers)
    return [
        (name, value)
        for name, value in headers
        if name not in CONNECTION_HEADERS and name not in options and name != b"content-length"
    ]


def encode_head(start_line: bytes, headers: Iterable[Header]) -> bytes:
    """Encode a start line with its headers."""
    lines = [start_line]
    lines.extend(name + b": " + value for name, value in headers)
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


def status_line(status: int, reason: bytes | None = None) -> bytes:
    """Encode the status line of a response, without its line end."""
    phrase = reason if reason is not None else REASON_PHRASES.get(status, b"Status")
    return b"HTTP/1.1 %d %s" % (status, phrase)


def encode_chunk(content: bytes) -> bytes:
    """Encode a chunk of a body in chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(content), content)


LAST_CHUNK = b"0\r\n\r\n"
