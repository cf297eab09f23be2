"""Callers for measurements: ``python -m bench.driver --port 8080 --streams 100 --seconds 10``.

Keeps a number of streams open against one entry on loopback, each followed by the next, and
prints what they saw as JSON. It stops by itself.
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
_STATUS_AT = slice(9, 12)


@dataclass
class Seen:
    """What the streams have seen within the measured time.

    :ivar first_s: times to the first token, seconds.
    :ivar gaps_s: times between tokens, seconds.
    """

    first_s: list[float] = field(default_factory=list)
    gaps_s: list[float] = field(default_factory=list)
    tokens: int = 0
    answers: int = 0
    failures: Counter[str] = field(default_factory=Counter)


class Stream:
    """One caller that asks again as soon as it has its answer."""

    def __init__(self, port: int, tokens: int, seen: Seen, source: random.Random) -> None:
        self._port = port
        self._tokens = tokens
        self._seen = seen
        self._random = source

    async def run(self, until: float) -> None:
        """Ask until the time is up."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port, limit=1 << 20)
        try:
            while time.monotonic() < until:
                await self._ask(reader, writer)
        finally:
            writer.close()

    async def _ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        body = chat_body(f"call {self._random.random()}", max_tokens=self._tokens)
        content = json.dumps(body).encode()
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
            f"Authorization: Bearer {API_KEY}\r\nContent-Length: {len(content)}\r\n\r\n"
        )
        started = time.monotonic()
        writer.write(head.encode() + content)
        answer_head = await reader.readuntil(b"\r\n\r\n")
        if answer_head[_STATUS_AT] != b"200":
            self._seen.failures[answer_head[_STATUS_AT].decode()] += 1
            await self._skip_body(reader, answer_head)
            return
        await self._read_stream(reader, started)

    async def _skip_body(self, reader: asyncio.StreamReader, head: bytes) -> None:
        for line in head.lower().splitlines():
            if line.startswith(b"content-length:"):
                await reader.readexactly(int(line.partition(b":")[2]))
        await asyncio.sleep(0.2)

    async def _read_stream(self, reader: asyncio.StreamReader, started: float) -> None:
        last = started
        first = True
        whole = False
        while size := int(await reader.readline(), 16):
            chunk = await reader.readexactly(size + 2)
            moment = time.monotonic()
            tokens = chunk.count(_EVENT)
            whole = whole or _DONE in chunk
            if tokens:
                (self._seen.first_s if first else self._seen.gaps_s).append(moment - last)
                first = False
                last = moment
            self._seen.tokens += tokens
        await reader.readline()
        if whole:
            self._seen.answers += 1
        else:
            self._seen.failures["broken"] += 1


def quantile(values: list[float], fraction: float) -> float:
    """Find a quantile, or 0 of nothing."""
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))]


async def drive(port: int, streams: int, tokens: int, seconds: float, seed: int) -> Seen:
    """Run the streams, their starts spread over the first second."""
    seen = Seen()
    source = random.Random(seed)
    until = time.monotonic() + seconds

    async def later(number: int) -> None:
        await asyncio.sleep(number / streams)
        await Stream(port, tokens, seen, random.Random(seed + number)).run(until)

    del source
    await asyncio.gather(*(later(number) for number in range(streams)))
    return seen


def main() -> None:
    """Run and print one JSON object."""
    parser = argparse.ArgumentParser(description="Callers for measurements on loopback.")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--streams", type=int, default=100)
    parser.add_argument("--tokens", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    started = time.monotonic()
    seen = asyncio.run(
        drive(options.port, options.streams, options.tokens, options.seconds, options.seed)
    )
    elapsed = time.monotonic() - started
    document = {
        "seconds": elapsed,
        "tokens_per_s": seen.tokens / elapsed,
        "answers_per_s": seen.answers / elapsed,
        "failures": dict(seen.failures),
        "first_p50_ms": quantile(seen.first_s, 0.5) * 1000,
        "first_p95_ms": quantile(seen.first_s, 0.95) * 1000,
        "gap_p50_ms": quantile(seen.gaps_s, 0.5) * 1000,
        "gap_p95_ms": quantile(seen.gaps_s, 0.95) * 1000,
    }
    print(json.dumps(document))


if __name__ == "__main__":
    main()
