"""The account of what connections hold, and the limits that follow from the machine."""

import asyncio
import threading
import unittest
from collections.abc import Sequence
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from pearshed._internal.decisions.ending_order import (
    Holding,
    HoldingStage,
    Room,
    choose_ended,
)
from pearshed._internal.entry.caller_room import CallerRoom
from pearshed._internal.resources.account import Holder, ResourceAccount
from pearshed._internal.resources.limits import PAGE_CONNECTIONS, MachineLimits
from pearshed._internal.resources.process_account import ProcessAccount
from pearshed._internal.side.peer_server import PeerServer
from pearshed._internal.telemetry.metrics import Sample
from pearshed._internal.timers import clock
from pearshed._internal.utils.addresses import Address
from tests.lib.gateway_fixture import until
from tests.lib.ports import free_port

KIB = 1024
MIB = 1024 * KIB
_CHOOSE = "pearshed._internal.resources.account.choose_ended"


class FakeHolder(Holder):
    """Holds what the test says until it is ended."""

    def __init__(self, account: ResourceAccount, stage: HoldingStage) -> None:
        self._account = account
        self._stage = stage
        self.held_bytes = 0
        self.ended = 0

    def holding(self) -> "Holding[Holder]":
        now = clock.now()
        return Holding(self, self._stage, self.held_bytes, self.held_bytes, 0, now, now)

    def end_for_lack_of_room(self) -> None:
        self.ended += 1
        self.held_bytes = 0
        self._account.update(self)
        self._account.close(self)

    def grow(self, held_bytes: int) -> None:
        self.held_bytes = held_bytes
        self._account.update(self)


class ResourceAccountTest(unittest.TestCase):
    def setUp(self) -> None:
        self.account = ResourceAccount("callers", lambda: Room(100 * KIB, 3))

    def open(self, stage: HoldingStage = HoldingStage.RECEIVING) -> FakeHolder:
        holder = FakeHolder(self.account, stage)
        self.account.open(holder)
        return holder

    def test_what_is_held_is_counted_until_the_end(self) -> None:
        first, second = self.open(), self.open()
        first.grow(10 * KIB)
        second.grow(20 * KIB)
        first.grow(5 * KIB)
        self.assertEqual((25 * KIB, 2), (self.account.held_bytes, self.account.connections))
        self.account.close(second)
        self.account.close(second)
        second.grow(30 * KIB)
        self.assertEqual((5 * KIB, 1), (self.account.held_bytes, self.account.connections))

    @parameterized.expand(
        [
            ("receiving", HoldingStage.RECEIVING, (1, 0)),
            ("serving", HoldingStage.SERVING, (0, 1)),
        ]
    )
    def test_one_that_exceeds_the_room_is_ended(
        self, _: str, stage: HoldingStage, ended: tuple[int, int]
    ) -> None:
        first, second = self.open(stage), self.open()
        first.grow(60 * KIB)
        second.grow(60 * KIB)
        self.assertEqual(ended, (first.ended, second.ended))
        self.assertLessEqual(self.account.held_bytes, 100 * KIB)
        self.assertTrue(self.account.has_room_for(first))

    def test_a_new_connection_ends_one_when_there_are_too_many(self) -> None:
        holders = [self.open(HoldingStage.REFUSED) for _ in range(5)]
        self.assertEqual(2, sum(holder.ended for holder in holders))
        self.assertEqual(3, self.account.connections)
        ended = next(one for one in self.account.collect() if "ended" in one.name)
        self.assertEqual([2], [sample.value for sample in ended.samples])

    def test_a_large_holder_may_not_take_the_room_of_small_ones(self) -> None:
        served = self.open(HoldingStage.SERVING)
        served.grow(80 * KIB)
        self.assertFalse(self.account.has_room_for(served))
        self.assertTrue(self.account.has_room_for(self.open(HoldingStage.SERVING)))


