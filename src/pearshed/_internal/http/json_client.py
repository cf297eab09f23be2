"""HTTP client for calls with JSON responses, over one keep-alive connection."""

import asyncio
import collections
import enum
import urllib.parse
from collections.abc import Mapping, Sequence
from typing import Any

import orjson
from returns.result import Failure, Result, Success

from pearshed._internal.http import messages
from pearshed._internal.http.endpoint_connection import (
    EndKind,
    EndpointConnection,
    ResponseEnd,
    connect,
)
from pearshed._internal.http.header_block import Header
from pearshed._internal.http.messages import Headers, ResponseHead
from pearshed._internal.utils.addresses import Address
from pearshed._internal.utils.foreign_values import parse_count

#: All servers are one network hop away.
CONNECT_TIMEOUT_S = 0.8
#: Longest pause within a response. How long all of it takes depends on its size and on the link.
STALL_TIMEOUT_S = 1.5
#: Longest time from the head of a response to its end.
MAX_TRANSFER_S = 30.0
#: Larger responses are refused, bytes; a store's response may hold several large items.
MAX_BODY_BYTES = 32 * 1024 * 1024
_OK = 200


class CallPhase(enum.StrEnum):
    """Phase of a call; failures are counted by the phase in which they occurred."""

    CONNECTING = "connecting"
    WAITING = "waiting"
    RECEIVING = "receiving"


class JsonClient:
    """Makes one call at a time.

    :param address: IP address and port of the server.
    :param connect_timeout_s: timeout for opening a connection, seconds.
    :param max_transfer_s: longest time from the head of a response to its end, seconds.
    """

    def __init__(
        self,
        address: Address,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_transfer_s: float = MAX_TRANSFER_S,
    ) -> None:
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._max_transfer_s = max_transfer_s
        self._connection: EndpointConnection | None = None
        self._calls = 0
        self._phase = CallPhase.CONNECTING
        self._received_bytes = 0
        self._body_bytes: int | None = None
        self._transfer_s = 0.0
        self._receiving_since: float | None = None
        self._headers: Headers = ()
        self._failures: collections.Counter[str] = collections.Counter()

    @property
    def calls(self) -> int:
        """Number of calls made."""
        return self._calls

    @property
    def failures(self) -> Mapping[str, int]:
        """Number of failed calls by the phase in which they failed."""
        return self._failures

    @property
    def response_headers(self) -> Headers:
        """Headers of the last response; empty if the last call got none."""
        return self._headers

    @property
    def transfer_s(self) -> float:
        """Time from the head of the last response to its end, seconds."""
        return self._transfer_s

    @property
    def receiving_s(self) -> float:
        """Time since the head of the response that is being received, seconds; 0 without one."""
        if self._receiving_since is None:
            return 0.0
        return asyncio.get_running_loop().time() - self._receiving_since

    @property
    def remaining_s(self) -> float:
        """Time until the end of that response at its rate so far, seconds; 0 if it isn't known."""
        if not self._body_bytes or not self._received_bytes:
            return 0.0
        share = (self._body_bytes - self._received_bytes) / self._received_bytes
        return self.receiving_s * share

    async def call(
        self,
        path: str,
        query: Mapping[str, str],
        timeout_s: float,
        headers: Sequence[Header] = (),
    ) -> Result[tuple[int, Mapping[str, Any]], str]:
        """Send a GET request and decode the response.

        :param timeout_s: timeout for the start of the response, in addition to opening a
            connection, seconds.
        :returns: status and body, or an error message; a failed connection is closed. Only a
            response with another status than 200 may have no body.
        """
        self._calls += 1
        self._phase = CallPhase.CONNECTING
        self._received_bytes = 0
        self._body_bytes = None
        self._headers = ()
        target = f"{path}?{urllib.parse.urlencode(query)}" if query else path
        try:
            async with asyncio.timeout(self._connect_timeout_s + timeout_s) as timeout:
                status, body = await self._exchange(target, headers, timeout)
        except (OSError, TimeoutError) as error:
            self.close()
            self._failures[self._phase.value] += 1
            return Failure(f"{path}: {str(error) or 'timed out'} {self._describe_progress()}")
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self._receiving_since = None
        if not body and status != _OK:
            return Success((status, {}))
        try:
            raw = orjson.loads(body)
        except orjson.JSONDecodeError as error:
            return Failure(f"{path}: status {status}, {error}")
        if not isinstance(raw, dict):
            return Failure(f"{path}: expected an object")
        return Success((status, raw))

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _exchange(
        self, target: str, headers: Sequence[Header], timeout: asyncio.Timeout
    ) -> tuple[int, bytes]:
        if self._connection is None or not self._connection.usable:
            self._connection = await connect(self._address, self._connect_timeout_s)
        connection = self._connection
        self._phase = CallPhase.WAITING
        request = messages.encode_head(
            b"GET %s HTTP/1.1" % target.encode("ascii"),
            ((b"host", str(self._address).encode()), *headers),
        )
        connection.send(request, lambda _: True)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        status = 0
        body: list[bytes] = []
        while True:
            event = await connection.next_event()
            now = loop.time()
            if isinstance(event, ResponseHead):
                self._receiving_since = started_at = now
                status = event.status
                self._headers = event.headers
                self._phase = CallPhase.RECEIVING
                self._body_bytes = _content_length(event)
            elif isinstance(event, ResponseEnd):
                connection.finish()
                self._transfer_s = now - started_at
                if event.kind not in (EndKind.COMPLETE, EndKind.CLOSED):
                    raise OSError(event.reason)
                return status, b"".join(body)
            else:
                self._received_bytes += len(event)
                body.append(event)
                if self._received_bytes > MAX_BODY_BYTES:
                    raise OSError("the response is too large")
            timeout.reschedule(min(now + STALL_TIMEOUT_S, started_at + self._max_transfer_s))

    def _describe_progress(self) -> str:
        if self._phase is CallPhase.RECEIVING:
            size = "unknown" if self._body_bytes is None else self._body_bytes
            return f"after {self._received_bytes} of {size} bytes"
        return f"while {self._phase}"


def _content_length(head: ResponseHead) -> int | None:
    value = messages.header_value(head.headers, b"content-length")
    return parse_count(value) if value is not None else None
