"""Stand-ins for the platform's store, for engines of a plain service, and for another writer."""

import asyncio
import base64
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from lib import wire

HEARTBEAT_S = 1.2
_PAGE_ITEMS = 500
Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class _Server:
    """Listens on one loopback address."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.port = 0
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def address(self) -> str:
        """IP address and port."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen on a free port, or again on the one that it had."""
        self._server = await asyncio.start_server(self._accept, self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and reset the connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections."""
        for writer in tuple(self.writers):
            wire.reset(writer)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.CancelledError, OSError):
            pass
        finally:
            self._tasks.discard(task)
            self.writers.discard(writer)
            writer.close()


@dataclass
class _Item:
    value: bytes
    revision: int
    created: int


@dataclass(frozen=True)
class StoreCopy:
    """What the store held at a moment."""

    items: dict[str, _Item]
    revision: int


class Store(_Server):
    """The platform's store, read by the system and written by the test.

    :ivar away: it takes neither calls nor writes.
    """

    def __init__(self, host: str = "127.0.0.1") -> None:
        super().__init__(host)
        self._items: dict[str, _Item] = {}
        self._history: list[tuple[int, str, bytes | None]] = []
        self._known_since = 0
        self._revision = 1
        self._era = 1
        self._changed = asyncio.Event()
        self.away = False

    def copy(self) -> StoreCopy:
        """Copy what it holds now."""
        return StoreCopy(dict(self._items), self._revision)

    def leave(self) -> None:
        """Go away: connections are refused."""
        self.away = True
        self.stop()

    async def come_back(self, copy: StoreCopy) -> None:
        """Come back from a copy: revisions go back, and the era rises by one."""
        self._era += 1
        self._items, self._revision = dict(copy.items), copy.revision
        self._history.clear()
        self._known_since = copy.revision
        self.away = False
        await self.start()

    def put(self, key: str, document: Any) -> None:
        """Write an item, as JSON; nothing is written while the store is away."""
        if self.away:
            return
        value = json.dumps(document).encode()
        self._revision += 1
        created = self._items[key].created if key in self._items else self._revision
        self._items[key] = _Item(value, self._revision, created)
        self._record(key, value)

    def delete(self, key: str) -> None:
        """Delete an item."""
        self._revision += 1
        del self._items[key]
        self._record(key, None)

    def _record(self, key: str, value: bytes | None) -> None:
        self._history.append((self._revision, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer reads and watches."""
        while (request := await wire.read_request(reader)) is not None:
            status, document = await self._answer(request.start[1])
            headers = {"Content-Type": "application/json", "Store-Era": str(self._era)}
            body = json.dumps({**document, "storeRevision": self._revision}).encode()
            await asyncio.sleep(0.004)
            writer.write(wire.encode(f"HTTP/1.1 {status} Status", headers, body))

    async def _answer(self, target: str) -> tuple[int, dict[str, Any]]:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/v1/kv-key":
            item = self._items.get(query["key"])
            return (200, _encode(query["key"], item)) if item is not None else (404, {})
        if parts.path == "/v1/kv-range":
            first = query.get("sinceRev", "")
            prefix = query["pathPrefix"]
            keys = sorted(key for key in self._items if key.startswith(prefix) and key > first)
            page = [_encode(key, self._items[key]) for key in keys[:_PAGE_ITEMS]]
            return 200, {"items": page, "truncated": len(keys) > _PAGE_ITEMS}
        if parts.path == "/v1/kv-watch":
            if not self._known_since <= int(query["sinceRev"]) <= self._revision:
                return 410, {}
            return 200, {"events": await self._watch(query)}
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> list[dict[str, Any]]:
        since, prefix = int(query["sinceRev"]), query.get("pathPrefix", "")
        ends_at = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [
                (
                    {"key": key, "revision": revision, "deleted": True}
                    if value is None
                    else _encode(key, _Item(value, revision, revision))
                )
                for revision, key, value in self._history
                if revision > since and key.startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return events
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass


def _encode(key: str, item: _Item) -> dict[str, Any]:
    value = base64.b64encode(item.value).decode()
    fields = {"key": key, "value": value, "revision": item.revision}
    return {**fields, "created": item.created, "lease": 0}


@dataclass
class Run:
    """A request that a server received.

    :ivar executed: the server worked on it; otherwise it was turned away.
    """

    request_id: str
    server: str
    method: str
    at: float
    executed: bool
    headers: dict[str, str] = field(repr=False, default_factory=dict)


class PlainEngine(_Server):
    """An engine of a plain service: slots, a short queue, a signature, heartbeats.

    :param log: gets each request that arrives.
    """

    def __init__(
        self, store: Store, identity: str, service: str, zone: str, host: str, log: list[Run]
    ) -> None:
        super().__init__(host)
        self.identity = identity
        self._store = store
        self._service = service
        self._zone = zone
        self._log = log
        self._slots = 6
        self._queue = 24
        self._work_s = 0.09
        self._free = asyncio.Semaphore(self._slots)
        self._waiting = 0
        self._seq = 0
        self._born = time.time_ns() // 1_000_000
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and register in the store."""
        await super().start()
        self._beats = asyncio.create_task(self._beat())

    def stop(self) -> None:
        """Stop."""
        if self._beats is not None:
            self._beats.cancel()
        super().stop()

    async def _beat(self) -> None:
        while True:
            self._seq += 1
            entry = {
                "service": self._service,
                "address": self.address,
                "zone": self._zone,
                "version": "v1",
                "slots": self._slots,
                "state": "ready",
                "coldLeftMs": 0,
                "seq": self._seq,
                "born": self._born,
            }
            self._store.put(f"servers/{self.identity}", entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request after the other."""
        while (request := await wire.read_request(reader)) is not None:
            writer.write(await self._answer(request))

    async def _answer(self, request: wire.Message) -> bytes:
        request_id = request.headers.get("pearshed-request-id", "")
        if request.headers.get("pearshed-expect-instance", self.identity) != self.identity:
            self._record(request, executed=False)
            headers = {"Pearshed-Instance-Id": self.identity}
            return wire.encode("HTTP/1.1 421 Misdirected Request", headers)
        echo = {"Pearshed-Request-Id": request_id, "Pearshed-Server-Load": self._load}
        if not request_id or self._waiting >= self._queue:
            self._record(request, executed=False)
            status = "503 Service Unavailable" if request_id else "400 Bad Request"
            return wire.encode(f"HTTP/1.1 {status}", {**echo, "Pearshed-Not-Executed": "1"})
        self._waiting += 1
        async with self._free:
            self._waiting -= 1
            self._record(request, executed=True)
            await asyncio.sleep(self._work_s)
        echo |= {"Pearshed-Response-Signature": f"{self.identity}.{request_id}"}
        return wire.encode("HTTP/1.1 200 OK", echo, engine_body(request_id))

    @property
    def _load(self) -> str:
        return f"{self._slots - self._free._value},{self._waiting},{self._slots}"

    def _record(self, request: wire.Message, *, executed: bool) -> None:
        request_id = request.headers.get("pearshed-request-id", "")
        run = Run(request_id, self.identity, request.start[0], time.monotonic(), executed)
        run.headers = request.headers
        self._log.append(run)


def engine_body(request_id: str) -> bytes:
    """Return the body with which an engine answers a request."""
    return (f"answer to {request_id} " * 40).encode()[:800]


class OtherServer(_Server):
    """A sound HTTP server that is no engine of the system: it knows none of the system's paths.

    :param log: gets each request that arrives.
    """

    def __init__(self, host: str, log: list[Run]) -> None:
        super().__init__(host)
        self._log = log

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer 404 to every request."""
        while (request := await wire.read_request(reader)) is not None:
            request_id = request.headers.get("pearshed-request-id", "")
            self._log.append(
                Run(request_id, "other", request.start[0], time.monotonic(), False, request.headers)
            )
            echo = {"Pearshed-Request-Id": request_id} if request_id else {}
            writer.write(wire.encode("HTTP/1.1 404 Not Found", echo, b"no such page\n"))
