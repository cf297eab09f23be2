"""Evacuated data centres: what is known of them, and that nothing is sent there."""

import asyncio
import dataclasses
import json
import random
import unittest
from typing import Any
from unittest import mock

from parameterized import parameterized
from returns.pipeline import is_successful

from pearshed._internal.gateway.attempt import Attempt
from pearshed._internal.gateway.availability.evacuations import (
    TRUST_MARGIN_S,
    EvacuationSettings,
    EvacuationTable,
    EvacuationUpdate,
    Source,
)
from pearshed._internal.gateway.endpoints import EndpointTable
from pearshed._internal.gateway.peer_messages import decode_update, encode_update
from pearshed._internal.gateway.placement import PlacementDecision, PromptPlacement
from pearshed._internal.gateway.process import GatewayProcess
from pearshed._internal.gateway.store_cache import StoreCache, StoreUpdate
from pearshed._internal.http import endpoint_connection
from pearshed._internal.models.revisions import compose
from pearshed._internal.platform.documents import PlatformDocuments
from pearshed._internal.platform.headers import PlatformHeaders
from pearshed._internal.platform.store_client import PlatformStore
from pearshed._internal.utils.addresses import Address
from tests.lib.fakes import FakeClock
from tests.lib.gateway_caller import Caller, CallerResponse
from tests.lib.gateway_fixture import GatewayTestCase, gateway_settings, until
from tests.lib.gateway_fleet import EnginesWithSidesTestCase
from tests.lib.gateway_platform import (
    API_KEY,
    EngineConnection,
    EngineRequest,
    EngineStandIn,
    configuration,
    respond_ok,
    route,
)
from tests.lib.gateway_store import StoreStandIn
from tests.lib.routed_calls import call, entry

BOUND_S = 5.0
REGIONS = {"olympia": "west", "tacoma": "west", "boston": "east"}
SETTINGS = EvacuationSettings(BOUND_S, frozenset(REGIONS), True)
#: No retry is allowed, so a test fails if a request that was moved spends some of the budget.
NO_RETRIES = {"repeat_ratio": 0.0, "repeat_slack": 0.0}
EVACUATIONS: dict[str, Any] = {"evacuation_bound_s": BOUND_S, "regions": REGIONS, **NO_RETRIES}


def evacuate(store: StoreStandIn, data_centre: str) -> None:
    """Set an evacuation in the store."""
    store.put(f"op/evacuate/{data_centre}", {"by": "operator"})


