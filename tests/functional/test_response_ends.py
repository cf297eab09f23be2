"""How sides and entries decide that an endpoint's response is complete, with real processes."""

import json
import socket
import unittest
from typing import ClassVar

import urllib3
from parameterized import parameterized

from tests.lib.engine import response_body, stream_chunks
from tests.lib.fleet import Fleet, SmallSite, chat_body
from tests.lib.load import uuid7
from tests.lib.records import API_KEY


class ResponseEndTest(unittest.TestCase):
    """All tests share one site; each sets all switches of the engine."""

    fleet: ClassVar[Fleet]
    site: ClassVar[SmallSite]

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = Fleet()
        cls.addClassCleanup(cls.fleet.close)
        cls.site = SmallSite(cls.fleet, endpoints=1, entries=2)

    def set_engine(
        self,
        until_close: bool,
        omit_bytes: int = 0,
        token_ms: float = 1.0,
        cut_head: int = -1,
        cut_after: int = -1,
    ) -> None:
        self.fleet.set(
            self.site.engines[0],
            until_close=until_close,
            omit_bytes=omit_bytes,
            token_ms=token_ms,
            cut_head=cut_head,
            cut_after=cut_after,
        )

    def assert_ends_with_connection(self, response: urllib3.BaseHTTPResponse) -> None:
        names = {name.lower() for name in response.headers}
        self.assertFalse({"content-length", "transfer-encoding"} & names, response.headers)
        self.assertEqual("close", response.headers["Connection"])

    @parameterized.expand([("until_close", True), ("chunked", False)])
    def test_a_stream_that_ends_inside_an_event_is_broken_off(
        self, _: str, until_close: bool
    ) -> None:
        self.set_engine(until_close, omit_bytes=3)
        body = chat_body()
        received = self.fleet.call_until_broken(self.site.entry, body=body)
        self.assertTrue(b"".join(stream_chunks(body)).startswith(received), received)
        self.assertNotIn(b"error", received)
        # Callers can't be told any more; operators are.
        self.fleet.wait_logged(
            self.site.entry, "inside an event", "code=endpoint_failed", "execution=ran"
        )

    @parameterized.expand(
        [
            (f"{kind}_after_{cut_head}_bytes", kind, cut_head)
            for kind in ("stream", "plain", "order")
            for cut_head in (17, 40, 100)
        ]
    )
    def test_a_response_that_is_cut_in_its_head_is_no_answer(
        self, _: str, kind: str, cut_head: int
    ) -> None:
        self.set_engine(until_close=False, cut_head=cut_head)
        if kind == "order":
            response = self.fleet.call(
                self.site.entry, "/services/writing/orders", b"order", X_Request_Class="order"
            )
        else:
            response = self.fleet.call(self.site.entry, body=chat_body(stream=kind == "stream"))
        self.assertEqual(502, response.status, response.data)
        self.assertEqual("may_have_run", json.loads(response.data)["error"]["execution"])

    def test_a_stream_that_ends_before_its_first_byte_is_no_answer(self) -> None:
        self.set_engine(until_close=False, cut_after=0)
        response = self.fleet.call(self.site.entry, body=chat_body())
        self.assertEqual(502, response.status, response.data)
        self.assertEqual("may_have_run", json.loads(response.data)["error"]["execution"])

    @parameterized.expand([("stream", True), ("plain", False)])
    def test_a_response_without_framing_is_not_framed_as_complete(
        self, _: str, stream: bool
    ) -> None:
        self.set_engine(until_close=True)
        body = chat_body(stream=stream)
        response = self.fleet.call(self.site.entry, body=body)
        expected = b"".join(stream_chunks(body)) if stream else response_body(body)
        self.assertEqual((200, expected), (response.status, response.data))
        self.assert_ends_with_connection(response)

    def test_a_replayed_response_is_framed_like_the_first(self) -> None:
        self.set_engine(until_close=True)
        key = uuid7()
        responses = [
            self.fleet.call(
                entry,
                "/services/writing/orders",
                key.encode(),
                X_Request_Class="order",
                Idempotency_Key=key,
            )
            for entry in self.site.entries
        ]
        self.assertEqual(responses[0].data, responses[1].data)
        for response in responses:
            self.assertEqual(200, response.status)
            self.assert_ends_with_connection(response)

    @parameterized.expand([("until_close", True, "1.1"), ("http_1_0_caller", False, "1.0")])
    def test_a_response_that_ends_with_its_connection_is_reset_when_the_entry_is_killed(
        self, _: str, until_close: bool, version: str
    ) -> None:
        self.set_engine(until_close, token_ms=20_000.0)
        entry = self.fleet.start_entry(f"entry-{version}")
        self.fleet.wait_ready(entry)
        self.fleet.wait_links(entry, 1)
        content = json.dumps(chat_body()).encode()
        with socket.create_connection(("127.0.0.1", entry.port)) as caller:
            head = (
                f"POST /v1/chat/completions HTTP/{version}\r\nHost: localhost\r\n"
                f"Authorization: Bearer {API_KEY}\r\nContent-Length: {len(content)}\r\n\r\n"
            )
            caller.sendall(head.encode() + content)
            received = b""
            while b"data: " not in received:
                content = caller.recv(65536)
                self.assertTrue(content, "the connection ended before the first event")
                received += content
            entry.kill()
            with self.assertRaises(ConnectionResetError):
                while caller.recv(65536):
                    pass


if __name__ == "__main__":
    unittest.main()
