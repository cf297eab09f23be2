"""Closed-loop load generator: ``python -m bench.driver --port 8080 --streams 100 --seconds 10``.

Each of a number of callers on loopback sends its next request to one entry when the previous
response has ended. Prints latency and throughput as JSON after the given time.
"""

import argparse
import asyncio
import json
import random
import time
from collections import Counter
from dataclasses import dataclass, field

from tests.lib.fleet import chat_body
from tests.lib.records import API_KEY

_EVENT = b"data: {"
_DONE = b"data: [DONE]"
_STATUS_SLICE = slice(9, 12)


@dataclass
class StreamStatistics:
    """Statistics of all streams.

    :ivar first_s: times to the first token.
    :ivar gaps_s: times between tokens.
    :ivar responses: number of complete responses.
    """

    first_s: list[float] = field(default_factory=list)
    gaps_s: list[float] = field(default_factory=list)
    tokens: int = 0
    responses: int = 0
    failures: Counter[str] = field(default_factory=Counter)


class ClosedLoopCaller:
    """A caller that sends its next request when the previous response has ended."""

    def __init__(
        self, port: int, tokens: int, statistics: StreamStatistics, rng: random.Random
    ) -> None:
        self._port = port
        self._tokens = tokens
        self._statistics = statistics
        self._rng = rng

    async def run(self, deadline: float) -> None:
        """Send requests until the deadline."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port, limit=1 << 20)
        try:
            while time.monotonic() < deadline:
                await self._send_request(reader, writer)
        finally:
            writer.close()

    async def _send_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        body = chat_body(f"call {self._rng.random()}", max_tokens=self._tokens)
        content = json.dumps(body).encode()
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
            f"Authorization: Bearer {API_KEY}\r\nContent-Length: {len(content)}\r\n\r\n"
        )
        started_at = time.monotonic()
        writer.write(head.encode() + content)
        response_head = await reader.readuntil(b"\r\n\r\n")
        if response_head[_STATUS_SLICE] != b"200":
            self._statistics.failures[response_head[_STATUS_SLICE].decode()] += 1
            await self._skip_body(reader, response_head)
            return
        await self._read_stream(reader, started_at)

    async def _skip_body(self, reader: asyncio.StreamReader, head: bytes) -> None:
        for line in head.lower().splitlines():
            if line.startswith(b"content-length:"):
                await reader.readexactly(int(line.partition(b":")[2]))
        await asyncio.sleep(0.2)

    async def _read_stream(self, reader: asyncio.StreamReader, started_at: float) -> None:
        last_event_at = started_at
        awaiting_first = True
        complete = False
        while size := int(await reader.readline(), 16):
            chunk = await reader.readexactly(size + 2)
            now = time.monotonic()
            tokens = chunk.count(_EVENT)
            complete = complete or _DONE in chunk
            if tokens:
                (self._statistics.first_s if awaiting_first else self._statistics.gaps_s).append(
                    now - last_event_at
                )
                awaiting_first = False
                last_event_at = now
            self._statistics.tokens += tokens
        await reader.readline()
        if complete:
            self._statistics.responses += 1
        else:
            self._statistics.failures["broken"] += 1


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile, or 0 without values."""
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))]


async def run_streams(
    port: int, streams: int, tokens: int, seconds: float, seed: int
) -> StreamStatistics:
    """Run the callers, with their starts spread over the first second."""
    statistics = StreamStatistics()
    rng = random.Random(seed)
    deadline = time.monotonic() + seconds

    async def run_delayed(number: int) -> None:
        await asyncio.sleep(number / streams)
        await ClosedLoopCaller(port, tokens, statistics, random.Random(seed + number)).run(deadline)

    del rng
    await asyncio.gather(*(run_delayed(number) for number in range(streams)))
    return statistics


def main() -> None:
    """Run the callers and print one JSON object."""
    parser = argparse.ArgumentParser(description="Closed-loop load generator on loopback.")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--streams", type=int, default=100)
    parser.add_argument("--tokens", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    started_at = time.monotonic()
    statistics = asyncio.run(
        run_streams(options.port, options.streams, options.tokens, options.seconds, options.seed)
    )
    elapsed = time.monotonic() - started_at
    document = {
        "seconds": elapsed,
        "tokens_per_s": statistics.tokens / elapsed,
        "answers_per_s": statistics.responses / elapsed,
        "failures": dict(statistics.failures),
        "first_p50_ms": quantile(statistics.first_s, 0.5) * 1000,
        "first_p95_ms": quantile(statistics.first_s, 0.95) * 1000,
        "gap_p50_ms": quantile(statistics.gaps_s, 0.5) * 1000,
        "gap_p95_ms": quantile(statistics.gaps_s, 0.95) * 1000,
    }
    print(json.dumps(document))


if __name__ == "__main__":
    main()
