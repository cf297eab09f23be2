"""Clients that send one request after the other on kept connections."""

import asyncio
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from review.lib_3.gateways import API_KEY, HOST


@dataclass
class Answer:
    """What a client got for one request.

    :ivar status: 0 if the connection ended without an answer.
    """

    request_id: str
    path: str
    status: int
    sent_at: float
    ended_at: float


@dataclass
class Clients:
    """Clients of all gateways.

    :ivar record: called with a request's id and what happened.
    """

    record: Callable[[str, str], None]
    answers: list[Answer] = field(default_factory=list)
    _numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    async def run(
        self, front: tuple[str, int], method: str, path: str, interval_s: float, until: float
    ) -> None:
        """Send requests at an interval until a clock reading."""
        reader: asyncio.StreamReader | None = None
        writer: asyncio.StreamWriter | None = None
        while time.monotonic() < until:
            request_id = f"{next(self._numbers):016x}"
            sent_at = time.monotonic()
            status, keep = 0, False
            try:
                if reader is None or writer is None:
                    reader, writer = await asyncio.open_connection(*front)
                target = f"{path}{request_id}"
                self.record(request_id, f"{method} {target} is sent to {front[0]}")
                length = "" if method == "GET" else "Content-Length: 0\r\n"
                writer.write(
                    f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"Pearshed-Request-Id: {request_id}\r\nPearshed-Deadline-Ms: 3000\r\n"
                    f"Authorization: Token {API_KEY}\r\n{length}\r\n".encode()
                )
                async with asyncio.timeout(5):
                    status, keep = await _read_answer(reader)
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                pass
            now = time.monotonic()
            self.record(request_id, f"answered {status}" if status else "connection ended")
            self.answers.append(Answer(request_id, path, status, sent_at, now))
            if not keep and writer is not None:
                writer.close()
                reader = writer = None
            await asyncio.sleep(max(0.0, sent_at + interval_s - now))
        if writer is not None:
            writer.close()


async def _read_answer(reader: asyncio.StreamReader) -> tuple[int, bool]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in head[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in fields}
    await reader.readexactly(int(headers.get("content-length", 0)))
    return int(head[0].split(" ")[1]), headers.get("connection", "").lower() != "close"
