"""A loopback proxy that harms connections on request."""

import asyncio
import random

from pearshed._internal.utils.addresses import Address

_PIECE_BYTES = 16 * 1024


class Proxy:
    """Forwards connections from one address to another.

    :ivar delay_s: time for which each piece is held.
    :ivar silent_forward: bytes towards the target vanish.
    :ivar silent_back: bytes from the target vanish.
    :ivar refuses: new connections are reset.
    """

    def __init__(self, listen: Address, target: Address) -> None:
        self.address = listen
        self.target = target
        self.delay_s = 0.0
        self.silent_forward = False
        self.silent_back = False
        self.refuses = False
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
        """Stop listening and reset everything."""
        if self._server is not None:
            self._server.close()
        self.reset(1.0, random.Random(0))
        for task in tuple(self._tasks):
            task.cancel()

    def heal(self) -> None:
        """End all harm but what connections have lost."""
        self.delay_s = 0.0
        self.silent_forward = self.silent_back = self.refuses = False

    def reset(self, share: float, source: random.Random) -> None:
        """Reset a share of the open connections."""
        for pair in sorted(self._pairs, key=id):
            if source.random() < share:
                for writer in pair:
                    writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.refuses:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self.target.host, self.target.port
            )
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, far_writer)
        self._pairs.add(pair)
        forward = asyncio.create_task(self._pump(reader, far_writer, forward=True))
        back = asyncio.create_task(self._pump(far_reader, writer, forward=False))
        self._tasks.update((forward, back))
        await asyncio.wait((forward, back), return_when=asyncio.ALL_COMPLETED)
        self._tasks.difference_update((forward, back))
        self._pairs.discard(pair)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, forward: bool
    ) -> None:
        try:
            while piece := await reader.read(_PIECE_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self.silent_forward if forward else self.silent_back:
                    continue
                writer.write(piece)
                await writer.drain()
            writer.close()
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
