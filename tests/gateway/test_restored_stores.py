"""A store that comes back from a copy some seconds old: its revisions go back."""

import functools
from typing import Any

from parameterized import parameterized

from pearshed._internal.decisions.restored_items import EXPIRY_MARGIN_S
from pearshed._internal.gateway.process import GatewayProcess
from pearshed._internal.utils.addresses import Address
from tests.lib.gateway_fixture import GatewayTestCase, free_address, gateway_settings, until
from tests.lib.gateway_platform import API_KEY, configuration, respond_ok

_OTHER_KEY = "another-key"


class RestoredStoreTest(GatewayTestCase):
    """Guards against state that is known by its revision alone."""

    async def start(self) -> GatewayProcess:
        for _ in range(2):
            await self.add_engine("ledger", respond_ok)
        gateway = await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 2))
        return gateway

    def write_much(self) -> None:
        """Let the revision rise by what the copy doesn't hold."""
        for number in range(20):
            self.store.put(f"other/{number}", number)

    async def pass_a_restore(self) -> None:
        """Wait until the gateway has read the store that came back."""
        calls = len(self.store.calls)
        await until(lambda: any("kv-watch" in call for call in self.store.calls[calls + 3 :]))

    @parameterized.expand([("draining", "draining"), ("gone", None)])
    async def test_changes_after_a_restore_are_followed(self, _: str, state: str | None) -> None:
        gateway = await self.start()
        copy = self.store.copy()
        self.write_much()
        first = self.engines[0]
        self.store.put(f"servers/{first.identity}", first.entry(seq=2))
        await until(lambda: gateway.store_cache.revision > copy.revision + 20)
        self.store.restore(copy)
        if state is not None:
            self.store.put(f"servers/{first.identity}", first.entry(seq=3, state=state))
        else:
            self.store.delete(f"servers/{first.identity}")
        await until(lambda: self.has_endpoints("ledger", 1))
        self.store.put("servers/i-new", first.entry(service="other"))
        await until(lambda: self.has_endpoints("other", 1))

    async def test_an_engine_that_has_left_is_not_back_because_a_copy_lists_it(self) -> None:
        gateway = await self.start()
        copy = self.store.copy()
        self.store.put(
            f"servers/{self.engines[0].identity}", self.engines[0].entry(state="draining")
        )
        self.store.delete(f"servers/{self.engines[0].identity}")
        await until(lambda: self.has_endpoints("ledger", 1))
        self.store.restore(copy)
        await self.pass_a_restore()
        self.assertTrue(self.has_endpoints("ledger", 1))
        self.assertEqual([], gateway.not_ready_reasons())

    async def test_a_revoked_key_is_not_back_through_a_copy(self) -> None:
        gateway = await self.start()
        copy = self.store.copy()
        tenants = [{"name": "guild", "apiKeys": [_OTHER_KEY], "priority": 1}]
        self.store.put("op/config", configuration(2, tenants=tenants))
        await until(lambda: gateway.pages.dump()["configuration"] == 2)
        self.store.restore(copy)
        await self.pass_a_restore()
        authorization = {"Authorization": f"Token {API_KEY}"}
        self.assertEqual(401, await self.status("/lookup/a", headers=authorization))
        self.store.put("op/config", configuration(3))
        await until(lambda: gateway.pages.dump()["configuration"] == 3)
        self.assertEqual(200, await self.status("/lookup/a", headers=authorization))

    async def test_an_evacuation_after_a_restore_is_in_force(self) -> None:
        for _ in range(2):
            await self.add_engine("ledger", respond_ok)
        gateway = await self.start_gateway(evacuation_bound_s=5.0)
        await until(lambda: self.has_endpoints("ledger", 2))
        copy = self.store.copy()
        self.write_much()
        self.store.put("op/evacuate/olympia", {})
        await until(lambda: self.has_endpoints("ledger", 0))
        self.store.delete("op/evacuate/olympia")
        await until(lambda: self.has_endpoints("ledger", 2))
        self.store.restore(copy)
        await self.pass_a_restore()
        self.store.put("op/evacuate/olympia", {})
        await until(lambda: self.has_endpoints("ledger", 0))
        self.assertIsNotNone(gateway)

    async def test_an_engine_that_writes_again_is_back(self) -> None:
        await self.start()
        copy = self.store.copy()
        first = self.engines[0]
        self.store.delete(f"servers/{first.identity}")
        await until(lambda: self.has_endpoints("ledger", 1))
        self.store.restore(copy)
        await self.pass_a_restore()
        self.store.put(f"servers/{first.identity}", first.entry(seq=9))
        await until(lambda: self.has_endpoints("ledger", 2))

    @parameterized.expand(
        [
            # name, whether the engine lapses before the copy is made, and joins after it
            ("lapsed_and_back_before_the_copy", True, False),
            ("joined_after_the_copy", False, True),
        ]
    )
    async def test_a_running_engine_stays_in_use_over_further_drills(
        self, _: str, lapses: bool, joins_late: bool
    ) -> None:
        # An engine that a gateway once missed was dropped for good by each later drill.
        gateway = await self.start()
        first = self.engines[0]
        key = f"servers/{first.identity}"
        if lapses or joins_late:
            self.store.delete(key)
            await until(lambda: self.has_endpoints("ledger", 1))
        copy = self.store.copy()
        self.store.put(key, first.entry())
        await until(lambda: self.has_endpoints("ledger", 2))
        for _drill in range(2):
            self.store.restore(copy if joins_late else self.store.copy())
            for engine in self.engines:
                self.store.put(f"servers/{engine.identity}", engine.entry())
            copy = self.store.copy()
            await self.pass_a_restore()
            self.assertTrue(self.has_endpoints("ledger", 2))
        self.assertEqual([], gateway.pages.dump()["doubted_entries"])

    async def test_an_engine_that_came_back_while_the_store_was_away_is_used_after_a_lease(
        self,
    ) -> None:
        await self.start()
        first = self.engines[0]
        copy = self.store.copy()
        self.store.delete(f"servers/{first.identity}")
        await until(lambda: self.has_endpoints("ledger", 1))
        self.store.refuse_with = 503
        self.store.reset_connections()
        await until(lambda: not self.gateway.store_cache.connected)
        self.store.restore(copy)
        self.store.put(f"servers/{first.identity}", first.entry())
        self.store.refuse_with = 0
        await until(lambda: bool(self.gateway.pages.dump()["doubted_entries"]))
        self.assertTrue(self.has_endpoints("ledger", 1))
        self.clock_offset += self.settings.entry_lease_s + EXPIRY_MARGIN_S
        await until(lambda: self.has_endpoints("ledger", 2))

    async def test_an_evacuation_that_the_copy_lacks_stays_until_the_operator_ends_it(self) -> None:
        for _ in range(2):
            await self.add_engine("ledger", respond_ok)
        await self.start_gateway(evacuation_bound_s=5.0)
        copy = self.store.copy()
        self.store.put("op/evacuate/olympia", {})
        await until(lambda: self.has_endpoints("ledger", 0))
        self.store.restore(copy)
        await self.pass_a_restore()
        self.assertTrue(self.has_endpoints("ledger", 0))
        self.store.put("op/evacuate/olympia", {})
        self.store.delete("op/evacuate/olympia")
        await until(lambda: self.has_endpoints("ledger", 2))

    async def test_an_evacuation_whose_end_is_missed_after_a_drill_ends(self) -> None:
        # Each later full read once kept an evacuation that had been set before the drill.
        for _ in range(2):
            await self.add_engine("ledger", respond_ok)
        await self.start_gateway(evacuation_bound_s=5.0)
        self.store.put("op/evacuate/olympia", {})
        await until(lambda: self.has_endpoints("ledger", 0))
        self.store.restore(self.store.copy())
        self.store.put("op/evacuate/olympia", {})
        await self.pass_a_restore()
        self.assertTrue(self.has_endpoints("ledger", 0))
        self.store.delete("op/evacuate/olympia")
        self.store.compact()
        self.store.reset_connections()
        await until(lambda: self.has_endpoints("ledger", 2))

    async def test_an_evacuation_that_had_ended_is_not_back_because_a_copy_lists_it(self) -> None:
        for _ in range(2):
            await self.add_engine("ledger", respond_ok)
        gateway = await self.start_gateway(evacuation_bound_s=5.0)
        self.store.put("op/evacuate/olympia", {})
        await until(lambda: self.has_endpoints("ledger", 0))
        copy = self.store.copy()
        self.store.delete("op/evacuate/olympia")
        await until(lambda: self.has_endpoints("ledger", 2))
        self.store.restore(copy)
        await until(lambda: bool(gateway.pages.dump()["doubted_evacuations"]))
        self.assertTrue(self.has_endpoints("ledger", 2))
        self.store.delete("op/evacuate/olympia")
        await until(lambda: not gateway.pages.dump()["doubted_evacuations"])
        self.assertTrue(self.has_endpoints("ledger", 2))

    @parameterized.expand([("in_a_row", False), ("in_an_outage", True)])
    async def test_several_restores_are_followed(self, _: str, outage: bool) -> None:
        gateway = await self.start()
        copy = self.store.copy()
        self.write_much()
        for number in range(3):
            if outage:
                self.store.refuse_with = 503
                self.store.reset_connections()
                await until(lambda: not gateway.store_cache.connected)
            self.store.restore(copy)
            self.store.refuse_with = 0
            identity = f"i-after-{number}"
            self.store.put(f"servers/{identity}", self.engines[0].entry(service=identity))
            await until(functools.partial(self.has_endpoints, identity, 1))
        self.assertEqual([], gateway.not_ready_reasons())
        self.assertEqual(200, await self.status("/lookup/a"))

    async def test_responses_of_an_earlier_era_are_dropped(self) -> None:
        gateway = await self.start()
        self.store.restore(self.store.copy())
        await self.pass_a_restore()
        self.store.era -= 1
        self.store.reset_connections()
        self.store.delete(f"servers/{self.engines[0].identity}")
        await until(lambda: not gateway.store_cache.connected)
        self.assertTrue(self.has_endpoints("ledger", 2))
        self.store.era += 1
        await until(lambda: self.has_endpoints("ledger", 1))

    async def test_a_gateway_that_starts_after_a_restore_is_ready(self) -> None:
        self.store.restore(self.store.copy())
        await self.start()
        self.assertEqual(200, await self.status("/lookup/a"))


