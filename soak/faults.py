"""Faults in series, drawn by a seed; they overlap."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable

from soak.proxy import Proxy
from soak.world import GRACE_S, Program, World

_Fault = Callable[[], Awaitable[None]]


class Faults:
    """Injects faults until a moment.

    :param source: decides which, when and how long.
    """

    def __init__(self, world: World, source: random.Random) -> None:
        self._world = world
        self._random = source
        self._generation = 0
        self.told: list[str] = []
        self._faults: tuple[tuple[str, _Fault], ...] = (
            ("kill a process", self._kill),
            ("stop a gateway", self._stop),
            ("pause a process", self._pause),
            ("reload settings", self._reload),
            ("reset connections", self._reset),
            ("delay connections", self._delay),
            ("silence connections", self._silence),
            ("refuse connections", self._refuse),
            ("turn gateways away from the store", self._store_away),
            ("lose the store's history", self._compact),
            ("change the configuration", self._change),
            ("revoke a key", self._revoke),
            ("let an engine leave", self._leave),
            ("start an engine anew", self._renew),
            ("lose answers of engines", self._lose_answers),
            ("harm datagrams", self._harm_datagrams),
            ("turn one gateway away from the store", self._one_away),
        )

    async def run(self, seconds: float) -> None:
        """Inject faults for some time, and wait until all have ended."""
        ends = time.monotonic() + seconds
        going: set[asyncio.Task[None]] = set()
        while time.monotonic() < ends:
            name, fault = self._random.choice(self._faults)
            self.told.append(name)
            going.add(asyncio.ensure_future(fault()))
            await asyncio.sleep(self._random.uniform(0.1, 1.2))
        await asyncio.gather(*going)

    async def kill_all(self) -> None:
        """Kill all processes at once and start them again."""
        for program in (*self._world.gateways, *self._world.sides):
            await program.end()
        for program in (*self._world.gateways, *self._world.sides):
            program.harmed = time.monotonic()
            await program.start()

    def _any_program(self) -> Program:
        return self._random.choice((*self._world.gateways, *self._world.sides))

    async def _kill(self) -> None:
        program = self._any_program()
        program.harmed = time.monotonic()
        await program.end()
        await asyncio.sleep(self._random.uniform(0.0, 0.5))
        if not program.running:
            await program.start()

    async def _stop(self) -> None:
        program = self._random.choice(self._world.gateways)
        if program.stopping_since is not None or not program.running:
            return
        program.stopping_since = time.monotonic()
        program.send(signal.SIGTERM)
        assert program.process is not None
        process = program.process
        try:
            await asyncio.wait_for(process.wait(), GRACE_S)
        except TimeoutError:
            process.kill()
            await process.wait()
        if program.process is process:
            await program.start()

    async def _pause(self) -> None:
        program = self._any_program()
        program.harmed = time.monotonic() + 10.0
        program.send(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.2, 6.0))
        program.send(signal.SIGCONT)
        program.harmed = time.monotonic()

    async def _reload(self) -> None:
        self._any_program().send(signal.SIGHUP)

    def _any_proxy(self) -> Proxy:
        return self._random.choice((*self._world.store_proxies, *self._world.engine_proxies))

    async def _reset(self) -> None:
        self._note_harm(0.0)
        self._any_proxy().reset(self._random.uniform(0.3, 1.0), self._random)

    async def _delay(self) -> None:
        await self._harm("delay_s", self._random.uniform(0.05, 0.5))

    async def _silence(self) -> None:
        await self._harm(self._random.choice(("silent_forward", "silent_back")), True)

    async def _refuse(self) -> None:
        await self._harm("refuses", True)

    async def _harm(self, name: str, value: object) -> None:
        proxy = self._any_proxy()
        seconds = self._random.uniform(0.5, 5.0)
        self._note_harm(seconds)
        setattr(proxy, name, value)
        await asyncio.sleep(seconds)
        proxy.heal()
        # What a silent connection has lost never comes; both ends notice by time-outs or resets.
        proxy.reset(1.0, self._random)

    def _note_harm(self, seconds: float) -> None:
        moment = time.monotonic()
        self._world.record.store_faults.append((moment, moment + seconds))
        for program in self._world.gateways:
            program.harmed = max(program.harmed, moment + seconds)

    async def _store_away(self) -> None:
        seconds = self._random.uniform(0.5, 7.0)
        self._note_harm(seconds)
        self._world.store.refuse_with = self._random.choice((429, 503))
        await asyncio.sleep(seconds)
        self._world.store.refuse_with = 0

    async def _one_away(self) -> None:
        """Let the store turn one gateway away, mostly while a key is revoked."""
        proxy = self._random.choice(self._world.store_proxies)
        seconds = self._random.uniform(2.0, 9.0)
        self._note_harm(seconds)
        proxy.refuses = True
        proxy.reset(1.0, self._random)
        if self._random.random() < 0.7:
            await self._revoke()
        await asyncio.sleep(seconds)
        proxy.heal()

    async def _harm_datagrams(self) -> None:
        relay = self._random.choice(self._world.relays)
        relay.lost_share = self._random.choice((0.0, 0.1, 0.5, 1.0))
        relay.repeated_share = self._random.choice((0.0, 0.3))
        relay.delay_s = self._random.choice((0.0, 0.02, 0.3))
        await asyncio.sleep(self._random.uniform(0.5, 4.0))
        relay.heal()

    async def _compact(self) -> None:
        self._note_harm(0.0)
        self._world.put_configuration()
        self._world.store.compact()
        self._world.store.reset_connections()

    async def _change(self) -> None:
        for _ in range(self._random.randint(1, 6)):
            self._world.put_configuration()
            await asyncio.sleep(self._random.uniform(0.0, 0.3))

    async def _revoke(self) -> None:
        if len(self._world.keys) > 1:
            self._world.revoke(self._random.choice(self._world.keys))

    async def _leave(self) -> None:
        staying = [
            engine
            for engine in self._world.engines
            if engine.identity not in self._world.record.leaving
        ]
        engine = self._random.choice(staying)
        if sum(one.service == engine.service for one in staying) > 1:
            self._world.leave(engine, announced=self._random.random() < 0.5)

    async def _renew(self) -> None:
        gone = [
            engine
            for engine in self._world.engines
            if engine.identity in self._world.record.leaving
        ]
        if gone:
            self._generation += 1
            self._world.come_back(self._random.choice(gone), self._generation)

    async def _lose_answers(self) -> None:
        self._note_harm(2.0)
        self._world.lost_share = 0.1
        await asyncio.sleep(2.0)
        self._world.lost_share = 0.0