class EvacuationTableTest(unittest.TestCase):
    """Guards against evacuations that old or repeated messages withdraw or bring back."""

    def setUp(self) -> None:
        self.clock = FakeClock(self)
        self.settings = SETTINGS
        self.table = EvacuationTable(lambda: self.settings)

    @parameterized.expand(
        [
            # changes: (revision, set) one by one, or (revision, {data centre: revision}) at once
            ("set", [(5, True)], {"olympia"}),
            ("withdrawn", [(5, True), (6, False)], set()),
            ("set_again_at_once", [(5, True), (6, False), (7, True)], {"olympia"}),
            ("withdrawal_comes_first", [(6, False), (5, True)], set()),
            ("old_withdrawal", [(7, True), (6, False)], {"olympia"}),
            ("repeated", [(5, True), (6, False), (5, True), (6, False)], set()),
            ("stale_read_without_it", [(5, True), (4, {})], {"olympia"}),
            ("later_read_without_it", [(5, True), (6, {})], set()),
            ("stale_read_with_it", [(5, True), (6, False), (5, {"olympia": 5})], set()),
            ("later_read_set_again", [(5, True), (6, False), (9, {"olympia": 8})], {"olympia"}),
            ("two", [(5, {"olympia": 3, "tacoma": 5})], {"olympia", "tacoma"}),
            ("one_of_two", [(5, {"olympia": 3, "tacoma": 5}), (6, False)], {"tacoma"}),
            ("unknown_data_centre", [(5, {"atlantis": 3, "olympia": 4})], {"olympia"}),
        ]
    )
    def test_the_latest_change_by_revision_counts(
        self, _: str, changes: list[tuple[int, Any]], in_force: set[str]
    ) -> None:
        for revision, change in changes:
            if isinstance(change, bool):
                self.table.apply("olympia", revision, change, Source.STORE)
            else:
                self.table.apply_all(change, revision, Source.PEER)
        self.assertEqual(in_force, self.table.in_force)

    @parameterized.expand(
        [
            # steps: (era, count, set?) one by one; (era, count, {data centre: count}) at once, and
            # confirmed; seconds that pass until the store confirms that nothing has changed.
            ("copy_lacks_it", [(1, 5, True), (2, 4, {})], {"olympia"}),
            ("copy_lacks_it_within_the_bound", [(1, 5, True), (2, 4, {}), 4.9], {"olympia"}),
            ("copy_lacks_it_beyond_the_bound", [(1, 5, True), (2, 4, {}), 5.1], set()),
            ("repeated_after_the_copy", [(1, 5, True), (2, 4, {}), (2, 6, True), 9.0], {"olympia"}),
            (
                "ended_in_a_gap_after_it_was_repeated",
                [(1, 5, True), (2, 4, {}), (2, 6, True), (2, 9, {})],
                set(),
            ),
            (
                "ended_in_a_gap_after_it_was_read_again",
                [(1, 5, True), (2, 7, {"olympia": 6}), (2, 9, {})],
                set(),
            ),
            ("ended_after_the_copy", [(1, 5, True), (2, 4, {}), (2, 6, False)], set()),
            (
                "bound_counts_from_the_last_drill",
                [(1, 5, True), (2, 4, {}), 4.0, (3, 4, {}), 4.0],
                {"olympia"},
            ),
            (
                "copy_has_one_that_ended",
                [(1, 5, True), (1, 9, False), (2, 7, {"olympia": 5})],
                set(),
            ),
            (
                "copy_has_one_that_ended_and_the_end_is_repeated",
                [(1, 5, True), (1, 9, False), (2, 7, {"olympia": 5}), (2, 8, False), 9.0],
                set(),
            ),
            (
                "copy_has_one_that_ended_and_a_gap_hides_that_the_end_is_repeated",
                [(1, 5, True), (1, 9, False), (2, 7, {"olympia": 5}), (2, 8, {}), 9.0],
                set(),
            ),
            (
                "copy_has_one_whose_end_nobody_repeats",
                [(1, 5, True), (1, 9, False), (2, 7, {"olympia": 5}), 2.1],
                {"olympia"},
            ),
            (
                "set_again_before_the_copy_is_read",
                [(1, 5, True), (1, 9, False), (2, 12, {"olympia": 11}), 2.1],
                {"olympia"},
            ),
            (
                "set_again_after_the_copy",
                [(1, 5, True), (1, 9, False), (2, 7, {"olympia": 5}), (2, 8, True)],
                {"olympia"},
            ),
        ]
    )
    def test_a_store_that_came_back_from_a_copy_is_followed_when_the_operator_has_repeated_it(
        self, _: str, steps: list[Any], in_force: set[str]
    ) -> None:
        # An evacuation from before a drill once stayed for good if its end was missed.
        for step in steps:
            if isinstance(step, float):
                self.clock.advance(step)
            elif isinstance(step[2], bool):
                era, count, evacuated = step
                revision = compose(era, count)
                self.table.apply("olympia", revision, evacuated, Source.STORE)
            else:
                era, count, listed = step
                revision = compose(era, count)
                if era > 1:
                    self.table.note_copy(revision)
                revisions = {name: compose(era, set_at) for name, set_at in listed.items()}
                self.table.apply_all(revisions, revision, Source.STORE)
            self.table.confirm(revision, self.clock.now)
        self.assertEqual(in_force, self.table.in_force)

    @parameterized.expand(
        [
            # name, what the other gateway lists, in force at once
            ("lacks_one_that_was_known", {}, {"olympia"}),
            ("lists_one_that_had_ended", {"olympia": 6, "tacoma": 3}, {"olympia"}),
        ]
    )
    def test_another_gateway_that_read_the_copy_is_doubted_too(
        self, _: str, listed: dict[str, int], in_force: set[str]
    ) -> None:
        self.table.apply("olympia", compose(1, 5), True, Source.STORE)
        self.table.apply("tacoma", compose(1, 3), True, Source.STORE)
        self.table.apply("tacoma", compose(1, 7), False, Source.STORE)
        revisions = {name: compose(2, count) for name, count in listed.items()}
        update = EvacuationUpdate(revisions, compose(2, 6), 0.1)
        self.table.apply_update(update, self.clock.now)
        self.assertEqual(in_force, self.table.in_force)
        doubted = {row["data_centre"]: row for row in self.table.dump_doubted()}
        self.assertEqual({"tacoma"} if listed else {"olympia"}, doubted.keys())
        self.clock.advance(BOUND_S)
        later = dataclasses.replace(update, revision=compose(2, 8))
        self.table.apply_update(later, self.clock.now + 0.2)
        self.assertEqual(set(listed), self.table.in_force)
        self.assertEqual([], self.table.dump_doubted())

    @parameterized.expand(
        [
            # name, ends known in era 1, what this gateway reads in era 2, in force beyond the hold
            ("kept", False, {}, set()),
            ("ended", True, {"olympia": 5}, {"olympia"}),
        ]
    )
    def test_another_gateway_with_the_same_doubt_does_not_end_it(
        self, _: str, ended: bool, read: dict[str, int], in_force: set[str]
    ) -> None:
        # A doubt that both gateways had ended with neither of them following the store.
        self.table.apply("olympia", compose(1, 5), True, Source.STORE)
        if ended:
            self.table.apply("olympia", compose(1, 7), False, Source.STORE)
        revisions = {name: compose(2, count) for name, count in read.items()}
        self.table.apply_all(revisions, compose(2, 6), Source.STORE)
        listed = {} if ended else {"olympia": compose(1, 5)}
        self.clock.advance(BOUND_S)
        update = EvacuationUpdate(listed, compose(2, 6), 3.0)
        self.table.apply_update(update, self.clock.now)
        self.assertEqual(set() if ended else {"olympia"}, self.table.in_force)
        self.table.confirm(compose(2, 6), self.clock.now)
        self.assertEqual(in_force, self.table.in_force)

    def test_a_gateway_that_has_not_read_on_ends_no_evacuation_that_the_store_has(self) -> None:
        # What it lists is of the era before, so it seemed to be kept against the store.
        self.table.apply_all({"olympia": compose(2, 4)}, compose(2, 6), Source.STORE)
        self.table.confirm(compose(2, 6), self.clock.now)
        late = EvacuationUpdate({"olympia": compose(1, 4)}, compose(1, 9), 0.1)
        self.table.apply_update(late, self.clock.now)
        self.assertEqual([], self.table.dump_doubted())
        self.clock.advance(BOUND_S)
        self.table.confirm(compose(2, 7), self.clock.now)
        self.assertEqual({"olympia"}, self.table.in_force)

    def test_an_unknown_data_centre_is_logged_once(self) -> None:
        with self.assertLogs("absl", "INFO") as logs:
            for revision in (5, 7, 9):
                self.table.apply("atlantis", revision, True, Source.STORE)
                self.table.apply("atlantis", revision + 1, False, Source.STORE)
        self.assertEqual(["evacuation.unknown"], [record.msg for record in logs.records])

    def test_changed_settings_apply_to_what_is_known(self) -> None:
        self.table.apply("atlantis", 5, True, Source.STORE)
        self.settings = EvacuationSettings(BOUND_S, frozenset(("atlantis",)), True)
        self.table.refresh()
        self.assertEqual({"atlantis"}, self.table.in_force)
        self.settings = EvacuationSettings()
        self.table.refresh()
        self.assertEqual(frozenset(), self.table.in_force)

    def test_dump_and_gauge_say_since_when_and_from_whom(self) -> None:
        self.table.apply("olympia", 5, True, Source.PEER)
        self.clock.advance(2.0)
        self.table.apply("olympia", 6, True, Source.STORE)
        self.assertEqual(
            [{"data_centre": "olympia", "since_s": 2.0, "revision": 6, "learned_from": "peer"}],
            self.table.dump(),
        )
        sample = next(iter(self.table.collect())).samples[0]
        self.assertEqual(
            (2.0, {"data_centre": "olympia", "learned_from": "peer"}),
            (sample.value, sample.labels),
        )

    @parameterized.expand(
        [
            ("recent", SETTINGS, BOUND_S - TRUST_MARGIN_S - 0.1, True),
            ("old", SETTINGS, BOUND_S - TRUST_MARGIN_S + 0.1, False),
            ("fails_open", EvacuationSettings(BOUND_S, frozenset(), False), 60.0, True),
            ("not_used", EvacuationSettings(None, frozenset(), True), 60.0, True),
        ]
    )
    def test_requests_are_sent_only_while_evacuations_are_confirmed_within_the_bound(
        self, _: str, settings: EvacuationSettings, age_s: float, trusted: bool
    ) -> None:
        self.settings = settings
        self.table.confirm(5, self.clock.now)
        self.clock.advance(age_s)
        self.assertEqual(trusted, self.table.trusted)
        # A stale read says nothing of now.
        self.table.confirm(4, self.clock.now)
        self.assertEqual(trusted, self.table.trusted)
        self.table.confirm(5, self.clock.now)
        self.assertTrue(self.table.trusted)

    @parameterized.expand(
        [
            ("later", 0.5, True, 0.5),
            ("earlier", 3.0, False, 1.0),
        ]
    )
    def test_only_a_later_confirmation_of_another_gateway_renews_trust(
        self, _: str, ago_s: float, renewed: bool, age_s: float
    ) -> None:
        self.table.confirm(5, self.clock.now - 1.0)
        update = EvacuationUpdate({"olympia": 6}, 6, ago_s)
        self.assertEqual(renewed, self.table.apply_update(update, self.clock.now))
        self.assertAlmostEqual(age_s, self.table.age_s)
        self.assertEqual({"olympia"}, self.table.in_force)

    def test_a_later_confirmation_of_the_store_wins_over_another_gateways(self) -> None:
        self.table.apply_update(EvacuationUpdate({"olympia": 6}, 6, 1.0), self.clock.now)
        self.table.apply_all({"tacoma": 7}, 8, Source.STORE)
        late = EvacuationUpdate({"olympia": 6}, 6, 2.0)
        self.table.apply_update(late, self.clock.now)
        self.assertEqual({"tacoma"}, self.table.in_force)


