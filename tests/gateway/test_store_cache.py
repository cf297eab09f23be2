"""The cached state of the store while the store fails in various ways."""

import asyncio
import json
import random
import unittest
from collections.abc import Mapping
from typing import Any

from parameterized import parameterized
from returns.result import Success

from pearshed._internal.gateway.availability.entry_table import EXPIRY_GRACE_S
from pearshed._internal.gateway.store import Store, StoreItem, StoreResponse, StoreResult
from pearshed._internal.gateway.store_cache import (
    CONFIRMING_WAIT_S,
    MIN_WATCH_WAIT_S,
    WATCH_WAIT_S,
    StoreCache,
    StoreUpdate,
)
from pearshed._internal.platform.documents import PlatformDocuments
from pearshed._internal.platform.store_client import PlatformStore
from pearshed._internal.timers import clock
from tests.lib.fakes import FakeClock
from tests.lib.gateway_fixture import until
from tests.lib.gateway_platform import configuration, entry_document
from tests.lib.gateway_store import StoreStandIn

ENTRY = entry_document("fleet", "10.0.0.1:80")


class StoreCacheTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = StoreStandIn()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.store.put("op/config", configuration(4))
        self.store.put("servers/i-1", ENTRY)
        client = PlatformStore(self.store.address)
        self.store_cache = StoreCache(client, PlatformDocuments(), random.Random(1))
        self.versions: list[int] = []
        self.store_cache.on_configuration(lambda current: self.versions.append(current.version))
        task = asyncio.get_running_loop().create_task(self.store_cache.run())
        self.addAsyncCleanup(_stop_cache, task, client)
        await until(lambda: self.store_cache.revision > 0)

    def identities(self) -> set[str]:
        self.store_cache.drop_expired()
        return set(self.store_cache.endpoints)

    def count_watches(self) -> int:
        """Count the watches that the store has received."""
        return sum("watch" in call for call in self.store.calls)

    async def test_versions_only_rise(self) -> None:
        for version in (9, 6, 9, 12):
            self.store.put("op/config", configuration(version))
        await until(lambda: self.versions[-1] == 12)
        self.assertEqual([4, 9, 12], self.versions)

    async def test_changes_are_read_after_the_store_lost_its_history(self) -> None:
        self.store.put("op/config", configuration(8))
        self.store.put("servers/i-2", ENTRY)
        self.store.delete("servers/i-1")
        self.store.compact()
        self.store.reset_connections()
        await until(lambda: self.versions[-1] == 8 and self.identities() == {"i-2"})

    @parameterized.expand([("deleted", None), ("unreadable", b"\xff"), ("no_object", b"[]")])
    async def test_an_invalid_configuration_keeps_the_previous_one_in_force(
        self, _: str, document: Any
    ) -> None:
        if document is None:
            self.store.delete("op/config")
        else:
            self.store.put("op/config", document)
        self.store.put("servers/i-2", ENTRY)
        await until(lambda: "i-2" in self.identities())
        self.assertEqual([4], self.versions)

    async def test_an_entry_deleted_without_an_outage_is_dropped_at_once(self) -> None:
        self.store.delete("servers/i-1")
        await until(lambda: not self.identities())

    async def test_an_invalid_entry_adds_no_endpoint(self) -> None:
        self.store.put("servers/i-1", {"service": "fleet"})
        self.store.put("servers/i-2", ENTRY)
        await until(lambda: self.identities() == {"i-2"})

    async def start_outage(self, seconds: float) -> None:
        self.store.refuse_with = 503
        self.store.reset_connections()
        await until(lambda: not self.store_cache._connected)
        self.store_cache._last_response_at -= seconds

    async def test_an_entry_that_expired_in_an_outage_may_come_back(self) -> None:
        await self.start_outage(5.0)
        self.store.delete("servers/i-1")
        self.store.put("servers/i-2", ENTRY)
        self.store.refuse_with = 0
        await until(lambda: "i-2" in self.identities())
        self.assertIn("i-1", self.identities())
        self.store.put("servers/i-1", ENTRY)
        self.store.put("servers/i-3", ENTRY)
        await until(lambda: "i-3" in self.identities())
        self.assertFalse(self.store_cache._entries._grace_deadlines)

    async def test_an_entry_still_missing_after_the_grace_period_is_dropped(self) -> None:
        await self.start_outage(5.0)
        self.store.delete("servers/i-1")
        self.store.put("servers/i-2", ENTRY)
        self.store.refuse_with = 0
        await until(lambda: "i-2" in self.identities())
        self.store_cache._entries._grace_deadlines["i-1"] -= EXPIRY_GRACE_S
        self.assertEqual({"i-2"}, self.identities())

    async def test_rejected_pages_are_requested_again(self) -> None:
        for number in range(2, 21):
            self.store.put(f"servers/i-{number}", ENTRY)
        self.store.refuse_every = 3
        self.store.calls.clear()
        client = PlatformStore(self.store.address)
        store_cache = StoreCache(client, PlatformDocuments(), random.Random(2))
        task = asyncio.get_running_loop().create_task(store_cache.run())
        self.addAsyncCleanup(_stop_cache, task, client)
        await until(lambda: len(store_cache.endpoints) == 20)
        # Ten pages, and one in three calls is rejected.
        self.assertLess(sum("range" in call for call in self.store.calls), 20)

    async def test_a_burst_of_changes_costs_few_calls(self) -> None:
        other = PlatformStore(self.store.address)
        self.addCleanup(other.close)
        watches = self.count_watches()
        for number in range(10, 50):
            self.store.put(f"servers/i-{number}", ENTRY)
            # Gives an open watch the time to respond.
            await other.read_configuration()
        await until(lambda: len(self.identities()) == 41)
        self.assertLess(self.count_watches() - watches, 10)

    @parameterized.expand([("at_once", 0.0), ("after_changes", 0.05)])
    async def test_the_store_confirms_the_state_when_it_is_asked_to(
        self, _: str, delay_s: float
    ) -> None:
        self.store.put("servers/i-2", ENTRY)
        await asyncio.sleep(delay_s)
        asked_at = clock.now()
        self.assertTrue(await self.store_cache.wait_confirmed(asked_at, WATCH_WAIT_S / 2))
        self.assertLess(self.store_cache.age_s, clock.now() - asked_at + 0.001)
        self.assertEqual({"i-1", "i-2"}, self.identities())
        self.store.put("servers/i-3", ENTRY)
        await until(lambda: "i-3" in self.identities())

    async def test_one_confirmation_serves_all_that_wait_for_it(self) -> None:
        watches = self.count_watches()
        asked_at = clock.now()
        waits = [self.store_cache.wait_confirmed(asked_at, 1.0) for _ in range(20)]
        self.assertEqual([True] * 20, await asyncio.gather(*waits))
        self.assertLess(self.count_watches() - watches, 4)

    @parameterized.expand([("rejects", "refuse"), ("silent", "hang")])
    async def test_a_store_that_does_not_answer_confirms_nothing(self, _: str, fault: str) -> None:
        self.store.refuse_with = 503 if fault == "refuse" else 0
        self.store.hang = fault == "hang"
        self.assertFalse(await self.store_cache.wait_confirmed(clock.now(), 0.3))
        self.store.refuse_with = 0
        self.store.hang = False
        self.assertTrue(await self.store_cache.wait_confirmed(clock.now(), 5.0))

    async def test_what_was_listed_within_one_response_is_noticed(self) -> None:
        noticed: list[str] = []
        self.store_cache.on_entry(lambda entry: noticed.append(entry.identity))
        self.store.refuse_with = 503
        self.store.reset_connections()
        await until(lambda: not self.store_cache.connected)
        self.store.put("servers/i-2", ENTRY)
        self.store.delete("servers/i-2")
        self.store.refuse_with = 0
        await until(lambda: self.store_cache.connected)
        self.assertEqual(["i-2"], noticed)
        self.assertEqual({"i-1"}, self.identities())

    @parameterized.expand(
        [
            ("changes_follow", "put", False),
            ("store_away", "outage", False),
            ("history_lost", "compact", True),
            ("state_of_another_gateway", "update", True),
        ]
    )
    async def test_a_gap_in_what_is_known_of_entries_is_noticed(
        self, _: str, event: str, expected: bool
    ) -> None:
        gaps: list[float] = []
        self.store_cache.on_gap(lambda: gaps.append(clock.now()))
        if event == "outage":
            self.store.refuse_with = 503
            self.store.reset_connections()
            await until(lambda: not self.store_cache.connected)
        if event == "update":
            update = StoreUpdate(self.store_cache.revision + 3, 4, -1.0, None, None)
            self.assertTrue(self.store_cache.apply_update(update, clock.now()))
        self.store.put("servers/i-2", ENTRY)
        if event == "compact":
            self.store.compact()
            self.store.reset_connections()
        self.store.refuse_with = 0
        await until(lambda: "i-2" in self.identities())
        self.assertEqual(expected, bool(gaps))

    async def test_age_counts_from_the_request_of_the_last_response(self) -> None:
        self.store.hang = True
        self.store.reset_connections()
        first = self.store_cache.age_s
        await until(lambda: self.store_cache.age_s > first)
        self.assertGreater(self.store_cache.age_s, first)


