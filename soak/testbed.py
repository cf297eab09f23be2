"""Starts the processes, stand-ins and proxies of one run."""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import sys
import time
import weakref
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from pearshed._internal.utils.addresses import Address
from soak.datagrams import DatagramRelay
from soak.invariants import (
    RETRY_RATIO,
    RETRY_SLACK,
    RETRY_WINDOW_S,
    Arrival,
    Evacuation,
    History,
    Run,
)
from soak.proxy import Proxy
from tests.lib.gateway_fixture import free_address
from tests.lib.gateway_platform import (
    EngineConnection,
    EngineRequest,
    EngineStandIn,
    configuration,
    route,
)
from tests.lib.gateway_store import StoreStandIn

ROOT = pathlib.Path(__file__).resolve().parents[1]
EVENT_COUNT = 6
API_KEYS = ("key-a", "key-b", "key-c")
PROMPT_TOKENS = 300
LARGE_PROMPT_TOKENS = 20_000
#: KV cache of an engine: one large prompt and some of the usual size.
ENGINE_KV_TOKENS = 40_000
_EVENT_INTERVAL_S = 0.03
_SERVICE_TIME_S = 0.02
STOP_GRACE_S = 8.0
_VERSION_COMMENT = re.compile(rb"^: (\S+)\n", re.MULTILINE)
#: Software versions of the engines that run prompts.
VERSIONS = ("v1", "v2")
#: Body of a request that crashes its engine.
DEADLY_BODY = b"deadly"
#: Regions of the data centres; the last engine of each service is in the second one.
REGIONS = {"olympia": "west", "tacoma": "west"}
OTHER_DATA_CENTRE = "tacoma"
EVACUATE_MS = 5000
#: Limits on callers while crowds come: those of the platform's pages.
CROWD_LIMITS = {
    "maxHeaderBytes": 16 * 1024,
    "maxBodyBytes": 4 * 1024 * 1024,
    "headerTimeoutMs": 30_000,
    "idleTimeoutMs": 30_000,
}
#: Generations of engines that have crashed; the others are counted from 1.
CRASH_GENERATION = 10_000


def response_body(request_id: str) -> bytes:
    """Return the response body of a plain request."""
    return f"answer to {request_id}".encode() * 3


def stream_event(request_id: str, number: int, version: str = "") -> bytes:
    """Return one event of a streamed response.

    :param version: software version that writes it, which a comment names.
    """
    comment = f": {version}\n" if version else ""
    return f"{comment}id: {number}\ndata: {request_id} piece {number}\n\n".encode()


def stream_body(request_id: str, after: int = 0) -> bytes:
    """Return the events of a streamed response, without the versions that write them."""
    return b"".join(
        stream_event(request_id, number) for number in range(after + 1, EVENT_COUNT + 1)
    )


def split_versions(events: bytes) -> tuple[bytes, frozenset[str]]:
    """Return events without the versions that wrote them, and these versions."""
    versions = frozenset(version.decode() for version in _VERSION_COMMENT.findall(events))
    return _VERSION_COMMENT.sub(b"", events), versions


@dataclass
class Node:
    """A gateway or side process under test.

    :ivar source: directory of the code that it runs.
    :ivar fault_until: end of the last fault that affects this process, which may be in the future.
    :ivar process_fault_until: the same of faults of the process itself.
    """

    name: str
    command: str
    settings: pathlib.Path
    log: pathlib.Path
    source: pathlib.Path = ROOT / "src"
    process: asyncio.subprocess.Process | None = None
    start_count: int = 0
    stopping_since: float | None = None
    fault_until: float = field(default=float("-inf"))
    process_fault_until: float = field(default=float("-inf"))
    _changing: asyncio.Lock = field(default_factory=asyncio.Lock, repr=False)

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """Start the process unless it runs; faults may overlap, and starting takes a while."""
        async with self._changing:
            if not self.running:
                await self._start()

    async def _start(self) -> None:
        self.start_count += 1
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

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.running:
            self.process.send_signal(signal_number)

    def set_process_fault_until(self, until: float) -> None:
        """Set the end of a fault of the process itself."""
        self.fault_until = self.process_fault_until = until

    async def kill(self) -> None:
        """Kill the process and wait for its exit."""
        async with self._changing:
            if self.process is not None and self.running:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            if self.process is not None:
                await self.process.wait()


