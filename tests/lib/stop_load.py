"""Callers that keep sending requests while a process stops."""

import contextlib
import enum
import itertools
import socket
import threading
from collections import Counter
from collections.abc import Callable

from pearshed._internal.utils.addresses import Address

_TIMEOUT_S = 30.0
_HEAD_END = b"\r\n\r\n"


class Fate(enum.Enum):
    """What became of a request.

    ``CUT``: it was sent whole, and its connection ended without a complete response.
    ``UNREACHABLE``: no connection could be opened; a load balancer would use another process.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    CUT = "cut"
    UNREACHABLE = "unreachable"


class StopLoad:
    """Sends requests from several threads until the address is unreachable.

    Half of the threads open a connection for each request; the others keep theirs until a response
    announces that it will be closed.

    :param build: builds a request from its number.
    """

    def __init__(self, address: Address, build: Callable[[int], bytes], callers: int) -> None:
        self._address = (address.host, address.port)
        self._build = build
        self._numbers = itertools.count(1)
        self._fates: list[Fate] = []
        self._threads = [
            threading.Thread(target=self._run, args=(number % 2 == 0,), daemon=True)
            for number in range(callers)
        ]

    @property
    def counts(self) -> Counter[Fate]:
        """Number of requests by what became of them."""
        return Counter(self._fates)

    def start(self) -> None:
        """Start the callers."""
        for thread in self._threads:
            thread.start()

    @property
    def finished(self) -> bool:
        """Whether every caller has found the address unreachable."""
        return not any(thread.is_alive() for thread in self._threads)

    def _run(self, keeps_connection: bool) -> None:
        while True:
            try:
                connection = socket.create_connection(self._address, _TIMEOUT_S)
            except OSError:
                self._fates.append(Fate.UNREACHABLE)
                return
            with contextlib.closing(connection):
                while self._exchange(connection, keeps_connection) and keeps_connection:
                    pass

    def _exchange(self, connection: socket.socket, keep: bool) -> bool:
        """Send a request and read its response; return whether the connection goes on."""
        try:
            connection.sendall(self._build(next(self._numbers)))
            head, complete = _read_response(connection)
        except OSError:
            head, complete = b"", False
        if not complete:
            self._fates.append(Fate.CUT)
            return False
        refused = head.split(b" ", 2)[1] == b"503"
        self._fates.append(Fate.REFUSED if refused else Fate.ANSWERED)
        return keep and b"connection: close" not in head.lower()


def _read_response(connection: socket.socket) -> tuple[bytes, bool]:
    """Read a response with a length; return its head, and whether it is complete."""
    received = b""
    while _HEAD_END not in received:
        content = connection.recv(65536)
        if not content:
            return received, False
        received += content
    head, _, body = received.partition(_HEAD_END)
    lengths = [
        int(line.partition(b":")[2])
        for line in head.split(b"\r\n")
        if line.lower().startswith(b"content-length:")
    ]
    while len(body) < lengths[0]:
        content = connection.recv(65536)
        if not content:
            return head, False
        body += content
    return head, True