class StartInDrillTest(GatewayTestCase):
    """Guards against what a copy lacks being unknown to a gateway that starts meanwhile."""

    async def start_second(self, seed: Address, **overrides: Any) -> None:
        """Start another gateway after a restore, which `gateway` and `settings` then stand for."""
        other = gateway_settings(self.store.address, seeds=(seed,), **overrides)
        self.settings = other
        self.gateway, _ = self.run_gateway(lambda: other)
        await until(lambda: not self.gateway.not_ready_reasons())

    async def test_a_key_that_another_gateway_knows_as_revoked_is_refused(self) -> None:
        await self.add_engine("ledger", respond_ok)
        first = await self.start_gateway()
        copy = self.store.copy()
        tenants = [{"name": "guild", "apiKeys": [_OTHER_KEY], "priority": 1}]
        self.store.put("op/config", configuration(2, tenants=tenants))
        await until(lambda: first.store_cache.version == 2)
        self.store.restore(copy)
        await self.start_second(self.settings.control)
        self.assertEqual(2, self.gateway.store_cache.version)
        authorization = {"Authorization": f"Token {API_KEY}"}
        self.assertEqual(401, await self.status("/lookup/a", headers=authorization))

    async def test_an_evacuation_that_another_gateway_knows_is_in_force_until_the_bound(
        self,
    ) -> None:
        await self.add_engine("ledger", respond_ok)
        first = await self.start_gateway(evacuation_bound_s=5.0)
        copy = self.store.copy()
        self.store.put("op/evacuate/olympia", {})
        await until(lambda: first.pages.dump()["evacuations"] != [])
        self.store.restore(copy)
        await self.start_second(self.settings.control, evacuation_bound_s=5.0)
        self.assertTrue(self.has_endpoints("ledger", 0))
        self.clock_offset += 5.0
        await until(lambda: self.has_endpoints("ledger", 1))
        await until(lambda: first.pages.dump()["evacuations"] == [])

    async def test_a_gateway_whose_others_do_not_answer_opens(self) -> None:
        await self.add_engine("ledger", respond_ok)
        await self.start_second(free_address())
        await until(lambda: self.has_endpoints("ledger", 1))
        self.assertEqual(200, await self.status("/lookup/a"))