class RefusedHolder(FakeHolder):
    """Holds its refusal when it is ended, and is closed when it is ended once more."""

    def end_for_lack_of_room(self) -> None:
        self.ended += 1
        if self._stage is HoldingStage.REFUSED:
            self._account.close(self)
            return
        self._stage = HoldingStage.REFUSED
        self.grow(self.held_bytes + KIB)


class FullRoomTest(unittest.TestCase):
    """Guards against endings that start further ones, inside the first, until none is left."""

    def fill(self, count: int, room: Room) -> tuple[ResourceAccount, list[RefusedHolder]]:
        account = ResourceAccount("callers", lambda: room)
        holders = []
        for _ in range(count):
            holders.append(RefusedHolder(account, HoldingStage.RECEIVING))
            account.open(holders[-1])
        return account, holders

    def test_one_connection_beyond_a_full_room_is_one_choice(self) -> None:
        account, holders = self.fill(50, Room(MIB, 50))
        with mock.patch(_CHOOSE, wraps=choose_ended) as choose:
            new = RefusedHolder(account, HoldingStage.RECEIVING)
            account.open(new)
        self.assertEqual(1, choose.call_count)
        self.assertEqual(0, new.ended)
        self.assertLessEqual(sum(holder.ended for holder in holders), 1 + 50 // 16)

    def test_growth_beyond_a_full_room_is_one_choice(self) -> None:
        account, holders = self.fill(50, Room(100 * KIB, 50))
        for holder in holders[:25]:
            holder.held_bytes = 4 * KIB
        with mock.patch(_CHOOSE, wraps=choose_ended) as choose:
            for holder in holders[:25]:
                account.update(holder)
            self.assertEqual(0, choose.call_count)
            holders[25].grow(KIB)
        self.assertEqual(1, choose.call_count)

    @parameterized.expand([(1000,), (8000,)])
    def test_a_connection_beyond_the_room_costs_the_same_however_many_are_open(
        self, count: int
    ) -> None:
        account, _ = self.fill(count, Room(10**9, count))
        read = 0

        def choose(holdings: Sequence[Holding[Holder]], room: Room, now: float) -> list[Holder]:
            nonlocal read
            read += len(holdings)
            return choose_ended(holdings, room, now)

        with mock.patch(_CHOOSE, choose):
            for _ in range(count):
                account.open(RefusedHolder(account, HoldingStage.RECEIVING))
        # Each choice frees a sixteenth; one refuses, and the next one closes.
        self.assertLess(read / count, 2 * 2 * 16)
        self.assertLessEqual(account.connections, count + 2)

    @settings(derandomize=True, database=None, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("open", "serve", "grow", "close")),
                st.integers(0, 30),
                st.integers(0, 40 * KIB),
            ),
            max_size=80,
        )
    )
    def test_any_series_leaves_the_sums_right_and_serves_on(
        self, events: list[tuple[str, int, int]]
    ) -> None:
        account = ResourceAccount("callers", lambda: Room(100 * KIB, 8))
        holders: list[RefusedHolder] = []
        depth = 0

        def choose(holdings: Sequence[Holding[Holder]], room: Room, now: float) -> list[Holder]:
            nonlocal depth
            depth += 1
            return choose_ended(holdings, room, now)

        with mock.patch(_CHOOSE, choose):
            for kind, number, size in events:
                depth = 0
                if kind in ("open", "serve") or not holders:
                    stage = HoldingStage.SERVING if kind == "serve" else HoldingStage.RECEIVING
                    holders.append(RefusedHolder(account, stage))
                    account.open(holders[-1])
                elif kind == "grow":
                    holders[number % len(holders)].grow(size)
                else:
                    account.close(holders.pop(number % len(holders)))
                self.assertLessEqual(depth, 1)
                held = account._held
                self.assertEqual(sum(held.values()), account.held_bytes)
                sizes = {one: one.held_bytes for one in holders if one in held}
                self.assertEqual(sizes, held)
                served = [one for one in holders if one._stage is HoldingStage.SERVING]
                self.assertEqual(0, sum(one.ended for one in served))


