"""A stand-in for the engines of a plain service."""

import asyncio
import itertools
import socket
import struct
import time
from collections.abc import Callable
from typing import Any


class Engine:
    """Runs requests one after the other on each connection.

    :param work_s: time that a request takes.
    :param record: called with the request's id, method and path when it arrives.
    :ivar ran: ids of the requests that have begun to run, with the time.
    :ivar cut: ids of the requests that it was running when it exited.
    """

    _numbers = itertools.count(1)

    def __init__(
        self, service: str, host: str, work_s: float, record: Callable[[str, str], None]
    ) -> None:
        self.identity = f"i-{next(self._numbers):04x}"
        self.service = service
        self.ran: dict[str, float] = {}
        self.cut: list[str] = []
        self._host = host
        self._work_s = work_s
        self._record = record
        self._born_ms = int(time.time() * 1000)
        self._running: set[str] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        self._port = self._server.sockets[0].getsockname()[1]

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the engine's entry in the store."""
        return {
            "service": self.service,
            "address": f"{self._host}:{self._port}",
            "zone": "olympia",
            "version": "v1",
            "slots": 6,
            "state": state,
            "coldLeftMs": 0,
            "seq": 1,
            "born": self._born_ms,
        }

    def exit(self) -> None:
        """Exit: close the port and all connections."""
        self.cut = sorted(self._running)
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                arrived_at = time.monotonic()
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                fields = (line.partition(":") for line in lines[1:] if line)
                headers = {name.strip().lower(): value.strip() for name, _, value in fields}
                await reader.readexactly(int(headers.get("content-length", 0)))
                await self._run(method, target, headers, arrived_at, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        arrived_at: float,
        writer: asyncio.StreamWriter,
    ) -> None:
        request_id = headers.get("pearshed-request-id", "")
        if headers.get("pearshed-expect-instance", self.identity) != self.identity:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nPearshed-Request-Id: %s\r\n"
                b"Pearshed-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n"
                % (request_id.encode(), self.identity.encode())
            )
            return
        self.ran[request_id] = arrived_at
        self._record(request_id, f"{method} {target} arrives at {self.identity}")
        self._running.add(request_id)
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self._running.discard(request_id)
        body = f"answer to {request_id}".encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nPearshed-Request-Id: %s\r\n"
            b"Pearshed-Response-Signature: %s\r\nPearshed-Server-Load: %d,0,6\r\n"
            b"Content-Length: %d\r\n\r\n"
            % (request_id.encode(), self.identity.encode(), len(self._running), len(body))
            + body
        )
        await writer.drain()
