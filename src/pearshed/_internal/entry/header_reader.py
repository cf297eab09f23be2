"""Reads the headers of a caller's request, and keeps those that the entry uses."""

import threading
from typing import Any

from cheroot import server

#: Threads that parse at the same time would leave the event loop, which talks to sides, little of
#: the processor.
PARSING = threading.Lock()
#: Headers whose values are joined when they are repeated; not in cheroot's stubs.
_LISTS = frozenset(server.comma_separated_headers)  # type: ignore[attr-defined]
_NO_CRLF = "HTTP requires CRLF terminators"
_NO_END = "Illegal end of headers."
_NO_HEADER = "Illegal header line."


class KnownHeaderReader(server.HeaderReader):
    """Reads headers in the pieces in which they arrive, not line by line.

    :param names: of the headers to keep, in the server's spelling.
    """

    def __init__(self, names: frozenset[bytes]) -> None:
        self._names = names

    def __call__(self, rfile: Any, hdict: dict[bytes, bytes] | None = None) -> dict[bytes, bytes]:
        """Read the headers from a buffered reader whose size is checked.

        :raises ValueError: when they are malformed or have no end.
        """
        headers: dict[bytes, bytes] = {} if hdict is None else hdict
        name: bytes | None = None
        unfinished = b""
        while True:
            received = rfile.rfile.peek(1)
            if not received:
                raise ValueError(_NO_END)
            with PARSING:
                *lines, partial = (unfinished + received).split(b"\n")
                parsed = -len(unfinished)
                for line in lines:
                    parsed += len(line) + 1
                    if not line.endswith(b"\r"):
                        raise ValueError(_NO_CRLF)
                    if line == b"\r":
                        rfile.read(parsed)
                        return headers
                    name = self._add(headers, name, line)
                rfile.read(len(received))
                unfinished = partial

    def _add(self, headers: dict[bytes, bytes], name: bytes | None, line: bytes) -> bytes:
        """Add a line; one that begins with white space goes on with the header before.

        :returns: the name of the line's header.
        """
        if line[:1] in (b" ", b"\t"):
            value = line
        else:
            name, separator, value = line.partition(b":")
            if not separator:
                raise ValueError(_NO_HEADER)
            name = name.strip().title()
        if name is None:
            raise ValueError(_NO_HEADER)
        if name in self._names:
            value = value.strip()
            if name in _LISTS and headers.get(name):
                value = headers[name] + b", " + value
            headers[name] = value
        return name
