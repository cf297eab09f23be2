"""The gRPC server for entries, whose connections are accounted for."""

import asyncio
from collections.abc import Collection
from typing import Any

import grpclib.server
from grpclib.protocol import H2Protocol

from pearshed._internal.decisions.ending_order import Holding, HoldingStage
from pearshed._internal.http.listener import ACCEPTED_AT_ONCE
from pearshed._internal.peers.transport import connection_configuration
from pearshed._internal.resources.account import Holder, ResourceAccount
from pearshed._internal.timers import clock
from pearshed._internal.utils.addresses import Address

#: Memory of a connection with the state of HTTP/2, bytes.
_CONNECTION_BYTES = 64 * 1024


class _PeerConnection(H2Protocol, Holder):
    """A connection of an entry; one without a call is ended when there are too many."""

    def __init__(self, account: ResourceAccount, *args: Any) -> None:
        super().__init__(*args)
        self._account = account
        self._transport: asyncio.Transport | None = None
        self._received_bytes = 0
        self._begun_at = self._progressed_at = clock.now()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the account."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        super().connection_made(transport)
        self._account.open(self)

    def data_received(self, data: bytes) -> None:
        """Record that the peer has sent something."""
        self._received_bytes += len(data)
        self._progressed_at = clock.now()
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection from the account."""
        self._account.close(self)
        super().connection_lost(exc)

    def holding(self) -> "Holding[Holder]":
        """Return what the connection holds."""
        has_call = bool(self.processor.streams)
        return Holding(
            self,
            HoldingStage.SERVING if has_call else HoldingStage.IDLE,
            _CONNECTION_BYTES,
            _CONNECTION_BYTES,
            self._received_bytes,
            self._begun_at,
            self._progressed_at,
        )

    def end_for_lack_of_room(self) -> None:
        """Reset the connection, which has no call."""
        self._account.close(self)
        if self._transport is not None:
            self._transport.abort()


class PeerServer(grpclib.server.Server):
    """Serves entries.

    :param handlers: of the calls.
    :param account: charged with the connections.
    """

    def __init__(self, handlers: Collection[Any], account: ResourceAccount) -> None:
        super().__init__(handlers, config=connection_configuration())
        self._account = account

    async def listen(self, address: Address, tls: Any) -> None:
        """Listen on an address.

        :param tls: context for TLS; ``None`` for plaintext.
        :raises OSError: when the address can't be bound.
        """
        await self.start(address.host, address.port, ssl=tls, backlog=ACCEPTED_AT_ONCE)

    def _protocol_factory(self) -> H2Protocol:
        created = super()._protocol_factory()
        return _PeerConnection(self._account, created.handler, created.config, created.h2_config)
