"""Clients that send one request to a gateway and note what came of it."""

import asyncio
import dataclasses
import itertools
import os
import time

from lib_2 import http1

HOST = "rota.example"
_numbers = itertools.count(1)
_run = os.urandom(4).hex()


@dataclasses.dataclass
class Attempt:
    """One attempt of a client.

    :ivar sent_at: reading of the steady clock when its last byte was sent, seconds.
    :ivar outcome: the status, or why there was none.
    """

    request_id: str
    label: str
    sent_at: float
    outcome: str = ""
    ended_at: float = 0.0


def new_id() -> str:
    """Return the id of a new attempt."""
    return f"{_run}{next(_numbers):08x}"


async def send(
    front: tuple[str, int],
    path: str,
    key: str,
    method: str = "POST",
    body: bytes = b"{}",
    deadline_ms: int = 3000,
    label: str = "",
) -> Attempt:
    """Send a request on a connection of its own, and wait for the answer until the deadline."""
    attempt = Attempt(new_id(), label or path, time.monotonic())
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*front)
        headers = {
            "Host": HOST,
            "Pearshed-Request-Id": attempt.request_id,
            "Pearshed-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {key}",
        }
        writer.write(http1.encode(f"{method} {path} HTTP/1.1", headers, body))
        attempt.sent_at = time.monotonic()
        async with asyncio.timeout(deadline_ms / 1000.0):
            response = await http1.read_response(reader)
        if response is None:
            attempt.outcome = "closed without an answer"
        else:
            attempt.outcome = str(response.status) if response.whole else "cut"
    except TimeoutError:
        attempt.outcome = "deadline"
    except OSError:
        attempt.outcome = "no connection"
    finally:
        attempt.ended_at = time.monotonic()
        if writer is not None:
            writer.close()
    return attempt


async def is_ready(ready: tuple[str, int]) -> bool:
    """Ask a gateway whether it takes clients, as the platform does."""
    try:
        async with asyncio.timeout(0.5):
            reader, writer = await asyncio.open_connection(*ready)
            writer.write(http1.encode("GET /v1/readyz HTTP/1.1", {"Host": "platform"}))
            response = await http1.read_response(reader)
            writer.close()
            return response is not None and response.status == 200
    except (OSError, TimeoutError):
        return False
