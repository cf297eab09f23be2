"""The HTTP server for callers, based on cheroot, with read timeouts for slow callers."""

import asyncio
import contextlib
import errno
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
from returns.pipeline import is_successful
from returns.result import Result

from pearshed._internal.decisions.ending_order import Holding, HoldingStage
from pearshed._internal.entry import responses
from pearshed._internal.entry.body_reader import (
    BodySource,
    no_room,
    read_chunks,
    read_known_length,
)
from pearshed._internal.entry.caller_room import CallerRoom
from pearshed._internal.entry.classifier import READ_HEADERS, new_request_id
from pearshed._internal.entry.header_reader import KnownHeaderReader
from pearshed._internal.errors import AddressInUseError
from pearshed._internal.models.outcomes import FailureCode, RequestFailure
from pearshed._internal.resources.account import Holder
from pearshed._internal.settings.model import EntrySettings
from pearshed._internal.timers import clock
from pearshed._internal.utils.addresses import Address
from pearshed._internal.utils.sockets import (
    HANDSHAKE_S,
    drop_new_connections,
    set_reset_on_close,
)

SOCKET_KEY = "pearshed.socket"
READ_BODY_KEY = "pearshed.read_body"
RESPONSE_FRAMING_KEY = "pearshed.response_framing"
READ_DONE_KEY = "pearshed.read_done"

_LISTEN_BACKLOG = 1024
_SPARE_THREADS = 32
_MAX_HEADER_BYTES = 64 * 1024
_BUSY_READ_TIMEOUT_S = 1.0
#: Memory of a connection with its buffers, bytes.
_CONNECTION_BYTES = 24 * 1024
#: A body is held by the call and, while it is sent to a side, by a frame and by its message.
_COPIES_OF_BODY = 3
#: Headers that the server reads itself, in its spelling.
_SERVER_HEADERS = (b"Connection", b"Content-Length", b"Expect", b"Host", b"Transfer-Encoding")
_READ_HEADERS = frozenset((*_SERVER_HEADERS, *(name.title().encode() for name in READ_HEADERS)))
_CHEROOT_INFO_LEVEL = 20
_LOG_LEVEL_FOR_INFO = logging.DEBUG
_CODES_BY_STATUS = {
    "413": FailureCode.TOO_LARGE,
    "414": FailureCode.TOO_LARGE,
    "500": FailureCode.ENDPOINT_FAILED,
}
_IGNORED_ERRORS = ("connection reset", "broken pipe", "timed out")

WsgiApplication = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class ReadTimeoutMonitor:
    """Enforces a timeout on reading requests.

    Each request is read by a thread, so slow callers could occupy all threads. A request must be
    complete within the timeout, and within a much shorter one while more than half of the spare
    threads are reading.

    :param timeout_s: maximum time to read a request, seconds.
    """

    def __init__(self, timeout_s: float, spare_threads: int) -> None:
        self._timeout_s = timeout_s
        self._spare_threads = spare_threads
        self._lock = threading.Lock()
        self._read_started_at: dict[socket.socket, float] = {}
        self._timed_out = 0

    @property
    def timed_out(self) -> int:
        """Requests whose read timed out."""
        return self._timed_out

    @property
    def reading(self) -> int:
        """Requests being read now."""
        return len(self._read_started_at)

    def start_read(self, sock: socket.socket) -> None:
        """Start the timeout of a request that a thread begins to read."""
        with self._lock:
            self._read_started_at[sock] = clock.now()

    def finish_read(self, sock: socket.socket) -> None:
        """Stop the timeout: the request is complete or its connection is closed."""
        with self._lock:
            self._read_started_at.pop(sock, None)

    def abort_slow_reads(self) -> None:
        """Abort the reads that have exceeded their timeout."""
        with self._lock:
            busy = len(self._read_started_at) > self._spare_threads // 2
            timeout_s = self._timeout_s
            if busy:
                timeout_s = min(timeout_s, _BUSY_READ_TIMEOUT_S)
            earliest_start = clock.now() - timeout_s
            slow = [
                sock
                for sock, started_at in self._read_started_at.items()
                if started_at < earliest_start
            ]
            for sock in slow:
                del self._read_started_at[sock]
            self._timed_out += len(slow)
        for sock in slow:
            # The reading thread gets the end of input and refuses the request as too short.
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RD)