class WaitTest(unittest.IsolatedAsyncioTestCase):
    """Guards against waits that outlast an evacuation, or hide that a caller has left."""

    async def asyncSetUp(self) -> None:
        self.table = EvacuationTable(lambda: SETTINGS)
        self.released = False

    async def operation(self) -> str:
        try:
            await asyncio.Event().wait()
        finally:
            self.released = True
        return ""

    @parameterized.expand([("its_own", "olympia", True), ("another", "tacoma", False)])
    async def test_a_wait_ends_with_the_evacuation_of_its_data_centre(
        self, _: str, evacuated: str, ended: bool
    ) -> None:
        wait = self.table.wait_unless_evacuated("olympia", self.operation())
        task = asyncio.get_running_loop().create_task(wait)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.table.apply(evacuated, 5, True, Source.STORE)
        for _round in range(5):
            await asyncio.sleep(0)
        self.assertEqual((ended, ended), (task.done(), self.released))
        if ended:
            self.assertIsNone(task.result())
        else:
            task.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await task
            self.assertTrue(self.released)

    async def test_a_caller_that_leaves_at_the_same_time_ends_the_request(self) -> None:
        wait = self.table.wait_unless_evacuated("olympia", self.operation())
        task = asyncio.get_running_loop().create_task(wait)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        task.cancel()
        self.table.apply("olympia", 5, True, Source.STORE)
        with self.assertRaises(asyncio.CancelledError):
            await task


