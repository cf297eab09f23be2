"""A gateway that starts while the store is away, beside gateways that know more or less."""

import asyncio
from unittest import mock

from parameterized import parameterized

from pearshed._internal.gateway.process import GatewayProcess
from pearshed._internal.utils.addresses import Address
from tests.lib.gateway_caller import Caller
from tests.lib.gateway_fixture import GatewayTestCase, gateway_settings, until
from tests.lib.gateway_platform import API_KEY, configuration, respond_ok
from tests.lib.gateway_store import StoreStandIn

_OLD_KEY = "key-that-is-withdrawn"
#: Longer than the bound after which keys of an unconfirmed configuration are refused.
_CUT_OFF_S = 6.0
_CALLS = 30


class RestartTest(GatewayTestCase):
    """One gateway is cut off from the store, another reads what was withdrawn meanwhile."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.controls: list[Address] = []
        self.old_store = StoreStandIn()
        await self.old_store.start()
        self.addAsyncCleanup(self.old_store.stop)
        tenants = [{"name": "guild", "apiKeys": [API_KEY, _OLD_KEY], "priority": 1}]
        for store in (self.store, self.old_store):
            store.put("op/config", configuration(2, tenants=tenants))

    async def start_on(
        self, store: StoreStandIn, *seeds: Address
    ) -> tuple[GatewayProcess, Address]:
        """Start a gateway that reads a store and knows other gateways."""
        settings = gateway_settings(store.address, seeds=seeds)
        gateway, _ = self.run_gateway(lambda: settings)
        self.controls.append(settings.control)
        return gateway, settings.callers

    @parameterized.expand(
        [
            ("the_one_that_knows_more_is_asked_first", False),
            ("the_one_that_is_cut_off_is_asked_first", True),
        ]
    )
    async def test_what_was_withdrawn_is_not_used_again(self, _: str, stale_first: bool) -> None:
        left = await self.add_engine("ledger", respond_ok)
        stays = await self.add_engine("ledger", respond_ok)
        for engine in (left, stays):
            self.old_store.put(f"servers/{engine.identity}", engine.entry())
        informed, _callers = await self.start_on(self.store)
        cut_off, _callers = await self.start_on(self.old_store)
        await until(lambda: not informed.not_ready_reasons() and not cut_off.not_ready_reasons())
        self.old_store.refuse_with = 503
        self.old_store.reset_connections()
        self.store.put("op/config", configuration(3))
        self.store.delete(f"servers/{left.identity}")
        await until(
            lambda: informed.store_cache.version == 3 and len(informed.store_cache.endpoints) == 1
        )
        await until(lambda: not cut_off.store_cache.connected)
        self.clock_offset += _CUT_OFF_S
        await until(lambda: informed.store_cache.age_s < 2.0)
        order = sorted(self.controls, reverse=stale_first, key=self.controls.index)
        started, callers = await self.start_on(self.old_store, *order)
        with mock.patch.object(started._directory, "sample", lambda count: order[:count]):
            statuses = await self.call_from_the_start(callers, started)
        self.assertEqual(set(), {200, 404} & statuses[_OLD_KEY])
        self.assertIn(401, statuses[_OLD_KEY])
        self.assertIn(200, statuses[API_KEY])
        self.assertEqual([], left.requests)

    async def call_from_the_start(
        self, callers: Address, gateway: GatewayProcess
    ) -> dict[str, set[int]]:
        """Call a gateway from its first moment on, with both keys and without one."""
        statuses: dict[str, set[int]] = {_OLD_KEY: set(), API_KEY: set(), "": set()}
        calls_when_ready = 0
        while calls_when_ready < _CALLS:
            calls_when_ready += not gateway.not_ready_reasons()
            for key, seen in statuses.items():
                try:
                    caller = await Caller.connect(callers)
                except OSError:
                    await asyncio.sleep(0.001)
                    continue
                path = "/lookup/a" if key else "/open/a"
                caller.send(path, headers={"Authorization": f"Token {key}" if key else ""})
                response = await caller.read_response()
                assert response is not None
                seen.add(response.status)
                caller.close()
        return statuses
