"""The account of what connections hold, and the limits that follow from the machine."""

import asyncio
import threading
import unittest

from parameterized import parameterized

from pearshed._internal.decisions.ending_order import Holding, HoldingStage, Room
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
