"""Streams that are taken up at a gateway that has not yet learned of a new software version."""

import asyncio
import dataclasses
from typing import Any
from unittest import mock

from parameterized import parameterized

from pearshed._internal.engine_side.messages import Message
from pearshed._internal.gateway.admission import SideAdmissionClient
from pearshed._internal.gateway.settings import GatewaySettings
from pearshed._internal.timers import clock
from pearshed._internal.utils.addresses import Address
from tests.gateway.test_stream_versions import SHORT_HISTORY_S, StreamVersionsTestCase
from tests.lib.fault_proxy import FaultProxy
from tests.lib.gateway_caller import CallerResponse
from tests.lib.gateway_fixture import until
from tests.lib.gateway_platform import configuration, route

_GATEWAYS = 3
_IN_STEP, _OUT_OF_STEP = 0, 1
_OUT_OF_STEP_HOST = f"127.0.0.{_OUT_OF_STEP + 2}"
_MAX_STREAMS = 40


class OutOfStepGatewayTest(StreamVersionsTestCase):
    """One gateway receives nothing while engines of v2 join and streams begin there."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store_link = FaultProxy(self.store.address.port)
        self.cut = False
        send, receive = SideAdmissionClient.send, SideAdmissionClient.datagram_received

        def send_unless_cut(client: SideAdmissionClient, message: Message, host: str) -> None:
            if not self.cut or host != _OUT_OF_STEP_HOST:
                send(client, message, host)

        def receive_unless_cut(
            client: SideAdmissionClient, data: bytes, addr: tuple[str, int]
        ) -> None:
            if not self.cut or addr[0] != _OUT_OF_STEP_HOST:
                receive(client, data, addr)

        for patch in (
            mock.patch.object(SideAdmissionClient, "send", send_unless_cut),
            mock.patch.object(SideAdmissionClient, "datagram_received", receive_unless_cut),
            mock.patch("pearshed._internal.decisions.version_history.HISTORY_S", SHORT_HISTORY_S),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    def gateway_settings(self, **overrides: Any) -> GatewaySettings:
        settings = super().gateway_settings(**overrides)
        if settings.peers.host != _OUT_OF_STEP_HOST:
            return settings
        return dataclasses.replace(settings, store=Address("127.0.0.1", self.store_link.port))

    def set_cut(self, cut: bool) -> None:
        """Cut the gateway off from the store and the other gateways, or connect it again."""
        self.cut = cut
        self.store_link.partition(cut)

    async def start_fleet(self) -> None:
        """Start gateways that have known one version only for long enough."""
        await self.add_versions("v1", "v1")
        await self.add_gateways(_GATEWAYS)
        known_since = clock.now()
        await until(lambda: clock.now() - known_since > SHORT_HISTORY_S + 0.5)

    async def begin_at_new_version(self) -> tuple[str, bytes]:
        """Let an engine of v2 join; return a stream that begins there, and its body."""
        await self.add_versions("v2")
        await until(lambda: self._lists_running(self.gateways[_IN_STEP], "fleet"))
        for number in range(_MAX_STREAMS):
            stream, body = f"s{number}", b"question %d" % number
            if await self.begin_stream(_IN_STEP, stream, body=body) == "v2":
                return stream, body
        raise AssertionError("no stream has begun at the new version")

    async def take_up(
        self, stream: str, body: bytes, request_id: str, *, names_stream: bool
    ) -> CallerResponse:
        headers = {"Last-Event-Id": "1", **({"Resumes": stream} if names_stream else {})}
        response = await self.send_to(
            _OUT_OF_STEP, "/plain/a", request_id=request_id, headers=headers, body=body
        )
        assert response is not None
        return response

    @parameterized.expand(
        [
            # seconds without the store, whether the caller names the stream, what the gateway
            # does when the caller comes
            ("short_cut", 0.5, True, "stays cut off"),
            ("short_cut_stream_not_named", 0.5, False, "stays cut off"),
            ("long_cut", 2.0, True, "stays cut off"),
            ("long_cut_stream_not_named", 2.0, False, "stays cut off"),
            ("reads_the_store_again", 0.5, True, "reads the store"),
            ("reads_the_store_again_stream_not_named", 0.5, False, "reads the store"),
            ("others_have_ended", 0.5, True, "others have ended"),
            ("others_have_ended_stream_not_named", 0.5, False, "others have ended"),
        ]
    )
    async def test_a_gateway_out_of_step_joins_no_stream_from_two_versions(
        self, _: str, silent_s: float, names_stream: bool, then: str
    ) -> None:
        await self.start_fleet()
        self.set_cut(True)
        stream, body = await self.begin_at_new_version()
        await asyncio.sleep(silent_s)
        if then == "others have ended":
            for gateway in (_IN_STEP, _GATEWAYS - 1):
                self.end_gateway(gateway)
        if then != "stays cut off":
            self.set_cut(False)
        response = await self.take_up(stream, body, "r", names_stream=names_stream)
        self.assertNotIn("v1", self.arrived("r"))
        if response.status == 200:
            self.assert_goes_on(response, "v2")
        else:
            self.assert_refused(response)

    async def test_a_gateway_cut_off_relies_on_no_content_that_others_may_have_begun_too(
        self,
    ) -> None:
        await self.add_versions("v1", "v2")
        await self.add_gateways(_GATEWAYS)
        bodies = [b"question %d" % number for number in range(_MAX_STREAMS)]
        own = [await self.begin_stream(_OUT_OF_STEP, "a", body=body) for body in bodies]
        self.set_cut(True)
        others = [await self.begin_stream(_IN_STEP, "b", body=body) for body in bodies]
        body = bodies[list(zip(own, others, strict=True)).index(("v1", "v2"))]
        response = await self.take_up("b", body, "r", names_stream=False)
        self.assert_refused(response)
        self.assertEqual([], self.arrived("r"))

    async def test_a_stream_whose_route_has_moved_goes_on_at_no_other_service(self) -> None:
        await self.start_fleet()
        annex = await self.add_engine("annex", self.respond, version="v1")
        self.versions[annex.identity] = "v1"
        known_since = clock.now()
        await until(lambda: clock.now() - known_since > SHORT_HISTORY_S + 0.5)
        self.set_cut(True)
        self.assertEqual("v1", await self.begin_stream(_IN_STEP, "s"))
        for gateway in (_IN_STEP, _GATEWAYS - 1):
            self.end_gateway(gateway)
        self.set_cut(False)
        moved = [route("plain", "streaming", "annex", resumable=True, maxAttempts=4)]
        services = [{"name": name, "healthPath": "/healthz"} for name in ("fleet", "annex")]
        self.store.put("op/config", configuration(3, routes=moved, services=services))
        await until(lambda: self.gateways[_OUT_OF_STEP].store_cache.version == 3)
        response = await self.take_up("s", b"", "r", names_stream=True)
        self.assert_refused(response)
        self.assertEqual([], annex.requests)

    async def test_a_gateway_in_step_again_lets_the_stream_go_on(self) -> None:
        await self.start_fleet()
        self.set_cut(True)
        stream, body = await self.begin_at_new_version()
        self.set_cut(False)
        await self.all_listed()
        self.assert_goes_on(await self.take_up(stream, body, "r", names_stream=True), "v2")

    async def test_a_stream_of_the_only_version_goes_on_though_nobody_names_it(self) -> None:
        await self.start_fleet()
        self.set_cut(True)
        stream, body = "s", b"question"
        self.assertEqual("v1", await self.begin_stream(_IN_STEP, stream, body=body))
        for gateway in (_IN_STEP, _GATEWAYS - 1):
            self.end_gateway(gateway)
        self.set_cut(False)
        self.assert_goes_on(await self.take_up(stream, body, "r", names_stream=True), "v1")
