"""Requests of one connection: parsed one at a time, held compactly, refused beyond the limits."""

import unittest

from parameterized import parameterized

from pearshed._internal.http.messages import HttpRequest, RequestProblem
from pearshed._internal.http.request_parser import ParserStage, RequestParser
from pearshed._internal.models.routing import CallerLimits

KIB = 1024
LIMITS = CallerLimits(16 * KIB, 256 * KIB, 3.0, 15.0)
HEAD = b"POST /a/ HTTP/1.1\r\nHost: h\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
SMALL = b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n"


class RequestParserTest(unittest.TestCase):
    def setUp(self) -> None:
        self.parser = RequestParser(lambda: LIMITS)

    def parse(self, content: bytes) -> HttpRequest | RequestProblem:
        self.parser.feed(content, 1.0)
        return self.parser.take()

    @parameterized.expand(
        [
            ("short_lines", HEAD + b"a:\r\n" * 4000, 4),
            ("long_line", HEAD + b"X: " + b"a" * 15 * KIB, 2),
            ("small_chunks", CHUNKED + b"2\r\nxx\r\n" * 10_000, 2),
            ("one_chunk", CHUNKED + b"40000\r\n" + b"x" * 100_000, 2),
            ("length", HEAD + b"Content-Length: 200000\r\n\r\n" + b"x" * 199_999, 2),
            ("trailers", CHUNKED + b"1\r\nx\r\n0\r\n" + b"a:b\r\n" * 3000, 1),
            ("long_trailer", CHUNKED + b"1\r\nx\r\n0\r\n" + b"a" * 15 * KIB, 1),
        ]
    )
    def test_an_unfinished_request_holds_little_more_than_its_bytes(
        self, _: str, content: bytes, factor: int
    ) -> None:
        self.assertEqual(len(content), self.parser.feed(content, 1.0))
        self.assertFalse(self.parser.has_parsed)
        self.assertLess(self.parser.held_bytes, factor * len(content))
        self.parser.refuse(503, "no room")
        self.assertLess(self.parser.held_bytes, 200)

    @parameterized.expand(
        [
            ("trailers", CHUNKED + b"0\r\n" + b"a:b\r\n" * 4000, 431),
            ("one_trailer", CHUNKED + b"0\r\n" + b"a" * 20 * KIB, 431),
            ("chunk_extension", CHUNKED + b"1;a=" + b"b" * 20 * KIB, 431),
            ("short_lines", HEAD + b"a:\r\n" * 5000, 431),
            ("whole_head_in_one_piece", HEAD + b"abcd:\r\n" * 4000 + b"\r\n", 431),
            ("target", b"GET /" + b"a" * 20 * KIB, 431),
            ("chunks", CHUNKED + b"1000\r\n" + b"x" * 4096 + b"\r\n" * 1, 0),
            ("large_chunks", CHUNKED + (b"8000\r\n" + b"x" * 32768 + b"\r\n") * 9, 413),
        ]
    )
    def test_what_exceeds_the_limits_is_refused(self, _: str, content: bytes, status: int) -> None:
        self.parser.feed(content, 1.0)
        self.assertEqual(bool(status), self.parser.refused)
        if status:
            problem = self.parser.take()
            assert isinstance(problem, RequestProblem)
            self.assertEqual((status, False), (problem.status, self.parser.has_parsed))

    def test_trailers_are_no_headers(self) -> None:
        trailers = b"1\r\nx\r\n0\r\nAuthorization: Token k\r\nHost: other\r\n\r\n"
        request = self.parse(CHUNKED + trailers)
        assert isinstance(request, HttpRequest)
        self.assertEqual(
            [(b"host", b"h"), (b"transfer-encoding", b"chunked")], list(request.headers)
        )
        self.assertEqual(b"x", request.body)

    def test_requests_sent_ahead_are_parsed_after_the_first_was_taken(self) -> None:
        content = SMALL * 1000
        parsed = self.parser.feed(content, 1.0)
        self.assertLess(parsed, 2 * KIB)
        taken = 0
        while self.parser.has_parsed:
            self.assertIsInstance(self.parser.take(), HttpRequest)
            taken += 1
        self.assertEqual(parsed // len(SMALL), taken)
        self.assertGreater(self.parser.feed(content[parsed:], 1.0), 0)

    @parameterized.expand([(size,) for size in (1, 5, 100, 5000)])
    def test_bodies_may_come_in_any_pieces(self, size: int) -> None:
        body = bytes(range(256)) * 500
        content = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body + SMALL
        start = 0
        while not self.parser.has_parsed:
            start += self.parser.feed(content[start : start + size], 1.0)
        request = self.parser.take()
        assert isinstance(request, HttpRequest)
        self.assertEqual(body, request.body)
        self.parser.feed(content[start:], 1.0)
        self.assertIn(self.parser.stage, (ParserStage.BETWEEN, ParserStage.HEAD))

    def test_what_was_sent_ahead_is_refused_with_one_response(self) -> None:
        self.parser.feed(SMALL * 30, 1.0)
        self.parser.take()
        self.parser.refuse_parsed(503, "no room", 2)
        problem = self.parser.take()
        self.assertEqual(RequestProblem(503, "no room", 2), problem)
        self.assertFalse(self.parser.has_parsed)