class PeerMessageTest(unittest.TestCase):
    """Guards against messages that gateways of an older build can't read, and the reverse."""

    @parameterized.expand(
        [
            ("none", None),
            ("empty", EvacuationUpdate({}, 7, 0.5)),
            ("two", EvacuationUpdate({"olympia": 3, "tacoma": 7}, 7, 0.5)),
        ]
    )
    def test_evacuations_keep_their_revisions_and_never_get_younger(
        self, _: str, sent: EvacuationUpdate | None
    ) -> None:
        update = StoreUpdate(7, 5, 0.0, None, None, sent)
        received = decode_update(json.loads(encode_update(update))).unwrap().evacuations
        if sent is None:
            self.assertIsNone(received)
            return
        assert received is not None
        self.assertEqual(
            (sent.revisions, sent.revision), (dict(received.revisions), received.revision)
        )
        self.assertGreaterEqual(received.confirmed_ago_s, sent.confirmed_ago_s)

    def test_an_update_of_an_older_build_says_nothing_of_evacuations(self) -> None:
        raw = json.loads(encode_update(StoreUpdate(7, 5, 0.0, None, None)))
        del raw["evacuations"]
        self.assertIsNone(decode_update(raw).unwrap().evacuations)

    @parameterized.expand(
        [
            ("list", []),
            ("no_age", {"data_centres": {}, "revision": 3}),
            ("data_centres_as_list", {"data_centres": [], "revision": 3, "confirmed_ago_ms": 1}),
        ]
    )
    def test_malformed_evacuations_are_refused(self, _: str, evacuations: Any) -> None:
        raw = json.loads(encode_update(StoreUpdate(7, 5, 0.0, None, None)))
        self.assertFalse(is_successful(decode_update({**raw, "evacuations": evacuations})))


class FollowedStoreTest(unittest.IsolatedAsyncioTestCase):
    """Guards against evacuations that are lost between a full read and the watch."""

    async def asyncSetUp(self) -> None:
        self.store = StoreStandIn()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.store.put("op/config", configuration(4))
        self.settings = SETTINGS
        self.table = EvacuationTable(lambda: self.settings)

    async def follow(self) -> StoreCache:
        client = PlatformStore(self.store.address)
        cache = StoreCache(client, PlatformDocuments(), random.Random(1), self.table)
        task = asyncio.get_running_loop().create_task(cache.run())
        self.addAsyncCleanup(_stop_cache, task, client)
        await until(lambda: cache.revision > 0)
        return cache

    def range_reads(self) -> int:
        return sum("range" in call and "evacuate" in call for call in self.store.calls)

    async def test_evacuations_are_known_before_any_endpoint(self) -> None:
        for data_centre in REGIONS:
            evacuate(self.store, data_centre)
        self.store.put("servers/i-1", {})
        known: list[frozenset[str]] = []
        client = PlatformStore(self.store.address)
        cache = StoreCache(client, PlatformDocuments(), random.Random(1), self.table)
        cache.on_endpoints(lambda _: known.append(self.table.in_force))
        task = asyncio.get_running_loop().create_task(cache.run())
        self.addAsyncCleanup(_stop_cache, task, client)
        await until(lambda: cache.revision > 0)
        self.assertEqual(frozenset(REGIONS), known[0])

    async def test_the_watch_brings_changes(self) -> None:
        await self.follow()
        evacuate(self.store, "tacoma")
        await until(lambda: self.table.in_force == {"tacoma"})
        self.store.delete("op/evacuate/tacoma")
        evacuate(self.store, "tacoma")
        evacuate(self.store, "olympia")
        await until(lambda: self.table.in_force == {"olympia", "tacoma"})
        self.store.delete("op/evacuate/tacoma")
        await until(lambda: self.table.in_force == {"olympia"})
        self.assertEqual(1, self.range_reads())

    async def test_changes_are_read_after_the_store_lost_its_history(self) -> None:
        evacuate(self.store, "tacoma")
        await self.follow()
        evacuate(self.store, "olympia")
        self.store.delete("op/evacuate/tacoma")
        self.store.compact()
        self.store.reset_connections()
        await until(lambda: self.table.in_force == {"olympia"})

    async def test_nothing_more_is_read_where_the_settings_do_not_use_evacuations(self) -> None:
        self.settings = EvacuationSettings()
        evacuate(self.store, "tacoma")
        await self.follow()
        self.assertEqual((frozenset(), 0), (self.table.in_force, self.range_reads()))
        # The settings file may change at any time; what the watch brought before was not kept.
        self.settings = SETTINGS
        await until(lambda: self.table.in_force == {"tacoma"})
        self.assertEqual(1, self.range_reads())

    async def test_a_failed_read_of_evacuations_is_repeated(self) -> None:
        evacuate(self.store, "tacoma")
        self.store.refuse_every = 3
        await self.follow()
        self.assertEqual({"tacoma"}, self.table.in_force)


