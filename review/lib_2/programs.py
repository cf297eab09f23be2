"""Starts the project's programs with the commands of the deploy file."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]


def free_port(host: str = "127.0.0.1", kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free at a loopback address."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


def bounds(**changed: Any) -> dict[str, Any]:
    """Return the bounds of the small deployment ``kronwacht-ueberhang``."""
    return {
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
        **changed,
    }


class Gateway:
    """A gateway on a loopback address of its own.

    :param ports: the ports for clients, readiness, control and peers, the same on all machines.
    """

    def __init__(
        self, number: int, store: str, ports: list[int], count: int, **settings: Any
    ) -> None:
        self.name = f"edge-{number}"
        self._host = f"127.0.41.{number}"
        self.front = (self._host, ports[0])
        self.ready = (self._host, ports[1])
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._path = pathlib.Path(self._folder.name, "boot.json")
        self._log = pathlib.Path(self._folder.name, "log")
        self._process: subprocess.Popen[bytes] | None = None
        document = {
            "node": self.name,
            "role": "gateway",
            "machineClass": "edge",
            "serves": ["edge", "control"],
            "ip": self._host,
            "zone": "graz-a",
            "region": "ostalpen",
            "zones": {"graz-a": "ostalpen", "graz-b": "ostalpen"},
            "listen": {
                "front": f"{self._host}:{ports[0]}",
                "ready": f"{self._host}:{ports[1]}",
                "control": f"{self._host}:{ports[2]}",
            },
            "portRange": [ports[3], ports[3]],
            "seeds": [f"127.0.41.{other}:{ports[2]}" for other in range(1, count + 1)][:3],
            "bootstrap": True,
            "limits": {"cpuShare": 0.817, "cores": 1, "memoryMb": 150, "maxFds": 1000},
            "dataDir": None,
            "heartbeatMs": 1200,
            "bounds": bounds(),
            "provider": {"address": store, "form": "read", "readsPerS": 2000, "historyS": 20},
            **settings,
        }
        self._path.write_text(json.dumps(document))

    @property
    def log_text(self) -> str:
        """What the process has written so far."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            **os.environ,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PEARSHED_CONFIG": str(self._path),
        }
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                ["python3", "-m", "pearshed", "gateway"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self._process is not None and self.alive:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, and wait for its end."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def remove(self) -> None:
        """Kill the process, and remove its files."""
        self.kill()
        self._folder.cleanup()
