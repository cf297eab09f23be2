"""Callers that arrive at a rate, whatever becomes of those before them.

``python -m bench.arrivals --site kronwacht --ports 8080,8081 --rate 50 --seconds 10`` prints what
each class got as JSON. A caller that has waited four times its target for the first part goes.
"""

import argparse
import asyncio
import json
import random
import time
import uuid
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field

from bench.sites import SITES, Site, Traffic
from tests.lib.fleet import chat_body

_PATIENCE_TARGETS = 4.0
_DONE = b"data: [DONE]"


@dataclass
class ClassResult:
    """What the calls of one class got.

    :ivar offered: calls made.
    :ivar in_time: calls whose first part came within the target and whose answer was whole.
    """

    offered: int = 0
    in_time: int = 0
    whole: int = 0
    refused: int = 0
    failed: int = 0
    left: int = 0
    whole_tokens: int = 0
    first_ms: list[float] = field(default_factory=list)


@dataclass(frozen=True)
class Call:
    """One call to make."""

    at_s: float
    traffic: Traffic
    customer: int
    tokens: int
    number: int


def plan(site: Site, rate: float, seconds: float, flood: str, seed: int) -> list[Call]:
    """Draw the calls of a run; the same seed draws the same calls.

    :param flood: a class whose share is multiplied by eight, or an empty string.
    """
    source = random.Random(seed)
    calls: list[Call] = []
    for item in site.traffic:
        class_rate = rate * item.share * (8.0 if item.class_name == flood else 1.0)
        moment = source.expovariate(class_rate)
        while moment < seconds:
            customer = min(int(source.expovariate(0.4)), site.customers - 1)
            tokens = source.randint(*item.tokens)
            calls.append(Call(moment, item, customer, tokens, len(calls)))
            moment += source.expovariate(class_rate)
    return sorted(calls, key=lambda call: call.at_s)


class Caller:
    """Makes one call on a connection of its own."""

    def __init__(self, port: int, result: ClassResult) -> None:
        self._port = port
        self._result = result

    async def run(self, call: Call) -> None:
        """Make the call and note what became of it."""
        self._result.offered += 1
        started = time.monotonic()
        writer = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self._port, limit=1 << 20)
            writer.write(_request(call))
            patience_s = call.traffic.target_ms * _PATIENCE_TARGETS / 1000
            async with asyncio.timeout(patience_s):
                head = await reader.readuntil(b"\r\n\r\n")
            first_ms = (time.monotonic() - started) * 1000
            if not head.startswith(b"HTTP/1.1 200"):
                self._result.refused += 1
                return
            content = await reader.read(-1)
            self._note_answer(call, first_ms, content)
        except TimeoutError:
            self._result.left += 1
        except (OSError, asyncio.IncompleteReadError):
            self._result.failed += 1
        finally:
            if writer is not None:
                writer.close()

    def _note_answer(self, call: Call, first_ms: float, content: bytes) -> None:
        if not call.traffic.plain and _DONE not in content:
            self._result.failed += 1
            return
        self._result.whole += 1
        self._result.whole_tokens += call.tokens
        self._result.first_ms.append(first_ms)
        if first_ms <= call.traffic.target_ms:
            self._result.in_time += 1


def _request(call: Call) -> bytes:
    item = call.traffic
    if item.plain:
        path = f"/services/{item.service}/x"
        content = f"call-{call.number}".encode()
    else:
        path = "/v1/chat/completions"
        body = chat_body(f"call-{call.number}", max_tokens=call.tokens)
        content = json.dumps(body).encode()
    key = "" if item.idempotent else f"Idempotency-Key: {_key(call)}\r\n"
    head = (
        f"POST {path} HTTP/1.1\r\nHost: bench\r\nConnection: close\r\n"
        f"Authorization: Bearer key-{call.customer}\r\nX-Request-Class: {item.class_name}\r\n"
        f"{key}Content-Length: {len(content)}\r\n\r\n"
    )
    return head.encode() + content


def _key(call: Call) -> str:
    made = time.time_ns() // 1_000_000
    return str(uuid.UUID(int=made << 80 | 7 << 76 | 2 << 62 | call.number))


async def run(calls: Sequence[Call], ports: Sequence[int]) -> dict[str, ClassResult]:
    """Make all calls, each at its time, and wait for their ends."""
    results: dict[str, ClassResult] = {}
    started = time.monotonic()
    tasks = []
    for call in calls:
        await asyncio.sleep(max(0.0, started + call.at_s - time.monotonic()))
        result = results.setdefault(call.traffic.class_name, ClassResult())
        caller = Caller(ports[call.number % len(ports)], result)
        tasks.append(asyncio.create_task(caller.run(call)))
    await asyncio.gather(*tasks)
    return results


def main() -> None:
    """Run and print one JSON object."""
    parser = argparse.ArgumentParser(description="Callers that arrive at a rate, on loopback.")
    parser.add_argument("--site", choices=list(SITES), required=True)
    parser.add_argument("--ports", required=True)
    parser.add_argument("--rate", type=float, required=True)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--flood", default="")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    calls = plan(SITES[options.site], options.rate, options.seconds, options.flood, options.seed)
    ports = [int(port) for port in options.ports.split(",")]
    results = asyncio.run(run(calls, ports))
    print(json.dumps({name: asdict(result) for name, result in results.items()}))


if __name__ == "__main__":
    main()
