"""The interface that callers use, tested on real processes."""

import json
import socket
import unittest
from typing import Any, ClassVar

import openai
from parameterized import parameterized

from tests.lib.engine import response_body, response_tokens, stream_chunks
from tests.lib.fleet import Fleet, SmallSite, chat_body, wait_for
from tests.lib.records import API_KEY


class CallerContractTest(unittest.TestCase):
    """All tests share one site."""

    fleet: ClassVar[Fleet]
    site: ClassVar[SmallSite]

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = Fleet()
        cls.addClassCleanup(cls.fleet.close)
        cls.site = SmallSite(cls.fleet, max_body_bytes=4096, read_timeout_s=0.5)

    @parameterized.expand(
        [
            ("chat_stream", "/v1/chat/completions", True),
            ("chat_non_streamed", "/v1/chat/completions", False),
            ("text_stream", "/v1/completions", True),
            ("text_non_streamed", "/v1/completions", False),
        ]
    )
    def test_a_response_equals_the_engines_response(self, _: str, path: str, stream: bool) -> None:
        body = chat_body(f"umlauts äöü for {path}", stream, prompt="text")
        response = self.fleet.call(self.site.entry, path, body)
        expected = b"".join(stream_chunks(body)) if stream else response_body(body)
        self.assertEqual((200, expected), (response.status, response.data))
        self.assertTrue(response.headers["X-Request-Id"].startswith("req-"))

    @parameterized.expand(
        [
            ("no_key", {"key": "wrong"}, 401, "unknown_api_key"),
            ("not_json", {"body": b"{"}, 400, "malformed_request"),
            ("not_an_object", {"body": [1]}, 400, "malformed_request"),
            ("no_model", {"body": {"messages": []}}, 400, "malformed_request"),
            ("no_messages", {"body": {"model": "writer"}}, 400, "malformed_request"),
            ("bad_stream", {"body": chat_body(stream=3)}, 400, "malformed_request"),
            ("other_model", {"body": chat_body(model="x")}, 404, "unknown_model"),
            ("other_class", {"X_Request_Class": "x"}, 400, "unknown_class"),
            ("hidden_class", {"X_Request_Class": "hidden"}, 403, "class_not_allowed"),
            ("too_large", {"body": chat_body("x" * 5000)}, 413, "request_too_large"),
            ("wrong_path", {"path": "/v2/x"}, 404, "not_found"),
            ("wrong_method", {"method": "PUT"}, 405, "method_not_allowed"),
            ("other_service", {"path": "/services/x/y"}, 404, "unknown_service"),
            ("long_key", {"Idempotency_Key": "k" * 300}, 400, "idempotency_key_malformed"),
        ]
    )
    def test_an_invalid_request_is_refused_with_a_reason(
        self, _: str, overrides: dict[str, Any], status: int, code: str
    ) -> None:
        before = len(self.fleet.runs(*self.site.engines))
        arguments = {"body": chat_body(), **overrides}
        response = self.fleet.call(self.site.entry, **arguments)
        error = json.loads(response.data)["error"]
        self.assertEqual(
            (status, code, "not_run"), (response.status, error["code"], error["execution"])
        )
        self.assertEqual(error["request_id"], response.headers["X-Request-Id"])
        self.assertEqual(before, len(self.fleet.runs(*self.site.engines)))

    @parameterized.expand(
        [("get", "GET", None), ("post", "POST", b"swap"), ("delete", "DELETE", None)]
    )
    def test_plain_calls_are_routed(self, _: str, method: str, body: bytes | None) -> None:
        response = self.fleet.call(self.site.entry, "/services/writing/rota/7?week=3", body, method)
        document = json.loads(response.data)
        self.assertEqual((200, "/rota/7?week=3"), (response.status, document["path"]))
        self.assertEqual((body or b"").decode(), document["got"])

    def test_the_openai_client_streams_and_lists_models(self) -> None:
        client = openai.OpenAI(base_url=f"{self.site.entry.url}/v1", api_key=API_KEY, max_retries=0)
        stream = client.chat.completions.create(
            model="writer", messages=[{"role": "user", "content": "hello"}], stream=True
        )
        text = "".join(chunk.choices[0].delta.content or "" for chunk in stream)
        expected = response_tokens({"messages": [{"role": "user", "content": "hello"}]})
        self.assertEqual("".join(expected), text)
        self.assertEqual(["writer"], [model.id for model in client.models.list()])
        with self.assertRaises(openai.NotFoundError) as caught:
            client.chat.completions.create(model="x", messages=[])
        self.assertEqual("unknown_model", caught.exception.code)

    def test_slow_callers_time_out_and_others_are_served(self) -> None:
        slow_callers = [
            socket.create_connection(("127.0.0.1", self.site.entry.port)) for _ in range(40)
        ]
        for sock in slow_callers:
            self.addCleanup(sock.close)
            sock.sendall(
                b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{"
            )
        response = self.fleet.call(self.site.entry, body=chat_body())
        self.assertEqual(200, response.status)
        responses = [sock.makefile("rb").read() for sock in slow_callers]
        self.assertTrue(all(b"malformed_request" in response for response in responses))

    @parameterized.expand(
        [
            ("bad_header", b"GET / HTTP/1.1\r\nno colon\r\n\r\n", b" 400 "),
            ("not_http", b"hello\r\n\r\n", b" 400 "),
            ("huge_head", b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 70_000, b" 413 "),
        ]
    )
    def test_malformed_http_gets_an_error_response(
        self, _: str, sent: bytes, status: bytes
    ) -> None:
        with socket.create_connection(("127.0.0.1", self.site.entry.port)) as sock:
            sock.sendall(sent)
            head, _sep, content = sock.makefile("rb").read().partition(b"\r\n\r\n")
        self.assertIn(status, head.splitlines()[0])
        self.assertIn(b"X-Request-Id: req-", head)
        self.assertEqual("not_run", json.loads(content)["error"]["execution"])

    @parameterized.expand(
        [
            (f"{request_class}_{status}", request_class, status, should_retry)
            for status in (408, 409, 429, 500, 503)
            for request_class, should_retry in (("order", "false"), ("chat", None))
        ]
    )
    def test_an_endpoints_error_forbids_the_retry_of_a_call_that_may_run_once(
        self, _: str, request_class: str, status: int, should_retry: str | None
    ) -> None:
        for engine in self.site.engines:
            self.fleet.set(engine, status=status)
            self.addCleanup(self.fleet.set, engine, status=200)
        response = self.fleet.call(
            self.site.entry, "/services/writing/orders", b"once", X_Request_Class=request_class
        )
        self.assertEqual(status, response.status)
        self.assertEqual(should_retry, response.headers.get("X-Should-Retry"))

    def test_a_caller_disconnect_cancels_the_run(self) -> None:
        engines = self.site.engines
        before = sum(self.fleet.journal(engine)["cancelled"] for engine in engines)
        response = self.fleet.call(
            self.site.entry, body=chat_body(max_tokens=5000), preload_content=False
        )
        response.read1(10)
        response.close()

        def cancelled() -> bool:
            counts = [self.fleet.journal(engine)["cancelled"] for engine in engines]
            return bool(sum(counts) > before)

        wait_for(cancelled, "the engine to record the cancellation")

    @parameterized.expand(
        [
            ("healthz", 200, b"ok"),
            ("readyz", 200, b"ready"),
            ("metrics", 200, b"pearshed_feed_revision"),
            ("dump", 200, b'"incarnation"'),
            ("other", 404, b"pages:"),
        ]
    )
    def test_admin_pages(self, page: str, status: int, content: bytes) -> None:
        for node in (self.site.entry, self.site.sides[0]):
            response = node.page(page)
            self.assertEqual(status, response.status)
            self.assertIn(content, response.data)


if __name__ == "__main__":
    unittest.main()
