"""A listening socket that can stop without losing connections that callers have opened."""

import asyncio
import contextlib
import socket
from collections.abc import Callable

from absl import logging

from pearshed._internal.errors import AddressInUseError
from pearshed._internal.utils.addresses import Address
from pearshed._internal.utils.sockets import HANDSHAKE_S, drop_new_connections

LISTEN_BACKLOG = 1024
#: Connections accepted in one turn of the event loop; those that exceed the room are ended in the
#: next one, and until then each has a descriptor.
ACCEPTED_AT_ONCE = 32

ProtocolFactory = Callable[[], asyncio.BaseProtocol]


class Listener:
    """Accepts connections until it is closed."""

    def __init__(
        self, sock: socket.socket, server: asyncio.Server, create_connection: ProtocolFactory
    ) -> None:
        self._socket = sock
        self._server = server
        self._create_connection = create_connection

    @property
    def address(self) -> Address:
        """The bound address."""
        host, port = self._socket.getsockname()[:2]
        return Address(host, port)

    @classmethod
    async def open(cls, address: Address, create_connection: ProtocolFactory) -> "Listener":
        """Listen on an address.

        :raises AddressInUseError: when the address can't be bound.
        """
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        try:
            sock = socket.create_server(
                (address.host, address.port), family=family, backlog=LISTEN_BACKLOG
            )
            server = await asyncio.get_running_loop().create_server(
                create_connection, sock=sock, backlog=ACCEPTED_AT_ONCE
            )
            # The event loop has set the length of the kernel's queue to the same number.
            sock.listen(LISTEN_BACKLOG)
        except OSError as error:
            raise AddressInUseError(
                f"can't listen on {address}",
                context=[str(error)],
                hint="the port may be in use, or the IP address may not belong to this machine",
            ) from error
        return cls(sock, server, create_connection)

    async def stop(self) -> None:
        """Accept the connections that are established in the kernel, then stop listening.

        Closing the socket alone would reset them, with the requests that callers have sent.
        """
        loop = asyncio.get_running_loop()
        drop_new_connections(self._socket)
        await asyncio.sleep(HANDSHAKE_S)
        loop.remove_reader(self._socket.fileno())
        # Connections accepted in the last turn of the event loop need the server until the next.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        accepted: list[socket.socket] = []
        with contextlib.suppress(BlockingIOError):
            while True:
                accepted.append(self._socket.accept()[0])
                accepted[-1].setblocking(False)
        self._server.close()
        for connection in accepted:
            try:
                await loop.connect_accepted_socket(self._create_connection, connection)
            except OSError as error:
                logging.info("connection.lost", extra={"fields": {"reason": str(error)}})

    def close(self) -> None:
        """Stop listening at once."""
        self._server.close()
