"""Generates requests and records their outcomes."""

import asyncio
import itertools
import random
import time

from pearshed._internal.utils.addresses import Address
from soak.invariants import STABLE_WINDOW_S, RequestOutcome
from soak.testbed import (
    DEADLY_BODY,
    LARGE_PROMPT_TOKENS,
    PROMPT_TOKENS,
    Testbed,
    response_body,
    split_versions,
    stream_body,
)
from tests.lib.gateway_caller import Caller

_PATHS = ("/lookup/a", "/confirm/a", "/draft/a", "/explain/a")
_MEAN_PAUSE_S = 0.05
#: Share of requests whose prompt is large enough to make others wait or be rejected.
_LARGE_PROMPT_SHARE = 0.1
_SHARED_PREFIX_TOKENS = 200
_RESPONSE_TIMEOUT_S = 12.0
#: Times that a caller takes up a stream that ended early, at any gateway.
_MAX_RESUMPTIONS = 2
#: A planned stop must not interrupt requests sent until this long after its start.
_SERVED_AFTER_STOP_S = 2.0
#: A fault of a gateway may interrupt requests sent until this long after its end.
_FAULT_EFFECT_S = 5.0


class LoadGenerator:
    """Callers of all gateways; each sends up to 20 requests on a connection.

    :param rng: chooses gateways, paths, keys, prompt sizes and pauses.
    """

    def __init__(self, testbed: Testbed, rng: random.Random) -> None:
        self._testbed = testbed
        self._rng = rng
        self._request_numbers = itertools.count()
        self._running = True

    async def run(self, callers: int) -> None:
        """Send requests until ``stop`` is called."""
        await asyncio.gather(*(self._run_caller(number) for number in range(callers)))

    def stop(self) -> None:
        """Let the callers finish after their current request."""
        self._running = False

    async def send_probe(self, gateway: int) -> int:
        """Send one request on a new connection.

        :returns: the response status, or 0 without a response.
        """
        try:
            caller = await Caller.connect(self._testbed.caller_addresses[gateway])
        except OSError:
            return 0
        outcome, _ = await self._send_request(
            caller, gateway, "/lookup/a", self._testbed.valid_keys[0]
        )
        caller.close()
        return outcome.status

    async def _run_caller(self, number: int) -> None:
        caller: Caller | None = None
        while self._running:
            gateway = self._rng.randrange(len(self._testbed.caller_addresses))
            request_count = 0
            try:
                caller = await _connect(self._testbed.caller_addresses[gateway])
            except OSError:
                await asyncio.sleep(_MEAN_PAUSE_S)
                continue
            while self._running and request_count < 20:
                request_count += 1
                path = self._rng.choice(_PATHS)
                api_key = self._rng.choice(("key-a", "key-b", "key-c"))
                outcome, usable = await self._send_request(caller, gateway, path, api_key)
                if path == "/draft/a":
                    await self._take_up(outcome, path, api_key)
                if not usable:
                    break
                await asyncio.sleep(self._rng.uniform(0, 2 * _MEAN_PAUSE_S))
            caller.close()

    async def _take_up(self, outcome: RequestOutcome, path: str, api_key: str) -> None:
        """Take up a stream that ended early, where it has ended."""
        received = 0
        for _ in range(_MAX_RESUMPTIONS):
            received += 0 if outcome.complete else outcome.body.count(b"\n\n")
            if outcome.complete or not received:
                return
            gateway = self._rng.randrange(len(self._testbed.caller_addresses))
            try:
                caller = await _connect(self._testbed.caller_addresses[gateway])
            except OSError:
                return
            taken_up = (outcome.stream, received)
            outcome, _ = await self._send_request(caller, gateway, path, api_key, taken_up)
            caller.close()

    async def _send_request(
        self,
        caller: Caller,
        gateway: int,
        path: str,
        api_key: str,
        taken_up: tuple[str, int] | None = None,
    ) -> tuple[RequestOutcome, bool]:
        """Send a request and record its outcome.

        :param taken_up: the request that began a stream, and the number of its events received.
        :returns: the outcome, and whether the connection can be used again.
        """
        is_deadly = self._rng.random() < self._testbed.deadly_share
        request_id = f"r{next(self._request_numbers)}"
        node = self._testbed.gateways[gateway]
        start_count = node.start_count
        sent_at = time.monotonic()
        is_large = self._rng.random() < _LARGE_PROMPT_SHARE
        own_tokens = (LARGE_PROMPT_TOKENS if is_large else PROMPT_TOKENS) - _SHARED_PREFIX_TOKENS
        prompt_headers = {
            "Pearshed-Token-Usage": f"{own_tokens + _SHARED_PREFIX_TOKENS},20",
            "Pearshed-Prefix-Hash": f"aa:{_SHARED_PREFIX_TOKENS},bb:{own_tokens}",
        }
        headers = {
            "Authorization": f"Token {api_key}",
            "Pearshed-Deadline-Ms": "9000",
            **prompt_headers,
        }
        stream, after = taken_up if taken_up is not None else (request_id, 0)
        if after:
            headers |= {"Resumes": stream, "Last-Event-Id": str(after)}
        body = DEADLY_BODY if is_deadly else request_id.encode()
        caller.send(path, request_id=request_id, headers=headers, body=body)
        try:
            response = await asyncio.wait_for(caller.read_response(), _RESPONSE_TIMEOUT_S)
        except TimeoutError:
            response = None
        ended_at = time.monotonic()
        streamed = path.startswith(("/draft", "/explain"))
        stopping_since = node.stopping_since
        received, versions = split_versions(response.body if response is not None else b"")
        ran = any(run.request_id == request_id for run in self._testbed.history.runs)
        outcome = RequestOutcome(
            request_id,
            sent_at,
            ended_at,
            response.status if response is not None else 0,
            response.complete if response is not None else False,
            received,
            stream_body(stream, after) if streamed else response_body(request_id),
            api_key,
            during_planned_stop=(
                ran
                and start_count == node.start_count
                and stopping_since is not None
                and sent_at < stopping_since + _SERVED_AFTER_STOP_S
                and node.fault_until + _FAULT_EFFECT_S < sent_at
            ),
            gateway=f"{node.name}#{start_count}",
            gateway_was_disturbed=(
                start_count != node.start_count
                or stopping_since is not None
                or node.process_fault_until + STABLE_WINDOW_S > sent_at
            ),
            stream=stream if streamed else "",
            versions=versions,
            service="fleet" if streamed else "ledger",
        )
        self._testbed.history.outcomes.append(outcome)
        if response is None or not response.complete:
            return outcome, False
        return outcome, response.headers.get("connection") != "close"


async def _connect(address: Address) -> Caller:
    return await asyncio.wait_for(Caller.connect(address), 2.0)