class _TimedRequest(server.HTTPRequest):
    """A request with a read timeout."""

    header_reader = KnownHeaderReader(_READ_HEADERS)

    def parse_request(self) -> None:
        """Read the request line and headers."""
        self.server.read_monitor.start_read(self.conn.socket)
        self.conn.begin_receiving()
        super().parse_request()

    def read_body(self, limit: int) -> Result[bytes, RequestFailure]:
        """Read the body.

        :param limit: its largest size, bytes.
        """
        length = int(self.inheaders.get(b"Content-Length", 0))
        body: Result[bytes, RequestFailure] = (
            read_chunks(self.conn, self.conn.rfile, limit)
            if self.chunked_read
            else read_known_length(self.conn, self.rfile, length, limit)
        )
        if not is_successful(body):
            # The server would read the rest of the body before it responds.
            self.close_connection = True
            self.rfile = server.KnownLengthRFile(self.conn.rfile, 0)
        self.conn.begin_serving(body.value_or(b""))
        return body

    def simple_response(self, status: str | int, msg: str = "") -> None:
        """Refuse a malformed HTTP request with the same error document as other refusals."""
        code, _, phrase = str(status).partition(" ")
        failure = RequestFailure(_CODES_BY_STATUS.get(code, FailureCode.MALFORMED), msg or phrase)
        if self.conn.ended:
            failure = no_room()
            status = responses.status_line(failure.status)
        _, headers, content = responses.error_response(failure, new_request_id())
        lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in headers)]
        self.close_connection = True
        lines.extend(("Connection: close", "", ""))
        with contextlib.suppress(OSError):
            self.conn.wfile.write("\r\n".join(lines).encode("iso-8859-1") + content)


class _TimedConnection(server.HTTPConnection, Holder, BodySource):
    """A connection that is accounted for, and whose read timeout ends with its thread's service.

    :raises ConnectionAbortedError: when too many are open already; the server drops it.
    """

    RequestHandlerClass = _TimedRequest
    #: Whether the response in progress is not complete and must not seem so.
    breaks_off = False

    def __init__(self, caller_server: "CallerServer", sock: socket.socket, *args: Any) -> None:
        super().__init__(caller_server, sock, *args)
        self._stage = HoldingStage.IDLE
        self._content_bytes = 0
        self._moved_bytes = 0
        self._begun_at = self._progressed_at = clock.now()
        self._ended = False
        if not caller_server.room.open(self):
            sock.close()
            raise ConnectionAbortedError(errno.ECONNABORTED, "too many connections are open")

    @property
    def ended(self) -> bool:
        """Whether it was ended for lack of room."""
        return self._ended

    def communicate(self) -> Any:
        """Serve one request of the connection."""
        try:
            return super().communicate()  # type: ignore[no-untyped-call]
        finally:
            self.server.read_monitor.finish_read(self.socket)
            self._begin(HoldingStage.IDLE)

    def close(self) -> None:
        """Close the connection."""
        self.server.room.close(self)
        super().close()

    def begin_receiving(self) -> None:
        """Record that a thread begins to read a request."""
        self._begin(HoldingStage.RECEIVING)

    def record_received(self, received_bytes: int, held_bytes: int) -> None:
        """Record progress of a body."""
        self._moved_bytes += received_bytes
        self._content_bytes = held_bytes
        self._progressed_at = clock.now()
        self.server.room.update(self)

    def begin_serving(self, body: bytes) -> None:
        """Record that a request was read."""
        self._begin(HoldingStage.SERVING, _COPIES_OF_BODY * len(body))

    def holding(self) -> "Holding[Holder]":
        """Return what the connection holds."""
        held_bytes = _CONNECTION_BYTES + self._content_bytes
        stage = HoldingStage.REFUSED if self._ended else self._stage
        return Holding(
            self,
            stage,
            held_bytes,
            held_bytes,
            self._moved_bytes,
            self._begun_at,
            self._progressed_at,
        )

    def end_for_lack_of_room(self) -> None:
        """Let the thread that reads, or is about to, find the end of the input."""
        self._ended = True
        self._content_bytes = 0
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RD)

    def _begin(self, stage: HoldingStage, content_bytes: int = 0) -> None:
        self._stage = stage
        self._content_bytes = content_bytes
        self._moved_bytes = 0
        self._begun_at = self._progressed_at = clock.now()
        self.server.room.update(self)

    def _close_kernel_socket(self) -> None:
        """End the connection, but for one that is reset when its socket is closed."""
        if not self.breaks_off:
            super()._close_kernel_socket()  # type: ignore[misc]


class ResponseFraming:
    """What marks the end of a response's body: a length or chunks, or the end of its connection.

    :param request: whose response has not begun.
    """

    def __init__(self, request: server.HTTPRequest) -> None:
        self._request = request
        self._until_close = False

    @property
    def can_chunk(self) -> bool:
        """Whether a body without a length may have chunks."""
        return bool(self._request.response_protocol == "HTTP/1.1")

    def begin_until_close(self) -> responses.Headers:
        """Let the end of the connection mark the end of the body.

        Until ``end_until_close``, every end of the connection is a reset.

        :returns: headers of the response.
        """
        self._until_close = True
        # Without a length, cheroot sends chunks to callers of HTTP/1.1 only.
        self._request.response_protocol = "HTTP/1.0"
        set_reset_on_close(self._request.conn.socket, True)
        return [("Connection", "close")]

    def break_off(self) -> None:
        """Let the connection end without the end of the response's body."""
        # In chunks, the missing last chunk shows it, and what was sent before still arrives.
        self._request.conn.breaks_off = self._until_close

    def end_until_close(self) -> None:
        """Let the connection be closed instead of reset, if it marks the end of the body."""
        if self._until_close:
            set_reset_on_close(self._request.conn.socket, False)


