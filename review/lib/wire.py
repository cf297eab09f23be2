"""Reads and writes HTTP/1.1 messages for the stand-ins."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Mapping
from dataclasses import dataclass

_RESET = struct.pack("ii", 1, 0)


@dataclass
class Message:
    """A request or a response.

    :ivar start: the words of the first line.
    :ivar complete: the body arrived as its framing says; a body that ends with the connection is
        complete unless the connection was reset.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""
    complete: bool = True

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a first line and headers; ``None`` if the connection ends before their end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in lines if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in fields}
    return Message(first.split(" ", 2), headers)


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Read a request with its body; ``None`` at the end of the connection."""
    request = await read_head(reader)
    if request is None:
        return None
    try:
        request.body = await reader.readexactly(int(request.headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return request


async def read_response(reader: asyncio.StreamReader) -> Message | None:
    """Read a final response with its body; ``None`` if the connection ends before its head."""
    response = await read_head(reader)
    if response is None:
        return None
    try:
        if response.headers.get("transfer-encoding", "").lower() == "chunked":
            await _read_chunks(reader, response)
        elif "content-length" in response.headers:
            response.body = await reader.readexactly(int(response.headers["content-length"]))
        else:
            response.body = await reader.read()
    except (asyncio.IncompleteReadError, OSError):
        response.complete = False
    return response


async def _read_chunks(reader: asyncio.StreamReader, response: Message) -> None:
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        piece = await reader.readexactly(size + 2)
        if not size:
            return
        response.body += piece[:-2]


def encode(first: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """Encode a message with the length of its body."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{first}\r\n{lines}\r\n".encode("latin-1") + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free for TCP and UDP now."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((host, 0))
            port = int(tcp.getsockname()[1])
            with contextlib.suppress(OSError):
                udp.bind((host, port))
                return port
