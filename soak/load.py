"""Callers that use open connections until these are gone, and what they see."""

import asyncio
import itertools
import random
import time

from pearshed._internal.utils.addresses import Address
from soak.promises import Ending
from soak.world import (
    LARGE_PROMPT_TOKENS,
    PROMPT_TOKENS,
    World,
    answer_body,
    stream_body,
)
from tests.lib.gateway_caller import Caller

_PATHS = ("/lookup/a", "/confirm/a", "/draft/a", "/explain/a")
_PAUSE_S = 0.05
#: Part of the requests whose prompt is so large that others must wait or are refused.
_LARGE_SHARE = 0.1
_SHARED_TOKENS = 200
_ANSWER_TIMEOUT_S = 10.0
#: A planned stop must cut no request that was sent within this time after it, seconds.
_SERVED_AFTER_STOP_S = 2.0
#: A gateway that was harmed less than this before a request may cut it, seconds.
_HARM_LASTS_S = 5.0


class Load:
    """Callers of all gateways.

    :param source: decides paths, keys and who leaves early.
    """

    def __init__(self, world: World, source: random.Random) -> None:
        self._world = world
        self._random = source
        self._numbers = itertools.count()
        self._going = True

    async def run(self, callers: int) -> None:
        """Send requests until ``stop``."""
        await asyncio.gather(*(self._caller(number) for number in range(callers)))

    def stop(self) -> None:
        """Let the callers end after their present request."""
        self._going = False

    async def ask(self, gateway: int) -> int:
        """Send one request on a connection of its own.

        :returns: the status of the answer; 0 without one.
        """
        try:
            caller = await Caller.connect(self._world.callers[gateway])
        except OSError:
            return 0
        status, _ = await self._request(caller, gateway, "/lookup/a", self._world.keys[0])
        caller.close()
        return status

    async def _caller(self, number: int) -> None:
        caller: Caller | None = None
        while self._going:
            gateway = self._random.randrange(len(self._world.callers))
            kept = 0
            try:
                caller = await _connect(self._world.callers[gateway])
            except OSError:
                await asyncio.sleep(_PAUSE_S)
                continue
            while self._going and kept < 20:
                kept += 1
                path = self._random.choice(_PATHS)
                key = self._random.choice(("key-a", "key-b", "key-c"))
                _, usable = await self._request(caller, gateway, path, key)
                if not usable:
                    break
                await asyncio.sleep(self._random.uniform(0, 2 * _PAUSE_S))
            caller.close()

    async def _request(self, caller: Caller, gateway: int, path: str, key: str) -> tuple[int, bool]:
        name = f"r{next(self._numbers)}"
        program = self._world.gateways[gateway]
        starts = program.starts
        sent = time.monotonic()
        large = self._random.random() < _LARGE_SHARE
        own = (LARGE_PROMPT_TOKENS if large else PROMPT_TOKENS) - _SHARED_TOKENS
        prompt = {
            "Pearshed-Token-Usage": f"{own + _SHARED_TOKENS},20",
            "Pearshed-Prefix-Hash": f"aa:{_SHARED_TOKENS},bb:{own}",
        }
        headers = {"Authorization": f"Token {key}", "Pearshed-Deadline-Ms": "6000", **prompt}
        caller.send(path, request_id=name, headers=headers)
        try:
            answer = await asyncio.wait_for(caller.read_response(), _ANSWER_TIMEOUT_S)
        except TimeoutError:
            answer = None
        ended = time.monotonic()
        streamed = path.startswith(("/draft", "/explain"))
        stopping = program.stopping_since
        ran = any(run.request_id == name for run in self._world.record.runs)
        self._world.record.endings.append(
            Ending(
                name,
                sent,
                ended,
                answer.status if answer is not None else 0,
                answer.complete if answer is not None else False,
                answer.body if answer is not None else b"",
                stream_body(name) if streamed else answer_body(name),
                key,
                cut_by_stop=(
                    ran
                    and starts == program.starts
                    and stopping is not None
                    and sent < stopping + _SERVED_AFTER_STOP_S
                    and program.harmed + _HARM_LASTS_S < sent
                ),
            )
        )
        if answer is None or not answer.complete:
            return answer.status if answer is not None else 0, False
        return answer.status, answer.headers.get("connection") != "close"


async def _connect(address: Address) -> Caller:
    return await asyncio.wait_for(Caller.connect(address), 2.0)
