"""HTTP client for the endpoint: each call runs urllib3 on a thread."""

import abc
import concurrent.futures
import contextlib
import functools
import socket
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import urllib3
from urllib3.connectionpool import HTTPConnectionPool

from pearshed._internal.models.outcomes import Execution
from pearshed._internal.models.requests import REQUEST_ID_HEADER, ForwardedCall
from pearshed._internal.utils.addresses import Address
from pearshed._internal.utils.loop_queue import LoopQueue
from pearshed._internal.utils.strict_http import StrictHTTPConnection

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
_READ_SIZE_BYTES = 64 * 1024


class ResponseReceiver(abc.ABC):
    """Receives an endpoint's response, on the event loop's thread."""

    @abc.abstractmethod
    def set_head(
        self, status: int, headers: tuple[tuple[str, str], ...], until_close: bool
    ) -> None:
        """Receive the status and the headers.

        :param until_close: the body has neither a length nor chunks and ends with the connection.
        """

    @abc.abstractmethod
    def add(self, content: bytes) -> None:
        """Receive bytes of the body."""

    @abc.abstractmethod
    def finish(self, execution: Execution, complete: bool, detail: str) -> None:
        """Receive the outcome; no other method is called afterwards."""


@dataclass(frozen=True, slots=True)
class _End:
    """How a call ended."""

    execution: Execution
    complete: bool
    detail: str = ""


class _TrackedConnection(StrictHTTPConnection):
    """Registers its socket with the call that uses it, so that the call can be aborted.

    :ivar reusable: whether its last response named the call that it answered.
    """

    current = threading.local()
    reusable = False

    def request(self, *args: Any, **kwargs: Any) -> None:
        """Register the socket, then send the request."""
        call: EndpointCall | None = getattr(self.current, "call", None)
        if call is not None:
            if not self.reusable:
                self.close()
            reused = self.sock is not None
            if not reused:
                self.connect()
            self.reusable = False
            call.register_socket(self.sock, reused)
        super().request(*args, **kwargs)
        if call is not None:
            call.mark_sent()


class _TrackedPool(HTTPConnectionPool):
    """Pool of connections whose calls can be aborted."""

    ConnectionCls = _TrackedConnection


