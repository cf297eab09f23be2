"""Starts the project's programs with the commands of the deploy file."""

import asyncio
import json
import os
import pathlib
import shlex
import signal
import time
import tomllib
from dataclasses import dataclass
from typing import Any

from lib import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
#: The sheet of kronwacht-ueberhang.
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


class SetupError(Exception):
    """The case couldn't run."""


def command(role: str) -> list[str]:
    """Return the command of a role in the deploy file."""
    with (ROOT / "deploy" / "system.toml").open("rb") as file:
        return shlex.split(tomllib.load(file)["roles"][role]["run"])


@dataclass
class Node:
    """A machine with one program of the system."""

    role: str
    settings: dict[str, Any]
    folder: pathlib.Path
    process: asyncio.subprocess.Process | None = None

    @property
    def name(self) -> str:
        """Name of the machine."""
        return str(self.settings["node"])

    @property
    def front(self) -> tuple[str, int]:
        """Address for clients."""
        return _split(self.settings["listen"]["front"])

    @property
    def ready(self) -> tuple[str, int]:
        """Address for the platform's question whether it is ready."""
        return _split(self.settings["listen"]["ready"])

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def write_settings(self) -> None:
        """Write the settings file."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings), encoding="utf-8")

    async def start(self) -> None:
        """Start the program, with nothing of the caller's environment but what the pages name."""
        self.write_settings()
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "PEARSHED_CONFIG": str(self.folder / f"{self.name}.json"),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command(self.role), stdout=log, stderr=log, cwd=ROOT, env=environment
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.process is not None and self.running:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                response = await wire.read_response(reader)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return response is not None and response.status == 200

    async def until_ready(self, timeout_s: float = 15.0) -> None:
        """Wait until it is ready.

        :raises SetupError: when it isn't in time.
        """
        ends_at = time.monotonic() + timeout_s
        while not await self.is_ready():
            if not self.running or time.monotonic() > ends_at:
                raise SetupError(f"{self.name} doesn't get ready")
            await asyncio.sleep(0.05)


def gateway(
    folder: pathlib.Path, number: int, zone: str, store: str, ports: tuple[int, int], count: int
) -> Node:
    """Describe a gateway's machine.

    :param ports: of the control address, and between nodes; the same on all machines.
    :param count: machines with gateways, the first three of which are seeds.
    """
    ip = f"127.60.0.{number}"
    control, between = ports
    settings = {
        "node": f"edge-{zone}-{number}",
        "role": "gateway",
        "machineClass": "edge",
        "serves": ["edge", "control"],
        "ip": ip,
        "zone": zone,
        "region": "ostalpen",
        "zones": {"graz-a": "ostalpen", "graz-b": "ostalpen", "leoben": "ostalpen"},
        "listen": {
            "front": f"{ip}:{wire.free_port(ip)}",
            "ready": f"{ip}:{wire.free_port(ip)}",
            "control": f"{ip}:{control}",
        },
        "portRange": [between, between + 15],
        "seeds": [f"127.60.0.{seed}:{control}" for seed in range(1, min(3, count) + 1)],
        "bootstrap": True,
        "heartbeatMs": 1200,
        "dataDir": None,
        "discovery": "platform",
        "entry": "vip",
        "bounds": BOUNDS,
        "provider": {"address": store, "form": "read", "readsPerS": 2000, "historyS": 20},
    }
    return Node("gateway", settings, folder)


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
