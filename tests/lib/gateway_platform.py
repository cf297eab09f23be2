"""The platform's configuration for gateway tests, and stand-ins for its engines on loopback."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any

from pearshed._internal.utils.addresses import Address
from pearshed._internal.utils.sockets import set_reset_on_close

HOST = "rota.example"
API_KEY = "key-of-the-guild"
SIGNATURE = "signed-by-the-engine"


def route(name: str, kind: str, service: str, **overrides: Any) -> dict[str, Any]:
    """Create a route in the format in which the operator publishes it."""
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
        **overrides,
    }


def all_kinds() -> list[dict[str, Any]]:
    """Create a route for prompts, for plain requests, and for those that may run once."""
    return [
        route("brief", "streaming", "fleet", sticky=True, resumable=True),
        route("lookup", "idempotent", "ledger"),
        route("confirm", "non_idempotent", "ledger", maxAttempts=1),
    ]


def configuration(version: int, **overrides: Any) -> dict[str, Any]:
    """Create a configuration with routes of every kind."""
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
        **overrides,
    }


@dataclass
class EngineRequest:
    """A request as an engine received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """The request id that the caller chose."""
        return self.headers.get("pearshed-request-id", "")


def entry_document(service: str, address: str, **fields: Any) -> dict[str, Any]:
    """Create an engine's entry in the store."""
    return {
        "service": service,
        "address": address,
        "zone": "olympia",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 1,
        **fields,
    }


class EngineConnection:
    """An engine's end of a connection; scripts may send malformed responses on it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._chunked = True

    @property
    def writer(self) -> asyncio.StreamWriter:
        """The writer of the connection."""
        return self._writer

    async def read_request(self) -> EngineRequest | None:
        """Read one request; return None at the end of the connection."""
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
        """Send raw bytes."""
        self._writer.write(content)

    def send_response(
        self,
        request: EngineRequest,
        status: int = 200,
        body: bytes = b"done",
        headers: Mapping[str, str] | None = None,
        request_id: str | None = None,
    ) -> None:
        """Send a complete response with a signature.

        :param headers: added to the default headers; an empty value removes a header.
        """
        all_headers = {
            "Pearshed-Request-Id": request_id or request.request_id,
            "Pearshed-Response-Signature": SIGNATURE,
            "Content-Length": str(len(body)),
            **(headers or {}),
        }
        lines = "".join(f"{name}: {value}\r\n" for name, value in all_headers.items() if value)
        self.send(f"HTTP/1.1 {status} Status\r\n{lines}\r\n".encode() + body)

    def begin_stream(
        self,
        request: EngineRequest,
        chunked: bool = True,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Send the head of a streamed response.

        :param chunked: whether the body is sent in chunks; otherwise it ends with the connection.
        :param headers: added to the default headers.
        """
        self._chunked = chunked
        self.send_response(
            request,
            body=b"",
            headers={
                "Content-Length": "",
                "Transfer-Encoding": "chunked" if chunked else "",
                "Content-Type": "text/event-stream",
                **(headers or {}),
            },
        )

    def send_event(self, number: int, omit_bytes: int = 0) -> None:
        """Send one event.

        :param omit_bytes: bytes left out at its end.
        """
        event = f"id: {number}\ndata: piece-{number}\n\n".encode()
        self.send_stream_content(event[: len(event) - omit_bytes])

    def send_stream_content(self, content: bytes) -> None:
        """Send a piece of a stream, as a chunk if it has chunks."""
        self.send(b"%x\r\n%s\r\n" % (len(content), content) if self._chunked else content)

    def end_stream(self) -> None:
        """Send the end of a complete stream."""
        if self._chunked:
            self.send(b"0\r\n\r\n")
        else:
            self.close()

    async def drain(self) -> None:
        """Wait until sent bytes have left the buffer."""
        await self._writer.drain()

    async def wait_closed(self) -> None:
        """Wait until the gateway closes the connection."""
        try:
            while await self._reader.read(1024):
                pass
        except ConnectionError:
            pass

    def close(self) -> None:
        """Close after sending buffered bytes."""
        self._writer.close()

    def reset(self) -> None:
        """Reset the connection."""
        reset(self._writer)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    set_reset_on_close(writer.get_extra_info("socket"), True)
    writer.transport.abort()


Script = Callable[[EngineConnection, EngineRequest], Awaitable[None]]


async def respond_ok(connection: EngineConnection, request: EngineRequest) -> None:
    """Send a complete, signed response."""
    connection.send_response(request)


class EngineStandIn:
    """An engine whose responses are scripted.

    :param script: called for each request.
    :param host: of its VM.
    :ivar reports_itself: whether requests for its report are answered without the script.
    """

    reports_itself = True

    def __init__(
        self,
        identity: str,
        service: str,
        script: Script = respond_ok,
        host: str = "127.0.0.1",
    ) -> None:
        self.identity = identity
        self.service = service
        self.script = script
        self.requests: list[EngineRequest] = []
        self.started_at_ms = 1_700_000_000_000
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self.address = Address(host, 0)

    async def start(self) -> None:
        """Listen on a free port."""
        host = self.address.host
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = Address(host, self._server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Stop listening and reset the connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    def entry(self, **overrides: Any) -> dict[str, Any]:
        """Create the entry that the engine publishes in the store."""
        document = entry_document(self.service, str(self.address), born=self.started_at_ms)
        return {**document, **overrides}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        connection = EngineConnection(reader, writer)
        try:
            while (request := await connection.read_request()) is not None:
                if request.target == "/v1/report" and self.reports_itself:
                    body = json.dumps({"born": self.started_at_ms}).encode()
                    connection.send_response(request, body=body)
                    continue
                self.requests.append(request)
                await self.script(connection, request)
        except asyncio.CancelledError:
            connection.reset()
        finally:
            self._tasks.discard(task)
            connection.close()
