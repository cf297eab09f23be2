"""Tests of the endpoint and platform clients against scripted faults of the server."""

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
from pearshed._internal.side.endpoint_client import (
    MAX_RESPONSE_BYTES,
    EndpointCall,
    EndpointClient,
    ResponseReceiver,
)
from pearshed._internal.utils.addresses import Address
from pearshed._internal.utils.loop_queue import LoopQueue
from pearshed._internal.utils.sockets import set_reset_on_close
from tests.lib.fleet import wait_for
from tests.lib.ports import free_port

_REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\n"
_HEAD = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_KEEP_OPEN = b"..."
_BODY = b"body"
_IDLE_TIMEOUT_S = 0.3
#: Larger than the buffers of both ends.
_UPLOAD_BYTES = 24 * 1024 * 1024
#: What both ends hold of what is sent beyond a limit.
_KERNEL_BUFFERS_BYTES = 16 * 1024 * 1024

_WHOLE = _HEAD + b"Content-Length: 4\r\n\r\nfour"
#: Responses that end inside their head.
_CUT_HEADS = {
    "in_the_status_line": b"HTTP/1.1 200",
    "after_the_status_line": _HEAD,
    "in_a_name": _HEAD + b"Content-Le",
    "in_a_length": _HEAD + b"Content-Length: 1",
    "after_a_length": _HEAD + b"Content-Length: 12\r\n",
    "in_a_framing": _HEAD + b"Transfer-Encoding: chun",
    "after_a_type": _HEAD + b"Content-Type: text/event-stream\r\n",
    "in_the_last_line_end": _HEAD + b"Content-Length: 12\r\n\r",
    "in_an_interim_response": b"HTTP/1.1 100 Continue\r\n",
    "after_an_interim_response": b"HTTP/1.1 100 Continue\r\n\r\n",
    "in_the_head_after_an_interim_response": b"HTTP/1.1 100 Continue\r\n\r\n" + _HEAD,
}


@contextlib.contextmanager
def scripted_server(script: bytes, delay_s: float = 0.0, is_reset: bool = False) -> Iterator[int]:
    """Serve one connection: read a request, send the script, close.

    A script that ends in ``...`` keeps the connection open without sending more data.

    :param delay_s: time from the request to the script, seconds.
    :param is_reset: reset the connection after the script.
    """
    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        with contextlib.suppress(OSError):
            connection, _ = listener.accept()
            request = connection.recv(65536)
            # Closing with unread bytes would reset the connection.
            while request.startswith(b"POST") and not request.endswith(_BODY):
                received = connection.recv(65536)
                if not received:
                    break
                request += received
            threading.Event().wait(delay_s)
            connection.sendall(script.removesuffix(_KEEP_OPEN))
            if script.endswith(_KEEP_OPEN):
                connection.recv(65536)
            if is_reset:
                # What was sent arrives first.
                threading.Event().wait(0.05)
                set_reset_on_close(connection, True)
            connection.close()

    threading.Thread(target=serve, daemon=True).start()
    with listener:
        yield int(listener.getsockname()[1])


class EndlessAnswer:
    """What an endless server could send before its connection was closed."""

    bytes = 0
    ended = False


@contextlib.contextmanager
def endless_server(start: bytes, more: bytes) -> Iterator[tuple[int, EndlessAnswer]]:
    """Serve one connection: read a request, send the start and then more without end."""
    listener = socket.create_server(("127.0.0.1", 0))
    sent = EndlessAnswer()

    def serve() -> None:
        connection, _ = listener.accept()
        with contextlib.suppress(OSError), connection:
            connection.recv(65536)
            connection.sendall(start)
            while True:
                connection.sendall(more)
                sent.bytes += len(more)
        sent.ended = True

    threading.Thread(target=serve, daemon=True).start()
    with listener:
        yield int(listener.getsockname()[1]), sent


@contextlib.contextmanager
def early_server(script: bytes, closes_first: bool) -> Iterator[int]:
    """Serve one connection: answer before the request has arrived, and reset the connection.

    :param closes_first: close the direction of the answer before.
    """
    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        with contextlib.suppress(OSError):
            connection, _ = listener.accept()
            connection.recv(1024)
            connection.sendall(script)
            if closes_first:
                connection.shutdown(socket.SHUT_WR)
            # What was sent arrives first.
            threading.Event().wait(0.05)
            set_reset_on_close(connection, True)
            connection.close()

    threading.Thread(target=serve, daemon=True).start()
    with listener:
        yield int(listener.getsockname()[1])


