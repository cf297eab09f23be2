"""Crowds of clients that send more than they should, stop short, or don't read."""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from pearshed._internal.utils.addresses import Address

#: A client that doesn't read has as little room for what it gets as the kernel allows, bytes.
_UNREAD_BYTES = 4096
#: Time after which a crowd counts as settled if no client could send more, seconds.
_QUIET_S = 1.0
_QUIET_CHECK_INTERVAL_S = 0.1
#: Longest time in which a crowd sends, seconds.
_SENDING_S = 90.0
_CLIENTS_AT_ONCE = 50


@dataclass(frozen=True)
class Crowd:
    """Clients that all send the same, and stay.

    :ivar count: number of clients.
    :ivar content: creates what one client sends; at its end the client goes on waiting.
    :ivar reads: whether the clients read what they get.
    :ivar connections: connections that a client opens, one after the other, as each is closed.
    """

    name: str
    count: int
    content: Callable[[], Iterable[bytes]]
    reads: bool = True
    connections: int = 1


class _Connection(asyncio.Protocol):
    """A connection of one client."""

    def __init__(self, *, reads: bool) -> None:
        self._reads = reads
        self._writable = asyncio.Event()
        self._writable.set()
        self.transport: asyncio.Transport | None = None
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if not self._reads:
            transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = True
        self._writable.set()

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    async def send(self, content: bytes) -> None:
        """Send a piece, and wait while the server takes no more."""
        assert self.transport is not None
        if not self.ended:
            self.transport.write(content)
        await self._writable.wait()


class CrowdRun:
    """A crowd at an address."""

    def __init__(self, crowd: Crowd, address: Address) -> None:
        self._crowd = crowd
        self._address = address
        self._sent_bytes = 0
        self._connections: set[_Connection] = set()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def sent_bytes(self) -> int:
        """Bytes that the clients could send."""
        return self._sent_bytes

    async def start(self) -> None:
        """Let the clients send until they have sent all, or can't go on."""
        loop = asyncio.get_running_loop()
        gate = asyncio.Semaphore(_CLIENTS_AT_ONCE)
        self._tasks = [loop.create_task(self._run_client(gate)) for _ in range(self._crowd.count)]
        quiet_s, last_bytes = 0.0, -1
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_SENDING_S):
                while quiet_s < _QUIET_S and not all(task.done() for task in self._tasks):
                    quiet_s = 0.0 if self._sent_bytes > last_bytes else quiet_s
                    last_bytes = self._sent_bytes
                    await asyncio.sleep(_QUIET_CHECK_INTERVAL_S)
                    quiet_s += _QUIET_CHECK_INTERVAL_S

    def stop(self) -> None:
        """End all connections."""
        for task in self._tasks:
            task.cancel()
        for connection in self._connections:
            if connection.transport is not None and not connection.ended:
                connection.transport.abort()

    async def _run_client(self, gate: asyncio.Semaphore) -> None:
        for _ in range(self._crowd.connections):
            async with gate:
                connection = await self._connect()
            if connection is None:
                return
            for piece in self._crowd.content():
                await connection.send(piece)
                if connection.ended:
                    break
                self._sent_bytes += len(piece)
            if not connection.ended:
                return

    async def _connect(self) -> _Connection | None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        if not self._crowd.reads:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _UNREAD_BYTES)
        try:
            await loop.sock_connect(sock, (self._address.host, self._address.port))
            _, connection = await loop.create_connection(
                lambda: _Connection(reads=self._crowd.reads), sock=sock
            )
        except OSError:
            sock.close()
            return None
        self._connections.add(connection)
        return connection


def repeated(piece: bytes, size: int, batch: int = 64 * 1024) -> Iterator[bytes]:
    """Yield a piece again and again, in batches.

    :param size: bytes in all; the last piece is whole.
    :param batch: bytes of a batch.
    """
    per_batch = max(1, batch // len(piece))
    left = -(-size // len(piece))
    while left > 0:
        count = min(left, per_batch)
        yield piece * count
        left -= count
