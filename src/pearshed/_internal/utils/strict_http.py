"""urllib3 with responses that count only if their framing is complete.

``http.client`` takes the end of a connection inside the head of a response for the end of the head:
a response that was cut there seems to have neither a length nor chunks, and an empty body. It takes
undefined statuses and interim responses but 100 for final ones, and reads lines of trailers and
interim responses without a limit.
"""

import http.client
import io
import re
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection
from urllib3.connectionpool import HTTPConnectionPool, HTTPSConnectionPool

from pearshed._internal.models import statuses

_SWITCHING_PROTOCOLS = 101
#: Bytes of lines that may follow each other without a byte of a body.
MAX_LINES_BYTES = 256 * 1024
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([1-5][0-9]{2})(?: [^\r\n]*)?\r?\n")


class _CompleteLineReader(io.BufferedReader):
    """Reads lines of heads, chunk sizes and trailers, each of which must have its end.

    :ivar line: the last line.
    """

    _has_begun = False
    _lines_bytes = 0
    line = b""

    def readline(self, size: int | None = -1, /) -> bytes:
        """Read a line; return no bytes if the connection ends before the first.

        :raises http.client.IncompleteRead: when the connection ends inside a line or before one.
        :raises http.client.LineTooLong: when lines have no end.
        """
        if size is None or size < 0:
            size = MAX_LINES_BYTES
        self.line = line = super().readline(size)
        self._lines_bytes += len(line)
        if self._lines_bytes > MAX_LINES_BYTES or len(line) >= MAX_LINES_BYTES:
            raise http.client.LineTooLong("lines without a body")
        is_cut = not line.endswith(b"\n") and len(line) != size
        if is_cut and (line or self._has_begun):
            raise http.client.IncompleteRead(line)
        self._has_begun = True
        return line

    def read(self, size: int | None = -1, /) -> bytes:
        """Read a part of a body, after which lines may follow again."""
        self._lines_bytes = 0
        return super().read(size)

    def read1(self, size: int = -1, /) -> bytes:
        """Read what has arrived of a body."""
        self._lines_bytes = 0
        return super().read1(size)


class StrictHTTPResponse(http.client.HTTPResponse):
    """A response whose head, chunk sizes and trailers are complete, with a defined status."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._reader = self.fp = _CompleteLineReader(self.fp.detach())

    def _read_status(self) -> tuple[str, int, str]:
        """Read a status line; ``begin`` reads on after an interim response.

        :raises http.client.BadStatusLine: when the status isn't defined, or switches protocols.
        """
        version, status, reason = super()._read_status()  # type: ignore[misc]
        if _STATUS_LINE.fullmatch(self._reader.line) is None or status == _SWITCHING_PROTOCOLS:
            raise http.client.BadStatusLine(repr(self._reader.line))
        return version, http.client.CONTINUE if statuses.is_interim(status) else status, reason


class StrictHTTPConnection(HTTPConnection):
    """A connection whose responses are strict."""

    response_class = StrictHTTPResponse


class _StrictHTTPSConnection(HTTPSConnection):
    response_class = StrictHTTPResponse


class _StrictHTTPPool(HTTPConnectionPool):
    ConnectionCls = StrictHTTPConnection


class _StrictHTTPSPool(HTTPSConnectionPool):
    ConnectionCls = _StrictHTTPSConnection


class StrictPoolManager(urllib3.PoolManager):
    """A pool manager whose responses are strict."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.pool_classes_by_scheme = {"http": _StrictHTTPPool, "https": _StrictHTTPSPool}


def get(url: str, timeout_s: float) -> urllib3.BaseHTTPResponse:
    """Send one GET request.

    :raises urllib3.exceptions.HTTPError: when there is no complete response in time.
    """
    with StrictPoolManager(num_pools=1, retries=False) as pools:
        return pools.request("GET", url, timeout=timeout_s)
