"""Plays series of events at caches of a modelled store, and checks what they believe.

The store, the engines and the operator keep to the platform's pages: entries expire after three
heartbeats of silence, a drill brings back a copy some seconds old, and all that was written is
written again. Time is that of a fake clock; nothing listens on a port.
"""

import functools
import heapq
import itertools
import json
import math
import random
import unittest
import urllib.parse
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from returns.result import Result, Success

from pearshed._internal.gateway.availability.evacuations import EvacuationSettings, EvacuationTable
from pearshed._internal.gateway.peer_messages import decode_update, encode_update
from pearshed._internal.gateway.peer_sync import STALE_S
from pearshed._internal.gateway.store import StoreFailure
from pearshed._internal.gateway.store_cache import StoreCache
from pearshed._internal.models.routing import EndpointState
from pearshed._internal.platform.documents import PlatformDocuments
from pearshed._internal.platform.store_client import PlatformStore
from pearshed._internal.timers import clock
from pearshed._internal.utils.addresses import Address
from tests.lib.fakes import FakeClock
from tests.lib.gateway_platform import configuration, entry_document
from tests.lib.gateway_store import StoreCopy, StoreStandIn

SERVICES = 6
GATEWAYS = 2
EVACUATION_BOUND_S = 5.0
LEASE_S = 3.6
QUIET_S = 9.0
_TICK_S = 0.2
_MAX_COPY_AGE_S = 5.0
#: Longest event and what follows of it: a cut of 6 s and the return of its entry.
_LAST_EFFECT_S = 6.5


@dataclass(frozen=True)
class Event:
    """One event of a series.

    :ivar after_s: time since the event before, seconds.
    :ivar kind: name of a method of ``StoreSeries`` without ``event_``.
    :ivar target: number of the service, zone or gateway; counted round.
    :ivar length_s: how long it lasts, seconds, where it lasts.
    :ivar variant: share of what varies beside, 0 to 1.
    """

    after_s: float
    kind: str
    target: int = 0
    length_s: float = 1.0
    variant: float = 0.0


@dataclass
class ModelledEngine:
    """An engine, as it is.

    :ivar left: it has left or crashed; ``drains`` if it has said that it leaves.
    :ivar cut_until: clock reading until which it can't reach the store, seconds.
    :ivar heard_at: clock reading of its last heartbeat that reached the store, seconds.
    :ivar removed_at: clock reading when the store removed its entry after it had left, seconds.
    """

    identity: str
    service: int
    number: int
    left: bool = False
    drains: bool = False
    cut_until: float = 0.0
    heard_at: float = 0.0
    removed_at: float = float("inf")

    @property
    def zone(self) -> str:
        """Its zone; two services have a zone that is evacuated now and then."""
        return "graz" if self.service < 2 else "wien"

    def entry(self) -> dict[str, Any]:
        """Return its entry in the store."""
        return entry_document(
            f"service-{self.service}",
            f"10.0.0.{self.number}:80",
            zone=self.zone,
            state="draining" if self.drains else "ready",
            born=1_700_000_000_000 + self.number,
        )


class DirectClient:
    """Calls the stand-in of the store without a connection; a watch returns at once."""

    def __init__(self, store: StoreStandIn) -> None:
        self._store = store
        self.response_headers: Sequence[tuple[bytes, bytes]] = ()
        self.transfer_s = 0.0
        self.receiving_s = 0.0
        self.remaining_s = 0.0
        self.calls = 0
        self.failures: Mapping[str, int] = {}

    async def call(
        self, path: str, query: Mapping[str, str], timeout_s: float
    ) -> Result[tuple[int, Mapping[str, Any]], str]:
        """Answer as the store does at this moment."""
        del timeout_s
        query = {**query, "waitMs": "0"}
        status, raw = await self._store._respond(f"{path}?{urllib.parse.urlencode(query)}")
        self.response_headers = ((b"store-era", b"%d" % self._store.era),)
        return Success((status, raw))

    def close(self) -> None:
        """Do nothing."""


