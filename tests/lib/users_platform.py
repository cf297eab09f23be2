"""Stand-ins of the users' platform: its store, its engines, and a caller; all on loopback."""

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from pearshed._internal.utils.addresses import Address

HOST = "rota.example"
API_KEY = "key-of-the-guild"
SIGNATURE = "signed-by-the-engine"


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Make a route of the configuration as the operator publishes it."""
    return {
        "name": name,
        "hostname": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 5000,
        "targetLatencyMs": 1000,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
        **more,
    }


def configuration(version: int, **more: Any) -> dict[str, Any]:
    """Make a configuration with one route of each kind."""
    return {
        "version": version,
        "routes": [
            route("lookup", "idempotent", "ledger"),
            route("confirm", "non_idempotent", "ledger", maxAttempts=1),
            route("draft", "streaming", "fleet", resumable=True, targetGapMs=800),
            route("explain", "streaming", "fleet", maxAttempts=1, targetGapMs=300),
            route("open", "idempotent", "ledger", public=True),
        ],
        "services": [
            {"name": "ledger", "healthPath": "/healthz", "maxConns": 100, "protocol": "h1"},
            {"name": "fleet", "healthPath": "/healthz", "maxConns": 100, "protocol": "h1"},
        ],
        "limits": {
            "maxHeaderBytes": 4096,
            "maxBodyBytes": 65536,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "guild", "apiKeys": [API_KEY], "priority": 1}],
        **more,
    }


@dataclass
class EngineRequest:
    """A request as an engine saw it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """The caller's id."""
        return self.headers.get("pearshed-request-id", "")


