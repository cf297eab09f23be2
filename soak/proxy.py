"""A loopback TCP proxy that injects connection faults."""

import asyncio
import random

from pearshed._internal.utils.addresses import Address
from tests.lib.gateway_platform import reset

_CHUNK_BYTES = 16 * 1024


class Proxy:
    """Forwards connections from one address to another.

    :ivar delay_s: time by which each chunk is delayed.
    :ivar drop_forward: discard bytes towards the target.
    :ivar drop_back: discard bytes from the target.
    :ivar refuse_connections: reset new connections.
    """

    def __init__(self, listen: Address, target: Address) -> None:
        self.address = listen
        self.target = target
        self.delay_s = 0.0
        self.drop_forward = False
        self.drop_back = False
        self.refuse_connections = False
        self._server: asyncio.Server | None = None
        self._pairs: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._accept, self.address.host, self.address.port
        )
        self.address = Address(self.address.host, self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset(1.0, random.Random(0))
        for task in tuple(self._tasks):
            task.cancel()

    def clear_faults(self) -> None:
        """End all faults; bytes that were discarded stay lost."""
        self.delay_s = 0.0
        self.drop_forward = self.drop_back = self.refuse_connections = False

    def reset(self, share: float, rng: random.Random) -> None:
        """Reset a share of the open connections."""
        for pair in sorted(self._pairs, key=id):
            if rng.random() < share:
                for writer in pair:
                    reset(writer)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.refuse_connections:
            reset(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.target.host, self.target.port
            )
        except OSError:
            reset(writer)
            return
        pair = (writer, target_writer)
        self._pairs.add(pair)
        forward = asyncio.create_task(self._relay(reader, target_writer, forward=True))
        back = asyncio.create_task(self._relay(target_reader, writer, forward=False))
        self._tasks.update((forward, back))
        await asyncio.wait((forward, back), return_when=asyncio.ALL_COMPLETED)
        self._tasks.difference_update((forward, back))
        self._pairs.discard(pair)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, forward: bool
    ) -> None:
        bytes_lost = False
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self.drop_forward if forward else self.drop_back:
                    bytes_lost = True
                    continue
                writer.write(chunk)
                await writer.drain()
            if bytes_lost:
                # TCP delivers the end of a connection only after all bytes before it.
                reset(writer)
            else:
                writer.close()
        except (OSError, asyncio.CancelledError):
            reset(writer)