class EvacuatedGatewayTest(GatewayTestCase):
    """Guards against requests that reach an endpoint in an evacuated data centre."""

    async def start(
        self, script: Any = respond_ok, service: str = "ledger", **settings: Any
    ) -> tuple[EngineStandIn, EngineStandIn]:
        """Start a gateway with an engine in olympia and one in tacoma."""
        olympia = await self.add_engine(service, script)
        tacoma = await self.add_engine(service, script, zone="tacoma")
        await self.start_gateway(**{**EVACUATIONS, **settings})
        await until(lambda: self.has_endpoints(service, 2))
        return olympia, tacoma

    async def evacuate(self, *data_centres: str) -> None:
        for data_centre in data_centres:
            evacuate(self.store, data_centre)
        await until(lambda: self.gateway.evacuations.in_force >= set(data_centres))

    async def withdraw(self, data_centre: str) -> None:
        self.store.delete(f"op/evacuate/{data_centre}")
        await until(lambda: data_centre not in self.gateway.evacuations.in_force)

    @parameterized.expand([("idempotent", "/lookup/a", "ledger"), ("once", "/confirm/a", "ledger")])
    async def test_nothing_is_sent_until_the_evacuation_is_withdrawn(
        self, _: str, path: str, service: str
    ) -> None:
        olympia, tacoma = await self.start(service=service)
        self.assertEqual(200, await self.status(path))
        self.assertEqual(1, len(olympia.requests))
        await self.evacuate("olympia")
        self.assertEqual(0, sum(one.open_connections for one in self.gateway.endpoints.endpoints))
        for _round in range(10):
            self.assertEqual(200, await self.status(path))
        self.assertEqual((1, 10), (len(olympia.requests), len(tacoma.requests)))
        await self.withdraw("olympia")
        self.assertEqual(200, await self.status(path))
        self.assertEqual(2, len(olympia.requests))

    async def test_all_data_centres_evacuated_gives_a_503_at_once(self) -> None:
        engines = await self.start()
        await self.evacuate("olympia", "tacoma")
        response = await self.call("/lookup/a")
        assert response is not None
        self.assertEqual(503, response.status)
        self.assertIn("retry-after", response.headers)
        self.assertFalse([request for engine in engines for request in engine.requests])
        reason = "the data centres of the service are evacuated"
        self.assertIn(
            f'refusals_total{{reason="{reason}",status="503"}} 1',
            self.gateway.pages.metrics_page(),
        )

    async def test_a_data_centre_that_the_settings_do_not_name_has_no_effect(self) -> None:
        olympia, _ = await self.start()
        evacuate(self.store, "atlantis")
        await self.evacuate("tacoma")
        self.assertEqual(200, await self.status("/lookup/a"))
        self.assertEqual(1, len(olympia.requests))
        dump = self.gateway.pages.dump()["evacuations"]
        self.assertEqual(["tacoma"], [one["data_centre"] for one in dump])
        self.assertEqual("store", dump[0]["learned_from"])

    async def test_a_gateway_that_starts_during_an_evacuation_sends_nothing_there(self) -> None:
        evacuate(self.store, "olympia")
        olympia = await self.add_engine("ledger", respond_ok)
        await self.add_engine("ledger", respond_ok, zone="tacoma")
        await self.start_gateway(**EVACUATIONS)
        for _round in range(5):
            self.assertEqual(200, await self.status("/lookup/a"))
        self.assertFalse(olympia.requests)

    async def test_a_running_request_ends_normally(self) -> None:
        proceed = asyncio.Event()

        async def respond(connection: EngineConnection, request: EngineRequest) -> None:
            connection.begin_stream(request)
            connection.send_event(1)
            await proceed.wait()
            connection.send_event(2)
            connection.end_stream()

        olympia, _ = await self.start(respond, "fleet")
        caller = await Caller.connect(self.settings.callers)
        self.addCleanup(caller.close)
        caller.send("/explain/a")
        await until(lambda: any(engine.requests for engine in self.engines))
        used = next(engine for engine in self.engines if engine.requests)
        await self.evacuate("olympia" if used is olympia else "tacoma")
        proceed.set()
        response = await caller.read_response()
        assert response is not None
        self.assertTrue(response.complete)
        self.assertIn(b"piece-2", response.body)
        await until(lambda: not sum(one.in_flight for one in self.gateway.endpoints.endpoints))
        # The connection isn't kept.
        self.assertEqual(0, sum(one.open_connections for one in self.gateway.endpoints.endpoints))

    @parameterized.expand(
        [("once", "/confirm/a", "ledger"), ("run_to_be_asked", "/draft/a", "fleet")]
    )
    async def test_a_request_that_waits_for_a_connection_is_not_sent(
        self, _: str, path: str, service: str
    ) -> None:
        async def respond(connection: EngineConnection, request: EngineRequest) -> None:
            if request.target != "/draft/a":
                connection.send_response(request, body=b"{}")
                return
            connection.begin_stream(request)
            connection.send_event(1)
            connection.end_stream()

        reports = mock.patch.object(EngineStandIn, "reports_itself", False)
        reports.start()
        self.addCleanup(reports.stop)
        olympia, tacoma = await self.start(respond, service)
        connecting, proceed = asyncio.Event(), asyncio.Event()
        connect = endpoint_connection.connect

        async def connect_slowly(address: Address, timeout_s: float) -> Any:
            if address == olympia.address:
                connecting.set()
                await proceed.wait()
            return await connect(address, timeout_s)

        with mock.patch("pearshed._internal.gateway.endpoints.connect", connect_slowly):
            task = asyncio.get_running_loop().create_task(self.call(path))
            await connecting.wait()
            await self.evacuate("olympia")
            proceed.set()
            response = await task
        assert response is not None
        self.assertEqual(200, response.status)
        self.assertFalse(olympia.requests)
        self.assertEqual(path, tacoma.requests[-1].target)
        self.assertIn("evacuation_withheld_total 1", self.gateway.pages.metrics_page())

    async def test_a_request_whose_engine_is_asked_for_its_run_is_not_sent(self) -> None:
        asked: list[EngineStandIn] = []
        proceed = asyncio.Event()

        async def respond(connection: EngineConnection, request: EngineRequest) -> None:
            if request.target == "/v1/report":
                if not asked:
                    asked.append(next(one for one in self.engines if request in one.requests))
                    await proceed.wait()
                connection.send_response(request, body=b"{}")
                return
            connection.begin_stream(request)
            connection.send_event(1)
            connection.end_stream()

        with mock.patch.object(EngineStandIn, "reports_itself", False):
            olympia, _ = await self.start(respond, "fleet")
            task = asyncio.get_running_loop().create_task(self.call("/draft/a"))
            await until(lambda: bool(asked))
            data_centre = "olympia" if asked[0] is olympia else "tacoma"
            # The answer comes soon after the evacuation, before the gateway gives up on it.
            self.gateway.evacuations.apply(data_centre, 1000, True, Source.STORE)
            proceed.set()
            response = await task
        assert response is not None
        self.assertEqual(200, response.status)
        sent = [one.target for one in asked[0].requests]
        self.assertEqual(["/v1/report"], sent)

    async def test_an_interrupted_stream_goes_on_elsewhere(self) -> None:
        proceed = asyncio.Event()

        async def respond(connection: EngineConnection, request: EngineRequest) -> None:
            connection.begin_stream(request)
            if request.headers.get("last-event-id"):
                connection.send_event(2)
                connection.end_stream()
                return
            connection.send_event(1)
            await proceed.wait()
            connection.reset()

        olympia, tacoma = await self.start(respond, "fleet", repeat_slack=200)
        boston = await self.add_engine("fleet", respond, zone="boston")
        await until(lambda: self.has_endpoints("fleet", 3))
        task = asyncio.get_running_loop().create_task(self.call("/draft/a"))
        await until(lambda: any(engine.requests for engine in self.engines))
        first = next(engine for engine in self.engines if engine.requests)
        others = [
            (engine, zone)
            for engine, zone in ((olympia, "olympia"), (tacoma, "tacoma"), (boston, "boston"))
            if engine is not first
        ]
        await self.evacuate(others[0][1])
        proceed.set()
        response = await task
        assert response is not None
        self.assertTrue(response.complete)
        self.assertEqual((0, 1), (len(others[0][0].requests), len(others[1][0].requests)))

    async def test_a_gateway_that_was_frozen_asks_the_store_before_it_sends(self) -> None:
        olympia, tacoma = await self.start(keys_fail_closed=True, revocation_s=60.0)
        self.store.hang = True
        self.store.reset_connections()
        evacuate(self.store, "olympia")
        self.clock_offset += BOUND_S
        task = asyncio.get_running_loop().create_task(self.call("/lookup/a"))
        await until(lambda: self.gateway.evacuations._untrusted_since is not None)
        self.store.hang = False
        response = await task
        assert response is not None
        self.assertEqual(200, response.status)
        self.assertEqual((0, 1), (len(olympia.requests), len(tacoma.requests)))

    async def test_a_gateway_that_is_cut_off_for_longer_sends_nothing(self) -> None:
        engines = await self.start(revocation_s=60.0)
        self.store.refuse_with = 503
        self.store.reset_connections()
        evacuate(self.store, "olympia")
        self.clock_offset += BOUND_S
        response = await self.call("/lookup/a")
        assert response is not None
        self.assertEqual((503, True), (response.status, "retry-after" in response.headers))
        self.assertEqual(["the evacuations known are too old"], self.gateway.not_ready_reasons())
        self.assertFalse([request for engine in engines for request in engine.requests])

    async def test_the_store_cut_off_does_not_stop_a_gateway_that_fails_open(self) -> None:
        await self.start(keys_fail_closed=False)
        self.store.refuse_with = 503
        self.store.reset_connections()
        self.clock_offset += BOUND_S
        self.assertEqual(200, await self.status("/lookup/a"))