class _SocketGateway(wsgi.Gateway_10):
    """Adds the caller's connection to the WSGI environment."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the WSGI environment of one call."""
        environ: dict[str, Any] = super().get_environ()  # type: ignore[no-untyped-call]
        sock = self.req.conn.socket
        environ[SOCKET_KEY] = sock
        environ[RESPONSE_FRAMING_KEY] = ResponseFraming(self.req)
        environ[READ_BODY_KEY] = self.req.read_body
        environ[READ_DONE_KEY] = lambda: self.req.server.read_monitor.finish_read(sock)
        return environ


class _TlsAdapter(Adapter):
    """Serves TLS with a context whose certificate may be reloaded.

    The handshake takes place in the thread that reads the request. In the thread that accepts
    connections, one unresponsive caller would block all others.
    """

    def __init__(self, context: ssl.SSLContext) -> None:
        super().__init__("", "")
        self.context = context

    def bind(self, sock: socket.socket) -> socket.socket:
        """Return the listening socket unchanged."""
        return sock

    def wrap(self, sock: socket.socket) -> tuple[ssl.SSLSocket, dict[str, str]]:
        """Wrap an accepted socket."""
        wrapped = self.context.wrap_socket(sock, server_side=True, do_handshake_on_connect=False)
        return wrapped, self.get_environ()

    def get_environ(self) -> dict[str, str]:
        """Return the WSGI variables that describe the connection."""
        return {"wsgi.url_scheme": "https", "HTTPS": "on"}

    def makefile(self, sock: Any, mode: str = "r", bufsize: int = io.DEFAULT_BUFFER_SIZE) -> Any:
        """Return a file object for reading requests or writing responses."""
        return MakeFile(sock, mode, bufsize)


class CallerServer(wsgi.Server):
    """Serves callers with a fixed number of threads.

    There is a thread for each request that may be admitted and some spare, so that refusals and
    calls that are not routed never wait for a thread.

    :param room: what callers' connections may hold.
    """

    ConnectionClass = _TimedConnection

    def __init__(
        self,
        settings: EntrySettings,
        application: WsgiApplication,
        room: CallerRoom,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.room = room
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
        self.gateway = _SocketGateway
        self.max_request_header_size = _MAX_HEADER_BYTES
        self.keep_alive_conn_limit = settings.max_connections
        self._thread_count = threads
        if tls is not None:
            self.ssl_adapter = _TlsAdapter(tls)
        self.read_monitor = ReadTimeoutMonitor(settings.read_timeout_s, _SPARE_THREADS)

    @property
    def is_busy(self) -> bool:
        """Whether a connection waits for a thread, or a thread reads or serves a request."""
        return bool(self.requests.qsize) or self.requests.idle < self._thread_count

    def close_after_responses(self) -> None:
        """Close each connection after its next response, which announces it."""
        self.keep_alive_conn_limit = 0

    async def stop_accepting(self) -> None:
        """Accept the connections that are established in the kernel, then stop listening.

        Closing the socket alone would reset them, with the requests that callers have sent.
        """
        drop_new_connections(self.socket)
        await asyncio.sleep(HANDSHAKE_S)
        connections = self._connections  # type: ignore[attr-defined]  # not in cheroot's stubs
        self.socket.setblocking(False)
        while (connection := connections._from_server_socket(self.socket)) is not None:
            self.process_conn(connection)
        self.socket.close()

    def error_log(
        self, msg: str = "", level: int = _CHEROOT_INFO_LEVEL, traceback: bool = False
    ) -> None:
        """Log a message of the server, except for disconnects and timeouts of callers."""
        if any(text in msg.lower() for text in _IGNORED_ERRORS):
            return
        logging.log(
            _LOG_LEVEL_FOR_INFO if level <= _CHEROOT_INFO_LEVEL else logging.WARNING,
            "caller: %s",
            msg,
        )
        if traceback:
            logging.exception("error while serving a caller")


def caller_disconnected(sock: socket.socket) -> bool:
    """Return whether the caller has closed its connection, without reading from it.

    A ``recv`` with ``MSG_PEEK`` doesn't work here: on a socket with a timeout it waits whatever
    its flags are, and the input of a TLS socket can't be peeked at.
    """
    poll = select.poll()
    try:
        poll.register(sock, select.POLLRDHUP)
        return bool(poll.poll(0))
    except (OSError, ValueError):
        return True


def prepare_server(server: wsgi.Server, address: Address, purpose: str) -> None:
    """Bind a server's address.

    :param purpose: what the address serves, for the error message.
    :raises AddressInUseError: if it can't be bound.
    """
    try:
        server.prepare()
    except OSError as error:
        raise AddressInUseError(
            f"can't listen on {address} for {purpose}",
            context=[str(error)],
            hint="the port may be in use, or the IP address may not belong to this machine",
        ) from error
