"""Sends crowds of misbehaving clients to processes, and watches what these use."""

import asyncio
import contextlib
import enum
import itertools
import os
import pathlib
import random
import time
from collections.abc import Sequence

from pearshed._internal.utils.addresses import Address
from soak.testbed import API_KEYS, CROWD_LIMITS, Node, Testbed
from tests.lib import crowds_of_requests as requests
from tests.lib.crowds import Crowd, CrowdRun, repeated
from tests.lib.gateway_platform import HOST

_SAMPLE_INTERVAL_S = 0.05
_KIB = 1024
_HEADER_BYTES = int(CROWD_LIMITS["maxHeaderBytes"])
_NUMBERS = itertools.count()
_BODY_BYTES = int(CROWD_LIMITS["maxBodyBytes"])


class Crowds(enum.StrEnum):
    """Whether crowds come in a run.

    ``UNBOUNDED``: they do, and the processes' settings let connections hold more than the check
    does. A run which still holds would prove that the check finds nothing.
    """

    NONE = "none"
    ENDURED = "endured"
    UNBOUNDED = "unbounded"


def _head(path: str, *lines: str) -> bytes:
    standard = (
        f"POST /{path}/a HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Token {API_KEYS[0]}",
        f"Pearshed-Request-Id: crowd-{next(_NUMBERS)}",
        "Pearshed-Deadline-Ms: 3000",
    )
    return "".join(f"{line}\r\n" for line in (*standard, *lines)).encode()


_SMALL = _head("nowhere", "Content-Length: 0") + b"\r\n"
_CROWDS = (
    Crowd("silent", 300, list, connections=3),
    Crowd("half heads", 300, lambda: [_head("lookup")], connections=3),
    Crowd(
        "short lines",
        150,
        lambda: requests.open_head(_head("lookup"), requests.SHORTEST_LINE, _HEADER_BYTES),
    ),
    Crowd(
        "trailers", 8, lambda: requests.trailers(_head("lookup"), requests.TRAILER, 2 * _BODY_BYTES)
    ),
    Crowd(
        "bodies a byte short",
        40,
        lambda: requests.body(_head("lookup"), _BODY_BYTES, _BODY_BYTES - 1),
        connections=2,
    ),
    Crowd("small chunks", 20, lambda: requests.chunks(_head("lookup"), b"xx", 64 * _KIB)),
    Crowd("whole bodies", 40, lambda: requests.body(_head("lookup"), _BODY_BYTES, _BODY_BYTES)),
    Crowd("sent ahead", 10, lambda: repeated(_SMALL, 512 * _KIB), reads=False),
)


class CrowdSender:
    """Lets crowds come, and records the resources of all processes.

    :param rng: another than that of the faults, whose order does not depend on crowds.
    """

    def __init__(self, testbed: Testbed, rng: random.Random) -> None:
        self._testbed = testbed
        self._rng = rng
        self.sent: list[str] = []

    async def run(self, duration_s: float) -> None:
        """Send crowds, which may overlap, for the duration."""
        sampling = asyncio.create_task(self._sample())
        deadline = time.monotonic() + duration_s
        try:
            async with asyncio.TaskGroup() as crowds:
                while time.monotonic() < deadline:
                    crowds.create_task(self._send(self._rng.choice(_CROWDS)))
                    await asyncio.sleep(self._rng.uniform(0.2, 1.5))
        finally:
            sampling.cancel()

    async def _send(self, crowd: Crowd) -> None:
        number = self._rng.randrange(len(self._testbed.gateways))
        addresses: Sequence[Address] = (
            self._testbed.caller_addresses[number],
            self._testbed.caller_addresses[number],
            self._testbed.page_addresses[number],
        )
        self.sent.append(crowd.name)
        run = CrowdRun(crowd, self._rng.choice(addresses))
        try:
            async with asyncio.timeout(self._rng.uniform(1.0, 6.0)):
                await run.start()
                await asyncio.sleep(self._rng.uniform(0.0, 2.0))
        except TimeoutError:
            pass
        finally:
            run.stop()

    async def _sample(self) -> None:
        while True:
            for node in (*self._testbed.gateways, *self._testbed.sides):
                with contextlib.suppress(OSError, ProcessLookupError):
                    self._record(node)
            await asyncio.sleep(_SAMPLE_INTERVAL_S)

    def _record(self, node: Node) -> None:
        if node.process is None:
            return
        exit_status = node.process.returncode
        if exit_status is not None:
            if exit_status > 0:
                self._testbed.history.own_ends.add(f"{node.name}: exit status {exit_status}")
            return
        process = pathlib.Path(f"/proc/{node.process.pid}")
        descriptors = len(os.listdir(process / "fd"))
        lines = (process / "status").read_text().splitlines()
        peak_kib = next((int(line.split()[1]) for line in lines if line.startswith("VmHWM:")), 0)
        most = self._testbed.history.resources.get(node.name, (0.0, 0))
        self._testbed.history.resources[node.name] = (
            max(most[0], peak_kib / _KIB),
            max(most[1], descriptors),
        )
