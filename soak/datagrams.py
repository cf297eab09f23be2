"""A loopback relay of datagrams that loses, delays and repeats them on request."""

import asyncio
import random
from typing import cast

from pearshed._internal.utils.addresses import Address

_Peer = tuple[str, int]


class DatagramRelay(asyncio.DatagramProtocol):
    """Passes datagrams on between many peers and one target.

    The target sees each peer's own host, with a port of the relay's.

    :param source: decides which datagrams are harmed.
    :ivar lost_share: datagrams that vanish, either way.
    :ivar repeated_share: datagrams that come twice.
    :ivar delay_s: longest time for which a datagram is held; later ones may overtake it.
    """

    def __init__(self, listen: Address, target: Address, source: random.Random) -> None:
        self.listen = listen
        self.target = target
        self.lost_share = 0.0
        self.repeated_share = 0.0
        self.delay_s = 0.0
        self._random = source
        self._transport: asyncio.DatagramTransport | None = None
        self._ways: dict[_Peer, asyncio.DatagramTransport] = {}
        self._opening: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(self.listen.host, self.listen.port)
        )

    def stop(self) -> None:
        """Close all sockets."""
        for transport in (self._transport, *self._ways.values()):
            if transport is not None:
                transport.close()

    def heal(self) -> None:
        """End all harm."""
        self.lost_share = self.repeated_share = self.delay_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket towards the peers."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: _Peer) -> None:
        """Pass a peer's datagram on to the target."""
        way = self._ways.get(addr)
        if way is not None:
            self._pass_on(way, data, (self.target.host, self.target.port))
            return
        opening = asyncio.ensure_future(self._open(addr, data))
        self._opening.add(opening)
        opening.add_done_callback(self._opening.discard)

    async def _open(self, peer: _Peer, data: bytes) -> None:
        if peer not in self._ways:
            transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: _WayBack(self, peer), local_addr=(peer[0], 0)
            )
            self._ways[peer] = transport
        self.datagram_received(data, peer)

    def answer(self, data: bytes, peer: _Peer) -> None:
        """Pass the target's datagram on to a peer."""
        if self._transport is not None:
            self._pass_on(self._transport, data, peer)

    def _pass_on(self, transport: asyncio.DatagramTransport, data: bytes, to: _Peer) -> None:
        if self._random.random() < self.lost_share:
            return
        copies = 2 if self._random.random() < self.repeated_share else 1
        for _ in range(copies):
            if self.delay_s:
                delay_s = self._random.uniform(0.0, self.delay_s)
                asyncio.get_running_loop().call_later(delay_s, _send, transport, data, to)
            else:
                _send(transport, data, to)


class _WayBack(asyncio.DatagramProtocol):
    """Takes what the target sends to one peer."""

    def __init__(self, relay: DatagramRelay, peer: _Peer) -> None:
        self._relay = relay
        self._peer = peer

    def datagram_received(self, data: bytes, addr: _Peer) -> None:
        """Pass it on."""
        del addr
        self._relay.answer(data, self._peer)


def _send(transport: asyncio.DatagramTransport, data: bytes, to: _Peer) -> None:
    if not transport.is_closing():
        transport.sendto(data, to)
