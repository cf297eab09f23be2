"""The processes, stand-ins and proxies of one run."""

import asyncio
import json
import os
import pathlib
import random
import signal
import sys
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from pearshed._internal.utils.addresses import Address
from soak.datagrams import DatagramRelay
from soak.promises import Record, Run
from soak.proxy import Proxy
from tests.lib.gateway_fixture import free_address
from tests.lib.users_platform import (
    EngineConnection,
    EngineRequest,
    EngineStandIn,
    configuration,
    route,
)
from tests.lib.users_store import StoreStandIn

ROOT = pathlib.Path(__file__).resolve().parents[1]
EVENTS = 6
KEYS = ("key-a", "key-b", "key-c")
#: Tokens of a usual prompt; large ones have many times more.
PROMPT_TOKENS = 300
LARGE_PROMPT_TOKENS = 20_000
#: Memory of an engine: a large prompt and some usual ones.
ENGINE_TOKENS = 40_000
_EVENT_PAUSE_S = 0.03
_WORK_S = 0.02
GRACE_S = 8.0


def answer_body(request_id: str) -> bytes:
    """Make the body of the answer to a plain request."""
    return f"answer to {request_id}".encode() * 3


def event(request_id: str, number: int) -> bytes:
    """Make one event of the answer to a streamed request."""
    return f"id: {number}\ndata: {request_id} piece {number}\n\n".encode()


def stream_body(request_id: str) -> bytes:
    """Make all events of an answer."""
    return b"".join(event(request_id, number) for number in range(1, EVENTS + 1))


@dataclass
class Program:
    """One of the system's processes.

    :ivar source: the code that it runs.
    """

    name: str
    command: str
    settings: pathlib.Path
    log: pathlib.Path
    source: pathlib.Path = ROOT / "src"
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    stopping_since: float | None = None
    harmed: float = field(default=float("-inf"))

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """Start the process."""
        self.starts += 1
        self.stopping_since = None
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "pearshed",
                self.command,
                "--settings",
                str(self.settings),
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": str(self.source)},
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process, which the soak has started."""
        if self.process is not None and self.running:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait."""
        if self.process is not None and self.running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


