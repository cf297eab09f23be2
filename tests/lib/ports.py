"""Ports for tests, which no other test process gets meanwhile."""

import fcntl
import os
import pathlib
import random
import socket
import tempfile
from collections import deque

#: Below the kernel's ephemeral ports: an outgoing connection may take one of these before the
#: process meant for it listens.
_FIRST_PORT, _LAST_PORT = 10_000, 32_000
#: After so many, a process gets its own ones again, the oldest first, so that others get some too.
_MAX_PORTS = 4_000
_LOCK_FILE = pathlib.Path(tempfile.gettempdir()) / f"pearshed-test-ports.{os.getuid()}"


class PortRegistry:
    """Hands out ports and locks them until the process ends.

    A port that is free for now isn't enough: tests stop processes and start them again, and in
    between a process of another test run could answer in their place.

    :param first_port: lowest port.
    :param last_port: port after the highest one.
    :param most: ports that are locked at most.
    :param lock_file: one byte of it is locked for each port; the same for all test processes.
    """

    def __init__(
        self,
        first_port: int = _FIRST_PORT,
        last_port: int = _LAST_PORT,
        most: int = _MAX_PORTS,
        lock_file: pathlib.Path = _LOCK_FILE,
    ) -> None:
        self._ports = list(range(first_port, last_port))
        random.Random().shuffle(self._ports)
        self._most = most
        self._locked: deque[int] = deque()
        self._lock_file = lock_file
        self._descriptor: int | None = None

    def take(self) -> int:
        """Return a port on loopback that is free and wasn't returned lately.

        :raises AssertionError: when there is none left.
        """
        while self._ports and len(self._locked) < self._most:
            port = self._ports.pop()
            if self._lock(port):
                self._locked.append(port)
                if _is_free(port):
                    return port
        for port in tuple(self._locked):
            self._locked.rotate(-1)
            if _is_free(port):
                return port
        raise AssertionError("no free port on loopback")

    def _lock(self, port: int) -> bool:
        if self._descriptor is None:
            # Stays open: closing it would give up all locks of this process.
            self._descriptor = os.open(self._lock_file, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.lockf(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
        except OSError:
            return False
        return True


def _is_free(port: int) -> bool:
    try:
        for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(type=socket_type) as probe:
                probe.bind(("127.0.0.1", port))
    except OSError:
        return False
    return True


_registry = PortRegistry()


def free_port() -> int:
    """Return a port on loopback that is free and that no other test process gets."""
    return _registry.take()
