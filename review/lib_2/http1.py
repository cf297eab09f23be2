"""Just enough HTTP/1.1 for the stand-ins: heads, bodies with a length, and chunked bodies."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Message:
    """A request or a response.

    :ivar start: the start line.
    :ivar headers: by name in lower case; the last one of a name counts.
    :ivar whole: whether the body was received to its end.
    """

    start: str
    headers: dict[str, str]
    body: bytes = b""
    whole: bool = True

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ")[1])

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.start.split(" ")[1]

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ")[0]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; return ``None`` at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    start, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return Message(start, headers)


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Read a request with its body; return ``None`` at the end of the connection."""
    request = await read_head(reader)
    if request is None:
        return None
    try:
        request.body = await reader.readexactly(int(request.headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return request


async def read_response(reader: asyncio.StreamReader) -> Message | None:
    """Read a response with its body; return ``None`` if the connection ends before its head."""
    response = await read_head(reader)
    if response is None:
        return None
    try:
        if response.headers.get("transfer-encoding") == "chunked":
            while True:
                size = int(await reader.readline(), 16)
                response.body += (await reader.readexactly(size + 2))[:size]
                if not size:
                    return response
        elif "content-length" in response.headers:
            response.body = await reader.readexactly(int(response.headers["content-length"]))
        else:
            response.body = await reader.read(-1)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        response.whole = False
    return response


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a message whose body has a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
