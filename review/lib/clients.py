"""Clients as the pages describe them: kept connections, deadlines and retries."""

import asyncio
import itertools
import time
from collections.abc import Sequence
from dataclasses import dataclass

from lib import wire
from lib.system import Node

#: Statuses that promise that the request has not run.
PROMISES = frozenset((408, 421, 429, 503))
#: Statuses after which no request is sent again.
FINAL = frozenset((400, 401, 404, 413, 431))
#: Each attempt of all clients has an id of its own.
_NUMBERS = itertools.count(1)


@dataclass
class Outcome:
    """How one attempt of a client ended.

    :ivar status: 0 if the connection ended without a response.
    :ivar number: of the attempt, from 1.
    """

    request_id: str
    kind: str
    node: str
    sent_at: float
    ended_at: float
    status: int
    complete: bool
    body: bytes
    headers: dict[str, str]
    number: int

    @property
    def signed(self) -> bool:
        """Whether an engine's signature came with it."""
        return "pearshed-response-signature" in self.headers


class Clients:
    """Sends requests of one kind at a steady rate.

    :param path: of the requests.
    :param retries: attempts after the first.
    """

    def __init__(
        self,
        kind: str,
        path: str,
        host: str,
        api_key: str,
        nodes: Sequence[Node],
        outcomes: list[Outcome],
        deadline_s: float = 1.5,
        retries: int = 1,
    ) -> None:
        self._kind = kind
        self._path = path
        self._host = host
        self._api_key = api_key
        self._nodes = nodes
        self._outcomes = outcomes
        self._deadline_s = deadline_s
        self._retries = retries
        self._tasks: set[asyncio.Task[None]] = set()
        self._idle: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}

    async def run(self, per_s: float, for_s: float) -> None:
        """Send requests for a while, and wait until all have ended."""
        ends_at = time.monotonic() + for_s
        for number in itertools.count():
            if time.monotonic() >= ends_at:
                break
            node = self._nodes[number % len(self._nodes)]
            task = asyncio.create_task(self._request(node))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*tuple(self._tasks))
        for connections in self._idle.values():
            for _, writer in connections:
                writer.close()

    async def _request(self, node: Node) -> None:
        ends_at = time.monotonic() + self._deadline_s
        for number in range(1, self._retries + 2):
            outcome = await self._attempt(node, ends_at, number)
            self._outcomes.append(outcome)
            failed = outcome.status >= 300 or not outcome.complete
            if not failed or outcome.status in FINAL:
                return
            if self._kind == "non_idempotent" and outcome.status not in PROMISES:
                return
            left_s = ends_at - time.monotonic()
            pause_s = min(float(outcome.headers.get("retry-after", 0.01)), left_s / 3)
            if left_s <= 0.05:
                return
            await asyncio.sleep(pause_s)
            node = self._nodes[(self._nodes.index(node) + 1) % len(self._nodes)]

    async def _attempt(self, node: Node, ends_at: float, number: int) -> Outcome:
        request_id = f"{self._kind[0]}{next(_NUMBERS):08x}"
        sent_at = time.monotonic()
        response: wire.Message | None = None
        try:
            async with asyncio.timeout(ends_at - sent_at):
                # A retry uses a new connection.
                reader, writer = await self._connect(node, new=number > 1)
                writer.write(self._encode(request_id, ends_at - time.monotonic()))
                response = await wire.read_response(reader)
                closes = response is None or response.headers.get("connection") == "close"
                if closes:
                    writer.close()
                else:
                    self._idle[node.name].append((reader, writer))
        except (OSError, TimeoutError):
            pass
        return Outcome(
            request_id,
            self._kind,
            node.name,
            sent_at,
            time.monotonic(),
            response.status if response is not None else 0,
            response.complete if response is not None else False,
            response.body if response is not None else b"",
            response.headers if response is not None else {},
            number,
        )

    async def _connect(
        self, node: Node, *, new: bool
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        idle = self._idle.setdefault(node.name, [])
        while idle and not new:
            reader, writer = idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
        return await asyncio.open_connection(*node.front)

    def _encode(self, request_id: str, left_s: float) -> bytes:
        headers = {
            "Host": self._host,
            "Pearshed-Request-Id": request_id,
            "Pearshed-Deadline-Ms": str(int(left_s * 1000)),
            "Authorization": f"Token {self._api_key}",
        }
        method = "GET" if self._kind == "idempotent" else "POST"
        body = b"" if method == "GET" else b"order " * 100
        content = wire.encode(f"{method} {self._path} HTTP/1.1", headers, body)
        return content if body else content.replace(b"Content-Length: 0\r\n", b"")