@contextlib.contextmanager
def keep_alive_server(script: bytes) -> Iterator[int]:
    """Serve one connection: respond to each request with the script and the request's number."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        with contextlib.suppress(OSError):
            connection, _ = listener.accept()
            listener.close()
            number = 0
            request = b""
            while received := connection.recv(65536):
                request += received
                if request.endswith(b"call %d" % number):
                    connection.sendall(script % number)
                    number += 1

    threading.Thread(target=serve, daemon=True).start()
    with listener:
        yield int(listener.getsockname()[1])


class LateCopyServer:
    """Responds to each request; sends the last response again before the next one.

    A response has the body of its request; to the platform's clients, it is an empty change.

    :param echoes: responses name the request that they answer.
    :param while_idle: the copy follows its response at once, instead of the next request.
    :param refuses_first: the first response on a connection is a refusal.
    """

    def __init__(self, echoes: bool, while_idle: bool, refuses_first: bool = False) -> None:
        self._refuses_first = refuses_first
        self._echoes = echoes
        self._while_idle = while_idle
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.connections = 0
        self.port = int(self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self.connections += 1
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        copy = b""
        refuses = self._refuses_first
        with contextlib.suppress(OSError), connection, connection.makefile("rb") as requests:
            while request_line := requests.readline():
                headers = {}
                while (line := requests.readline().strip()) != b"":
                    name, _, value = line.partition(b":")
                    headers[name.lower()] = value.strip()
                body = requests.read(int(headers.get(b"content-length", b"0")))
                body = body or b'{"revision": %d}' % (500 if b"/vms" in request_line else 3)
                head = _REFUSAL if refuses else _HEAD
                refuses = False
                response = head + b"Content-Length: %d\r\n" % len(body)
                if self._echoes:
                    response += b"X-Request-Id: " + headers[b"x-request-id"] + b"\r\n"
                response += b"\r\n" + body
                connection.sendall(copy + response)
                copy = b"" if self._while_idle else response
                if self._while_idle:
                    connection.sendall(response)


class RecordingReceiver(ResponseReceiver):
    """Records the response of an endpoint."""

    def __init__(self) -> None:
        self.status = 0
        self.until_close = False
        self.content = b""
        self.execution: Execution | None = None
        self.complete = False
        self.ended = asyncio.Event()

    def set_head(
        self, status: int, headers: tuple[tuple[str, str], ...], until_close: bool
    ) -> None:
        del headers
        self.status = status
        self.until_close = until_close

    def add(self, content: bytes) -> None:
        self.content += content

    def finish(self, execution: Execution, complete: bool, detail: str) -> None:
        del detail
        self.execution = execution
        self.complete = complete
        self.ended.set()


class EndpointContractTest(unittest.TestCase):
    def call(
        self,
        port: int,
        after_start: Callable[[EndpointCall], None] | None = None,
        head_timeout_s: float = 0.3,
        content: bytes = _BODY,
    ) -> RecordingReceiver:
        received = RecordingReceiver()

        async def run() -> None:
            loop_queue = LoopQueue(asyncio.get_running_loop())
            address = Address("127.0.0.1", port)
            client = EndpointClient(address, loop_queue, 5.0, _IDLE_TIMEOUT_S, 2)
            endpoint_call = client.start(
                ForwardedCall("POST", "/x", (), content), received, False, head_timeout_s
            )
            if after_start is not None:
                after_start(endpoint_call)
            await received.ended.wait()
            client.close()

        asyncio.run(run())
        return received

    @parameterized.expand(
        [
            ("complete", _HEAD + b"Content-Length: 4\r\n\r\nfour", Execution.RAN, True, b"four"),
            (
                "complete_chunked",
                _CHUNKED + b"4\r\nfour\r\n0\r\n\r\n",
                Execution.RAN,
                True,
                b"four",
            ),
            ("truncated_before_head", b"", Execution.MAY_HAVE_RUN, False, b""),
            ("truncated_head", b"HTTP/1.1 2", Execution.MAY_HAVE_RUN, False, b""),
            (
                "truncated_body",
                _HEAD + b"Content-Length: 9\r\n\r\nfour",
                Execution.MAY_HAVE_RUN,
                False,
                b"four",
            ),
            (
                "truncated_between_chunks",
                _CHUNKED + b"4\r\nfour\r\n",
                Execution.MAY_HAVE_RUN,
                False,
                b"four",
            ),
            ("not_http", b"hello\r\n\r\n", Execution.MAY_HAVE_RUN, False, b""),
            ("no_data", _KEEP_OPEN, Execution.MAY_HAVE_RUN, False, b""),
            (
                "no_data_in_body",
                _CHUNKED + b"4\r\nfour\r\n...",
                Execution.MAY_HAVE_RUN,
                False,
                b"four",
            ),
        ]
    )
    def test_responses(
        self, _: str, script: bytes, execution: Execution, complete: bool, content: bytes
    ) -> None:
        with scripted_server(script) as port:
            received = self.call(port)
        actual = (received.execution, received.complete, received.content)
        self.assertEqual((execution, complete, content), actual)

    @parameterized.expand(
        [
            (status.decode(), b"HTTP/1.1 %s Odd\r\nContent-Length: 4\r\n\r\nfour" % status)
            for status in (b"000", b"099", b"101", b"600", b"999", b"0200", b"+200", b"2_00")
        ]
    )
    def test_an_invalid_status_is_no_answer(self, _: str, script: bytes) -> None:
        with scripted_server(script) as port:
            received = self.call(port)
        actual = (received.execution, received.complete, received.content)
        self.assertEqual((Execution.MAY_HAVE_RUN, False, b""), actual)

    @parameterized.expand([("100",), ("102",), ("103",)])
    def test_an_interim_response_is_not_the_answer(self, status: str) -> None:
        interim = f"HTTP/1.1 {status} Interim\r\nLink: </a>\r\n\r\n".encode()
        with scripted_server(interim * 2 + _WHOLE) as port:
            received = self.call(port)
        actual = (received.execution, received.complete, received.content)
        self.assertEqual((Execution.RAN, True, b"four"), actual)

    @parameterized.expand(
        [
            ("interim_responses", b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
            ("status_line", b"HTTP/1.1 200 ", b"O" * 65536),
            ("header_value", _HEAD + b"X-A: ", b"a" * 65536),
            ("headers", _HEAD, b"X-A: b\r\n" * 8000),
            ("chunk_size", _CHUNKED + b"5;x=", b"a" * 65536),
            ("trailer", _CHUNKED + b"4\r\nfour\r\n0\r\nX-A: ", b"a" * 65536),
            ("trailers", _CHUNKED + b"4\r\nfour\r\n0\r\n", b"X-A: b\r\n" * 8000),
            ("chunks", _CHUNKED, b"10000\r\n" + b"x" * 65536 + b"\r\n"),
            ("until_close", _HEAD + b"\r\n", b"x" * 65536),
        ]
    )
    def test_an_answer_without_end_is_cut_off(self, _: str, start: bytes, more: bytes) -> None:
        # Interim responses and trailers without end once kept a thread for good.
        with endless_server(start, more) as (port, sent):
            received = self.call(port, head_timeout_s=5.0)
            self.assertFalse(received.complete)
            wait_for(lambda: sent.ended, "the end of the answer")
        self.assertLess(sent.bytes, MAX_RESPONSE_BYTES + _KERNEL_BUFFERS_BYTES)

    @parameterized.expand(
        [
            (f"{framing}_{end}", head, end)
            for framing, head in (
                ("without_a_length", _HEAD + b"\r\nfour"),
                ("with_a_length", _HEAD + b"Content-Length: 400\r\n\r\nfour"),
                ("in_chunks", _CHUNKED + b"4\r\nfour\r\n"),
            )
            for end in ("reset", "closed")
        ]
    )
    def test_an_answer_that_is_cut_during_an_upload_is_not_complete(
        self, _: str, script: bytes, end: str
    ) -> None:
        # The error of the write hides that the connection was reset: what is left reads as an end.
        with early_server(script, closes_first=end == "closed") as port:
            received = self.call(port, head_timeout_s=5.0, content=b"u" * _UPLOAD_BYTES)
        self.assertEqual((Execution.MAY_HAVE_RUN, False), (received.execution, received.complete))

    @parameterized.expand(
        [
            (f"{place}_{end}", script, end == "reset")
            for place, script in _CUT_HEADS.items()
            for end in ("closed", "reset")
        ]
    )
    def test_a_response_that_is_cut_in_its_head_is_none(
        self, _: str, script: bytes, is_reset: bool
    ) -> None:
        with scripted_server(script, is_reset=is_reset) as port:
            received = self.call(port)
        actual = (received.execution, received.complete, received.status, received.content)
        self.assertEqual((Execution.MAY_HAVE_RUN, False, 0, b""), actual)

    @parameterized.expand(
        [
            ("chunk_size_that_begins_with_zero", _CHUNKED + b"4\r\nfour\r\n0"),
            ("last_chunk", _CHUNKED + b"4\r\nfour\r\n0\r\n"),
            ("trailer", _CHUNKED + b"4\r\nfour\r\n0\r\nX-Sum: 1"),
            ("after_a_trailer", _CHUNKED + b"4\r\nfour\r\n0\r\nX-Sum: 12\r\n"),
        ]
    )
    def test_a_response_that_is_cut_in_the_framing_of_its_body_is_not_complete(
        self, _: str, script: bytes
    ) -> None:
        with scripted_server(script) as port:
            received = self.call(port)
        self.assertFalse(received.complete)

    @parameterized.expand(
        [
            ("interim", b"HTTP/1.1 100 Continue\r\n\r\n" + _WHOLE, b"four"),
            ("interim_with_headers", b"HTTP/1.1 100 Continue\r\nX-A: 1\r\n\r\n" + _WHOLE, b"four"),
            ("trailers", _CHUNKED + b"4\r\nfour\r\n0\r\nX-Sum: 12\r\n\r\n", b"four"),
            ("line_feeds_only", b"HTTP/1.1 200 OK\nContent-Length: 4\n\nfour", b"four"),
            ("no_headers", _HEAD + b"\r\nfour", b"four"),
        ]
    )
    def test_complete_responses_of_other_forms(self, _: str, script: bytes, body: bytes) -> None:
        with scripted_server(script) as port:
            received = self.call(port)
        self.assertEqual((200, True, body), (received.status, received.complete, received.content))

    @parameterized.expand(
        [
            ("length", _HEAD + b"Content-Length: 4\r\n\r\nfour", False),
            ("chunked", _CHUNKED + b"4\r\nfour\r\n0\r\n\r\n", False),
            ("no_body", b"HTTP/1.1 204 No Content\r\n\r\n", False),
            ("until_close", _HEAD + b"\r\nfour", True),
        ]
    )
    def test_framing(self, _: str, script: bytes, until_close: bool) -> None:
        with scripted_server(script) as port:
            received = self.call(port)
        self.assertEqual((True, until_close), (received.complete, received.until_close))

    def test_an_endpoint_that_is_silent_until_its_response_is_ready_is_awaited(self) -> None:
        script = _HEAD + b"Content-Length: 4\r\n\r\nfour"
        with scripted_server(script, delay_s=3 * _IDLE_TIMEOUT_S) as port:
            received = self.call(port, head_timeout_s=10.0)
        self.assertEqual((Execution.RAN, True), (received.execution, received.complete))

    def test_refused_connection_means_not_run(self) -> None:
        self.assertEqual(Execution.NOT_RUN, self.call(free_port()).execution)

    def test_call_cancelled_right_after_start(self) -> None:
        with scripted_server(_KEEP_OPEN) as port:
            received = self.call(port, lambda endpoint_call: endpoint_call.cancel())
        self.assertIn(received.execution, (Execution.NOT_RUN, Execution.MAY_HAVE_RUN))
        self.assertFalse(received.complete)

    def test_call_cancelled_while_waiting_for_the_response(self) -> None:
        def cancel_after_send(endpoint_call: EndpointCall) -> None:
            wait_for(lambda: endpoint_call.request_began, "the request to be sent")
            endpoint_call.cancel()

        with scripted_server(_KEEP_OPEN) as port:
            received = self.call(port, cancel_after_send)
        self.assertEqual(Execution.MAY_HAVE_RUN, received.execution)


class LateCopyTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("before_the_next_response", True, False),
            ("before_the_next_response_without_ids", False, False),
            ("while_idle", True, True),
            ("while_idle_without_ids", False, True),
            ("refusal_before_the_next_response", True, False, True),
            ("refusal_before_the_next_response_without_ids", False, False, True),
            ("refusal_while_idle", True, True, True),
            ("refusal_while_idle_without_ids", False, True, True),
        ]
    )
    def test_a_second_copy_of_a_response_answers_no_other_call(
        self, _: str, echoes: bool, while_idle: bool, refuses_first: bool = False
    ) -> None:
        server = LateCopyServer(echoes, while_idle, refuses_first)
        self.addCleanup(server.close)
        received = asyncio.run(self.call_in_turn(server.port, 6))
        for number, receiver in enumerate(received):
            self.assertTrue((b"call %d" % number).startswith(receiver.content), receiver.content)
        completed = [receiver.complete for receiver in received]
        # Without ids, each call needs a connection of its own; with them, a copy fails one call.
        self.assertEqual([True] * 6 if not echoes else [True], completed[: 1 if echoes else 6])
        wrongly_not_run = [one for one in received if one.execution is Execution.NOT_RUN]
        self.assertEqual([], wrongly_not_run)

    def test_connections_to_an_endpoint_that_names_its_requests_are_reused(self) -> None:
        script = _HEAD + b"Content-Length: 4\r\nX-Request-Id: call-%d\r\n\r\nfour"
        with keep_alive_server(script) as port:
            received = asyncio.run(self.call_in_turn(port, 4))
        self.assertEqual([True] * 4, [receiver.complete for receiver in received])

    async def call_in_turn(self, port: int, count: int) -> list[RecordingReceiver]:
        loop_queue = LoopQueue(asyncio.get_running_loop())
        client = EndpointClient(Address("127.0.0.1", port), loop_queue, 5.0, 5.0, 2)
        received = []
        for number in range(count):
            receiver = RecordingReceiver()
            headers = (("X-Request-Id", f"call-{number}"),)
            call = ForwardedCall("POST", "/x", headers, b"call %d" % number)
            client.start(call, receiver, fresh=False, head_timeout_s=5.0)
            await receiver.ended.wait()
            received.append(receiver)
        client.close()
        return received


class PlatformContractTest(unittest.TestCase):
    @parameterized.expand(_CUT_HEADS.items())
    def test_a_response_that_is_cut_in_its_head_is_a_failure(self, _: str, script: bytes) -> None:
        with scripted_server(script) as port:
            platform = HttpPlatform(f"http://127.0.0.1:{port}")
            result = asyncio.run(platform.changes(FeedName.RECORDS, 0, 0.0))
            platform.close()
        self.assertFalse(is_successful(result), result)

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
    def test_response_bodies(self, _: str, body: bytes, valid: bool) -> None:
        head = _HEAD + f"Content-Length: {len(body)}\r\n\r\n".encode()
        self.assertEqual(valid, self.read_succeeds(head + body))

    @parameterized.expand(
        [
            ("status", b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n"),
            ("no_response", b""),
            ("truncated_body", _HEAD + b"Content-Length: 99\r\n\r\n{"),
        ]
    )
    def test_failures_are_returned_not_raised(self, _: str, script: bytes) -> None:
        self.assertFalse(self.read_succeeds(script))

    def test_a_second_copy_of_a_response_is_no_revision_of_another_feed(self) -> None:
        server = LateCopyServer(echoes=False, while_idle=False)
        self.addCleanup(server.close)
        platform = HttpPlatform(f"http://127.0.0.1:{server.port}")
        revisions = [
            asyncio.run(platform.changes(feed, 0, 0.0)).unwrap().revision
            for feed in (FeedName.VMS, FeedName.RECORDS)
        ]
        platform.close()
        self.assertEqual([500, 3], revisions)

    def read_succeeds(self, script: bytes) -> bool:
        with scripted_server(script) as port:
            platform = HttpPlatform(f"http://127.0.0.1:{port}")
            response = asyncio.run(platform.changes(FeedName.RECORDS, 0, 0.0))
            platform.close()
        return is_successful(response)


if __name__ == "__main__":
    unittest.main()
