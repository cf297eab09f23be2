"""Parses the requests of one connection; an unfinished one is held in little more than its bytes.

A request is parsed when the one before has been served: until then its bytes are kept as they are.
"""

import collections
import enum
from collections.abc import Callable

import httptools

from pearshed._internal.http import messages
from pearshed._internal.http.header_block import HeaderBlock
from pearshed._internal.http.messages import HttpRequest, RequestProblem
from pearshed._internal.http.segments import SEGMENT_BYTES, SegmentedBytes
from pearshed._internal.models.routing import CallerLimits

#: Bytes parsed at once where requests may end, so that few of them are complete at a time.
_SLICE_BYTES = 1024
#: Memory of a parsed request besides its content, bytes.
_REQUEST_BYTES = 1024
_LARGE_HEADER = "the request's header is too large"


class ParserStage(enum.Enum):
    """Which part of a request is parsed next."""

    BETWEEN = "between requests"
    HEAD = "head"
    BODY = "body"


class RequestParser:
    """Parser of one connection's requests.

    :param limits: returns the current limits; called for each check, since they may change.
    """

    def __init__(self, limits: Callable[[], CallerLimits]) -> None:
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._parsed: collections.deque[HttpRequest | RequestProblem] = collections.deque()
        self._parsed_bytes = 0
        self._received_at = 0.0
        self._begun_at = 0.0
        self._message_bytes = 0
        self._framing_bytes = 0
        self._framing_restarted = False
        self._body_remaining = 0
        self._refused = False
        self._resuming = False
        self._expects_continue = False
        self._stage = ParserStage.BETWEEN
        self._target = bytearray()
        self._lines = bytearray()
        self._headers = HeaderBlock()
        self._body = SegmentedBytes()

    @property
    def stage(self) -> ParserStage:
        """Which part of a request is parsed next."""
        return self._stage

    @property
    def refused(self) -> bool:
        """Whether a request was refused; nothing is parsed after it."""
        return self._refused

    @property
    def expects_continue(self) -> bool:
        """Whether the caller waits for an interim response before it sends the body."""
        return self._expects_continue

    @property
    def has_parsed(self) -> bool:
        """Whether a request or a problem waits to be taken."""
        return bool(self._parsed)

    @property
    def held_bytes(self) -> int:
        """Memory of the unfinished request and of those that wait to be taken, bytes."""
        return self._parsed_bytes + len(self._lines) + len(self._target) + self._body.held_bytes

    @property
    def message_bytes(self) -> int:
        """Bytes received of the unfinished request."""
        return self._message_bytes

    def feed(self, data: bytes | memoryview, received_at: float) -> int:
        """Parse bytes until a request is complete, or refused.

        :param received_at: clock reading at which the bytes were received, seconds.
        :returns: the number of bytes parsed; those of further small requests may be among them.
        """
        self._received_at = received_at
        view = memoryview(data)
        start = 0
        while start < len(view) and not self._parsed:
            # The end of a body without chunks is known; any other slice may hold several requests.
            size = min(self._body_remaining, SEGMENT_BYTES) or _SLICE_BYTES
            content = view[start : start + size]
            self._feed_slice(content)
            start += len(content)
        return start

    def take(self) -> HttpRequest | RequestProblem:
        """Return the first request or problem, and remove it."""
        taken = self._parsed.popleft()
        self._parsed_bytes -= held_bytes_of(taken)
        return taken

    def refuse(self, status: int, message: str, retry_after_s: int = 0) -> None:
        """Refuse the unfinished request, and drop what was received of it."""
        if self._refused:
            return
        self._refused = True
        self._expects_continue = False
        self._add(RequestProblem(status, message, retry_after_s))
        self._reset_request()

    def refuse_parsed(self, status: int, message: str, retry_after_s: int) -> None:
        """Refuse the requests that wait to be taken, and all that follow, with one response."""
        self._parsed.clear()
        self._parsed_bytes = 0
        self.refuse(status, message, retry_after_s)

    def expectation_met(self) -> None:
        """Record that the interim response was sent."""
        self._expects_continue = False

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start parsing a request."""
        if self._resuming:
            return
        self._reset_request()
        self._stage = ParserStage.HEAD
        self._framing_bytes = 0
        self._begun_at = self._received_at

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        if self._resuming:
            return
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; trailers are dropped, as none is known to be safe as a header."""
        if self._stage is ParserStage.HEAD:
            self._lines += b"%s:%s\n" % (name.lower(), value.strip())

    def on_headers_complete(self) -> None:
        """Validate the header."""
        self._restart_framing()
        if self._refused or self._resuming:
            return
        self._stage = ParserStage.BODY
        header_bytes = len(self._lines) + len(self._target)
        self._headers = HeaderBlock(bytes(self._lines))
        self._lines = bytearray()
        problem = _header_problem(self._headers, bytes(self._target))
        if header_bytes > self._limits().max_header_bytes:
            problem = RequestProblem(431, _LARGE_HEADER)
        if problem is not None:
            self.refuse(problem.status, problem.message)
            return
        length = self._headers.first(b"content-length")
        self._body_remaining = int(length) if length is not None else 0
        expectation = self._headers.first(b"expect") or b""
        self._expects_continue = expectation.lower() == b"100-continue"

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body."""
        self._restart_framing()
        if self._refused:
            return
        self._body_remaining = max(0, self._body_remaining - len(body))
        if len(self._body) + len(body) > self._limits().max_body_bytes:
            self.refuse(413, "the request's body is too large")
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Add the complete request."""
        self._restart_framing()
        if self._refused:
            return
        if self._parser.should_upgrade() and self._announces_body():
            # The parser takes the body for bytes of the other protocol.
            self._resuming = True
            return
        self._expects_continue = False
        body = self._body
        request = HttpRequest(
            self._parser.get_method(),
            bytes(self._target),
            self._headers,
            body if len(body) > SEGMENT_BYTES else bytes(body),
            self._parser.should_keep_alive(),
            self._parser.get_http_version() == "1.1",
            self._begun_at,
        )
        self._reset_request()
        self._add(request)

    def _feed_slice(self, data: memoryview) -> None:
        self._framing_restarted = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as offer:
            self._go_on_after_offer(data[int(offer.args[0]) :])
            return
        except httptools.HttpParserError as error:
            self.refuse(400, f"the request is malformed: {error}")
        if not self._framing_restarted:
            self._framing_bytes += len(data)
        if self._stage is not ParserStage.BETWEEN:
            self._message_bytes += len(data)
        if self._framing_bytes > self._limits().max_header_bytes:
            in_head = self._stage is ParserStage.HEAD
            self.refuse(431, _LARGE_HEADER if in_head else "the request's trailers are too large")

    def _go_on_after_offer(self, data: memoryview) -> None:
        """Parse what follows the head of a request that offers an upgrade, which is ignored.

        The parser stops there, since another protocol would begin (RFC 9110, section 7.8).
        """
        head = self._head_without_offer() if self._resuming else b""
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(head)
        self._resuming = False
        if len(data) and not self._refused:
            self._feed_slice(data)

    def _announces_body(self) -> bool:
        length = self._headers.first(b"content-length")
        return bool(self._headers.all(b"transfer-encoding")) or (
            length is not None and int(length) > 0
        )

    def _head_without_offer(self) -> bytes:
        """Return a head by which another parser takes what follows for the request's body."""
        options = messages.connection_options(self._headers)
        start = self._parser.get_method() + b" / HTTP/" + self._parser.get_http_version().encode()
        kept = [header for header in self._headers if header[0] not in (b"connection", b"upgrade")]
        kept.extend(
            (b"connection", option) for option in (b"close", b"keep-alive") if option in options
        )
        return messages.encode_head(start, kept)

    def _restart_framing(self) -> None:
        """Restart the count of bytes of a head, of a chunk's extension or of trailers."""
        self._framing_bytes = 0
        self._framing_restarted = True

    def _add(self, parsed: HttpRequest | RequestProblem) -> None:
        self._parsed.append(parsed)
        self._parsed_bytes += held_bytes_of(parsed)

    def _reset_request(self) -> None:
        self._stage = ParserStage.BETWEEN
        self._target = bytearray()
        self._lines = bytearray()
        self._headers = HeaderBlock()
        self._body = SegmentedBytes()
        self._body_remaining = 0
        self._message_bytes = 0


