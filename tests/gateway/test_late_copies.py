"""Second copies of responses that arrive late, on a connection that is in use again."""

from collections.abc import Callable

from parameterized import parameterized

from tests.lib.gateway_caller import Caller
from tests.lib.gateway_fixture import GatewayTestCase, until
from tests.lib.gateway_platform import SIGNATURE, EngineConnection, EngineRequest

Response = Callable[[EngineRequest], bytes]


def _response(lines: str, body: bytes = b"", status: str = "200 OK") -> Response:
    def build(request: EngineRequest) -> bytes:
        head = (
            f"HTTP/1.1 {status}\r\nPearshed-Request-Id: {request.request_id}\r\n"
            f"Pearshed-Response-Signature: {SIGNATURE}\r\n{lines}\r\n"
        )
        return head.encode() + body.replace(b"ID", request.request_id.encode())

    return build


_LENGTH = _response("Content-Length: 8\r\n", b"for ID..")
_CHUNKED = _response("Transfer-Encoding: chunked\r\n", b"8\r\nfor ID..\r\n0\r\n\r\n")
_WITHOUT_BODY = _response("Content-Length: 8\r\n")
_NO_CONTENT = _response("", status="204 No Content")
_INTERIM = "HTTP/1.1 102 Processing\r\n\r\n"


def _after_interim(request: EngineRequest) -> bytes:
    return _INTERIM.encode() + _LENGTH(request)


class LateCopyTest(GatewayTestCase):
    @parameterized.expand(
        [
            # response that is copied, method of its request, copy comes with the next response
            ("length", _LENGTH, "GET", True),
            ("chunked", _CHUNKED, "GET", True),
            ("head", _WITHOUT_BODY, "HEAD", True),
            ("no_content", _NO_CONTENT, "GET", True),
            ("after_an_interim_response", _after_interim, "GET", True),
            ("while_idle", _LENGTH, "GET", False),
            ("while_idle_after_head", _WITHOUT_BODY, "HEAD", False),
        ]
    )
    async def test_a_late_copy_answers_no_other_request(
        self, _: str, build: Response, method: str, with_next: bool
    ) -> None:
        copies: dict[EngineConnection, bytes] = {}

        async def respond(connection: EngineConnection, request: EngineRequest) -> None:
            is_first = request.target.endswith("first")
            response = (build if is_first else _LENGTH)(request)
            connection.send(copies.pop(connection, b"") + response)
            if is_first and with_next:
                copies[connection] = response
            elif is_first:
                connection.send(response)

        await self.add_engine("ledger", respond)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 1))
        caller = await Caller.connect(self.settings.callers)
        for number in range(10, 16):
            first = number % 2 == 0
            caller.send(
                "/lookup/first" if first else "/lookup/next",
                request_id=f"{number}",
                method=method if first else "GET",
                headers={"Content-Length": ""},
            )
            if first and method == "HEAD":
                head = await caller.read_head()
                self.assertIn(b"pearshed-request-id: %d\r\n" % number, head.lower())
                continue
            if first and build is _NO_CONTENT:
                head = await caller.read_head()
                self.assertTrue(head.startswith(b"HTTP/1.1 204"), head)
                continue
            response = await caller.read_response()
            assert response is not None
            expected = (200, b"for %d.." % number, f"{number}")
            actual = (response.status, response.body, response.headers["pearshed-request-id"])
            self.assertEqual(expected, actual)
        caller.close()

    async def test_a_copy_of_a_response_that_came_too_late_answers_no_other_request(self) -> None:
        held: list[tuple[EngineConnection, EngineRequest]] = []

        async def respond(connection: EngineConnection, request: EngineRequest) -> None:
            if request.target.endswith("slow"):
                held.append((connection, request))
                return
            for earlier_connection, earlier in held:
                earlier_connection.send(_LENGTH(earlier) * 2)
            connection.send(_LENGTH(request))

        await self.add_engine("ledger", respond)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 1))
        late = await self.call(
            "/lookup/slow", request_id="10", headers={"Pearshed-Deadline-Ms": "200"}
        )
        assert late is not None
        self.assertEqual(504, late.status)
        for number in range(11, 15):
            response = await self.call("/lookup/next", request_id=f"{number}")
            assert response is not None
            self.assertEqual((200, b"for %d.." % number), (response.status, response.body))
