"""A stand-in for the platform's store, and a proxy that lets its connections fall silent."""

import asyncio
import base64
import json
import time
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit


@dataclass(frozen=True)
class Copy:
    """What the store held at a moment."""

    items: dict[str, tuple[bytes, int, int]]
    revision: int


class Store:
    """Items with revisions and a change history, as PROTOCOL.md describes them."""

    def __init__(self) -> None:
        self._era = 1
        self._away = False
        self._known_since = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._items: dict[str, tuple[bytes, int, int]] = {}
        self._history: list[tuple[int, str, bytes | None, int]] = []
        self._revision = 1
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> tuple[str, int]:
        """Listen on a free port; return the address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        return self._server.sockets[0].getsockname()[:2]

    def put(self, key: str, document: Any) -> float:
        """Write an item; return when the store has accepted it."""
        value = json.dumps(document).encode()
        self._revision += 1
        created = self._items[key][2] if key in self._items else self._revision
        self._items[key] = (value, self._revision, created)
        return self._record(key, value, created)

    def delete(self, key: str) -> float:
        """Remove an item; return when the store has accepted it."""
        self._revision += 1
        del self._items[key]
        return self._record(key, None, 0)

    def copy(self) -> Copy:
        """Copy what the store holds now."""
        return Copy(dict(self._items), self._revision)

    def go_away(self) -> None:
        """Reset all connections, and those that are opened from now on."""
        self._away = True
        for writer in tuple(self._writers):
            writer.transport.abort()

    def come_back(self, copy: Copy) -> float:
        """Come back from a copy, as in a drill (letter 4); return when."""
        self._items, self._revision = dict(copy.items), copy.revision
        self._history.clear()
        self._known_since = copy.revision
        self._era += 1
        self._away = False
        return time.monotonic()

    def _record(self, key: str, value: bytes | None, created: int) -> float:
        self._history.append((self._revision, key, value, created))
        self._changed.set()
        self._changed = asyncio.Event()
        return time.monotonic()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._away:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                status, document = await self._respond(head.split(b" ")[1].decode())
                body = json.dumps(document).encode()
                writer.write(
                    b"HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
                    b"Store-Era: %d\r\nContent-Length: %d\r\n\r\n" % (status, self._era, len(body))
                    + body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(self, target: str) -> tuple[int, dict[str, Any]]:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/v1/kv-key":
            if query["key"] not in self._items:
                return 404, {"storeRevision": self._revision}
            return 200, {**self._encode(query["key"]), "storeRevision": self._revision}
        if parts.path == "/v1/kv-range":
            after, prefix = query.get("sinceRev", ""), query.get("pathPrefix", "")
            keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
            return 200, {
                "items": [self._encode(key) for key in keys[:500]],
                "truncated": len(keys) > 500,
                "storeRevision": self._revision,
            }
        if parts.path == "/v1/kv-watch":
            if not self._known_since <= int(query["sinceRev"]) <= self._revision:
                return 410, {}
            return 200, await self._watch(query)
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        since, prefix = int(query["sinceRev"]), query.get("pathPrefix", "")
        until = time.monotonic() + min(30_000, int(query["waitMs"])) / 1000
        while True:
            changed = self._changed
            events = [
                (
                    {"key": key, "revision": revision, "deleted": True}
                    if value is None
                    else _encode(key, value, revision, created)
                )
                for revision, key, value, created in self._history
                if revision > since and key.startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "storeRevision": self._revision}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass

    def _encode(self, key: str) -> dict[str, Any]:
        return _encode(key, *self._items[key])


def _encode(key: str, value: bytes, revision: int, created: int) -> dict[str, Any]:
    text = base64.b64encode(value).decode()
    return {"key": key, "value": text, "revision": revision, "created": created, "lease": 0}


class SilencingProxy:
    """Forwards connections; those that are open can be silenced for good, new ones work.

    :ivar requested_at: clock reading at which something was last sent to the target.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.requested_at = float("-inf")
        self._target = target
        self._forwarders: set[asyncio.Task[None]] = set()
        self._kept: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> tuple[str, int]:
        """Listen on a free port; return the address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        return self._server.sockets[0].getsockname()[:2]

    def silence(self) -> int:
        """Forward nothing more on the open connections, and leave them open; return how many."""
        for task in self._forwarders:
            task.cancel()
        return len(self._forwarders) // 2

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        other_reader, other_writer = await asyncio.open_connection(*self._target)
        # Kept, so that a silenced connection is neither closed nor reset.
        self._kept += [writer, other_writer]
        for source, sink in ((reader, other_writer), (other_reader, writer)):
            task = asyncio.get_running_loop().create_task(self._forward(source, sink))
            self._forwarders.add(task)
            task.add_done_callback(self._forwarders.discard)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = writer.get_extra_info("peername")
        try:
            while content := await reader.read(65536):
                if peer == tuple(self._target):
                    self.requested_at = time.monotonic()
                writer.write(content)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()