class World:
    """Starts everything and keeps what is seen.

    :param folder: for settings and logs.
    :ivar sources: code of processes by name, set before the start; that of this tree for others.
    """

    def __init__(self, folder: pathlib.Path, gateways: int, engines: int) -> None:
        self.record = Record()
        self.store = StoreStandIn(page_size=3)
        self.store_proxies: list[Proxy] = []
        self.engines: list[EngineStandIn] = []
        self.engine_proxies: list[Proxy] = []
        self.relays: list[DatagramRelay] = []
        self.gateways: list[Program] = []
        self.sides: list[Program] = []
        self.callers: list[Address] = []
        self.pages: list[Address] = []
        self.version = 1
        self.keys = list(KEYS)
        self.lost_share = 0.0
        self.sources: dict[str, pathlib.Path] = {}
        self._going: Counter[EngineStandIn] = Counter()
        self._folder = folder
        self._counts = (gateways, engines)
        self._port = free_address().port
        self._control_port = free_address().port

    async def start(self) -> None:
        """Start stand-ins, then the processes."""
        await self.store.start()
        self.put_configuration()
        gateways, engines = self._counts
        for number in range(engines):
            await self._add_engine("fleet", f"127.0.12.{number + 1}")
        for number in range(2):
            await self._add_engine("ledger", f"127.0.13.{number + 1}")
        for number in range(gateways):
            await self._add_gateway(number)
        for program in (*self.gateways, *self.sides):
            await program.start()

    async def stop(self) -> None:
        """End everything that was started."""
        for program in (*self.gateways, *self.sides):
            await program.end()
        for proxy in (*self.store_proxies, *self.engine_proxies):
            proxy.stop()
        for relay in self.relays:
            relay.stop()
        for engine in self.engines:
            await engine.stop()
        await self.store.stop()

    def put_configuration(self, **more: Any) -> None:
        """Publish the next version."""
        self.version += 1
        routes = [
            route("lookup", "idempotent", "ledger", timeoutMs=3000),
            route("confirm", "non_idempotent", "ledger", timeoutMs=3000, maxAttempts=1),
            route("draft", "streaming", "fleet", resumable=True, sticky=True, timeoutMs=6000),
            route("explain", "streaming", "fleet", sticky=True, timeoutMs=6000, maxAttempts=1),
        ]
        tenants = [{"name": "guild", "apiKeys": list(self.keys), "priority": 0}]
        document = configuration(self.version, routes=routes, tenants=tenants, **more)
        self.store.put("op/config", document)

    def revoke(self, key: str) -> None:
        """Take a key away."""
        self.keys.remove(key)
        self.put_configuration()
        self.record.revoked[key] = time.monotonic()

    def leave(self, engine: EngineStandIn, *, announced: bool) -> None:
        """Let an engine leave, with or without a word."""
        key = f"servers/{engine.identity}"
        if announced:
            self.store.put(key, engine.entry(state="draining", address=self._listed(engine)))
        else:
            self.store.delete(key)
        self.record.leaving[engine.identity] = time.monotonic()

    def come_back(self, engine: EngineStandIn, generation: int) -> None:
        """Start an engine anew under another identity at the same address."""
        self.store.put(f"servers/{engine.identity}", {"state": "gone"})
        self.store.delete(f"servers/{engine.identity}")
        engine.identity = f"{engine.identity.partition('~')[0]}~{generation}"
        self.store.put(f"servers/{engine.identity}", engine.entry(address=self._listed(engine)))

    def note_versions(self, name: str, starts: int, dump: Mapping[str, Any]) -> None:
        """Keep the version that a gateway reports."""
        if dump.get("configuration") is not None:
            versions = self.record.versions.setdefault(f"{name}#{starts}", [])
            versions.append(dump["configuration"])

    def _listed(self, engine: EngineStandIn) -> str:
        return str(self.engine_proxies[self.engines.index(engine)].address)

    async def _add_engine(self, service: str, host: str) -> None:
        engine = EngineStandIn(f"i-{service}-{len(self.engines)}", service)

        async def answer(connection: EngineConnection, request: EngineRequest) -> None:
            await self._answer(engine, connection, request)

        engine.script = answer
        await engine.start()
        proxy = Proxy(Address(host, 0), engine.address)
        await proxy.start()
        self.engines.append(engine)
        self.engine_proxies.append(proxy)
        self.store.put(f"servers/{engine.identity}", engine.entry(address=str(proxy.address)))
        if service == "fleet":
            side_host = host.replace("127.0.12.", "127.0.14.")
            relay = DatagramRelay(
                Address(host, self._port), Address(side_host, self._port), random.Random(host)
            )
            await relay.start()
            self.relays.append(relay)
            settings = {
                "node": f"side-{host}",
                "zone": "olympia",
                "ip": side_host,
                "portRange": [self._port, self._port + 1],
                "app": str(engine.address),
            }
            self.sides.append(self._program(f"side-{host}", "engine-side", settings))

    async def _add_gateway(self, number: int) -> None:
        host = f"127.0.11.{number + 1}"
        proxy = Proxy(Address("127.0.0.1", 0), self.store.address)
        await proxy.start()
        self.store_proxies.append(proxy)
        callers, pages = free_address(), free_address()
        self.callers.append(callers)
        self.pages.append(pages)
        settings = {
            "node": f"gateway-{number}",
            "zone": "olympia",
            "ip": host,
            "listen": {
                "front": str(callers),
                "ready": str(pages),
                "control": f"{host}:{self._control_port}",
            },
            "portRange": [self._port, self._port + 1],
            "seeds": [f"127.0.11.{seed}:{self._control_port}" for seed in (1, 2, 3)],
            "bounds": {
                "failClosed": True,
                "revokeMs": 5000,
                "graceS": GRACE_S,
                "retryBudgetRatio": 0.2,
                "budgetSlack": 60,
                "budgetWindowS": 10,
            },
            "provider": {"address": str(proxy.address)},
        }
        self.gateways.append(self._program(f"gateway-{number}", "gateway", settings))

    def _program(self, name: str, command: str, settings: Mapping[str, Any]) -> Program:
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        source = self.sources.get(name, ROOT / "src")
        return Program(name, command, path, self._folder / f"{name}.log", source)

    def _report(
        self, engine: EngineStandIn, connection: EngineConnection, request: EngineRequest
    ) -> None:
        """Answer the side's questions: the engine is small, and its cache tells nothing."""
        if request.target != "/v1/report":
            connection.answer(request, 404, b"{}")
            return
        going = self._going[engine]
        report = {
            "running": going,
            "queued": 0,
            "kvUsed": going * PROMPT_TOKENS,
            "kvTotal": ENGINE_TOKENS,
            "runs": [],
        }
        connection.answer(request, body=json.dumps(report).encode())

    async def _answer(
        self, engine: EngineStandIn, connection: EngineConnection, request: EngineRequest
    ) -> None:
        if request.target.startswith("/v1/"):
            self._report(engine, connection, request)
            return
        if request.headers.get("pearshed-expect-instance") != engine.identity:
            connection.answer(request, 421, b"", {"Pearshed-Response-Signature": ""})
            return
        name = request.request_id
        repeatable = not request.target.startswith(("/confirm", "/explain"))
        customer = request.headers.get("pearshed-tenant", "")
        run = Run(name, engine.identity, time.monotonic(), repeatable, customer)
        self.record.runs.append(run)
        self._going[engine] += 1
        try:
            await self._work(connection, request)
        finally:
            self._going[engine] -= 1

    async def _work(self, connection: EngineConnection, request: EngineRequest) -> None:
        """Work on a request, and answer it."""
        name = request.request_id
        await asyncio.sleep(_WORK_S)
        if len(self.record.runs) % 100 < self.lost_share * 100:
            connection.reset()
            return
        if request.target.startswith(("/draft", "/explain")):
            connection.begin_stream(request)
            for number in range(1 + int(request.headers.get("last-event-id", 0)), EVENTS + 1):
                piece = event(name, number)
                connection.send(b"%x\r\n%s\r\n" % (len(piece), piece))
                await asyncio.sleep(_EVENT_PAUSE_S)
            connection.end_stream()
        else:
            connection.answer(request, body=answer_body(name))