def held_bytes_of(parsed: HttpRequest | RequestProblem) -> int:
    """Return the memory of a parsed request, bytes; its headers are kept for forwarding too."""
    if isinstance(parsed, RequestProblem):
        return len(parsed.message)
    body = parsed.body
    body_bytes = body.held_bytes if isinstance(body, SegmentedBytes) else len(body)
    header_bytes = parsed.headers.held_bytes if isinstance(parsed.headers, HeaderBlock) else 0
    return _REQUEST_BYTES + len(parsed.target) + 2 * header_bytes + body_bytes


def _header_problem(headers: HeaderBlock, target: bytes) -> RequestProblem | None:
    """Return why a request is invalid, or ambiguous: two parsers could read it differently."""
    if len(headers.all(b"host")) != 1:
        return RequestProblem(400, "a request needs exactly one Host header")
    lengths = headers.all(b"content-length")
    codings = headers.all(b"transfer-encoding")
    if codings and (lengths or [value.lower() for value in codings] != [b"chunked"]):
        return RequestProblem(400, "the length of the body is ambiguous")
    if len(lengths) > 1 or any(not value.isdigit() for value in lengths):
        return RequestProblem(400, "the length of the body is ambiguous")
    if not target.startswith(b"/"):
        return RequestProblem(400, "the target must be a path")
    return None
