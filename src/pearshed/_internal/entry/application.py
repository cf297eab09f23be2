"""The WSGI application that serves callers."""

import asyncio
import concurrent.futures
import errno
import json
import socket
import time
from collections.abc import Callable, Generator, Iterable, Iterator
from typing import Any

from absl import logging
from returns.pipeline import is_successful
from returns.result import Result

from pearshed._internal.configuration.catalogue import Catalogue
from pearshed._internal.entry import responses
from pearshed._internal.entry.admission import EntryAdmission
from pearshed._internal.entry.classifier import (
    MODELS_PATH,
    Classifier,
    HttpCall,
    new_request_id,
)
from pearshed._internal.entry.dispatcher import Dispatcher
from pearshed._internal.entry.http_server import (
    READ_BODY_KEY,
    READ_DONE_KEY,
    RESPONSE_FRAMING_KEY,
    SOCKET_KEY,
    ResponseFraming,
    caller_disconnected,
)
from pearshed._internal.entry.request_log import RequestLog
from pearshed._internal.entry.response_sink import ResponseSink, WriteBytes
from pearshed._internal.models.outcomes import (
    Execution,
    FailureCode,
    RelayedChunk,
    RelayedEnd,
    RelayedEvent,
    RelayedHead,
    RequestFailure,
)
from pearshed._internal.models.requests import RoutedRequest

StartResponse = Callable[[str, responses.Headers], Any]

_CALLER_CHECK_INTERVAL_S = 1.0
_MODEL_OWNER = "pearshed"


