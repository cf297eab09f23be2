"""A small deployment on loopback: a store, engines, gateways, and a record of what they saw."""

import asyncio
import os
import pathlib
import signal
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

from lib_2 import clients
from lib_2.engines import Engine
from lib_2.programs import Gateway, free_port
from lib_2.store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
_STORE_HOST = "127.0.41.200"


class CaseNotRunError(Exception):
    """The case could not run as it should."""


def route(name: str, kind: str, service: str, **overrides: Any) -> dict[str, Any]:
    """Return a route in the format in which the operator publishes it."""
    return {
        "name": name,
        "hostname": clients.HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": service,
        "maxAttempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
        **overrides,
    }


def configuration(
    version: int, routes: list[dict[str, Any]], keys: dict[str, list[str]]
) -> dict[str, Any]:
    """Return a configuration.

    :param keys: API keys by tenant.
    """
    services = sorted({item["service"] for item in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1"}
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": name, "apiKeys": list(values), "priority": 1} for name, values in keys.items()
        ],
    }


class Record:
    """Writes ``record.txt``, with times since the beginning of the case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self.began_at = time.monotonic()

    def write(self, text: str, at: float | None = None) -> None:
        """Write a line.

        :param at: reading of the steady clock, seconds; now if not given.
        """
        elapsed_s = (time.monotonic() if at is None else at) - self.began_at
        print(f"{elapsed_s:9.3f} s  {text}", file=self._file, flush=True)


class Deployment:
    """The processes of a case.

    :param era: the store's era, if the store tells one.
    """

    def __init__(self, record: Record, era: int | None = None) -> None:
        self.record = record
        self.store = Store(_STORE_HOST, free_port(_STORE_HOST), era)
        self.engines: list[Engine] = []
        self.gateways: list[Gateway] = []
        self.attempts: list[clients.Attempt] = []
        self._tasks: set[asyncio.Task[Any]] = set()

    def add_engines(self, service: str, count: int, zone: str = "graz-a") -> list[Engine]:
        """Add engines of a service; they serve once the deployment is open."""
        added = []
        for _ in range(count):
            number = len(self.engines) + 1
            host = f"127.0.41.{100 + number}"
            added.append(Engine(f"i-{number:08x}", service, host, free_port(host), zone))
            self.engines.append(added[-1])
        return added

    async def open(self, gateways: int, **settings: Any) -> None:
        """Open the store, the engines and the gateways, and wait until these are ready.

        :param settings: fields of the gateways' settings that differ from the usual ones.
        """
        await self.store.open()
        for engine in self.engines:
            await engine.open()
        ports = [free_port() for _ in range(4)]
        for number in range(1, gateways + 1):
            self.gateways.append(Gateway(number, self.store.address, ports, gateways, **settings))
            self.gateways[-1].start()
        for gateway in self.gateways:
            await self.wait_ready(gateway, 20.0)

    async def wait_ready(self, gateway: Gateway, timeout_s: float) -> None:
        """Wait until a gateway says that it takes clients.

        :raises CaseNotRunError: if it doesn't in time.
        """
        until = time.monotonic() + timeout_s
        while not await clients.is_ready(gateway.ready):
            if time.monotonic() > until:
                raise CaseNotRunError(f"{gateway.name} is not ready:\n{gateway.log_text[-2000:]}")
            await asyncio.sleep(0.05)
        self.record.write(f"{gateway.name} says that it is ready")

    def close(self) -> None:
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        for gateway in self.gateways:
            gateway.remove()
        for engine in self.engines:
            engine.exit()
        self.store.close()

    def send(self, gateway: Gateway, path: str, key: str, **options: Any) -> None:
        """Send a request in a task of its own."""
        self._start(self._send(gateway, path, key, **options))

    async def _send(self, gateway: Gateway, path: str, key: str, **options: Any) -> None:
        self.attempts.append(await clients.send(gateway.front, path, key, **options))

    def _start(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def send_steadily(
        self, gateway: Gateway, path: str, key: str, per_s: float, **options: Any
    ) -> asyncio.Task[None]:
        """Send requests at a rate until the returned task is cancelled."""

        async def run() -> None:
            next_at = time.monotonic()
            while True:
                self.send(gateway, path, key, **options)
                next_at += 1.0 / per_s
                await asyncio.sleep(max(0.0, next_at - time.monotonic()))

        task = asyncio.get_running_loop().create_task(run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def finish(self, timeout_s: float = 5.0) -> None:
        """Wait for the requests that are on their way."""
        waiting = [task for task in self._tasks if not task.done()]
        if waiting:
            await asyncio.wait(waiting, timeout=timeout_s)

    def write_requests(self) -> None:
        """Write what was sent, answered and run."""
        ran = {
            arrival.request_id: arrival for engine in self.engines for arrival in engine.arrivals
        }
        for attempt in sorted(self.attempts, key=lambda item: item.sent_at):
            arrival = ran.get(attempt.request_id)
            where = "reached no engine"
            if arrival is not None:
                took_ms = (arrival.at - attempt.sent_at) * 1000.0
                word = "run by" if arrival.run else "turned away by"
                where = f"{word} {arrival.engine} (tenant {arrival.tenant}) after {took_ms:.0f} ms"
            text = f"{attempt.request_id} {attempt.label}: {attempt.outcome}; {where}"
            self.record.write(text, attempt.sent_at)
        totals = Counter((attempt.label, attempt.outcome) for attempt in self.attempts)
        for (label, outcome), count in sorted(totals.items()):
            self.record.write(f"total {label}: {outcome}: {count}")


def has_trouble() -> bool:
    """Return whether the case is to have its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    folder: pathlib.Path,
    play: Callable[[Deployment], Awaitable[bool]],
    era: int | None = None,
) -> None:
    """Run a case, and exit with its result.

    :param play: plays it; returns whether the rule held.
    """
    record = Record(folder)
    record.write(f"disruption: {'yes' if has_trouble() else 'no'}")

    async def run() -> int:
        deployment = Deployment(record, era)
        # The processes that were started are ended also if the case itself is stopped.
        this_task = asyncio.current_task()
        assert this_task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this_task.cancel)
        try:
            async with asyncio.timeout(110.0):
                return HELD if await play(deployment) else BROKEN
        except (CaseNotRunError, OSError, TimeoutError) as error:
            record.write(f"the case could not run: {type(error).__name__} {error}")
            return NOT_RUN
        finally:
            deployment.close()

    result = asyncio.run(run())
    record.write({HELD: "the rule held", BROKEN: "the rule was broken"}.get(result, "not run"))
    sys.exit(result)
