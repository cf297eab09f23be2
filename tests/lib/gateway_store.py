"""A stand-in for the platform's key-value store, on loopback."""

import asyncio
import base64
import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from pearshed._internal.utils.addresses import Address

#: Interval between pieces of a rate-limited response, seconds.
_PIECE_INTERVAL_S = 0.05
_ENDLESS_CHUNK_BYTES = 64 * 1024


@dataclass
class _Item:
    value: bytes
    revision: int


@dataclass(frozen=True)
class StoreCopy:
    """What the store held at a moment."""

    items: dict[str, _Item]
    revision: int


@dataclass
class StoreStandIn:
    """The store: items, a change history, and faults that tests switch on.

    :ivar refuse_with: error status of every response; 0 to serve requests.
    :ivar refuse_every: n, if every n-th call gets a 429; 0 for none.
    :ivar endless: bytes of each response, which are no JSON, until the connection is closed; 0 for
        none.
    :ivar hang: requests get no response while it is set.
    :ivar bytes_per_s: rate at which responses are sent; 0 for no limit.
    :ivar stall_after_bytes: bytes of a response after which no more follow; 0 for all of them.
    :ivar era: rises by one each time that the store comes back from a copy.
    :ivar page_size: maximum number of items in a range response.
    :ivar calls: targets of all requests.
    """

    refuse_with: int = 0
    refuse_every: int = 0
    endless: int = 0
    hang: bool = False
    bytes_per_s: int = 0
    stall_after_bytes: int = 0
    page_size: int = 2
    era: int = 1
    calls: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._items: dict[str, _Item] = {}
        self._history: list[tuple[int, str, bytes | None]] = []
        self._compacted_revision = 0
        self._revision = 1
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = Address("127.0.0.1", 0)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = Address("127.0.0.1", self._server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Stop listening and reset the connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def put(self, key: str, document: Any) -> None:
        """Write an item: bytes unchanged, anything else as JSON."""
        value = document if isinstance(document, bytes) else json.dumps(document).encode()
        self._revision += 1
        self._items[key] = _Item(value, self._revision)
        self._record_change(key, value)

    def delete(self, key: str) -> None:
        """Delete an item."""
        self._revision += 1
        del self._items[key]
        self._record_change(key, None)

    def compact(self) -> None:
        """Delete the change history."""
        self._history.clear()
        self._compacted_revision = self._revision

    def copy(self) -> "StoreCopy":
        """Copy what the store holds now."""
        return StoreCopy(dict(self._items), self._revision)

    def restore(self, copy: "StoreCopy") -> None:
        """Come back from a copy: revisions go back and are given out again, watches get 410."""
        self.era += 1
        self._items = dict(copy.items)
        self._revision = copy.revision
        self._history.clear()
        self._compacted_revision = self._revision
        self.reset_connections()

    def _record_change(self, key: str, value: bytes | None) -> None:
        self._history.append((self._revision, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                self.calls.append(target)
                while self.hang:
                    await asyncio.sleep(0.01)
                if self.endless:
                    await send_endless(writer, self.endless)
                    continue
                status, document = await self._respond(target)
                body = json.dumps(document).encode()
                writer.write(
                    b"HTTP/1.1 %d Status\r\nContent-Length: %d\r\nStore-Era: %d\r\n\r\n"
                    % (status, len(body), self.era)
                )
                await self._send_body(writer, body)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _send_body(self, writer: asyncio.StreamWriter, body: bytes) -> None:
        if self.stall_after_bytes and len(body) > self.stall_after_bytes:
            writer.write(body[: self.stall_after_bytes])
            await asyncio.Event().wait()
        while self.bytes_per_s and body:
            piece_bytes = max(1, int(self.bytes_per_s * _PIECE_INTERVAL_S))
            writer.write(body[:piece_bytes])
            body = body[piece_bytes:]
            await writer.drain()
            await asyncio.sleep(_PIECE_INTERVAL_S)
        writer.write(body)

    async def _respond(self, target: str) -> tuple[int, dict[str, Any]]:
        if self.refuse_with:
            return self.refuse_with, {"error": "rejected"}
        if self.refuse_every and len(self.calls) % self.refuse_every == 0:
            return 429, {"error": "too many calls"}
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/v1/kv-key":
            item = self._items.get(query["key"])
            if item is None:
                return 404, {"storeRevision": self._revision}
            return 200, {**_encode_item(query["key"], item), "storeRevision": self._revision}
        if parts.path == "/v1/kv-range":
            return 200, self._range(query)
        return await self._watch(query)

    def _range(self, query: Mapping[str, str]) -> dict[str, Any]:
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query["pathPrefix"]) and key > query.get("sinceRev", "")
        )
        page = keys[: self.page_size]
        return {
            "items": [_encode_item(key, self._items[key]) for key in page],
            "truncated": len(keys) > len(page),
            "storeRevision": self._revision,
        }

    async def _watch(self, query: Mapping[str, str]) -> tuple[int, dict[str, Any]]:
        since = int(query["sinceRev"])
        if since < self._compacted_revision or since > self._revision:
            return 410, {"error": "compacted"}
        changed = self._changed
        if self._revision <= since:
            try:
                await asyncio.wait_for(changed.wait(), int(query["waitMs"]) / 1000)
            except TimeoutError:
                pass
        events = [
            (
                {"key": key, "revision": revision, "deleted": True}
                if value is None
                else _encode_item(key, _Item(value, revision))
            )
            for revision, key, value in self._history
            if revision > since
        ]
        return 200, {"events": events, "storeRevision": self._revision}


async def send_endless(writer: asyncio.StreamWriter, size: int) -> None:
    """Send a response in chunks that are no JSON, without its end."""
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for _ in range(size // _ENDLESS_CHUNK_BYTES):
        writer.write(b"%x\r\n%s\r\n" % (_ENDLESS_CHUNK_BYTES, b"x" * _ENDLESS_CHUNK_BYTES))
        await writer.drain()


def _encode_item(key: str, item: _Item) -> dict[str, Any]:
    value = base64.b64encode(item.value).decode()
    return {"key": key, "value": value, "revision": item.revision, "created": 1, "lease": 0}
