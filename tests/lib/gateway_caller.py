"""A client for one connection to a gateway."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

from pearshed._internal.utils.addresses import Address
from tests.lib.gateway_platform import API_KEY, HOST


@dataclass
class CallerResponse:
    """A response as a caller received it.

    :ivar complete: the whole body arrived, by its length or its last chunk; if it has neither, the
        connection was closed and not reset.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool

    @property
    def ends_with_connection(self) -> bool:
        """Whether neither a length nor chunks mark the end of the body."""
        return not {"content-length", "transfer-encoding"} & self.headers.keys()


class Caller:
    """A caller's connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, address: Address) -> "Caller":
        """Open a connection."""
        return cls(*await asyncio.open_connection(address.host, address.port))

    def send_bytes(self, content: bytes) -> None:
        """Send raw bytes."""
        self._writer.write(content)

    def send(
        self,
        path: str,
        request_id: str = "1",
        method: str = "POST",
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        version: str = "1.1",
    ) -> None:
        """Send a request with the test's API key.

        :param headers: added to the default headers; an empty value removes a header.
        """
        all_headers = {
            "Host": HOST,
            "Authorization": f"Token {API_KEY}",
            "Pearshed-Request-Id": request_id,
            "Pearshed-Deadline-Ms": "3000",
            "Content-Length": str(len(body)),
            **(headers or {}),
        }
        lines = "".join(f"{name}: {value}\r\n" for name, value in all_headers.items() if value)
        self.send_bytes(f"{method} {path} HTTP/{version}\r\n{lines}\r\n".encode() + body)

    async def read_response(self) -> CallerResponse | None:
        """Read a response; return None when the connection ends before its head."""
        try:
            head = await self._reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        lines = head.decode("latin-1").split("\r\n")
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:] if line)
        }
        status = int(lines[0].split(" ")[1])
        try:
            if headers.get("transfer-encoding") == "chunked":
                return CallerResponse(status, headers, *await self._read_chunks())
            if "content-length" not in headers:
                return CallerResponse(status, headers, *await self.read_until_close())
            body = await self._reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return CallerResponse(status, headers, b"", False)
        return CallerResponse(status, headers, body, True)

    async def read_chunk(self) -> bytes:
        """Read one chunk of a stream, after its head."""
        size = int(await self._reader.readuntil(b"\r\n"), 16)
        return (await self._reader.readexactly(size + 2))[:-2]

    async def read_head(self) -> bytes:
        """Read the head of a response."""
        return await self._reader.readuntil(b"\r\n\r\n")

    async def _read_chunks(self) -> tuple[bytes, bool]:
        body = b""
        try:
            while True:
                size = int(await self._reader.readuntil(b"\r\n"), 16)
                chunk = await self._reader.readexactly(size + 2)
                if not size:
                    return body, True
                body += chunk[:-2]
        except (asyncio.IncompleteReadError, ConnectionError):
            return body, False

    async def read_until_close(self) -> tuple[bytes, bool]:
        """Read to the end of the connection; return the bytes, and whether it was not reset."""
        body = b""
        try:
            while content := await self._reader.read(65536):
                body += content
        except ConnectionError:
            return body, False
        return body, True

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()
