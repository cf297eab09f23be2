"""Runs processes of the users' platform as the platform does, and reads what they use."""

import asyncio
import contextlib
import json
import os
import pathlib
import sys
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from pearshed._internal.utils.addresses import Address
from tests.lib.gateway_fixture import free_address
from tests.lib.ports import free_port

ROOT = pathlib.Path(__file__).resolve().parents[2]
KIB = 1024
MIB = 1024 * 1024
_SAMPLE_INTERVAL_S = 0.01


@dataclass(frozen=True)
class ResourceUse:
    """What a process has used at most.

    :ivar memory_mb: resident memory.
    :ivar descriptors: open descriptors of any kind, when they were sampled.
    """

    memory_mb: float
    descriptors: int


class ProcessSampler:
    """Reads what a process uses.

    :param pid: of the process.
    """

    def __init__(self, pid: int) -> None:
        self._pid = pid
        self._most_descriptors = 0

    @property
    def use(self) -> ResourceUse:
        """What the process has used at most so far."""
        self._sample()
        status = pathlib.Path(f"/proc/{self._pid}/status").read_text()
        peak = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
        return ResourceUse(int(peak.split()[1]) / KIB, self._most_descriptors)

    @contextlib.contextmanager
    def sampled(self) -> Iterator[None]:
        """Sample the open descriptors meanwhile."""
        task = asyncio.get_running_loop().create_task(self._sample_often())
        try:
            yield
        finally:
            task.cancel()

    async def _sample_often(self) -> None:
        while True:
            self._sample()
            await asyncio.sleep(_SAMPLE_INTERVAL_S)

    def _sample(self) -> None:
        with contextlib.suppress(OSError):
            count = len(os.listdir(f"/proc/{self._pid}/fd"))
            self._most_descriptors = max(self._most_descriptors, count)


class SystemProcess:
    """A process under test.

    :param arguments: of the program ``pearshed``.
    :param log: file for its output.
    """

    def __init__(self, arguments: list[str], log: pathlib.Path) -> None:
        self._arguments = arguments
        self._log = log
        self._process: asyncio.subprocess.Process | None = None

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    @property
    def log_text(self) -> str:
        """What it has written so far."""
        return self._log.read_text(errors="replace")

    async def start(self) -> None:
        """Start the process."""
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "pearshed",
                *self._arguments,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
            )
        self._sampler = ProcessSampler(self._process.pid)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()

    def resource_use(self) -> ResourceUse:
        """Return what the process has used at most so far."""
        return self._sampler.use

    def sampled(self) -> contextlib.AbstractContextManager[None]:
        """Sample the open descriptors meanwhile."""
        return self._sampler.sampled()


def gateway_document(store: Address, **overrides: Any) -> Mapping[str, Any]:
    """Create the settings file of a gateway on loopback, as the platform writes it."""
    port = free_port()
    return {
        "node": "edge-olympia-1",
        "zone": "olympia",
        "ip": "127.0.0.1",
        "listen": {
            "front": str(free_address()),
            "ready": str(free_address()),
            "control": str(free_address()),
        },
        "portRange": [port, port + 1],
        "seeds": [],
        "bounds": {
            "failClosed": True,
            "revokeMs": 5000,
            "graceS": 8,
            "retryBudgetRatio": 0.2,
            "budgetSlack": 200,
            "budgetWindowS": 10,
        },
        "zones": {"olympia": "cascadia"},
        "provider": {"address": str(store)},
        **overrides,
    }


def engine_side_document(engine: Address, **overrides: Any) -> Mapping[str, Any]:
    """Create the settings file of the process beside an engine."""
    port = free_port()
    return {
        "node": "side-olympia-1",
        "zone": "olympia",
        "ip": "127.0.0.1",
        "portRange": [port, port + 1],
        "app": str(engine),
        **overrides,
    }


def platform_process(
    command: str, document: Mapping[str, Any], directory: pathlib.Path
) -> SystemProcess:
    """Create a process from its settings file.

    :param directory: for the file and the log.
    """
    path = directory / f"{document['node']}.json"
    path.write_text(json.dumps(document))
    log = directory / f"{document['node']}.log"
    return SystemProcess([command, "--settings", str(path)], log)
