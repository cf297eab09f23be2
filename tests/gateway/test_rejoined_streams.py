"""Streams that clients take up after all gateways have ended at once and come back."""

import asyncio
import random
from collections.abc import Callable
from unittest import mock

from parameterized import parameterized

from pearshed._internal.engine_side.messages import Message, OriginReport
from pearshed._internal.gateway.admission import SideAdmissionClient
from pearshed._internal.gateway.process import GatewayProcess
from pearshed._internal.gateway.settings import GatewaySettings
from pearshed._internal.utils.addresses import Address
from tests.gateway.test_stream_versions import StreamVersionsTestCase
from tests.lib.engine_side import start_side
from tests.lib.gateway_fixture import gateway_settings, until

STREAMS = 12
GATEWAYS = 3
SEED = 20261204


class RejoinedStreamTest(StreamVersionsTestCase):
    hosts_used = GATEWAYS

    @parameterized.expand(
        [
            # addresses of the new gateways, the side, engines of the old version, origins sent,
            # whether at least half of the streams can go on
            ("old_addresses", "old", "lives", "stay", "once", True),
            ("new_addresses", "new", "lives", "stay", "once", True),
            ("side_restarts_too", "old", "restarts", "stay", "once", False),
            ("side_restarts_just_after", "old", "restarts after", "stay", "once", False),
            ("old_version_left_before", "old", "lives", "left before", "once", False),
            ("old_version_leaves_just_after", "new", "lives", "leave after", "once", False),
            ("origins_arrive_twice", "old", "lives", "stay", "twice", True),
            ("origins_are_lost", "old", "lives", "stay", "half", False),
            ("no_side", "old", "none", "stay", "once", False),
        ]
    )
    async def test_no_stream_is_joined_from_two_versions(
        self, _: str, addresses: str, side: str, old_version: str, origins: str, half_go_on: bool
    ) -> None:
        await self.add_versions("v1", "v1", "v2", "v2")
        if side != "none":
            self.side = await self.start_side()
        with mock.patch.object(SideAdmissionClient, "send", _sender(origins)):
            await self.add_gateways(GATEWAYS)
            begun = [
                await self.begin_stream(number % GATEWAYS, f"s{number}", body=b"%d" % number)
                for number in range(STREAMS)
            ]
            self.assertEqual({"v1", "v2"}, set(begun))
            if old_version == "left before":
                await self.remove_version("v1")
            await self.restart_gateways(addresses == "new")
            if side == "restarts":
                await self.restart_side()
            await self.all_listed()
            if side == "restarts after":
                await self.restart_side()
            if old_version == "leave after":
                await self.remove_version("v1")
            went_on = 0
            for number, version in enumerate(begun):
                response = await self.resume(
                    number % GATEWAYS, f"r{number}", f"s{number}", path="/plain/a"
                )
                assert response is not None
                if response.status == 200:
                    self.assert_goes_on(response, version)
                    went_on += 1
                else:
                    self.assert_refused(response)
                self.assertLessEqual(set(self.arrived(f"r{number}")), {version})
        if half_go_on:
            self.assertGreaterEqual(went_on, STREAMS // 2)

    async def test_a_stream_that_was_taken_up_is_taken_up_again(self) -> None:
        await self.add_versions("v1", "v1", "v2", "v2")
        self.side = await self.start_side()
        await self.add_gateways(GATEWAYS)
        version = await self.begin_stream(0, "s0")
        for number in (1, 2, 3):
            await self.restart_gateways(new_addresses=number % 2 == 0)
            await self.all_listed()
            # The id of the attempt that brought the first event, or of one that went on.
            resumes = "s0" if number % 2 else f"r{number - 1}"
            self.assert_goes_on(await self.resume(number % 3, f"r{number}", resumes), version)

    async def remove_version(self, version: str) -> None:
        """Let the engines of a version leave."""
        for engine in list(self.engines):
            if self.versions[engine.identity] == version:
                self.store.delete(f"servers/{engine.identity}")
                self.engines.remove(engine)
        await self.all_listed()

    async def restart_side(self) -> None:
        """End the side and start it again."""
        self.side.request_stop()
        await until(lambda: not self.side.serving)
        address = Address("127.0.0.1", self.peer_port)
        self.side = await start_side(self, address, self.engines[0].address, self.monitor)

    async def restart_gateways(self, new_addresses: bool) -> None:
        """End all gateways without notice, and start as many."""
        for gateway in self.gateways:
            gateway.close()
        await asyncio.sleep(0)
        first = int(self.hosts_used if new_addresses else 0)
        self.gateways.clear()
        self.callers.clear()
        for number in range(GATEWAYS):
            host = f"127.0.0.{first + number + 2}"
            settings = gateway_settings(
                self.store.address,
                name=f"edge-{host}",
                peers=Address(host, self.peer_port),
                control=Address(host, self.control_port),
                seeds=tuple(
                    Address(f"127.0.0.{first + seed + 2}", self.control_port)
                    for seed in range(GATEWAYS)
                ),
            )
            self.gateways.append(self.run_with(settings))
            self.callers.append(settings.callers)
        self.hosts_used = max(self.hosts_used, first + GATEWAYS)
        await until(lambda: not any(gateway.not_ready_reasons() for gateway in self.gateways))

    def run_with(self, settings: GatewaySettings) -> GatewayProcess:
        """Run a gateway until the test ends."""
        gateway, _ = self.run_gateway(lambda: settings)
        return gateway


def _sender(origins: str) -> Callable[[SideAdmissionClient, Message, str], None]:
    """Return a replacement of ``send`` that loses or repeats the origins of streams."""
    send = SideAdmissionClient.send
    rng = random.Random(SEED)

    def replacement(client: SideAdmissionClient, message: Message, host: str) -> None:
        times = 1
        if isinstance(message, OriginReport):
            times = {"once": 1, "twice": 2, "half": rng.randrange(2)}[origins]
        for _ in range(times):
            send(client, message, host)

    return replacement