class Testbed:
    """Starts all processes and records what callers and endpoints observe.

    :param directory: for settings and logs.
    :ivar sources: code directories of nodes by name, set before the start; others run this tree.
    :ivar response_loss_rate: share of the requests whose engine resets the connection.
    :ivar break_off_responses: engines break off every third response, and send every second one
        with neither a length nor chunks.
    :ivar copy_responses: engines send a second copy of a response on its connection, just before
        the next one.
    :ivar pauses: pauses that engines ask for as they turn requests away, seconds.
    :ivar rate_limits: requests per second that engines name in their responses.
    :ivar deadly_share: share of the requests that crash their engine.
    :ivar versions: software versions of engines.
    :ivar silent: engines that leave requests without a response for a while, and go on.
    :ivar holding: engines that run requests and don't respond.
    :ivar refusing: engines that turn all requests away.
    :ivar cut_heads: engines end every fourth response inside its head.
    :ivar ignores_evacuations: the gateways' settings don't use evacuations, which proves the check.
    :ivar ignores_retry_limit: the gateways' settings allow more retries than the check does.
    :ivar caller_limits: of the configuration, if they are others than usual.
    :ivar machine: memory and descriptors in the settings of processes; none: those of the machine.
    """

    def __init__(self, directory: pathlib.Path, gateways: int, engines: int) -> None:
        self.history = History()
        self.store = StoreStandIn(page_size=3)
        self.store_proxies: list[Proxy] = []
        self.engines: list[EngineStandIn] = []
        self.engine_proxies: list[Proxy] = []
        self.relays: list[DatagramRelay] = []
        self.gateways: list[Node] = []
        self.sides: list[Node] = []
        self.caller_addresses: list[Address] = []
        self.page_addresses: list[Address] = []
        self.configuration_version = 1
        self.valid_keys = list(API_KEYS)
        self.response_loss_rate = 0.0
        self.break_off_responses = False
        self.copy_responses = False
        self.pauses: dict[EngineStandIn, float] = {}
        self.rate_limits: dict[EngineStandIn, float] = {}
        self.deadly_share = 0.0
        self.versions: dict[EngineStandIn, str] = {}
        self.silent: set[EngineStandIn] = set()
        self.holding: set[EngineStandIn] = set()
        self.refusing: set[EngineStandIn] = set()
        self.cut_heads = False
        self.ignores_evacuations = False
        self.ignores_retry_limit = False
        self.caller_limits: Mapping[str, int] | None = None
        self.machine: Mapping[str, int] = {}
        self.data_centres: dict[EngineStandIn, str] = {}
        self.sources: dict[str, pathlib.Path] = {}
        self._last_requests: weakref.WeakKeyDictionary[EngineConnection, tuple[str, bool]] = (
            weakref.WeakKeyDictionary()
        )
        self._in_flight: Counter[EngineStandIn] = Counter()
        self._crash_count = 0
        self._directory = directory
        self._counts = (gateways, engines)
        self._port = free_address().port
        self._control_port = free_address().port

    async def start(self) -> None:
        """Start the stand-ins, then the processes."""
        await self.store.start()
        self.publish_configuration()
        gateways, engines = self._counts
        for number in range(engines):
            data_centre = OTHER_DATA_CENTRE if number == engines - 1 else "olympia"
            await self._add_engine("fleet", f"127.0.12.{number + 1}", data_centre)
        for number in range(2):
            data_centre = OTHER_DATA_CENTRE if number else "olympia"
            await self._add_engine("ledger", f"127.0.13.{number + 1}", data_centre)
        for number in range(gateways):
            await self._add_gateway(number)
        for node in (*self.gateways, *self.sides):
            await node.start()

    async def stop(self) -> None:
        """Stop all processes, proxies and stand-ins."""
        for node in (*self.gateways, *self.sides):
            await node.kill()
        for proxy in (*self.store_proxies, *self.engine_proxies):
            proxy.stop()
        for relay in self.relays:
            relay.stop()
        for engine in self.engines:
            await engine.stop()
        await self.store.stop()

    def publish_configuration(self, **overrides: Any) -> None:
        """Publish the next version of the configuration."""
        self.configuration_version += 1
        routes = [
            route("lookup", "idempotent", "ledger", timeoutMs=3000),
            route("confirm", "non_idempotent", "ledger", timeoutMs=9000, maxAttempts=1),
            route("draft", "streaming", "fleet", resumable=True, sticky=True, timeoutMs=6000),
            route("explain", "streaming", "fleet", sticky=True, timeoutMs=9000, maxAttempts=1),
        ]
        if self.caller_limits is not None:
            overrides["limits"] = dict(self.caller_limits)
        tenants = [{"name": "guild", "apiKeys": list(self.valid_keys), "priority": 0}]
        document = configuration(
            self.configuration_version, routes=routes, tenants=tenants, **overrides
        )
        self.store.put("op/config", document)

    def revoke(self, api_key: str) -> None:
        """Revoke an API key."""
        self.valid_keys.remove(api_key)
        self.publish_configuration()
        self.history.revoked_at[api_key] = time.monotonic()

    def withdraw(self, engine: EngineStandIn, *, announced: bool) -> None:
        """Withdraw an engine: mark it as draining if announced, else delete its entry."""
        key = f"servers/{engine.identity}"
        if announced:
            self.store.put(
                key,
                engine.entry(
                    state="draining",
                    address=self._proxy_address(engine),
                    zone=self.data_centres[engine],
                ),
            )
        else:
            self.store.delete(key)
        self.history.withdrawn_at[engine.identity] = time.monotonic()

    def replace(self, engine: EngineStandIn, generation: int) -> None:
        """Replace an engine by one with another identity at the same address."""
        self.store.put(f"servers/{engine.identity}", {"state": "gone"})
        self.store.delete(f"servers/{engine.identity}")
        engine.identity = f"{engine.identity.partition('~')[0]}~{generation}"
        self.versions[engine] = VERSIONS[generation % len(VERSIONS)]
        self._list_engine(engine)

    def evacuate(self, data_centre: str) -> Evacuation:
        """Evacuate a data centre."""
        self.store.put(f"op/evacuate/{data_centre}", {})
        evacuation = Evacuation(data_centre, time.monotonic())
        self.history.evacuations.append(evacuation)
        return evacuation

    def withdraw_evacuation(self, evacuation: Evacuation) -> None:
        """Withdraw an evacuation."""
        evacuation.withdrawn_at = time.monotonic()
        self.store.delete(f"op/evacuate/{evacuation.data_centre}")

    def _list_engine(self, engine: EngineStandIn) -> None:
        entry = engine.entry(
            address=self._proxy_address(engine),
            version=self.versions[engine],
            zone=self.data_centres[engine],
        )
        self.store.put(f"servers/{engine.identity}", entry)

    def record_version(self, name: str, start_count: int, dump: Mapping[str, Any]) -> None:
        """Record the configuration version of a gateway's dump."""
        if dump.get("configuration") is not None:
            versions = self.history.versions.setdefault(f"{name}#{start_count}", [])
            versions.append(dump["configuration"])

    def _proxy_address(self, engine: EngineStandIn) -> str:
        return str(self.engine_proxies[self.engines.index(engine)].address)

    async def _add_engine(self, service: str, host: str, data_centre: str) -> None:
        engine = EngineStandIn(f"i-{service}-{len(self.engines)}", service)
        self.data_centres[engine] = data_centre

        async def handle_request(connection: EngineConnection, request: EngineRequest) -> None:
            await self._handle_request(engine, connection, request)

        engine.script = handle_request
        engine.reports_itself = False
        await engine.start()
        proxy = Proxy(Address(host, 0), engine.address)
        await proxy.start()
        self.engines.append(engine)
        self.engine_proxies.append(proxy)
        self.versions[engine] = VERSIONS[len(self.engines) % len(VERSIONS)]
        self._list_engine(engine)
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
                "limits": self.machine,
            }
            self.sides.append(self._create_node(f"side-{host}", "engine-side", settings))

    async def _add_gateway(self, number: int) -> None:
        host = f"127.0.11.{number + 1}"
        proxy = Proxy(Address("127.0.0.1", 0), self.store.address)
        await proxy.start()
        self.store_proxies.append(proxy)
        caller_address, page_address = free_address(), free_address()
        self.caller_addresses.append(caller_address)
        self.page_addresses.append(page_address)
        settings = {
            "node": f"gateway-{number}",
            "zone": "olympia",
            "ip": host,
            "listen": {
                "front": str(caller_address),
                "ready": str(page_address),
                "control": f"{host}:{self._control_port}",
            },
            "portRange": [self._port, self._port + 1],
            "seeds": [f"127.0.11.{seed}:{self._control_port}" for seed in (1, 2, 3)],
            "bounds": {
                "failClosed": True,
                "revokeMs": 5000,
                "graceS": STOP_GRACE_S,
                "retryBudgetRatio": 5.0 if self.ignores_retry_limit else RETRY_RATIO,
                "budgetSlack": RETRY_SLACK,
                "budgetWindowS": RETRY_WINDOW_S,
                **({} if self.ignores_evacuations else {"evacuateMs": EVACUATE_MS}),
            },
            "zones": REGIONS,
            "provider": {"address": str(proxy.address)},
            "limits": self.machine,
        }
        self.gateways.append(self._create_node(f"gateway-{number}", "gateway", settings))

    def _create_node(self, name: str, command: str, settings: Mapping[str, Any]) -> Node:
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        source = self.sources.get(name, ROOT / "src")
        return Node(name, command, path, self._directory / f"{name}.log", source)

    def _respond_report(
        self, engine: EngineStandIn, connection: EngineConnection, request: EngineRequest
    ) -> None:
        """Respond to the side's calls: /v1/report works, cache events are not supported."""
        if request.target != "/v1/report":
            connection.send_response(request, 404, b"{}")
            return
        running = self._in_flight[engine]
        report = {
            "running": running,
            "queued": 0,
            "kvUsed": running * PROMPT_TOKENS,
            "kvTotal": ENGINE_KV_TOKENS,
            "runs": [],
            "born": engine.started_at_ms,
        }
        connection.send_response(request, body=json.dumps(report).encode())

    async def _handle_request(
        self, engine: EngineStandIn, connection: EngineConnection, request: EngineRequest
    ) -> None:
        received_at = time.monotonic()
        await self._wait_while_silent(engine)
        if request.target.startswith("/v1/"):
            self._respond_report(engine, connection, request)
            return
        if request.headers.get("pearshed-expect-instance") != engine.identity:
            connection.send_response(request, 421, b"", {"Pearshed-Response-Signature": ""})
            return
        request_id = request.request_id
        # Who turns all away says neither that it is busy nor for how long.
        pause_s = 0.0 if engine in self.refusing else self.pauses.get(engine, 0.0)
        arrived_at = time.monotonic()
        arrival = Arrival(request_id, engine.identity, arrived_at, pause_s, engine.service)
        self.history.arrivals.append(arrival)
        if engine in self.refusing:
            connection.send_response(request, 503, b"", {"Pearshed-Not-Executed": "busy"})
            return
        if pause_s:
            headers = {"Pearshed-Not-Executed": "busy", "Retry-After": f"{pause_s}"}
            connection.send_response(request, 503, b"", headers)
            self._last_requests[connection] = request_id, True
            return
        retryable = not request.target.startswith(("/confirm", "/explain"))
        customer = request.headers.get("pearshed-tenant", "")
        crashed_by = request.target if request.body == DEADLY_BODY else ""
        rate_limit = self.rate_limits.get(engine)
        started_at = time.monotonic()
        run = Run(
            request_id,
            engine.identity,
            started_at,
            retryable,
            customer,
            rate_limit,
            crashed_by,
            self.data_centres[engine],
            received_at,
        )
        self.history.runs.append(run)
        if crashed_by:
            self._crash(engine)
            return
        self._in_flight[engine] += 1
        try:
            await self._respond(engine, connection, request, rate_limit)
        finally:
            self._in_flight[engine] -= 1

    def _crash(self, engine: EngineStandIn) -> None:
        """End all connections to an engine; it starts again under another identity.

        What the engine broke off is no fault of a gateway that stops at that moment.
        """
        for node in self.gateways:
            node.fault_until = max(node.fault_until, time.monotonic())
        self.engine_proxies[self.engines.index(engine)].reset(1.0, random.Random(0))
        self._crash_count += 1
        self.replace(engine, CRASH_GENERATION + self._crash_count)

    async def _wait_while_silent(self, engine: EngineStandIn) -> None:
        while engine in self.silent:
            await asyncio.sleep(_EVENT_INTERVAL_S)

    async def _respond(
        self,
        engine: EngineStandIn,
        connection: EngineConnection,
        request: EngineRequest,
        rate_limit: float | None,
    ) -> None:
        """Respond after the service time."""
        request_id = request.request_id
        # The engine may be replaced by one of another version while it responds.
        version = self.versions[engine]
        limit_header = {"Server-Limit": f"{rate_limit}"} if rate_limit is not None else {}
        await asyncio.sleep(_SERVICE_TIME_S)
        while engine in self.holding:
            await asyncio.sleep(_EVENT_INTERVAL_S)
        earlier = self._last_requests.get(connection)
        if earlier and earlier[1]:
            # An earlier refusal once more.
            refused = {"Pearshed-Not-Executed": "busy"}
            connection.send_response(request, 503, b"", refused, request_id=earlier[0])
        elif earlier and self.copy_responses:
            body = response_body(earlier[0])
            connection.send_response(request, body=body, request_id=earlier[0])
        self._last_requests[connection] = request_id, False
        if len(self.history.runs) % 100 < self.response_loss_rate * 100:
            connection.reset()
            return
        if self.cut_heads and len(self.history.runs) % 4 == 0:
            connection.send(b"HTTP/1.1 200 OK\r\nPearshed-Request-Id: %s\r\n" % request_id.encode())
            connection.close()
            return
        unframed = self.break_off_responses and len(self.history.runs) % 2 == 0
        breaks_off = self.break_off_responses and len(self.history.runs) % 3 == 0
        if request.target.startswith(("/draft", "/explain")):
            connection.begin_stream(request, chunked=not unframed, headers=limit_header)
            for number in range(1 + int(request.headers.get("last-event-id", 0)), EVENT_COUNT + 1):
                await self._wait_while_silent(engine)
                stream = request.headers.get("resumes", request_id)
                event = stream_event(stream, number, version)
                if breaks_off and number > EVENT_COUNT // 2:
                    connection.send_stream_content(event[: len(event) // 2])
                    break
                connection.send_stream_content(event)
                await asyncio.sleep(_EVENT_INTERVAL_S)
            connection.end_stream()
            return
        body = response_body(request_id)
        if breaks_off:
            headers = limit_header | {"Content-Length": ""}
            connection.send_response(request, body=body[: len(body) // 2], headers=headers)
            connection.reset()
            return
        headers = limit_header | {"Content-Length": "" if unframed else str(len(body))}
        connection.send_response(request, body=body, headers=headers)
        if unframed:
            connection.close()