class ScriptedStore(Store):
    """Responds once with a configuration; watches wait for ever."""

    def __init__(self, transfer_s: float, age_s: float, receiving_s: float = 0.0) -> None:
        self.waits_s: list[float] = []
        self.cancelled = 0
        self._receiving_s = receiving_s
        self._transfer_s = transfer_s
        self._age_s = age_s

    @property
    def failures(self) -> Mapping[str, int]:
        return {}

    async def read_configuration(self) -> StoreResult:
        item = StoreItem("op/config", 1, json.dumps(configuration(1)).encode())
        requested_at = clock.now() - self._age_s
        return Success(StoreResponse((item,), 1, requested_at, "", self._transfer_s))

    async def read_endpoints(self, after: str) -> StoreResult:
        return Success(StoreResponse((), 1, clock.now()))

    async def watch(self, after: int, wait_s: float) -> StoreResult:
        self.waits_s.append(wait_s)
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        raise AssertionError("unreachable")

    @property
    def receiving_s(self) -> float:
        return self._receiving_s

    @property
    def remaining_s(self) -> float:
        return self._receiving_s

    def is_configuration(self, key: str) -> bool:
        return True

    async def read_evacuations(self, after: str) -> StoreResult:
        return Success(StoreResponse((), 1, clock.now()))

    def endpoint_identity(self, key: str) -> str:
        return ""

    def evacuated_data_centre(self, key: str) -> str:
        return ""

    def close(self) -> None:
        pass


