"""Injects random faults, which may overlap."""

import asyncio
import json
import random
import signal
import time
from collections.abc import Awaitable, Callable, Sequence

from soak.invariants import EVACUATION_TIMEOUT_S
from soak.proxy import Proxy
from soak.testbed import REGIONS, STOP_GRACE_S, Node, Testbed
from tests.lib.hostile import VALUES

_Fault = Callable[[], Awaitable[None]]


async def _run_fault(fault: _Fault) -> None:
    await fault()


class FaultInjector:
    """Injects random faults into a running system.

    :param rng: chooses the faults, their times and durations.
    :ivar injected: names of the injected faults, in order.
    """

    def __init__(self, testbed: Testbed, rng: random.Random) -> None:
        self._testbed = testbed
        self._rng = rng
        self._generation = 0
        self.injected: list[str] = []
        self._faults: tuple[tuple[str, _Fault], ...] = (
            ("kill a process", self._kill_process),
            ("stop a gateway", self._stop_gateway),
            ("pause a process", self._pause_process),
            ("reload settings", self._reload_settings),
            ("reset connections", self._reset_connections),
            ("delay connections", self._delay_connections),
            ("drop bytes", self._drop_bytes),
            ("refuse connections", self._refuse_connections),
            ("reject calls to the store", self._reject_store_calls),
            ("compact the store's history", self._compact_store),
            ("change the configuration", self._change_configuration),
            ("revoke a key", self._revoke_key),
            ("withdraw an engine", self._withdraw_engine),
            ("replace an engine", self._replace_engine),
            ("lose responses of engines", self._lose_responses),
            ("break off responses of engines", self._break_off_responses),
            ("disturb datagrams", self._disturb_datagrams),
            ("limit the requests to engines", self._limit_requests),
            ("send requests that crash engines", self._send_deadly_requests),
            ("isolate a gateway from the store", self._isolate_gateway),
            ("silence engines", self._silence_engines),
            ("end all gateways", self._end_all_gateways),
            ("restart after a revocation", self._restart_after_revocation),
            ("copy responses late", self._copy_responses_late),
            ("ask for pauses", self._ask_for_pauses),
            ("leave an odd entry", self._leave_odd_entry),
            ("end gateways while engines refuse", self._end_gateways_while_engines_refuse),
            ("release at a standstill", self._release_at_a_standstill),
            ("cut heads of responses", self._cut_heads),
        )

    async def run(self, duration_s: float) -> None:
        """Inject faults for the duration, then wait until all have ended."""
        deadline = time.monotonic() + duration_s
        async with asyncio.TaskGroup() as faults:
            while time.monotonic() < deadline:
                name, fault = self._rng.choice(self._faults)
                self.injected.append(name)
                faults.create_task(_run_fault(fault))
                await asyncio.sleep(self._rng.uniform(0.1, 1.2))

    async def run_refusals(self, duration_s: float) -> None:
        """Kill all gateways while engines refuse, again and again."""
        deadline = time.monotonic() + duration_s
        while time.monotonic() < deadline:
            await self._end_gateways_while_engines_refuse()

    async def run_evacuations(self, duration_s: float, rng: random.Random) -> None:
        """Evacuate one data centre, or both, for longer than the bound, again and again.

        :param rng: another than that of the faults, whose order does not depend on evacuations.
        """
        deadline = time.monotonic() + duration_s
        while time.monotonic() < deadline:
            count = 2 if self._testbed.ignores_evacuations or rng.random() < 0.2 else 1
            evacuations = [
                self._testbed.evacuate(data_centre)
                for data_centre in rng.sample(sorted(REGIONS), count)
            ]
            await asyncio.sleep(rng.uniform(0.0, 1.0))
            if rng.random() < 0.3:
                # Withdrawn and set again at once.
                self._testbed.withdraw_evacuation(evacuations[0])
                evacuations[0] = self._testbed.evacuate(evacuations[0].data_centre)
            await asyncio.sleep(EVACUATION_TIMEOUT_S + rng.uniform(1.0, 4.0))
            for evacuation in evacuations:
                self._testbed.withdraw_evacuation(evacuation)
            await asyncio.sleep(rng.uniform(0.0, 2.0))

    async def kill_all(self) -> None:
        """Kill all processes at once and start them again."""
        for node in (*self._testbed.gateways, *self._testbed.sides):
            await node.kill()
        for node in (*self._testbed.gateways, *self._testbed.sides):
            node.set_process_fault_until(time.monotonic())
            await node.start()

    def _random_node(self) -> Node:
        return self._rng.choice((*self._testbed.gateways, *self._testbed.sides))

    async def _kill_process(self) -> None:
        node = self._random_node()
        node.set_process_fault_until(time.monotonic())
        await node.kill()
        await asyncio.sleep(self._rng.uniform(0.0, 0.5))
        if not node.running:
            await node.start()

    async def _end_all_gateways(self) -> None:
        """Kill all gateways at once, so that callers take their streams up at new ones."""
        await self._restart(self._testbed.gateways)

    async def _end_gateways_while_engines_refuse(self) -> None:
        """Kill all gateways twice within a window of the retry limit, while retries are wanted."""
        service = self._rng.choice(("fleet", "ledger"))
        engines = [engine for engine in self._testbed.engines if engine.service == service]
        self._testbed.refusing.update(engines)
        for _ in range(2):
            await asyncio.sleep(self._rng.uniform(1.0, 3.0))
            await self._restart(self._testbed.gateways)
        await asyncio.sleep(self._rng.uniform(1.0, 3.0))
        self._testbed.refusing.difference_update(engines)

    async def _release_at_a_standstill(self) -> None:
        """Let engines of another version join while a gateway stands still or hears nothing."""
        number = self._rng.randrange(len(self._testbed.gateways))
        node, proxy = self._testbed.gateways[number], self._testbed.store_proxies[number]
        freezes = self._rng.random() < 0.5
        if freezes:
            node.set_process_fault_until(time.monotonic() + 10.0)
            node.send_signal(signal.SIGSTOP)
        else:
            self._record_fault(3.0)
            proxy.drop_back = True
        for engine in self._rng.sample(self._testbed.engines, 2):
            self._generation += 1
            self._testbed.replace(engine, self._generation)
        self._testbed.break_off_responses = True
        await asyncio.sleep(self._rng.uniform(0.4, 2.5))
        self._testbed.break_off_responses = False
        if freezes:
            node.send_signal(signal.SIGCONT)
            node.set_process_fault_until(time.monotonic())
        else:
            proxy.clear_faults()
            proxy.reset(1.0, self._rng)

    async def _cut_heads(self) -> None:
        duration_s = self._rng.uniform(1.0, 4.0)
        self._record_gateway_fault(duration_s)
        self._testbed.cut_heads = True
        await asyncio.sleep(duration_s)
        self._testbed.cut_heads = False

    async def stop_in_calm(self) -> None:
        """Stop a gateway while engines hold what they have until after its grace."""
        engines = self._testbed.engines
        held = self._rng.sample(engines, len(engines) // 2)
        self._testbed.holding.update(held)
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        await self._stop_gateway()
        self._testbed.holding.difference_update(held)

    async def _restart_after_revocation(self) -> None:
        """Kill some processes just after a key was revoked."""
        await self._revoke_key()
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        nodes = (*self._testbed.gateways, *self._testbed.sides)
        await self._restart(self._rng.sample(nodes, self._rng.randint(1, len(nodes))))

    async def _restart(self, nodes: Sequence[Node]) -> None:
        for node in nodes:
            node.set_process_fault_until(time.monotonic())
            await node.kill()
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        for node in nodes:
            node.set_process_fault_until(time.monotonic())
            if not node.running:
                await node.start()

    async def _stop_gateway(self) -> None:
        node = self._rng.choice(self._testbed.gateways)
        if node.stopping_since is not None or not node.running:
            return
        node.stopping_since = time.monotonic()
        node.send_signal(signal.SIGTERM)
        assert node.process is not None
        process = node.process
        try:
            await asyncio.wait_for(process.wait(), STOP_GRACE_S)
        except TimeoutError:
            process.kill()
            await process.wait()
        if node.process is process:
            await node.start()

    async def _pause_process(self) -> None:
        node = self._random_node()
        node.set_process_fault_until(time.monotonic() + 10.0)
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.2, 6.0))
        node.send_signal(signal.SIGCONT)
        node.set_process_fault_until(time.monotonic())

    async def _reload_settings(self) -> None:
        self._random_node().send_signal(signal.SIGHUP)

    def _random_proxy(self) -> Proxy:
        return self._rng.choice((*self._testbed.store_proxies, *self._testbed.engine_proxies))

    async def _reset_connections(self) -> None:
        self._record_fault(0.0)
        self._random_proxy().reset(self._rng.uniform(0.3, 1.0), self._rng)

    async def _delay_connections(self) -> None:
        await self._inject_proxy_fault("delay_s", self._rng.uniform(0.05, 0.5))

    async def _drop_bytes(self) -> None:
        await self._inject_proxy_fault(self._rng.choice(("drop_forward", "drop_back")), True)

    async def _refuse_connections(self) -> None:
        await self._inject_proxy_fault("refuse_connections", True)

    async def _inject_proxy_fault(self, attribute: str, value: object) -> None:
        proxy = self._random_proxy()
        duration_s = self._rng.uniform(0.5, 5.0)
        self._record_fault(duration_s)
        if proxy in self._testbed.engine_proxies:
            now = time.monotonic()
            self._testbed.history.link_faults.append((now, now + duration_s))
        setattr(proxy, attribute, value)
        await asyncio.sleep(duration_s)
        proxy.clear_faults()
        # Discarded bytes are never resent: both ends notice by a timeout or by this reset.
        proxy.reset(1.0, self._rng)

    def _record_fault(self, duration_s: float) -> None:
        # A fault counts against the store and all gateways, whichever connections it affects.
        now = time.monotonic()
        self._testbed.history.store_faults.append((now, now + duration_s))
        self._record_gateway_fault(duration_s)

    def _record_gateway_fault(self, duration_s: float) -> None:
        for node in self._testbed.gateways:
            node.fault_until = max(node.fault_until, time.monotonic() + duration_s)

    async def _reject_store_calls(self) -> None:
        duration_s = self._rng.uniform(0.5, 7.0)
        self._record_fault(duration_s)
        self._testbed.store.refuse_with = self._rng.choice((429, 503))
        await asyncio.sleep(duration_s)
        self._testbed.store.refuse_with = 0

    async def _isolate_gateway(self) -> None:
        """Cut one gateway off from the store, usually while a key is revoked."""
        proxy = self._rng.choice(self._testbed.store_proxies)
        duration_s = self._rng.uniform(2.0, 9.0)
        self._record_fault(duration_s)
        proxy.refuse_connections = True
        proxy.reset(1.0, self._rng)
        if self._rng.random() < 0.7:
            await self._revoke_key()
        await asyncio.sleep(duration_s)
        proxy.clear_faults()

    async def _disturb_datagrams(self) -> None:
        relay = self._rng.choice(self._testbed.relays)
        relay.loss_rate = self._rng.choice((0.0, 0.1, 0.5, 1.0))
        relay.duplicate_rate = self._rng.choice((0.0, 0.3))
        relay.max_delay_s = self._rng.choice((0.0, 0.02, 0.3))
        await asyncio.sleep(self._rng.uniform(0.5, 4.0))
        relay.clear_faults()

    async def _compact_store(self) -> None:
        self._record_fault(0.0)
        self._testbed.publish_configuration()
        self._testbed.store.compact()
        self._testbed.store.reset_connections()

    async def _change_configuration(self) -> None:
        for _ in range(self._rng.randint(1, 6)):
            self._testbed.publish_configuration()
            await asyncio.sleep(self._rng.uniform(0.0, 0.3))

    async def _revoke_key(self) -> None:
        if len(self._testbed.valid_keys) > 1:
            self._testbed.revoke(self._rng.choice(self._testbed.valid_keys))

    async def _withdraw_engine(self) -> None:
        listed = [
            engine
            for engine in self._testbed.engines
            if engine.identity not in self._testbed.history.withdrawn_at
        ]
        engine = self._rng.choice(listed)
        if sum(candidate.service == engine.service for candidate in listed) > 1:
            self._testbed.withdraw(engine, announced=self._rng.random() < 0.5)

    async def _replace_engine(self) -> None:
        withdrawn = [
            engine
            for engine in self._testbed.engines
            if engine.identity in self._testbed.history.withdrawn_at
        ]
        if withdrawn:
            self._generation += 1
            self._testbed.replace(self._rng.choice(withdrawn), self._generation)

    async def _lose_responses(self) -> None:
        self._record_fault(2.0)
        self._testbed.response_loss_rate = 0.1
        await asyncio.sleep(2.0)
        self._testbed.response_loss_rate = 0.0

    async def _break_off_responses(self) -> None:
        duration_s = self._rng.uniform(1.0, 4.0)
        self._record_gateway_fault(duration_s)
        self._testbed.break_off_responses = True
        await asyncio.sleep(duration_s)
        self._testbed.break_off_responses = False

    async def _copy_responses_late(self) -> None:
        self._testbed.copy_responses = True
        await asyncio.sleep(self._rng.uniform(1.0, 4.0))
        self._testbed.copy_responses = False

    async def _limit_requests(self) -> None:
        """Let one engine, or all of a service, name a limit; change it at times, then end it."""
        service = self._rng.choice(("fleet", "ledger"))
        engines = [engine for engine in self._testbed.engines if engine.service == service]
        limited = engines if self._rng.random() < 0.3 else [self._rng.choice(engines)]
        for _ in range(self._rng.randint(1, 2)):
            per_s = self._rng.choice((0.5, 2.0, 5.0))
            self._testbed.rate_limits.update(dict.fromkeys(limited, per_s))
            await asyncio.sleep(self._rng.uniform(1.0, 8.0))
        for engine in limited:
            self._testbed.rate_limits.pop(engine, None)

    async def _ask_for_pauses(self) -> None:
        """Let engines turn requests away and ask for a pause, which may outlast this fault."""
        engines = self._testbed.engines
        asking = self._rng.sample(engines, self._rng.randint(1, len(engines)))
        for engine in asking:
            self._testbed.pauses[engine] = self._rng.choice((0.7, 1.5, 3.0))
        await asyncio.sleep(self._rng.uniform(0.2, 5.0))
        for engine in asking:
            self._testbed.pauses.pop(engine, None)

    async def _leave_odd_entry(self) -> None:
        """Let another writer leave an entry among those of the engines, and delete it later."""
        key = f"servers/odd-{len(self.injected)}"
        entry = self._rng.choice(self._testbed.engines).entry()
        field = self._rng.choice(sorted(entry))
        content = json.dumps({**entry, field: "@"}).encode()
        value = self._rng.choice(sorted(VALUES.values())).encode()
        self._testbed.store.put(key, content.replace(b'"@"', value))
        await asyncio.sleep(self._rng.uniform(0.5, 5.0))
        self._testbed.store.delete(key)

    async def _silence_engines(self) -> None:
        """Let some engines leave requests without a response for a second or so, and go on."""
        engines = self._testbed.engines
        silent = self._rng.sample(engines, self._rng.randint(1, len(engines)))
        self._testbed.silent.update(silent)
        await asyncio.sleep(self._rng.uniform(0.6, 1.6))
        self._testbed.silent.difference_update(silent)

    async def _send_deadly_requests(self) -> None:
        self._testbed.deadly_share = 0.05
        await asyncio.sleep(self._rng.uniform(1.0, 5.0))
        self._testbed.deadly_share = 0.0