class CallerApplication:
    """Serves HTTP calls; each call runs on a thread of the HTTP server.

    :param loop: the event loop on which requests are dispatched.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        classifier: Classifier,
        admission: EntryAdmission,
        dispatcher: Dispatcher,
        catalogue: Callable[[], Catalogue],
        request_log: RequestLog,
        max_body_bytes: int,
    ) -> None:
        self._loop = loop
        self._classifier = classifier
        self._admission = admission
        self._dispatcher = dispatcher
        self._catalogue = catalogue
        self._request_log = request_log
        self._max_body_bytes = max_body_bytes

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Serve one call."""
        request_id = new_request_id()
        call = self._read_call(environ)
        environ[READ_DONE_KEY]()
        routed = call.bind(lambda received: self._route(received, request_id))
        if not is_successful(routed):
            return self._refuse(routed.failure(), request_id, start_response)
        request = routed.unwrap()
        if isinstance(request, list):
            return _list_models(request, request_id, start_response)
        admitted = self._admission.admit(request.customer, request.tier)
        if not is_successful(admitted):
            self._request_log.record_refusal(request, admitted.failure())
            return self._refuse(admitted.failure(), request_id, start_response)
        return self._serve(
            request, environ[SOCKET_KEY], environ[RESPONSE_FRAMING_KEY], start_response
        )

    def _read_call(self, environ: dict[str, Any]) -> Result[HttpCall, RequestFailure]:
        body: Result[bytes, RequestFailure] = environ[READ_BODY_KEY](self._max_body_bytes)
        return body.map(lambda content: _http_call(environ, content))

    def _route(
        self, call: HttpCall, request_id: str
    ) -> Result[RoutedRequest | list[str], RequestFailure]:
        customer = self._classifier.authenticate(call)
        if call.path == MODELS_PATH and call.method == "GET":
            return customer.map(lambda _: sorted(self._catalogue().models))
        return customer.bind(
            lambda authenticated: self._classifier.classify(call, authenticated, request_id)
        )

    def _refuse(
        self, failure: RequestFailure, request_id: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        status, headers, content = responses.error_response(failure, request_id)
        start_response(status, headers)
        return [content]

    def _serve(
        self,
        request: RoutedRequest,
        sock: socket.socket,
        framing: ResponseFraming,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        sink = ResponseSink()
        dispatch = asyncio.run_coroutine_threadsafe(self._dispatch(request, sink), self._loop)
        body = _ResponseBody(
            request, sink, sock, framing, dispatch, self._request_log, self._admission
        )
        try:
            first_event = body.wait_first_event()
        except BaseException:
            body.close()
            raise
        if isinstance(first_event, RequestFailure):
            body.finish_failed(first_event)
            body.close()
            return self._refuse(first_event, request.request_id, start_response)
        if isinstance(first_event, RelayedHead):
            headers = responses.relayed_headers(first_event.status, first_event.headers, request)
            if first_event.until_close or (request.streaming and not framing.can_chunk):
                headers.extend(framing.begin_until_close())
            if not request.streaming:
                content = body.read_all()
                if not first_event.until_close:
                    headers.append(("Content-Length", str(len(content))))
                start_response(responses.status_line(first_event.status), headers)
                return body.iterate_and_close([content])
            body.enable_direct_writes(
                start_response(responses.status_line(first_event.status), headers)
            )
        return body

    async def _dispatch(self, request: RoutedRequest, sink: ResponseSink) -> None:
        try:
            await self._dispatcher.serve(request, sink)
        except Exception:
            logging.exception("error while dispatching request %s", request.request_id)
            sink.put(
                RequestFailure(
                    FailureCode.ENDPOINT_FAILED,
                    "the router failed on this request",
                    Execution.MAY_HAVE_RUN,
                )
            )


class _ResponseBody:
    """The body of a response as a WSGI iterable; closing it releases the request's admission."""

    def __init__(
        self,
        request: RoutedRequest,
        sink: ResponseSink,
        sock: socket.socket,
        framing: ResponseFraming,
        dispatch: "concurrent.futures.Future[None]",
        request_log: RequestLog,
        admission: EntryAdmission,
    ) -> None:
        self._request = request
        self._dispatch = dispatch
        self._sink = sink
        self._socket = sock
        self._framing = framing
        self._request_log = request_log
        self._admission = admission
        self._started_at = time.monotonic()
        self._write: WriteBytes | None = None
        self._finished = False
        self._broken_off = False
        self._closed = False

    def __iter__(self) -> Iterator[bytes]:
        """Yield the response's content, joining chunks that are ready together."""
        while not self._finished:
            chunks: list[bytes] = []
            event: RelayedEvent | None = self._next_event()
            while event is not None:
                chunks.append(self._encode_event(event))
                event = None if self._finished else self._sink.get_nowait()
            content = b"".join(chunks)
            if content:
                yield content
            if self._broken_off:
                # Closes the connection: neither the body's end nor an error follows what was sent.
                self._framing.break_off()
                raise ConnectionAbortedError(errno.ECONNABORTED, "the response broke off")
            if self._write is not None and not self._finished:
                self._sink.enable_direct_writes(self._write_chunk, self._socket)

    def enable_direct_writes(self, write: WriteBytes) -> None:
        """Let the event loop write chunks with this function while the caller keeps up."""
        self._write = write

    def wait_first_event(self) -> RelayedEvent:
        """Wait for the head of the response or for a failure."""
        event = self._next_event()
        self._request_log.record_first_event(self._request, time.monotonic() - self._started_at)
        return event

    def read_all(self) -> bytes:
        """Read the whole content."""
        return b"".join(self)

    def iterate_and_close(self, chunks: list[bytes]) -> Generator[bytes, None, None]:
        """Yield the given chunks, then close the response."""
        try:
            yield from chunks
        finally:
            self.close()

    def finish_failed(self, failure: RequestFailure) -> None:
        """Mark the response as finished and log the request's failure."""
        self._finished = True
        self._request_log.record_failure(self._request, failure)

    def close(self) -> None:
        """Release the request's admission and cancel its dispatch if it is still running."""
        if self._closed:
            return
        self._closed = True
        if self._finished and not self._broken_off:
            self._framing.end_until_close()
        self._sink.close()
        self._dispatch.cancel()
        self._admission.release(self._request.customer)

    def _write_chunk(self, content: bytes) -> None:
        if self._write is not None:
            self._write(content)

    def _next_event(self) -> RelayedEvent:
        while True:
            event = self._sink.get(_CALLER_CHECK_INTERVAL_S)
            if event is not None:
                return event
            if caller_disconnected(self._socket):
                self._dispatch.cancel()
                return RequestFailure(
                    FailureCode.CANCELLED, "the caller has gone", Execution.MAY_HAVE_RUN
                )

    def _encode_event(self, event: RelayedEvent) -> bytes:
        if isinstance(event, RelayedChunk):
            return event.content
        if isinstance(event, RelayedEnd):
            self._finished = True
            self._request_log.record_complete(self._request, time.monotonic() - self._started_at)
        if isinstance(event, RequestFailure):
            self.finish_failed(event)
            self._broken_off = True
        return b""


def _http_call(environ: dict[str, Any], content: bytes) -> HttpCall:
    headers = {
        name.removeprefix("HTTP_").replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    return HttpCall(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=environ.get("QUERY_STRING", ""),
        headers=headers,
        content=content,
    )


def _list_models(
    models: list[str], request_id: str, start_response: StartResponse
) -> Iterable[bytes]:
    model_objects = [
        {"id": name, "object": "model", "created": 0, "owned_by": _MODEL_OWNER} for name in models
    ]
    content = json.dumps({"object": "list", "data": model_objects}).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(content))),
        ("X-Request-Id", request_id),
    ]
    start_response("200 OK", headers)
    return [content]