class EvacuatedSidesTest(EnginesWithSidesTestCase):
    """Guards against requests that stay at the side of an engine in an evacuated data centre."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.proceed = asyncio.Event()

    async def respond(self, connection: EngineConnection, request: EngineRequest) -> None:
        if request.request_id == "a1":
            await self.proceed.wait()
        connection.begin_stream(request)
        connection.send_event(1)
        connection.end_stream()

    async def send(self, request_id: str, tokens: int) -> CallerResponse | None:
        caller = await Caller.connect(self.settings.callers)
        try:
            headers = {
                "Pearshed-Deadline-Ms": "20000",
                "Pearshed-Token-Usage": f"{tokens},20",
                "Pearshed-Prefix-Hash": f"{request_id}:{tokens}",
            }
            caller.send("/brief/a", request_id=request_id, headers=headers)
            return await caller.read_response()
        finally:
            caller.close()

    async def test_a_request_that_waits_at_a_side_moves_and_keeps_its_age(self) -> None:
        brief = route(
            "brief", "streaming", "fleet", sticky=True, targetLatencyMs=20_000, timeoutMs=20_000
        )
        self.store.put("op/config", configuration(2, routes=[brief]))
        olympia = await self.add_engine_with_side(slots=1)
        await self.start_gateway(**EVACUATIONS)
        await until(lambda: self.has_endpoints("fleet", 1))
        # The first request takes the only slot, so the second one waits at the side.
        first = asyncio.get_running_loop().create_task(self.send("a1", 400))
        await until(lambda: len(olympia.requests) == 1)
        second = asyncio.get_running_loop().create_task(self.send("b2", 400))
        await until(lambda: bool(self.gateway.evacuations._waits))
        tacoma = await self.add_engine_with_side(zone="tacoma")
        await until(lambda: self.has_endpoints("fleet", 2))
        evacuate(self.store, "olympia")
        response = await second
        assert response is not None
        self.assertEqual(200, response.status)
        self.assertEqual((1, 1), (len(olympia.requests), len(tacoma.requests)))
        self.assertIn("evacuation_moved_total 1", self.gateway.pages.metrics_page())
        self.proceed.set()
        response = await first
        assert response is not None
        self.assertEqual(200, response.status)


class CopiedPrefixTest(unittest.TestCase):
    """Guards against copies of a cached prefix from where nothing may be fetched."""

    @parameterized.expand(
        [
            ("free", None, None, True),
            ("evacuated", "tacoma", None, False),
            ("outside_of_the_allowed_regions", None, frozenset(("olympia",)), False),
        ]
    )
    def test_source_of_a_copy(
        self, _: str, evacuated: str | None, allowed: frozenset[str] | None, copied: bool
    ) -> None:
        FakeClock(self)
        evacuations = EvacuationTable(lambda: SETTINGS)
        table = EndpointTable(evacuations)
        table.update({"i-1": entry(1, "tacoma"), "i-2": entry(2, "olympia")})
        source, other = table.of_service("fleet")
        placement = PromptPlacement("olympia", random.Random(1))
        request = dataclasses.replace(call(1, "rota-history", 13_000), data_centres=allowed)
        placement.record_prefill(request, source)
        if evacuated is not None:
            evacuations.apply(evacuated, 5, True, Source.STORE)
        decision = placement.choose(request, [other])
        assert decision is not None
        self.assertEqual(source if copied else None, decision.fetch_from)


class LateCopyTest(unittest.TestCase):
    """Guards against a copy that was chosen before its source was evacuated."""

    @parameterized.expand([("free", False), ("evacuated", True)])
    def test_the_source_is_checked_when_the_request_is_sent(self, _: str, evacuated: bool) -> None:
        FakeClock(self)
        evacuations = EvacuationTable(lambda: SETTINGS)
        table = EndpointTable(evacuations)
        table.update({"i-1": entry(1, "tacoma"), "i-2": entry(2, "olympia")})
        source, chosen = table.of_service("fleet")
        attempt = Attempt(
            call(1, "rota-history", 13_000),
            PlacementDecision(chosen, source),
            PlatformHeaders(),
            mock.Mock(last_event_id=""),
            1.0,
            False,
            str,
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
        )
        if evacuated:
            evacuations.apply("tacoma", 5, True, Source.STORE)
        self.assertEqual(not evacuated, b"kv-fetch" in attempt._encode(1.0).lower())


class IsolatedGatewayTest(GatewayTestCase):
    """Guards against gateways without the store that don't learn of an evacuation in time."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.rejecting_store = StoreStandIn()
        await self.rejecting_store.start()
        self.addAsyncCleanup(self.rejecting_store.stop)
        self.rejecting_store.put("op/config", configuration(1))
        self.olympia = await self.add_engine("ledger", respond_ok)
        self.tacoma = await self.add_engine("ledger", respond_ok, zone="tacoma")
        for engine, zone in ((self.olympia, "olympia"), (self.tacoma, "tacoma")):
            self.rejecting_store.put(f"servers/{engine.identity}", engine.entry(zone=zone))

    async def start_isolated(self) -> GatewayProcess:
        settings = gateway_settings(
            self.rejecting_store.address,
            name="edge-tacoma-1",
            seeds=(self.settings.control,),
            **EVACUATIONS,
        )
        self.isolated_callers = settings.callers
        gateway, _ = self.run_gateway(lambda: settings)
        return gateway

    def reject_calls(self) -> None:
        self.rejecting_store.refuse_with = 503
        self.rejecting_store.reset_connections()

    async def status_at_isolated(self) -> int | None:
        caller = await Caller.connect(self.isolated_callers)
        try:
            caller.send("/lookup/a", headers={"Authorization": f"Token {API_KEY}"})
            response = await caller.read_response()
            return response.status if response is not None else None
        finally:
            caller.close()

    @parameterized.expand([("cut_off_later", False), ("starts_cut_off", True)])
    async def test_evacuations_arrive_from_another_gateway(
        self, _: str, starts_cut_off: bool
    ) -> None:
        await self.start_gateway(**EVACUATIONS)
        if starts_cut_off:
            self.reject_calls()
            evacuate(self.store, "olympia")
            await until(lambda: self.gateway.evacuations.in_force == {"olympia"})
            isolated = await self.start_isolated()
        else:
            isolated = await self.start_isolated()
            await until(lambda: not isolated.not_ready_reasons())
            self.reject_calls()
            await until(lambda: not isolated.store_cache.connected)
            evacuate(self.store, "olympia")
            self.clock_offset += BOUND_S
        await until(lambda: isolated.evacuations.in_force == {"olympia"})
        await until(lambda: not isolated.not_ready_reasons() and isolated.evacuations.trusted)
        self.assertEqual(200, await self.status_at_isolated())
        self.assertEqual((0, 1), (len(self.olympia.requests), len(self.tacoma.requests)))
        self.assertEqual("peer", isolated.evacuations.dump()[0]["learned_from"])

    async def test_the_store_wins_once_it_is_back(self) -> None:
        await self.start_gateway(**EVACUATIONS)
        evacuate(self.store, "olympia")
        isolated = await self.start_isolated()
        self.reject_calls()
        await until(lambda: isolated.evacuations.in_force == {"olympia"})
        # The same changes as in the other store, and then a withdrawal.
        evacuate(self.rejecting_store, "olympia")
        self.rejecting_store.delete("op/evacuate/olympia")
        self.store.refuse_with = 503
        self.store.reset_connections()
        self.rejecting_store.refuse_with = 0
        await until(lambda: not isolated.evacuations.in_force)
        await until(lambda: isolated.evacuations.trusted)


class OlderBuildTest(unittest.IsolatedAsyncioTestCase):
    """Guards against evacuations that count as confirmed by a gateway that knows none."""

    async def test_the_state_of_an_older_build_confirms_no_evacuations(self) -> None:
        fake_clock = FakeClock(self)
        store = StoreStandIn()
        await store.start()
        self.addAsyncCleanup(store.stop)
        store.put("op/config", configuration(4))
        table = EvacuationTable(lambda: SETTINGS)
        client = PlatformStore(store.address)
        cache = StoreCache(client, PlatformDocuments(), random.Random(1), table)
        task = asyncio.get_running_loop().create_task(cache.run())
        await until(lambda: cache.revision > 0)
        await _stop_cache(task, client)
        fake_clock.advance(BOUND_S)
        self.assertTrue(cache.apply_update(StoreUpdate(9, 4, 0.1, None, None), fake_clock.now))
        self.assertAlmostEqual(0.1, cache.age_s)
        self.assertAlmostEqual(BOUND_S, cache.staleness_s)
        self.assertFalse(table.trusted)


async def _stop_cache(task: "asyncio.Task[None]", client: PlatformStore) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    client.close()


if __name__ == "__main__":
    unittest.main()
