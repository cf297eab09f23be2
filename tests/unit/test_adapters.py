"""Contracts of the adapters towards endpoints and the platform, fault by fault."""

import asyncio
import contextlib
import socket
import threading
import unittest
from collections.abc import Callable, Iterator

from parameterized import parameterized
from returns.pipeline import is_successful

from pearshed._internal.configuration.feed import FeedName
from pearshed._internal.configuration.http_source import HttpPlatform
from pearshed._internal.models.outcomes import Execution
from pearshed._internal.models.requests import ForwardedCall
from pearshed._internal.side.endpoint_client import EndpointCall, EndpointClient, ResponseReceiver
from pearshed._internal.utils.addresses import Address
from pearshed._internal.utils.loop_queue import LoopQueue
from tests.lib.fleet import free_port, wait_for

_HEAD = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_KEEP_OPEN = b"..."


@contextlib.contextmanager
def scripted_server(script: bytes) -> Iterator[int]:
    """Serve one connection: read a request, send the script, close.

    A script that ends in ``...`` leaves the connection open and silent.
    """
    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        with contextlib.suppress(OSError):
            connection, _ = listener.accept()
            connection.recv(65536)
            connection.sendall(script.removesuffix(_KEEP_OPEN))
            if script.endswith(_KEEP_OPEN):
                connection.recv(65536)
            connection.close()

    threading.Thread(target=serve, daemon=True).start()
    with listener:
        yield int(listener.getsockname()[1])


class Received(ResponseReceiver):
    """Keeps what an endpoint answered."""

    def __init__(self) -> None:
        self.status = 0
        self.content = b""
        self.execution: Execution | None = None
        self.complete = False
        self.ended = asyncio.Event()

    def set_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        del headers
        self.status = status

    def add(self, content: bytes) -> None:
        self.content += content

    def finish(self, execution: Execution, complete: bool, detail: str) -> None:
        del detail
        self.execution = execution
        self.complete = complete
        self.ended.set()


class EndpointContractTest(unittest.TestCase):
    def call(self, port: int, meddle: Callable[[EndpointCall], None] | None = None) -> Received:
        received = Received()

        async def run() -> None:
            loop_queue = LoopQueue(asyncio.get_running_loop())
            client = EndpointClient(Address("127.0.0.1", port), loop_queue, 5.0, 0.3, 2)
            running = client.start(ForwardedCall("POST", "/x", (), b"body"), received, fresh=False)
            if meddle is not None:
                meddle(running)
            await received.ended.wait()
            client.close()

        asyncio.run(run())
        return received

    @parameterized.expand(
        [
            ("whole", _HEAD + b"Content-Length: 4\r\n\r\nfour", Execution.RAN, True, b"four"),
            ("whole_chunked", _CHUNKED + b"4\r\nfour\r\n0\r\n\r\n", Execution.RAN, True, b"four"),
            ("cut_before_head", b"", Execution.MAY_HAVE_RUN, False, b""),
            ("cut_in_head", b"HTTP/1.1 2", Execution.MAY_HAVE_RUN, False, b""),
            (
                "cut_in_body",
                _HEAD + b"Content-Length: 9\r\n\r\nfour",
                Execution.MAY_HAVE_RUN,
                False,
                b"four",
            ),
            (
                "cut_between_chunks",
                _CHUNKED + b"4\r\nfour\r\n",
                Execution.MAY_HAVE_RUN,
                False,
                b"four",
            ),
            ("not_http", b"hello\r\n\r\n", Execution.MAY_HAVE_RUN, False, b""),
            ("silent", _KEEP_OPEN, Execution.MAY_HAVE_RUN, False, b""),
            (
                "silent_in_body",
                _CHUNKED + b"4\r\nfour\r\n...",
                Execution.MAY_HAVE_RUN,
                False,
                b"four",
            ),
        ]
    )
    def test_answers(
        self, _: str, script: bytes, execution: Execution, complete: bool, content: bytes
    ) -> None:
        with scripted_server(script) as port:
            received = self.call(port)
        got = (received.execution, received.complete, received.content)
        self.assertEqual((execution, complete, content), got)

    def test_nobody_listens(self) -> None:
        self.assertEqual(Execution.NOT_RUN, self.call(free_port()).execution)

    def test_a_call_cancelled_before_it_was_sent_was_not_run(self) -> None:
        with scripted_server(_KEEP_OPEN) as port:
            received = self.call(port, lambda running: running.cancel())
        self.assertIn(received.execution, (Execution.NOT_RUN, Execution.MAY_HAVE_RUN))
        self.assertFalse(received.complete)

    def test_a_call_cancelled_while_it_waits_ends_at_once(self) -> None:
        def cancel_once_sent(running: EndpointCall) -> None:
            wait_for(lambda: running.request_began, "the request to be sent")
            running.cancel()

        with scripted_server(_KEEP_OPEN) as port:
            received = self.call(port, cancel_once_sent)
        self.assertEqual(Execution.MAY_HAVE_RUN, received.execution)


class PlatformContractTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("empty", b'{"revision": 3}', True),
            ("records", b'{"revision": 3, "records": [{"kind": "tier"}]}', True),
            ("not_json", b"<html>", False),
            ("a_list", b"[]", False),
            ("no_revision", b"{}", False),
            ("revision_text", b'{"revision": "3"}', False),
            ("records_text", b'{"revision": 3, "records": "x"}', False),
        ]
    )
    def test_answers(self, _: str, body: bytes, good: bool) -> None:
        head = _HEAD + f"Content-Length: {len(body)}\r\n\r\n".encode()
        self.assertEqual(good, self.read(head + body))

    @parameterized.expand(
        [
            ("status", b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n"),
            ("cut", b""),
            ("cut_in_body", _HEAD + b"Content-Length: 99\r\n\r\n{"),
        ]
    )
    def test_failures_are_values(self, _: str, script: bytes) -> None:
        self.assertFalse(self.read(script))

    def read(self, script: bytes) -> bool:
        with scripted_server(script) as port:
            platform = HttpPlatform(f"http://127.0.0.1:{port}")
            answer = asyncio.run(platform.changes(FeedName.RECORDS, 0, 0.0))
            platform.close()
        return is_successful(answer)


if __name__ == "__main__":
    unittest.main()