class EngineConnection:
    """An engine's end of a connection, for scripts that answer in unusual ways."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    async def read_request(self) -> EngineRequest | None:
        """Read one request; nothing at the end of the connection."""
        try:
            head = await self._reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ")
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:] if line)
        }
        body = await self._reader.readexactly(int(headers.get("content-length", 0)))
        return EngineRequest(method, target, headers, body)

    def send(self, content: bytes) -> None:
        """Send bytes as they are."""
        self._writer.write(content)

    def answer(
        self,
        request: EngineRequest,
        status: int = 200,
        body: bytes = b"done",
        headers: Mapping[str, str] | None = None,
        request_id: str | None = None,
    ) -> None:
        """Send a whole answer, signed unless the headers say otherwise."""
        named = {
            "Pearshed-Request-Id": request_id or request.request_id,
            "Pearshed-Response-Signature": SIGNATURE,
            "Content-Length": str(len(body)),
            **(headers or {}),
        }
        lines = "".join(f"{name}: {value}\r\n" for name, value in named.items() if value)
        self.send(f"HTTP/1.1 {status} Status\r\n{lines}\r\n".encode() + body)

    def begin_stream(self, request: EngineRequest) -> None:
        """Send the head of a stream."""
        self.answer(
            request,
            body=b"",
            headers={
                "Content-Length": "",
                "Transfer-Encoding": "chunked",
                "Content-Type": "text/event-stream",
            },
        )

    def send_event(self, number: int, cut: int = 0) -> None:
        """Send one event.

        :param cut: bytes of it that are left out.
        """
        event = f"id: {number}\ndata: piece-{number}\n\n".encode()
        event = event[: len(event) - cut]
        self.send(b"%x\r\n%s\r\n" % (len(event), event))

    def end_stream(self) -> None:
        """End the stream as complete."""
        self.send(b"0\r\n\r\n")

    async def closed(self) -> None:
        """Wait until the other end closes."""
        try:
            while await self._reader.read(1024):
                pass
        except ConnectionError:
            pass

    def close(self) -> None:
        """Close after what was sent."""
        self._writer.close()

    def reset(self) -> None:
        """Reset the connection."""
        self._writer.transport.abort()


Script = Callable[[EngineConnection, EngineRequest], Awaitable[None]]


async def answer_well(connection: EngineConnection, request: EngineRequest) -> None:
    """Answer as a sound engine does."""
    connection.answer(request)


class EngineStandIn:
    """An engine that answers by a script.

    :param script: called for each request.
    """

    def __init__(self, identity: str, service: str, script: Script = answer_well) -> None:
        self.identity = identity
        self.service = service
        self.script = script
        self.requests: list[EngineRequest] = []
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self.address = Address("127.0.0.1", 0)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = Address("127.0.0.1", port)

    async def stop(self) -> None:
        """Stop listening and drop the connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    def entry(self, **more: Any) -> dict[str, Any]:
        """Describe the engine as it does itself in the store."""
        return {
            "service": self.service,
            "address": str(self.address),
            "zone": "olympia",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
            "born": 1_700_000_000_000,
            **more,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        connection = EngineConnection(reader, writer)
        try:
            while (request := await connection.read_request()) is not None:
                self.requests.append(request)
                await self.script(connection, request)
        except asyncio.CancelledError:
            connection.reset()
        finally:
            self._tasks.discard(task)
            connection.close()


@dataclass
class _Item:
    value: bytes
    revision: int


@dataclass
class StoreStandIn:
    """The platform's store: items, a history of changes, and faults that tests switch on.

    :ivar refuse_with: status that every call gets while it isn't 0.
    :ivar hold: calls hang while it is set.
    """

    refuse_with: int = 0
    hold: bool = False
    page_size: int = 2
    calls: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._items: dict[str, _Item] = {}
        self._history: list[tuple[int, str, bytes | None]] = []
        self._oldest = 0
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
        """Stop listening and drop the connections."""
        if self._server is not None:
            self._server.close()
        self.cut()

    def cut(self) -> None:
        """Reset all connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def put(self, key: str, document: Any) -> None:
        """Write an item; bytes are written as they are."""
        value = document if isinstance(document, bytes) else json.dumps(document).encode()
        self._revision += 1
        self._items[key] = _Item(value, self._revision)
        self._note(key, value)

    def delete(self, key: str) -> None:
        """Delete an item."""
        self._revision += 1
        del self._items[key]
        self._note(key, None)

    def compact(self) -> None:
        """Forget the history."""
        self._history.clear()
        self._oldest = self._revision

    def _note(self, key: str, value: bytes | None) -> None:
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
                while self.hold:
                    await asyncio.sleep(0.01)
                status, document = await self._answer(target)
                body = json.dumps(document).encode()
                writer.write(
                    b"HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, target: str) -> tuple[int, dict[str, Any]]:
        if self.refuse_with:
            return self.refuse_with, {"error": "turned away"}
        parts = urlsplit(target)
        query = {name: found[0] for name, found in parse_qs(parts.query).items()}
        if parts.path == "/v1/kv-key":
            item = self._items.get(query["key"])
            if item is None:
                return 404, {"storeRevision": self._revision}
            return 200, {**_shown(query["key"], item), "storeRevision": self._revision}
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
            "items": [_shown(key, self._items[key]) for key in page],
            "truncated": len(keys) > len(page),
            "storeRevision": self._revision,
        }

    async def _watch(self, query: Mapping[str, str]) -> tuple[int, dict[str, Any]]:
        since = int(query["sinceRev"])
        if since < self._oldest:
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
                else _shown(key, _Item(value, revision))
            )
            for revision, key, value in self._history
            if revision > since
        ]
        return 200, {"events": events, "storeRevision": self._revision}


def _shown(key: str, item: _Item) -> dict[str, Any]:
    value = base64.b64encode(item.value).decode()
    return {"key": key, "value": value, "revision": item.revision, "created": 1, "lease": 0}


@dataclass
class CallerAnswer:
    """An answer as a caller sees it.

    :ivar complete: it ended as its framing says.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


class Caller:
    """A caller's connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, address: Address) -> "Caller":
        """Open a connection."""
        return cls(*await asyncio.open_connection(address.host, address.port))

    def send_bytes(self, content: bytes) -> None:
        """Send bytes as they are."""
        self._writer.write(content)

    def send(
        self,
        path: str,
        request_id: str = "1",
        method: str = "POST",
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Send a request with the caller's key."""
        named = {
            "Host": HOST,
            "Authorization": f"Token {API_KEY}",
            "Pearshed-Request-Id": request_id,
            "Pearshed-Deadline-Ms": "3000",
            "Content-Length": str(len(body)),
            **(headers or {}),
        }
        lines = "".join(f"{name}: {value}\r\n" for name, value in named.items() if value)
        self.send_bytes(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)

    async def answer(self) -> CallerAnswer | None:
        """Read an answer; nothing when the connection ends without one."""
        try:
            head = await self._reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        lines = head.decode("latin-1").split("\r\n")
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:] if line)
        }
        status = int(lines[0].split(" ")[1])
        try:
            if headers.get("transfer-encoding") == "chunked":
                return CallerAnswer(status, headers, *await self._chunks())
            body = await self._reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return CallerAnswer(status, headers, b"", False)
        return CallerAnswer(status, headers, body, True)

    async def event(self) -> bytes:
        """Read one chunk of a stream whose head was read."""
        size = int(await self._reader.readuntil(b"\r\n"), 16)
        return (await self._reader.readexactly(size + 2))[:-2]

    async def head(self) -> bytes:
        """Read the head of an answer."""
        return await self._reader.readuntil(b"\r\n\r\n")

    async def _chunks(self) -> tuple[bytes, bool]:
        body = b""
        try:
            while True:
                size = int(await self._reader.readuntil(b"\r\n"), 16)
                chunk = await self._reader.readexactly(size + 2)
                if not size:
                    return body, True
                body += chunk[:-2]
        except (asyncio.IncompleteReadError, ConnectionError):
            return body, False

    def close(self) -> None:
        """Leave."""
        self._writer.close()
