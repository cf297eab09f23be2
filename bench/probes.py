"""Readings of what processes on this machine use."""

import pathlib
import threading
from collections.abc import Sequence
from dataclasses import dataclass

import psutil

from tests.lib.fleet import Node


@dataclass(frozen=True)
class Usage:
    """What a process used over a time.

    :ivar cores: part of a core, user and system time.
    :ivar rss_bytes: resident memory at the end, bytes.
    """

    cores: float
    rss_bytes: int


def rest(seconds: float) -> None:
    """Let the processes run."""
    threading.Event().wait(seconds)


def loopback_bytes() -> int:
    """Read the bytes that the loopback interface has carried, packet headers included."""
    for line in pathlib.Path("/proc/net/dev").read_text().splitlines():
        name, _, fields = line.partition(":")
        if name.strip() == "lo":
            return int(fields.split()[8])
    raise RuntimeError("there is no loopback interface")


def cpu_seconds(node: Node) -> float:
    """Read the processor time that a process has used, seconds."""
    times = psutil.Process(node.process.pid).cpu_times()
    return float(times.user + times.system)


def rss_bytes(node: Node) -> int:
    """Read a process's resident memory, bytes."""
    return int(psutil.Process(node.process.pid).memory_info().rss)


def watch(nodes: Sequence[Node], seconds: float) -> tuple[list[Usage], float]:
    """Watch processes for a while.

    :returns: what each used, and the bytes a second that loopback carried meanwhile.
    """
    before = [cpu_seconds(node) for node in nodes]
    carried = loopback_bytes()
    rest(seconds)
    carried = loopback_bytes() - carried
    after = [cpu_seconds(node) for node in nodes]
    usages = [
        Usage((end - start) / seconds, rss_bytes(node))
        for node, start, end in zip(nodes, before, after, strict=True)
    ]
    return usages, carried / seconds