class EndpointCall:
    """A call in progress on a thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None
        self._reuses_connection = False
        self._cancelled = False
        self._sent = False

    @property
    def sent(self) -> bool:
        """Whether the whole request was written; an answer may come before."""
        return self._sent

    @property
    def reuses_connection(self) -> bool:
        """Whether its connection has carried another call before."""
        return self._reuses_connection

    @property
    def cancelled(self) -> bool:
        """Whether the call was cancelled."""
        return self._cancelled

    @property
    def request_began(self) -> bool:
        """Whether any byte of the request may have reached the endpoint."""
        return self._socket is not None

    def register_socket(self, sock: socket.socket, reused: bool) -> None:
        """Store the socket, just before the request is written to it.

        :param reused: whether it has carried another call before.
        """
        with self._lock:
            if self._cancelled:
                raise ConnectionAbortedError("the call was cancelled before it was sent")
            self._socket = sock
            self._reuses_connection = reused

    def mark_sent(self) -> None:
        """Record that the whole request was written."""
        self._sent = True

    def set_read_timeout(self, timeout_s: float) -> None:
        """Limit the time without data from now on."""
        if self._socket is not None:
            self._socket.settimeout(timeout_s)

    def cancel(self) -> None:
        """Abort the call by shutting down its connection."""
        with self._lock:
            self._cancelled = True
            sock = self._socket
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class EndpointClient:
    """Sends calls to the endpoint.

    A call that must not be retried needs a new connection: the endpoint may close a keep-alive
    connection while the request is being sent, and it would be unknown whether the request ran.

    An endpoint may send a second copy of a response when the connection carries another call. So
    only connections whose response names the call that it answers are reused, and a response to
    another call is never delivered.

    :param loop_queue: passes received data to the event loop.
    :param connect_timeout_s: time limit for connecting, seconds.
    :param idle_timeout_s: maximum time without data after the head of a response, seconds.
    :param threads: maximum number of concurrent calls.
    """

    def __init__(
        self,
        address: Address,
        loop_queue: LoopQueue,
        connect_timeout_s: float,
        idle_timeout_s: float,
        threads: int,
    ) -> None:
        self._address = address
        self._loop_queue = loop_queue
        self._connect_timeout_s = connect_timeout_s
        self._idle_timeout_s = idle_timeout_s
        self._pool = self._new_pool(threads)
        self._active_calls: set[EndpointCall] = set()
        self._executor = concurrent.futures.ThreadPoolExecutor(
            threads, thread_name_prefix="endpoint"
        )

    def start(
        self, call: ForwardedCall, receiver: ResponseReceiver, fresh: bool, head_timeout_s: float
    ) -> EndpointCall:
        """Start a call on a thread.

        :param fresh: use a new connection rather than one of the pool.
        :param head_timeout_s: time limit for the head of the response, seconds. An endpoint that
            doesn't stream is silent until its whole response is ready.
        """
        endpoint_call = EndpointCall()
        self._active_calls.add(endpoint_call)
        self._executor.submit(self._run, endpoint_call, call, receiver, fresh, head_timeout_s)
        return endpoint_call

    def close(self) -> None:
        """Cancel the calls in progress and close the connections."""
        for endpoint_call in list(self._active_calls):
            endpoint_call.cancel()
        self._pool.close()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _new_pool(self, size: int) -> _TrackedPool:
        return _TrackedPool(self._address.host, self._address.port, maxsize=size, block=False)

    def _run(
        self,
        endpoint_call: EndpointCall,
        call: ForwardedCall,
        receiver: ResponseReceiver,
        fresh: bool,
        head_timeout_s: float,
    ) -> None:
        pool = self._new_pool(1) if fresh else self._pool
        _TrackedConnection.current.call = endpoint_call
        try:
            end = self._exchange(pool, endpoint_call, call, receiver, head_timeout_s)
        except Exception as error:
            end = _classify_failure(endpoint_call, error)
        finally:
            self._active_calls.discard(endpoint_call)
            _TrackedConnection.current.call = None
            if fresh:
                pool.close()
        self._loop_queue.post(lambda: receiver.finish(end.execution, end.complete, end.detail))

    def _exchange(
        self,
        pool: _TrackedPool,
        endpoint_call: EndpointCall,
        call: ForwardedCall,
        receiver: ResponseReceiver,
        head_timeout_s: float,
    ) -> _End:
        response = pool.urlopen(
            call.method,
            call.target,
            body=call.content or None,
            headers=dict(call.headers),
            preload_content=False,
            decode_content=False,
            redirect=False,
            retries=False,
            timeout=urllib3.Timeout(connect=self._connect_timeout_s, read=head_timeout_s),
        )
        endpoint_call.set_read_timeout(self._idle_timeout_s)
        named = response.headers.get(REQUEST_ID_HEADER)
        names_call = named is not None and named == _request_id(call)
        if not names_call and (endpoint_call.reuses_connection or named is not None):
            response.close()
            return _End(Execution.MAY_HAVE_RUN, False, "the endpoint answered another call")
        if isinstance(response.connection, _TrackedConnection):
            response.connection.reusable = names_call
        headers = tuple((name, value) for name, value in response.headers.items())
        until_close = _ends_with_connection(response)
        self._loop_queue.post(lambda: receiver.set_head(response.status, headers, until_close))
        length = 0
        for chunk in _iter_chunks(response):
            length += len(chunk)
            if length > MAX_RESPONSE_BYTES:
                response.close()
                return _End(Execution.RAN, False, "the answer is too large")
            self._loop_queue.post(functools.partial(receiver.add, chunk))
        if until_close and not endpoint_call.sent:
            # urllib3 drops the error of the write, and what follows of a reset reads as an end.
            response.close()
            return _End(Execution.MAY_HAVE_RUN, False, "the answer ended during the request")
        if endpoint_call.cancelled:
            return _End(Execution.MAY_HAVE_RUN, False, "the call was cancelled")
        response.release_conn()
        return _End(Execution.RAN, True)


def _request_id(call: ForwardedCall) -> str | None:
    """Return the id by which a response may name the call that it answers."""
    return next(
        (value for name, value in call.headers if name.lower() == REQUEST_ID_HEADER.lower()), None
    )


def _ends_with_connection(response: urllib3.BaseHTTPResponse) -> bool:
    """Return whether a response's body has neither a length nor chunks."""
    # urllib3 gives a length of 0 to responses that have no body.
    return not getattr(response, "chunked", False) and response.length_remaining is None


def _iter_chunks(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the body in chunks as they arrive."""
    read_chunk: Callable[[], bytes]
    if getattr(response, "chunked", False):
        yield from response.read_chunked(_READ_SIZE_BYTES, decode_content=False)
        return
    read_chunk = lambda: response.read1(_READ_SIZE_BYTES, decode_content=False)  # noqa: E731
    yield from iter(read_chunk, b"")


def _classify_failure(endpoint_call: EndpointCall, error: Exception) -> _End:
    """Return a failed call's outcome: it was not run if no byte of it was sent."""
    if not endpoint_call.request_began:
        return _End(
            Execution.NOT_RUN, False, f"can't connect to the endpoint: {_describe_error(error)}"
        )
    return _End(Execution.MAY_HAVE_RUN, False, _describe_error(error))


def _describe_error(error: Exception) -> str:
    if isinstance(error, urllib3.exceptions.ReadTimeoutError):
        return "the endpoint fell silent"
    return type(error).__name__
