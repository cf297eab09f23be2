"""A loopback datagram relay that injects loss, delay and duplicates."""

import asyncio
import random
from typing import cast

from pearshed._internal.utils.addresses import Address

_Peer = tuple[str, int]


class DatagramRelay(asyncio.DatagramProtocol):
    """Forwards datagrams between many peers and one target.

    The target sees each peer's own host, with a port of the relay.

    :param rng: chooses the affected datagrams.
    :ivar loss_rate: share of the datagrams that is discarded, in both directions.
    :ivar duplicate_rate: share of the datagrams that is sent twice.
    :ivar max_delay_s: upper bound of the random delay, which can reorder datagrams.
    """

    def __init__(self, listen: Address, target: Address, rng: random.Random) -> None:
        self.listen = listen
        self.target = target
        self.loss_rate = 0.0
        self.duplicate_rate = 0.0
        self.max_delay_s = 0.0
        self._rng = rng
        self._peer_transport: asyncio.DatagramTransport | None = None
        self._target_transports: dict[_Peer, asyncio.DatagramTransport] = {}
        self._open_tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(self.listen.host, self.listen.port)
        )

    def stop(self) -> None:
        """Close all sockets."""
        for transport in (self._peer_transport, *self._target_transports.values()):
            if transport is not None:
                transport.close()

    def clear_faults(self) -> None:
        """End all faults."""
        self.loss_rate = self.duplicate_rate = self.max_delay_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the socket that peers send to."""
        self._peer_transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: _Peer) -> None:
        """Forward a peer's datagram to the target."""
        target_transport = self._target_transports.get(addr)
        if target_transport is not None:
            self._forward(target_transport, data, (self.target.host, self.target.port))
            return
        open_task = asyncio.ensure_future(self._open_target_transport(addr, data))
        self._open_tasks.add(open_task)
        open_task.add_done_callback(self._open_tasks.discard)

    async def _open_target_transport(self, peer: _Peer, data: bytes) -> None:
        if peer not in self._target_transports:
            transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: _TargetProtocol(self, peer), local_addr=(peer[0], 0)
            )
            self._target_transports[peer] = transport
        self.datagram_received(data, peer)

    def send_to_peer(self, data: bytes, peer: _Peer) -> None:
        """Forward the target's datagram to a peer."""
        if self._peer_transport is not None:
            self._forward(self._peer_transport, data, peer)

    def _forward(
        self, transport: asyncio.DatagramTransport, data: bytes, destination: _Peer
    ) -> None:
        if self._rng.random() < self.loss_rate:
            return
        copies = 2 if self._rng.random() < self.duplicate_rate else 1
        for _ in range(copies):
            if self.max_delay_s:
                delay_s = self._rng.uniform(0.0, self.max_delay_s)
                asyncio.get_running_loop().call_later(delay_s, _send, transport, data, destination)
            else:
                _send(transport, data, destination)


class _TargetProtocol(asyncio.DatagramProtocol):
    """Receives the datagrams that the target sends to one peer."""

    def __init__(self, relay: DatagramRelay, peer: _Peer) -> None:
        self._relay = relay
        self._peer = peer

    def datagram_received(self, data: bytes, addr: _Peer) -> None:
        """Forward the datagram to the peer."""
        del addr
        self._relay.send_to_peer(data, self._peer)


def _send(transport: asyncio.DatagramTransport, data: bytes, destination: _Peer) -> None:
    if not transport.is_closing():
        transport.sendto(data, destination)
