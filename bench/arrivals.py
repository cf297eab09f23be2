"""Open-loop load generator: calls arrive at a rate regardless of earlier calls.

``python -m bench.arrivals --site kronwacht --ports 8080,8081 --rate 50 --seconds 10`` prints the
result of each class as JSON. A caller disconnects when the response head has not arrived after four
times its target.
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

_TIMEOUT_TARGET_RATIO = 4.0
_DONE = b"data: [DONE]"


@dataclass
class ClassResult:
    """Results of the calls of one class.

    :ivar in_time: complete responses whose head arrived within the target.
    :ivar whole: complete responses.
    :ivar left: calls whose caller disconnected after its timeout.
    :ivar whole_tokens: tokens of the complete responses.
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
class PlannedCall:
    """One call of a load run."""

    at_s: float
    traffic: Traffic
    customer: int
    tokens: int
    number: int


def plan_calls(site: Site, rate: float, seconds: float, flood: str, seed: int) -> list[PlannedCall]:
    """Generate the calls of a run; the same seed generates the same calls.

    :param flood: a class whose share is multiplied by eight, or an empty string.
    """
    rng = random.Random(seed)
    calls: list[PlannedCall] = []
    for traffic in site.traffic:
        class_rate = rate * traffic.share * (8.0 if traffic.class_name == flood else 1.0)
        at_s = rng.expovariate(class_rate)
        while at_s < seconds:
            customer = min(int(rng.expovariate(0.4)), site.customers - 1)
            tokens = rng.randint(*traffic.output_tokens)
            calls.append(PlannedCall(at_s, traffic, customer, tokens, len(calls)))
            at_s += rng.expovariate(class_rate)
    return sorted(calls, key=lambda call: call.at_s)


class Caller:
    """Sends one call on its own connection."""

    def __init__(self, port: int, result: ClassResult) -> None:
        self._port = port
        self._result = result

    async def run(self, call: PlannedCall) -> None:
        """Send the call and record its result."""
        self._result.offered += 1
        started_at = time.monotonic()
        writer = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self._port, limit=1 << 20)
            writer.write(_encode_request(call))
            timeout_s = call.traffic.target_ms * _TIMEOUT_TARGET_RATIO / 1000
            async with asyncio.timeout(timeout_s):
                head = await reader.readuntil(b"\r\n\r\n")
            first_ms = (time.monotonic() - started_at) * 1000
            if not head.startswith(b"HTTP/1.1 200"):
                self._result.refused += 1
                return
            content = await reader.read(-1)
            self._record_response(call, first_ms, content)
        except TimeoutError:
            self._result.left += 1
        except (OSError, asyncio.IncompleteReadError):
            self._result.failed += 1
        finally:
            if writer is not None:
                writer.close()

    def _record_response(self, call: PlannedCall, first_ms: float, content: bytes) -> None:
        if not call.traffic.is_plain and _DONE not in content:
            self._result.failed += 1
            return
        self._result.whole += 1
        self._result.whole_tokens += call.tokens
        self._result.first_ms.append(first_ms)
        if first_ms <= call.traffic.target_ms:
            self._result.in_time += 1


def _encode_request(call: PlannedCall) -> bytes:
    traffic = call.traffic
    if traffic.is_plain:
        path = f"/services/{traffic.service}/x"
        content = f"call-{call.number}".encode()
    else:
        path = "/v1/chat/completions"
        body = chat_body(f"call-{call.number}", max_tokens=call.tokens)
        content = json.dumps(body).encode()
    key = "" if traffic.idempotent else f"Idempotency-Key: {_idempotency_key(call)}\r\n"
    head = (
        f"POST {path} HTTP/1.1\r\nHost: bench\r\nConnection: close\r\n"
        f"Authorization: Bearer key-{call.customer}\r\nX-Request-Class: {traffic.class_name}\r\n"
        f"{key}Content-Length: {len(content)}\r\n\r\n"
    )
    return head.encode() + content


def _idempotency_key(call: PlannedCall) -> str:
    created_ms = time.time_ns() // 1_000_000
    return str(uuid.UUID(int=created_ms << 80 | 7 << 76 | 2 << 62 | call.number))


async def run_calls(calls: Sequence[PlannedCall], ports: Sequence[int]) -> dict[str, ClassResult]:
    """Send all calls at their times and wait for their results."""
    results: dict[str, ClassResult] = {}
    started_at = time.monotonic()
    tasks = []
    for call in calls:
        await asyncio.sleep(max(0.0, started_at + call.at_s - time.monotonic()))
        result = results.setdefault(call.traffic.class_name, ClassResult())
        caller = Caller(ports[call.number % len(ports)], result)
        tasks.append(asyncio.create_task(caller.run(call)))
    await asyncio.gather(*tasks)
    return results


def main() -> None:
    """Run the calls and print one JSON object."""
    parser = argparse.ArgumentParser(description="Open-loop load generator on loopback.")
    parser.add_argument("--site", choices=list(SITES), required=True)
    parser.add_argument("--ports", required=True)
    parser.add_argument("--rate", type=float, required=True)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--flood", default="")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    calls = plan_calls(
        SITES[options.site], options.rate, options.seconds, options.flood, options.seed
    )
    ports = [int(port) for port in options.ports.split(",")]
    results = asyncio.run(run_calls(calls, ports))
    print(json.dumps({name: asdict(result) for name, result in results.items()}))


if __name__ == "__main__":
    main()
