"""Measures the resource usage of processes on this machine."""

import pathlib
import threading
from collections.abc import Sequence
from dataclasses import dataclass

import psutil

from tests.lib.fleet import Node


@dataclass(frozen=True)
class ResourceUsage:
    """Resource usage of a process over a period.

    :ivar cores: user and system time, in cores.
    :ivar rss_bytes: resident memory at the end of the period.
    """

    cores: float
    rss_bytes: int


def wait(seconds: float) -> None:
    """Block while the processes run."""
    threading.Event().wait(seconds)


def loopback_bytes() -> int:
    """Return the bytes sent over the loopback interface, packet headers included."""
    for line in pathlib.Path("/proc/net/dev").read_text().splitlines():
        name, _, fields = line.partition(":")
        if name.strip() == "lo":
            return int(fields.split()[8])
    raise RuntimeError("there is no loopback interface")


def cpu_seconds(node: Node) -> float:
    """Return the CPU time that a process has used."""
    times = psutil.Process(node.process.pid).cpu_times()
    return float(times.user + times.system)


def rss_bytes(node: Node) -> int:
    """Return a process's resident memory."""
    return int(psutil.Process(node.process.pid).memory_info().rss)


def measure_usage(nodes: Sequence[Node], seconds: float) -> tuple[list[ResourceUsage], float]:
    """Measure processes for a period.

    :returns: usage of each process, and the loopback traffic in bytes per second.
    """
    before = [cpu_seconds(node) for node in nodes]
    traffic_bytes = loopback_bytes()
    wait(seconds)
    traffic_bytes = loopback_bytes() - traffic_bytes
    after = [cpu_seconds(node) for node in nodes]
    usages = [
        ResourceUsage((end - start) / seconds, rss_bytes(node))
        for node, start, end in zip(nodes, before, after, strict=True)
    ]
    return usages, traffic_bytes / seconds