class CallerRoomTest(unittest.TestCase):
    def test_threads_may_use_it_at_the_same_time(self) -> None:
        account = ResourceAccount("callers", lambda: Room(100 * KIB, 1000))
        room = CallerRoom(account, 1000)

        def use() -> None:
            for _ in range(200):
                holder = FakeHolder(account, HoldingStage.RECEIVING)
                room.open(holder)
                holder.held_bytes = 4 * KIB
                room.update(holder)
                room.close(holder)

        threads = [threading.Thread(target=use) for _ in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual((0, 0), (account.held_bytes, account.connections))

    def test_connections_far_beyond_the_limit_are_dropped(self) -> None:
        account = ResourceAccount("callers", lambda: Room(10**9, 10**9))
        room = CallerRoom(account, 5)
        opened = [room.open(FakeHolder(account, HoldingStage.IDLE)) for _ in range(200)]
        self.assertEqual(account.connections, sum(opened))
        self.assertLess(sum(opened), 100)


class ProcessAccountTest(unittest.TestCase):
    def test_each_kind_of_connections_has_its_room(self) -> None:
        machine = MachineLimits(88 * MIB, 3075)
        process = ProcessAccount(lambda: machine, serves_callers=True)
        process.add("peers", lambda: machine.peers)
        process.callers.open(FakeHolder(process.callers, HoldingStage.IDLE))
        self.assertEqual((1, 0), (process.callers.connections, process.pages.connections))
        self.assertEqual({"pages", "callers", "peers"}, set(process.dump()))
        metrics = list(process.collect())
        self.assertEqual(len(metrics), len({metric.name for metric in metrics}))
        self.assertTrue(all(len(metric.samples) in (0, 3) for metric in metrics))


class PeerServerTest(unittest.IsolatedAsyncioTestCase):
    async def test_connections_without_a_call_are_ended_when_there_are_too_many(self) -> None:
        account = ResourceAccount("peers", lambda: Room(MIB, 3))
        server = PeerServer([], account)
        address = Address("127.0.0.1", free_port())
        await server.listen(address, None)
        self.addCleanup(server.close)
        opened = [await asyncio.open_connection(address.host, address.port) for _ in range(8)]
        await until(lambda: sum(sample.value for sample in _ended(account)) == 5)
        self.assertEqual(3, account.connections)
        for _, writer in opened:
            writer.close()
        await until(lambda: account.connections == 0)


def _ended(account: ResourceAccount) -> tuple[Sample, ...]:
    return next(metric.samples for metric in account.collect() if "ended" in metric.name)


class MachineLimitsTest(unittest.TestCase):
    @parameterized.expand(
        [(88, 3075), (150, 4100), (300, 4100), (4000, 20_000), (16, 64), (88, 700)]
    )
    def test_callers_leave_memory_and_descriptors_to_the_process(
        self, memory_mb: int, descriptors: int
    ) -> None:
        limits = MachineLimits(memory_mb * MIB, descriptors)
        for room in (limits.callers, limits.pages):
            self.assertGreater(room.held_bytes, 0)
            self.assertGreater(room.connections, 0)
        if memory_mb < 88 or descriptors < 700:
            return
        held_bytes = limits.callers.held_bytes + limits.pages.held_bytes
        self.assertLessEqual(held_bytes, memory_mb * MIB / 2)
        # Each request may take a connection to an endpoint.
        sockets = 2 * limits.callers.connections + PAGE_CONNECTIONS
        self.assertLess(sockets, descriptors - 200)

    @parameterized.expand([(None, None), (1, 10), (10**9, 10**9)])
    def test_settings_only_lower_the_limits(
        self, memory_mb: int | None, descriptors: int | None
    ) -> None:
        machine = MachineLimits.of_machine()
        limits = MachineLimits.of_machine(memory_mb, descriptors)
        self.assertLessEqual(limits.memory_bytes, machine.memory_bytes)
        self.assertLessEqual(limits.descriptors, machine.descriptors)
        if memory_mb == 1:
            self.assertEqual(MachineLimits(MIB, 10), limits)
