"""HTTP client for calls with JSON responses, over one keep-alive connection."""

import asyncio
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
from pearshed._internal.http.messages import Header, ResponseHead
from pearshed._internal.utils.addresses import Address

#: All servers are one network hop away.
CONNECT_TIMEOUT_S = 0.8
_OK = 200


class JsonClient:
    """Makes one call at a time.

    :param address: IP address and port of the server.
    :param connect_timeout_s: timeout for opening a connection, seconds.
    """

    def __init__(self, address: Address, connect_timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._connection: EndpointConnection | None = None
        self._calls = 0

    @property
    def calls(self) -> int:
        """Number of calls made."""
        return self._calls

    async def call(
        self,
        path: str,
        query: Mapping[str, str],
        timeout_s: float,
        headers: Sequence[Header] = (),
    ) -> Result[tuple[int, Mapping[str, Any]], str]:
        """Send a GET request and decode the response.

        :param timeout_s: timeout for the response, in addition to opening a connection, seconds.
        :returns: status and body, or an error message; a failed connection is closed. Only a
            response with another status than 200 may have no body.
        """
        self._calls += 1
        target = f"{path}?{urllib.parse.urlencode(query)}" if query else path
        try:
            async with asyncio.timeout(self._connect_timeout_s + timeout_s):
                status, body = await self._exchange(target, headers)
        except (OSError, TimeoutError) as error:
            self.close()
            return Failure(f"{path}: {error or 'no response in time'}")
        except asyncio.CancelledError:
            self.close()
            raise
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

    async def _exchange(self, target: str, headers: Sequence[Header]) -> tuple[int, bytes]:
        if self._connection is None or not self._connection.usable:
            self._connection = await connect(self._address, self._connect_timeout_s)
        connection = self._connection
        request = messages.encode_head(
            b"GET %s HTTP/1.1" % target.encode("ascii"),
            ((b"host", str(self._address).encode()), *headers),
        )
        connection.send(request, lambda _: True)
        status = 0
        body: list[bytes] = []
        while True:
            event = await connection.next_event()
            if isinstance(event, ResponseHead):
                status = event.status
            elif isinstance(event, ResponseEnd):
                connection.finish()
                if event.kind not in (EndKind.COMPLETE, EndKind.CLOSED):
                    raise OSError(event.reason)
                return status, b"".join(body)
            else:
                body.append(event)
