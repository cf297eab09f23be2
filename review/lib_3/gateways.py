"""Gateways as separate processes, started by the command of the deploy file."""

import asyncio
import json
import os
import pathlib
import socket
import sys
import tomllib
from collections.abc import Sequence
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
API_KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "failClosed": True,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 54,
    "recoverS": 12,
    "passMs": 120,
    "retryAfterS": 8.7,
}


def free_port(host: str) -> int:
    """Return a TCP port that is free at a host."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def route(name: str, kind: str, service: str, **overrides: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "name": name,
        "hostname": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 400,
        "priority": 0,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
        **overrides,
    }


def configuration(
    version: int, routes: Sequence[dict[str, Any]], services: Sequence[str]
) -> dict[str, Any]:
    """Return what the operator writes to ``op/config``."""
    return {
        "version": version,
        "routes": list(routes),
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1"}
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "hule930", "apiKeys": [API_KEY], "priority": 1}],
    }


class Gateways:
    """The gateways of a small deployment; each has a loopback address of its own."""

    def __init__(self, directory: pathlib.Path, store: tuple[str, int], count: int) -> None:
        self._directory = directory
        self._store = store
        self._hosts = [f"127.0.40.{number + 1}" for number in range(count)]
        ports = [free_port(self._hosts[0]) for _ in range(4)]
        self._front, self._ready, self._control, self._peers = ports
        self._processes: dict[int, asyncio.subprocess.Process] = {}

    @property
    def fronts(self) -> list[tuple[str, int]]:
        """Addresses for clients."""
        return [(host, self._front) for host in self._hosts]

    async def start(self) -> None:
        """Start all gateways, and wait until they are ready."""
        for number in range(len(self._hosts)):
            await self.start_one(number)
        async with asyncio.timeout(20):
            while not all([await self._is_ready(host) for host in self._hosts]):
                await asyncio.sleep(0.1)

    async def start_one(self, number: int) -> None:
        """Start one gateway with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        path = self._directory / f"edge-{number}.json"
        path.write_text(json.dumps(self._settings(number, self._hosts[number])))
        with (self._directory / f"edge-{number}.log").open("ab") as log:
            self._processes[number] = await asyncio.create_subprocess_exec(
                *deploy["roles"]["gateway"]["run"].split(),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PEARSHED_CONFIG": str(path),
                },
            )

    async def kill_one(self, number: int) -> None:
        """End one gateway by SIGKILL, if it runs, and wait until it has ended."""
        process = self._processes[number]
        if process.returncode is None:
            process.kill()
        await process.wait()

    async def kill(self) -> None:
        """End the processes that run, and wait until they have ended."""
        for number in self._processes:
            await self.kill_one(number)

    async def _is_ready(self, host: str) -> bool:
        try:
            reader, writer = await asyncio.open_connection(host, self._ready)
        except OSError:
            return False
        try:
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: %s\r\n\r\n" % host.encode())
            return b" 200 " in await reader.readline()
        except ConnectionError:
            return False
        finally:
            writer.close()

    def _settings(self, number: int, host: str) -> dict[str, Any]:
        return {
            "node": f"edge-olympia-{number + 1}",
            "role": "gateway",
            "machineClass": "edge",
            "serves": ["edge", "control"],
            "ip": host,
            "zone": "olympia",
            "region": "cascadia",
            "zones": {"olympia": "cascadia"},
            "listen": {
                "front": f"{host}:{self._front}",
                "ready": f"{host}:{self._ready}",
                "control": f"{host}:{self._control}",
            },
            "portRange": [self._peers, self._peers + 15],
            "seeds": [f"{seed}:{self._control}" for seed in self._hosts[:3]],
            "bootstrap": True,
            "lossCounts": False,
            "limits": {
                "cpuShare": 0.817,
                "cores": 1,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "provider": {
                "address": f"{self._store[0]}:{self._store[1]}",
                "form": "read",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }


def main(run: Any) -> None:
    """Run a case, and exit with its result; 2 if it couldn't run."""
    try:
        sys.exit(asyncio.run(run()))
    except (OSError, TimeoutError, KeyError) as error:
        print(f"the case couldn't run: {error!r}", file=sys.stderr)
        sys.exit(2)
