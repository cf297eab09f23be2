"""Requests of one connection: parsed one at a time, held compactly, refused beyond the limits."""

import unittest

import hypothesis
from hypothesis import strategies
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


OFFER = b"Connection: Upgrade\r\nUpgrade: %s\r\n"


class OfferTest(unittest.TestCase):
    """Guards against a second answer to a request that offers another protocol."""

    @parameterized.expand(
        [
            (f"{name}_{kind}_{size}", offer, body, size)
            for name, offer in [
                ("h2c", b"h2c"),
                ("websocket", b"websocket"),
                ("several", b"h2c, TLS/1.0, a/b"),
            ]
            for kind, body in [
                ("without_body", b"\r\n"),
                ("length", b"Content-Length: 3\r\n\r\nabc"),
                ("chunks", b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
            ]
            for size in (1, 7, 10_000)
        ]
    )
    def test_a_request_that_offers_an_upgrade_is_one_like_others(
        self, _: str, offer: bytes, body: bytes, size: int
    ) -> None:
        content = (HEAD + OFFER % offer + body + SMALL) * 2
        parsed = parse_all(content, [size] * (len(content) // size + 1))
        self.assertEqual([b"POST", b"GET"] * 2, [method for _, method, _ in parsed])
        self.assertEqual([b"abc" if b"abc" in body else b"", b""] * 2, [item[2] for item in parsed])

    @parameterized.expand(
        [
            ("connect", b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", 400),
            ("two_hosts", HEAD + b"Host: b\r\n" + OFFER % b"h2c" + b"\r\n", 400),
            ("large_head", HEAD + OFFER % b"h2c" + b"abcd:\r\n" * 4000 + b"\r\n", 431),
        ]
    )
    def test_one_that_is_refused_is_answered_once(
        self, _: str, content: bytes, status: int
    ) -> None:
        for sizes in ([len(content) + 100], [1] * (len(content) + 100)):
            self.assertEqual([(status, b"", b"")], parse_all(content + SMALL, sizes))


#: What clients may send one after the other; the last ones end what can be parsed.
PIECES = [
    SMALL,
    HEAD + b"Content-Length: 3\r\n\r\nabc",
    CHUNKED + b"3;a=b\r\nabc\r\n0\r\nT: r\r\n\r\n",
    HEAD + OFFER % b"h2c" + b"\r\n",
    HEAD + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\nok",
    b"\r\n",
    b"POST /a/ HTTP/1.1\r\n\r\n",
    b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n",
    b"PRI * HTTP/2.0\r\n\r\n",
    b"\x16\x03\x01",
    HEAD,
]


class AnySegmentsTest(unittest.TestCase):
    """A connection gets at most one answer for each request, whatever is sent in any segments."""

    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.one_of(strategies.sampled_from(PIECES), strategies.binary(max_size=20)),
            max_size=8,
        ),
        strategies.lists(strategies.integers(1, 60), max_size=60),
    )
    def test_answers_do_not_depend_on_segments(self, pieces: list[bytes], sizes: list[int]) -> None:
        content = b"".join(pieces)
        whole = parse_all(content, [len(content) + 1])
        split = parse_all(content, sizes)
        self.assertEqual(whole, split)
        problems = [number for number, item in enumerate(split) if isinstance(item[0], int)]
        # A refusal is the last answer, and begins with a request.
        self.assertIn(problems, ([], [len(split) - 1]))
        self.assertLessEqual(len(split), max(content.count(b"\n"), len(split[:1])))

    @hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(strategies.sampled_from(PIECES[:5]), max_size=8),
        strategies.lists(strategies.integers(1, 60), max_size=60),
    )
    def test_each_sound_request_gets_one_answer(
        self, pieces: list[bytes], sizes: list[int]
    ) -> None:
        parsed = parse_all(b"".join(pieces), sizes)
        self.assertEqual([None] * len(pieces), [status for status, _, _ in parsed])


def parse_all(content: bytes, sizes: list[int]) -> list[tuple[int | None, bytes, bytes]]:
    """Return the status of a refusal, or method and body, of each request in order."""
    parser = RequestParser(lambda: LIMITS)
    parsed: list[tuple[int | None, bytes, bytes]] = []
    start = 0
    for size in [*sizes, len(content)]:
        segment = content[start : start + size]
        start += size
        while segment and not parser.refused:
            segment = segment[parser.feed(segment, 1.0) :]
            while parser.has_parsed:
                taken = parser.take()
                if isinstance(taken, RequestProblem):
                    parsed.append((taken.status, b"", b""))
                else:
                    parsed.append((None, taken.method, bytes(taken.body)))
    return parsed
