"""Calls to the endpoint, each on a thread, by urllib3."""

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
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

from pearshed._internal.models.outcomes import Execution
from pearshed._internal.models.requests import ForwardedCall
from pearshed._internal.utils.addresses import Address
from pearshed._internal.utils.loop_queue import LoopQueue

LARGEST_ANSWER_BYTES = 16 * 1024 * 1024
_READ_BYTES = 64 * 1024


class ResponseReceiver(abc.ABC):
    """Gets an endpoint's answer, on the event loop's thread."""

    @abc.abstractmethod
    def set_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Take the status and the headers."""

    @abc.abstractmethod
    def add(self, content: bytes) -> None:
        """Take bytes of the body."""

    @abc.abstractmethod
    def finish(self, execution: Execution, complete: bool, detail: str) -> None:
        """Take the end; nothing follows."""


@dataclass(frozen=True, slots=True)
class _End:
    """How a call ended."""

    execution: Execution
    complete: bool
    detail: str = ""


class _TrackedConnection(HTTPConnection):
    """Tells the call that uses it, so that the call can be cut off while it waits."""

    current = threading.local()

    def request(self, *args: Any, **kwargs: Any) -> None:
        """Send the request."""
        call: EndpointCall | None = getattr(self.current, "call", None)
        if call is not None:
            if self.sock is None:
                self.connect()
            call.sending_on(self.sock)
        super().request(*args, **kwargs)


class _TrackedPool(HTTPConnectionPool):
    """Connections to the endpoint that can be cut off."""

    ConnectionCls = _TrackedConnection


class EndpointCall:
    """One call in progress on a thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None
        self._cancelled = False

    @property
    def cancelled(self) -> bool:
        """Whether the call was cut off."""
        return self._cancelled

    @property
    def request_began(self) -> bool:
        """Whether any byte of the request may have reached the endpoint."""
        return self._socket is not None

    def sending_on(self, sock: socket.socket) -> None:
        """Note the socket just before the request is written to it."""
        with self._lock:
            if self._cancelled:
                raise ConnectionAbortedError("the call was cancelled before it was sent")
            self._socket = sock

    def cancel(self) -> None:
        """Cut the call off; the endpoint sees its connection closed."""
        with self._lock:
            self._cancelled = True
            sock = self._socket
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class EndpointClient:
    """Sends calls to the endpoint.

    A call that may not be repeated gets a fresh connection: a kept one may be closed by the
    endpoint at the moment of sending, which would leave its execution in doubt.

    :param loop_queue: carries what arrives to the event loop.
    :param connect_timeout_s: longest time to connect, seconds.
    :param idle_timeout_s: longest silence within an answer, seconds.
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
        self._timeout = urllib3.Timeout(connect=connect_timeout_s, read=idle_timeout_s)
        self._pool = self._new_pool(threads)
        self._running: set[EndpointCall] = set()
        self._threads = concurrent.futures.ThreadPoolExecutor(
            threads, thread_name_prefix="endpoint"
        )

    def start(self, call: ForwardedCall, receiver: ResponseReceiver, fresh: bool) -> EndpointCall:
        """Start a call on a thread.

        :param fresh: use a new connection.
        """
        running = EndpointCall()
        self._running.add(running)
        self._threads.submit(self._run, running, call, receiver, fresh)
        return running

    def close(self) -> None:
        """Cut off the calls in progress and drop the connections."""
        for running in list(self._running):
            running.cancel()
        self._pool.close()
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _new_pool(self, size: int) -> _TrackedPool:
        return _TrackedPool(self._address.host, self._address.port, maxsize=size, block=False)

    def _run(
        self, running: EndpointCall, call: ForwardedCall, receiver: ResponseReceiver, fresh: bool
    ) -> None:
        pool = self._new_pool(1) if fresh else self._pool
        _TrackedConnection.current.call = running
        try:
            end = self._exchange(pool, running, call, receiver)
        except Exception as error:
            end = _failure_of(running, error)
        finally:
            self._running.discard(running)
            _TrackedConnection.current.call = None
            if fresh:
                pool.close()
        self._loop_queue.post(lambda: receiver.finish(end.execution, end.complete, end.detail))

    def _exchange(
        self,
        pool: _TrackedPool,
        running: EndpointCall,
        call: ForwardedCall,
        receiver: ResponseReceiver,
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
            timeout=self._timeout,
        )
        headers = tuple((name, value) for name, value in response.headers.items())
        self._loop_queue.post(lambda: receiver.set_head(response.status, headers))
        length = 0
        for part in _parts_of(response):
            length += len(part)
            if length > LARGEST_ANSWER_BYTES:
                response.close()
                return _End(Execution.RAN, False, "the answer is too large")
            self._loop_queue.post(functools.partial(receiver.add, part))
        if running.cancelled:
            return _End(Execution.MAY_HAVE_RUN, False, "the call was cancelled")
        response.release_conn()
        return _End(Execution.RAN, True)


def _parts_of(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Read the body in the parts in which it arrives."""
    read_one: Callable[[], bytes]
    if getattr(response, "chunked", False):
        yield from response.read_chunked(_READ_BYTES, decode_content=False)
        return
    read_one = lambda: response.read1(_READ_BYTES, decode_content=False)  # noqa: E731
    yield from iter(read_one, b"")


def _failure_of(running: EndpointCall, error: Exception) -> _End:
    """Say what a failed call proves: nothing was run if no byte of it was ever sent."""
    if not running.request_began:
        return _End(Execution.NOT_RUN, False, f"can't connect to the endpoint: {_brief(error)}")
    return _End(Execution.MAY_HAVE_RUN, False, _brief(error))


def _brief(error: Exception) -> str:
    if isinstance(error, urllib3.exceptions.ReadTimeoutError):
        return "the endpoint fell silent"
    return type(error).__name__
