"""A stand-in for an engine of a plain service, which keeps account of what reaches it."""

import asyncio
import dataclasses
import time

from lib_2 import http1


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached an engine.

    :ivar at: reading of the steady clock, seconds.
    :ivar run: whether the engine began to work on it.
    """

    engine: str
    request_id: str
    at: float
    run: bool
    tenant: str


class Engine:
    """Runs each request for some time, and answers with its signature.

    :param identity: its id in the store.
    :param work_s: time that a request takes, seconds.
    """

    def __init__(
        self,
        identity: str,
        service: str,
        host: str,
        port: int,
        zone: str = "graz-a",
        work_s: float = 0.09,
    ) -> None:
        self.identity = identity
        self.service = service
        self.arrivals: list[Arrival] = []
        self._host = host
        self._port = port
        self._zone = zone
        self._work_s = work_s
        self._slots = 6
        self._running = 0
        self._seq = 0
        self._born = time.time_ns() // 1_000_000
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return its entry in the store."""
        self._seq += 1
        return {
            "service": self.service,
            "address": f"{self._host}:{self._port}",
            "zone": self._zone,
            "version": "v1",
            "slots": self._slots,
            "state": state,
            "coldLeftMs": 0,
            "seq": self._seq,
            "born": self._born,
        }

    async def open(self) -> None:
        """Begin to serve."""
        self._server = await asyncio.start_server(self._serve, self._host, self._port)

    def exit(self) -> None:
        """End, as a process does: the listening socket and all connections are closed."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await http1.read_request(reader)) is not None:
                await self._answer(request, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: http1.Message, writer: asyncio.StreamWriter) -> None:
        load = f"{self._running},0,{self._slots}"
        headers = {"Pearshed-Instance-Id": self.identity, "Pearshed-Server-Load": load}
        if request.target == "/healthz":
            writer.write(http1.encode("HTTP/1.1 200 OK", headers))
            return
        request_id = request.headers.get("pearshed-request-id", "")
        headers["Pearshed-Request-Id"] = request_id
        expected = request.headers.get("pearshed-expect-instance", self.identity)
        is_run = expected == self.identity and bool(request_id)
        tenant = request.headers.get("pearshed-tenant", "")
        self.arrivals.append(Arrival(self.identity, request_id, time.monotonic(), is_run, tenant))
        if not is_run:
            headers["Pearshed-Not-Executed"] = "1"
            status = "421 Misdirected Request" if request_id else "400 Bad Request"
            writer.write(http1.encode(f"HTTP/1.1 {status}", headers))
            return
        self._running += 1
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self._running -= 1
        headers["Pearshed-Response-Signature"] = f"signed.{self.identity}.{request_id}"
        writer.write(http1.encode("HTTP/1.1 200 OK", headers, f"done {request_id}\n".encode()))
        await writer.drain()