@dataclass
class ModelledGateway:
    """A gateway's cache, and what it has once known.

    :ivar away_until: clock reading until which the store turns it away, seconds.
    :ivar frozen_until: clock reading until which it stands still, seconds.
    :ivar known_left: engines that it has dropped after they had left.
    """

    cache: StoreCache
    evacuations: EvacuationTable
    away_until: float = 0.0
    frozen_until: float = 0.0
    asked_at_start: bool = False
    once_used: set[str] = field(default_factory=set)
    known_left: set[str] = field(default_factory=set)
    once_evacuated: set[str] = field(default_factory=set)
    known_evacuated: set[str] = field(default_factory=set)
    known_ended: set[str] = field(default_factory=set)
    highest_version: int = 0

    @property
    def used(self) -> set[str]:
        """Engines that it uses."""
        entries = self.cache.endpoints.values()
        return {entry.identity for entry in entries if entry.state is EndpointState.READY}


class StoreSeries:
    """Plays one series; ``problems`` says what was not kept."""

    def __init__(self, test: unittest.TestCase) -> None:
        self._clock = FakeClock(test)
        self._store = StoreStandIn()
        self._numbers = itertools.count(1)
        self._order = itertools.count()
        self._engines: list[ModelledEngine] = []
        self._evacuated: set[str] = set()
        self._written_at: dict[str, float] = {}
        self._version = 1
        self._copies: list[tuple[float, StoreCopy]] = []
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._down_until = 0.0
        self._muted_until = 0.0
        self._restored_at = 0.0
        self._rewrite_at: float | None = None
        self.problems: list[str] = []
        self._store.put("op/config", configuration(self._version))
        for service in range(SERVICES):
            self._add_engine(service)
        self._gateways = [self._start_gateway() for _ in range(GATEWAYS)]

    async def play(self, events: Sequence[Event]) -> list[str]:
        """Play a series and the quiet after it; return what was not kept."""
        await self._run_for(2.0)
        for event in events:
            await self._run_for(event.after_s)
            getattr(self, f"event_{event.kind}")(event)
        await self._run_for(_LAST_EFFECT_S + QUIET_S)
        self._compare()
        return self.problems

    def event_lapse(self, event: Event) -> None:
        """An engine can't reach the store for a while; its entry is removed and comes back."""
        engine = self._engine_of(event)
        engine.cut_until = clock.now() + LEASE_S + event.length_s
        engine.heard_at = clock.now()

    def event_drain(self, event: Event) -> None:
        """An engine says that it leaves, and leaves; another one joins."""
        engine = self._engine_of(event)
        engine.drains = True
        self._write(engine)
        self._schedule(min(event.length_s, 3.0), lambda: self._leave(engine))
        self._add_engine(engine.service)

    def event_leave(self, event: Event) -> None:
        """An engine leaves without saying so before; another one joins."""
        engine = self._engine_of(event)
        self._leave(engine)
        self._add_engine(engine.service)

    def event_crash(self, event: Event) -> None:
        """An engine crashes, its entry expires; another one joins."""
        engine = self._engine_of(event)
        engine.left = True
        self._schedule(event.variant, lambda: self._add_engine(engine.service))

    def event_evacuate(self, event: Event) -> None:
        """A zone is evacuated for a while; how far a gap hides the end is another event."""
        zone = ("graz", "wien")[event.target % 2]
        self._set_evacuated(zone, True)
        self._schedule(event.length_s, lambda: self._set_evacuated(zone, False))

    def event_drill(self, event: Event) -> None:
        """The store is away, and comes back from a copy; all is written again."""
        away_s = min(event.length_s, 2.0)
        age_s = event.variant * _MAX_COPY_AGE_S
        self._down_until = max(self._down_until, clock.now() + away_s)
        copied_at = clock.now() - age_s
        copy = next((one for at, one in reversed(self._copies) if at <= copied_at), None)
        if copy is None:
            copy = self._copies[0][1]
        self._store.restore(copy)
        self._restored_at = self._down_until
        # A third of the drills end with everything written before the store opens.
        delay_s = -0.1 if event.target % 3 == 0 else event.variant * 0.8
        self._rewrite_at = self._down_until + delay_s

    def event_outage(self, event: Event) -> None:
        """The store is away for a while."""
        self._down_until = max(self._down_until, clock.now() + min(event.length_s, 4.0))

    def event_gap(self, event: Event) -> None:
        """Watches learn nothing for a second, then the history is dropped."""
        self._muted_until = clock.now() + 1.0
        if event.target % 2:
            for zone in tuple(self._evacuated):
                self._schedule(0.5, functools.partial(self._set_evacuated, zone, False))

    def event_turn_away(self, event: Event) -> None:
        """The store turns one gateway away."""
        self._gateways[event.target % GATEWAYS].away_until = clock.now() + event.length_s

    def event_freeze(self, event: Event) -> None:
        """A gateway stands still."""
        self._gateways[event.target % GATEWAYS].frozen_until = clock.now() + event.length_s

    def event_restart(self, event: Event) -> None:
        """A gateway is killed and starts."""
        self._gateways[event.target % GATEWAYS] = self._start_gateway()

    def event_configure(self, event: Event) -> None:
        """The operator publishes a configuration, as when a key is revoked."""
        del event
        self._version += 3
        if self._is_open:
            self._store.put("op/config", configuration(self._version))

    @property
    def _is_open(self) -> bool:
        return clock.now() >= self._down_until

    def _start_gateway(self) -> ModelledGateway:
        settings = EvacuationSettings(EVACUATION_BOUND_S, frozenset(("graz", "wien")), True)
        evacuations = EvacuationTable(lambda: settings)
        client = PlatformStore(Address("127.0.0.1", 1))
        client._client = DirectClient(self._store)  # type: ignore[assignment]
        cache = StoreCache(
            client, PlatformDocuments(), random.Random(1), evacuations, lambda: LEASE_S
        )
        return ModelledGateway(cache, evacuations)

    def _add_engine(self, service: int) -> None:
        number = next(self._numbers)
        engine = ModelledEngine(f"i-{number}", service, number, heard_at=clock.now())
        self._engines.append(engine)
        self._write(engine)

    def _engine_of(self, event: Event) -> ModelledEngine:
        """Return the newest engine of a service that neither leaves nor has left."""
        service = event.target % SERVICES
        staying = [
            one
            for one in self._engines
            if one.service == service and not one.left and not one.drains
        ]
        if not staying:
            self._add_engine(service)
            return self._engines[-1]
        return staying[-1]

    def _leave(self, engine: ModelledEngine) -> None:
        engine.left = True
        if self._is_open:
            self._remove(engine)

    def _remove(self, engine: ModelledEngine) -> None:
        key = f"servers/{engine.identity}"
        if key in self._store._items:
            self._store.delete(key)
        if engine.left:
            engine.removed_at = min(engine.removed_at, clock.now())

    def _write(self, engine: ModelledEngine) -> None:
        if self._is_open and clock.now() >= engine.cut_until and not engine.left:
            self._store.put(f"servers/{engine.identity}", engine.entry())
            engine.heard_at = clock.now()

    def _set_evacuated(self, zone: str, evacuated: bool) -> None:
        (self._evacuated.add if evacuated else self._evacuated.discard)(zone)
        self._written_at.pop(zone, None)
        if self._is_open:
            self._write_evacuation(zone)

    def _write_evacuation(self, zone: str) -> None:
        self._written_at[zone] = clock.now()
        key = f"op/evacuate/{zone}"
        if zone in self._evacuated:
            self._store.put(key, {})
        elif key in self._store._items:
            self._store.delete(key)

    def _schedule(self, after_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._due, (clock.now() + after_s, next(self._order), action))

    async def _run_for(self, seconds: float) -> None:
        until = clock.now() + seconds
        while clock.now() < until:
            self._clock.advance(min(_TICK_S, max(until - clock.now(), 1e-3)))
            self._act()
            for gateway in self._gateways:
                await self._step(gateway)
                self._check(gateway)

    def _act(self) -> None:
        """Let the store, the engines and the operator do what is due."""
        now = clock.now()
        while self._due and self._due[0][0] <= now:
            heapq.heappop(self._due)[2]()
        if self._rewrite_at is not None and now >= self._rewrite_at:
            self._write_again()
        if not self._is_open:
            return
        items = self._store._items
        for engine in self._engines:
            key = f"servers/{engine.identity}"
            if not engine.left and now >= engine.cut_until:
                engine.heard_at = now
                written = json.loads(items[key].value) if key in items else None
                if written != engine.entry():
                    self._write(engine)
            elif key in items and now - max(engine.heard_at, self._restored_at) >= LEASE_S:
                self._remove(engine)
        if self._rewrite_at is None:
            self._repeat_for_the_operator()
        if self._muted_until and now >= self._muted_until:
            self._muted_until = 0.0
            self._store.compact()
        self._copies = [one for one in self._copies if now - one[0] <= _MAX_COPY_AGE_S]
        self._copies.append((now, self._store.copy()))

    def _write_again(self) -> None:
        """Write again what a copy lacks, just before the store opens or some time later."""
        opens_at, self._down_until = self._down_until, 0.0
        self._store.put("op/config", configuration(self._version))
        for zone in ("graz", "wien"):
            self._write_evacuation(zone)
        for engine in self._engines:
            self._write(engine)
        self._rewrite_at = None
        self._down_until = opens_at

    def _repeat_for_the_operator(self) -> None:
        """Write what the operator couldn't write while the store was away."""
        items = self._store._items
        if json.loads(items["op/config"].value)["version"] < self._version:
            self._store.put("op/config", configuration(self._version))
        for zone in ("graz", "wien"):
            if (f"op/evacuate/{zone}" in items) != (zone in self._evacuated):
                self._write_evacuation(zone)

    async def _step(self, gateway: ModelledGateway) -> None:
        now = clock.now()
        if now < gateway.frozen_until:
            return
        cache = gateway.cache
        cache.drop_expired()
        if not self._is_open or now < gateway.away_until:
            cache._record_failure(StoreFailure("the store can't be reached"))
        elif now >= self._muted_until or cache._history_lost or not cache.revision:
            failure = await cache._read_next()
            if failure is not None:
                cache._record_failure(failure)
        if not gateway.asked_at_start and cache.configuration is not None:
            gateway.asked_at_start = True
            self._ask_another(gateway, math.inf)
        elif cache.staleness_s > STALE_S:
            self._ask_another(gateway, cache.staleness_s)

    def _ask_another(self, gateway: ModelledGateway, age_s: float) -> None:
        """Ask the other gateways for what is newer than of an age, seconds."""
        now = clock.now()
        cache = gateway.cache
        for other in self._gateways:
            if other is gateway or now < other.frozen_until:
                continue
            update = other.cache.build_update(cache.version, cache.endpoints_digest)
            if update is not None and update.is_newer_than(cache.version, age_s):
                received = decode_update(json.loads(encode_update(update))).unwrap()
                cache.apply_update(received, now)
            if cache.version < other.cache.version:
                self._report("a gateway that asked knows an earlier configuration")

    def _check(self, gateway: ModelledGateway) -> None:
        """Check that nothing is back that this gateway knows to have ended."""
        used, in_force = gateway.used, gateway.evacuations.in_force
        now = clock.now()
        confirmed_at = now - gateway.evacuations.age_s
        for engine in self._engines:
            if engine.identity in gateway.known_left and engine.identity in used:
                self._report(f"{engine.identity}, which has left, is used again")
            elif engine.identity in gateway.once_used - used and confirmed_at > engine.removed_at:
                gateway.known_left.add(engine.identity)
        gateway.once_used |= used
        for zone in ("graz", "wien"):
            gateway.once_evacuated |= in_force
            knows = confirmed_at > self._written_at.get(zone, now)
            evacuated = zone in self._evacuated
            expected, other = gateway.known_ended & {zone}, gateway.known_evacuated & {zone}
            if evacuated:
                expected, other = other, expected
            (gateway.known_ended if evacuated else gateway.known_evacuated).difference_update(other)
            if expected and evacuated != (zone in in_force):
                words = ("is no longer evacuated, is evacuated again", "is evacuated, is used")
                self._report(f"{zone}, which {words[evacuated]}")
            elif knows and evacuated and zone in in_force:
                gateway.known_evacuated.add(zone)
            elif knows and not evacuated and zone in gateway.once_evacuated - in_force:
                gateway.known_ended.add(zone)
        if gateway.cache.version < gateway.highest_version:
            self._report("an earlier configuration is back")
        gateway.highest_version = max(gateway.highest_version, gateway.cache.version)

    def _compare(self) -> None:
        """Compare what each gateway believes with the store."""
        items = self._store._items
        listed = {
            key.removeprefix("servers/")
            for key, item in items.items()
            if key.startswith("servers/") and json.loads(item.value)["state"] == "ready"
        }
        evacuated = {key.rpartition("/")[2] for key in items if key.startswith("op/evacuate/")}
        for number, gateway in enumerate(self._gateways):
            for name, believed, stored in (
                ("engines", gateway.used, listed),
                ("evacuations", set(gateway.evacuations.in_force), evacuated),
                ("version", {gateway.cache.version}, {self._version}),
                ("doubts", gateway.cache.entries.dump(), []),
                ("doubted zones", gateway.evacuations.dump_doubted(), []),
            ):
                if believed != stored:
                    self._report(f"after quiet, gateway {number}: {name} {believed}, not {stored}")

    def _report(self, problem: str) -> None:
        self.problems.append(f"{clock.now():.1f} s: {problem}")