class WatchWaitTest(unittest.IsolatedAsyncioTestCase):
    @parameterized.expand(
        [
            ("fast_link", 0.1, 0.1, WATCH_WAIT_S),
            # Two waits and a transfer take no longer than MAX_AGE_IN_TRANSFER_S.
            ("slow_link", 1.8, 0.0, 1.1),
            ("slower_link", 2.6, 0.0, 0.7),
            ("slowest_link", 9.0, 0.0, MIN_WATCH_WAIT_S),
            ("after_a_slow_transfer", 1.8, 1.8, CONFIRMING_WAIT_S),
            ("after_an_outage", 0.1, 4.0, CONFIRMING_WAIT_S),
        ]
    )
    async def test_watches_leave_time_for_slow_transfers(
        self, _: str, transfer_s: float, age_s: float, wait_s: float
    ) -> None:
        FakeClock(self)
        store = ScriptedStore(transfer_s, age_s)
        cache = StoreCache(store, PlatformDocuments(), random.Random(1))
        task = asyncio.get_running_loop().create_task(cache.run())
        await until(lambda: bool(store.waits_s))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertAlmostEqual(wait_s, store.waits_s[0])


class WaitAfterCopyTest(unittest.IsolatedAsyncioTestCase):
    async def test_watches_leave_time_for_a_copy_as_slow_as_the_last_one(self) -> None:
        fake_clock = FakeClock(self)
        store = ScriptedStore(0.1, 0.0, receiving_s=0.4)
        cache = StoreCache(store, PlatformDocuments(), random.Random(1))
        task = asyncio.get_running_loop().create_task(cache.run())
        self.addCleanup(task.cancel)
        await until(lambda: len(store.waits_s) == 1)
        cache.pause_transfer()
        fake_clock.advance(1.6)
        item = StoreItem("op/config", 2, json.dumps(configuration(2)).encode())
        cache.apply_update(StoreUpdate(2, 2, 0.1, item, None), clock.now())
        cache.resume_transfer()
        await until(lambda: len(store.waits_s) == 2)
        # Two waits and the copy, which took 2 s, take no longer than MAX_AGE_IN_TRANSFER_S.
        self.assertAlmostEqual(1.0, store.waits_s[1])


class UpdateDuringTransferTest(unittest.IsolatedAsyncioTestCase):
    """State of another process that arrives while a response of the store is being received."""

    @parameterized.expand(
        [
            # version, confirmed ago, applied, age afterwards
            ("newer_confirmed_earlier", 2, 3.0, True, 1.0),
            ("newer_confirmed_later", 2, 0.5, True, 0.5),
            ("same_confirmed_earlier", 1, 3.0, False, 1.0),
            ("same_confirmed_later", 1, 0.5, True, 0.5),
        ]
    )
    async def test_a_newer_configuration_is_applied_and_only_the_store_renews_trust(
        self, _: str, version: int, ago_s: float, applied: bool, age_s: float
    ) -> None:
        FakeClock(self)
        store = ScriptedStore(0.1, 1.0, receiving_s=2.0)
        cache = StoreCache(store, PlatformDocuments(), random.Random(1))
        task = asyncio.get_running_loop().create_task(cache.run())
        self.addCleanup(task.cancel)
        await until(lambda: len(store.waits_s) == 1)
        item = StoreItem("op/config", 2, json.dumps(configuration(version)).encode())
        update = StoreUpdate(2, version, ago_s, item if version > 1 else None, None)
        cache.pause_transfer()
        await until(lambda: store.cancelled == 1)
        self.assertEqual(applied, cache.apply_update(update, clock.now()))
        self.assertEqual(1, len(store.waits_s))
        cache.resume_transfer()
        await until(lambda: len(store.waits_s) == 2)
        assert cache.configuration is not None
        self.assertEqual(version, cache.configuration.version)
        self.assertAlmostEqual(age_s, cache.age_s)


async def _stop_cache(task: "asyncio.Task[None]", client: PlatformStore) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    client.close()
