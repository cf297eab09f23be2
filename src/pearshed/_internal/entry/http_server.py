"""The HTTP server for callers: cheroot, guarded against slow and silent callers."""

import contextlib
import io
import math
import select
import socket
import ssl
import threading
from collections.abc import Callable, Iterable
from typing import Any

from absl import logging
from cheroot import server, wsgi
from cheroot.makefile import MakeFile
from cheroot.ssl import Adapter

from pearshed._internal.entry import responses
from pearshed._internal.entry.classifier import new_request_id
from pearshed._internal.models.outcomes import FailureCode, RequestFailure
from pearshed._internal.settings.model import EntrySettings
from pearshed._internal.timers import clock

SOCKET_KEY = "pearshed.socket"
READ_DONE_KEY = "pearshed.read_done"

_LISTEN_BACKLOG = 1024
_SPARE_THREADS = 32
_LARGEST_HEAD_BYTES = 64 * 1024
_PRESSED_READ_TIMEOUT_S = 1.0
_SWEEP_PERIOD_S = 0.25
_INFO_LEVEL = 20
_QUIET = logging.DEBUG
_CODES_BY_STATUS = {
    "413": FailureCode.TOO_LARGE,
    "414": FailureCode.TOO_LARGE,
    "500": FailureCode.ENDPOINT_FAILED,
}
_DROPPED_LOGS = ("connection reset", "broken pipe", "timed out")

WsgiApplication = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class ReadWatch:
    """Ends the reading of requests that callers send too slowly.

    A thread reads each request, so slow callers could hold every thread. A request must be
    there whole in a given time, and in a much shorter one once half of the spare threads read.

    :param timeout_s: longest time to read a request, seconds.
    """

    def __init__(self, timeout_s: float, spare_threads: int) -> None:
        self._timeout_s = timeout_s
        self._spare_threads = spare_threads
        self._lock = threading.Lock()
        self._reading: dict[socket.socket, float] = {}
        self._ended = 0

    @property
    def ended(self) -> int:
        """Requests whose reading was ended."""
        return self._ended

    @property
    def reading(self) -> int:
        """Requests that are being read now."""
        return len(self._reading)

    def begin(self, sock: socket.socket) -> None:
        """Note that a thread has begun to read a request."""
        with self._lock:
            self._reading[sock] = clock.now()

    def end(self, sock: socket.socket) -> None:
        """Note that the request is there, or that its connection has ended."""
        with self._lock:
            self._reading.pop(sock, None)

    def sweep(self) -> None:
        """End the reading of the requests that take too long."""
        with self._lock:
            pressed = len(self._reading) > self._spare_threads // 2
            limit_s = self._timeout_s
            if pressed:
                limit_s = min(limit_s, _PRESSED_READ_TIMEOUT_S)
            oldest = clock.now() - limit_s
            slow = [sock for sock, since in self._reading.items() if since < oldest]
            for sock in slow:
                del self._reading[sock]
            self._ended += len(slow)
        for sock in slow:
            # The reading thread sees the end of input and answers that the request is short.
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RD)


class _WatchedRequest(server.HTTPRequest):
    """A request whose reading is watched."""

    def parse_request(self) -> None:
        """Read the request's head."""
        self.server.read_watch.begin(self.conn.socket)
        super().parse_request()

    def simple_response(self, status: str | int, msg: str = "") -> None:
        """Refuse a call that is not good HTTP, in the form of all other refusals."""
        code, _, phrase = str(status).partition(" ")
        failure = RequestFailure(_CODES_BY_STATUS.get(code, FailureCode.MALFORMED), msg or phrase)
        _, headers, content = responses.error_response(failure, new_request_id())
        lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in headers)]
        self.close_connection = True
        lines.extend(("Connection: close", "", ""))
        with contextlib.suppress(OSError):
            self.conn.wfile.write("\r\n".join(lines).encode("iso-8859-1") + content)


class _WatchedConnection(server.HTTPConnection):
    """A connection that leaves the watch whenever its thread does."""

    RequestHandlerClass = _WatchedRequest

    def communicate(self) -> Any:
        """Serve one request of the connection."""
        try:
            return super().communicate()  # type: ignore[no-untyped-call]
        finally:
            self.server.read_watch.end(self.socket)


class _Gateway(wsgi.Gateway_10):
    """Gives the application the caller's socket, to see a caller that has gone."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Make the environment of one call."""
        environ: dict[str, Any] = super().get_environ()  # type: ignore[no-untyped-call]
        sock = self.req.conn.socket
        environ[SOCKET_KEY] = sock
        environ[READ_DONE_KEY] = lambda: self.req.server.read_watch.end(sock)
        return environ


class _TlsAdapter(Adapter):
    """Serves TLS with a context whose certificate may be replaced.

    The handshake is left to the thread that reads the request: in the thread that accepts
    connections, one silent caller would hold up all others.
    """

    def __init__(self, context: ssl.SSLContext) -> None:
        super().__init__("", "")
        self.context = context

    def bind(self, sock: socket.socket) -> socket.socket:
        """Return the listening socket as it is."""
        return sock

    def wrap(self, sock: socket.socket) -> tuple[ssl.SSLSocket, dict[str, str]]:
        """Wrap an accepted socket."""
        wrapped = self.context.wrap_socket(sock, server_side=True, do_handshake_on_connect=False)
        return wrapped, self.get_environ()

    def get_environ(self) -> dict[str, str]:
        """Describe the connection to the application."""
        return {"wsgi.url_scheme": "https", "HTTPS": "on"}

    def makefile(self, sock: Any, mode: str = "r", bufsize: int = io.DEFAULT_BUFFER_SIZE) -> Any:
        """Make the file that requests are read from or answers are written to."""
        return MakeFile(sock, mode, bufsize)


class CallerServer(wsgi.Server):
    """Serves callers with a bounded number of threads.

    The threads are enough for every admitted request and some spare, so that a refusal or a
    call that is not routed never waits for a thread.
    """

    ConnectionClass = _WatchedConnection

    def __init__(
        self,
        settings: EntrySettings,
        application: WsgiApplication,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        threads = settings.max_requests + _SPARE_THREADS
        super().__init__(
            (settings.listen.host, settings.listen.port),
            application,
            numthreads=threads,
            max=threads,
            request_queue_size=_LISTEN_BACKLOG,
            timeout=math.ceil(settings.write_timeout_s),
            server_name="pearshed",
        )
        self.gateway = _Gateway
        self.max_request_header_size = _LARGEST_HEAD_BYTES
        self.keep_alive_conn_limit = settings.max_connections
        if tls is not None:
            self.ssl_adapter = _TlsAdapter(tls)
        self.read_watch = ReadWatch(settings.read_timeout_s, _SPARE_THREADS)

    def error_log(self, msg: str = "", level: int = _INFO_LEVEL, traceback: bool = False) -> None:
        """Log what the server reports; callers that go away are no news."""
        if any(text in msg.lower() for text in _DROPPED_LOGS):
            return
        logging.log(_QUIET if level <= _INFO_LEVEL else logging.WARNING, "caller: %s", msg)
        if traceback:
            logging.exception("while serving a caller")


def caller_has_gone(sock: socket.socket) -> bool:
    """Look whether the caller has closed its connection, without taking any input.

    The socket has a timeout, for which a plain ``recv`` would wait whatever its flags say, and
    may carry TLS, whose input can't be peeked at.
    """
    poll = select.poll()
    try:
        poll.register(sock, select.POLLRDHUP)
        return bool(poll.poll(0))
    except (OSError, ValueError):
        return True
