"""Streams that go on while engines of several software versions serve."""

import re
from collections.abc import Sequence
from unittest import mock

from parameterized import parameterized

from pearshed._internal.timers import clock
from pearshed._internal.utils.addresses import Address
from tests.lib.gateway_caller import Caller, CallerResponse
from tests.lib.gateway_fixture import gateway_settings, until
from tests.lib.gateway_fleet import GatewayFleetTestCase
from tests.lib.gateway_platform import (
    EngineConnection,
    EngineRequest,
    EngineStandIn,
    configuration,
    route,
)

EVENTS = 4
SHORT_HISTORY_S = 1.0
_PROMPT = {"Pearshed-Token-Usage": "350,20", "Pearshed-Prefix-Hash": "aa:300,bb:50"}


def _writers(events: bytes) -> list[str]:
    """Return the versions that wrote some events."""
    return re.findall("<(.*)>", events.decode())


class StreamVersionsTestCase(GatewayFleetTestCase):
    """Engines of two versions; each event names the version that wrote it."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # Without prompts, requests are spread over engines at random.
        self.routes = [
            route("draft", "streaming", "fleet", sticky=True, resumable=True, maxAttempts=4),
            route("plain", "streaming", "fleet", resumable=True, maxAttempts=4),
        ]
        self.store.put("op/config", configuration(2, routes=self.routes))
        self.versions: dict[str, str] = {}
        self.paused: set[str] = set()
        self.interrupted: set[str] = set()

    async def add_versions(self, *versions: str) -> None:
        for version in versions:
            engine = await self.add_engine("fleet", self.respond, version=version)
            self.versions[engine.identity] = version

    async def add_gateways(self, count: int) -> None:
        for _ in range(count):
            await self.add_gateway()
        await self.all_listed()

    def engine_of(self, request: EngineRequest) -> EngineStandIn:
        return next(engine for engine in self.engines if request in engine.requests)

    async def respond(self, connection: EngineConnection, request: EngineRequest) -> None:
        """Send the events after the last one that the caller has; stop in the middle if asked."""
        version = self.versions[self.engine_of(request).identity]
        begun = int(request.headers.get("last-event-id", 0))
        connection.begin_stream(request)
        for number in range(begun + 1, EVENTS + 1):
            if number == begun + 2 and request.request_id in self.interrupted:
                await connection.drain()
                connection.reset()
                self.interrupted.discard(request.request_id)
                return
            if number == begun + 2 and request.request_id in self.paused:
                await connection.drain()
                await connection.wait_closed()
                return
            connection.send_stream_content(f"id: {number}\ndata: <{version}>\n\n".encode())
        connection.end_stream()

    async def begin_stream(
        self, gateway: int, request_id: str, path: str = "/plain/a", body: bytes = b""
    ) -> str:
        """Begin a stream, leave it after its first event and return the version that began it."""
        self.paused.add(request_id)
        caller = await Caller.connect(self.callers[gateway])
        caller.send(path, request_id=request_id, headers=_PROMPT, body=body)
        await caller.read_head()
        event = await caller.read_chunk()
        caller.close()
        return _writers(event)[0]

    async def resume(
        self, gateway: int, request_id: str, resumes: str, after: int = 1, path: str = "/plain/a"
    ) -> CallerResponse | None:
        headers = {**_PROMPT, "Last-Event-Id": str(after), "Resumes": resumes}
        return await self.send_to(gateway, path, request_id=request_id, headers=headers)

    def assert_goes_on(self, response: CallerResponse | None, version: str) -> None:
        assert response is not None
        self.assertEqual((200, True), (response.status, response.complete))
        self.assertEqual({version}, set(_writers(response.body)))

    def assert_refused(self, response: CallerResponse | None) -> None:
        assert response is not None
        self.assertEqual(503, response.status)
        self.assertGreater(float(response.headers["retry-after"]), 0.0)

    def arrived(self, request_id: str) -> Sequence[str]:
        return [
            self.versions[self.engine_of(request).identity]
            for request in self.arrivals()
            if request.request_id == request_id
        ]

    def end_gateway(self, gateway: int) -> None:
        """End a gateway without notice."""
        self.gateways[gateway].close()


class TakenUpStreamTest(StreamVersionsTestCase):
    """Streams that clients take up again."""

    @parameterized.expand(
        [
            # gateways, with a side, gateway that began it ends, gateway that is asked
            ("same_gateway", 1, True, False, 0),
            ("another_gateway", 2, True, False, 1),
            ("the_first_gateway_has_ended", 2, True, True, 1),
            ("no_side", 3, False, False, 1),
            ("no_side_and_the_first_gateway_has_ended", 3, False, True, 1),
            ("no_side_and_the_third_gateway_is_asked", 3, False, True, 2),
        ]
    )
    async def test_a_stream_goes_on_only_at_the_version_that_began_it(
        self, _: str, gateways: int, with_side: bool, ends: bool, asked: int
    ) -> None:
        await self.add_versions("v1", "v2", "v1", "v2", "v2")
        if not with_side:
            self.store.put("op/config", configuration(3, routes=self.routes[1:]))
        if with_side:
            await self.start_side()
        await self.add_gateways(gateways)
        begun = [await self.begin_stream(0, f"s{number}") for number in range(8)]
        if ends:
            self.end_gateway(0)
        for number, version in enumerate(begun):
            self.assert_goes_on(await self.resume(asked, f"r{number}", f"s{number}"), version)

    async def test_a_stream_is_taken_up_repeatedly_at_one_version(self) -> None:
        await self.add_versions("v1", "v2", "v1", "v2")
        await self.start_side()
        await self.add_gateways(3)
        version = await self.begin_stream(0, "s")
        self.paused.update(("r1", "r2"))
        for number, gateway in ((1, 1), (2, 2)):
            caller = await Caller.connect(self.callers[gateway])
            headers = {**_PROMPT, "Last-Event-Id": str(number), "Resumes": "s"}
            caller.send("/plain/a", request_id=f"r{number}", headers=headers)
            await caller.read_head()
            self.assertEqual([version], _writers(await caller.read_chunk()))
            caller.close()
        self.assert_goes_on(await self.resume(0, "r3", "s", after=3), version)

    @parameterized.expand([("unknown_id", {"Resumes": "other"}), ("no_id", {})])
    async def test_a_stream_of_an_unknown_version_is_refused_and_reaches_no_engine(
        self, _: str, headers: dict[str, str]
    ) -> None:
        await self.add_versions("v1", "v2")
        await self.start_side()
        await self.add_gateways(2)
        headers = {**_PROMPT, "Last-Event-Id": "1", **headers}
        response = await self.send_to(0, "/plain/a", request_id="r", headers=headers)
        self.assert_refused(response)
        self.assertEqual([], self.arrived("r"))

    async def test_a_stream_without_the_id_that_began_it_goes_on_by_its_content(self) -> None:
        await self.add_versions("v1", "v2", "v1", "v2")
        await self.start_side()
        await self.add_gateways(2)
        for number in range(8):
            body = b"question %d" % number
            version = await self.begin_stream(0, f"s{number}", body=body)
            headers = {**_PROMPT, "Last-Event-Id": "1"}
            response = await self.send_to(
                1, "/plain/a", request_id=f"r{number}", headers=headers, body=body
            )
            self.assert_goes_on(response, version)

    async def test_a_content_that_two_versions_have_answered_names_no_stream(self) -> None:
        await self.add_versions("v1", "v2", "v1", "v2")
        await self.start_side()
        await self.add_gateways(2)
        begun = [await self.begin_stream(number % 2, f"s{number}") for number in range(12)]
        self.assertEqual({"v1", "v2"}, set(begun))
        for gateway in range(2):
            headers = {**_PROMPT, "Last-Event-Id": "1"}
            response = await self.send_to(
                gateway, "/plain/a", request_id=f"r{gateway}", headers=headers
            )
            self.assert_refused(response)
            self.assertEqual([], self.arrived(f"r{gateway}"))

    async def test_a_stream_whose_version_is_withdrawn_is_refused(self) -> None:
        await self.add_versions("v1")
        await self.start_side()
        await self.add_gateways(2)
        self.assertEqual("v1", await self.begin_stream(0, "s"))
        await self.add_versions("v2")
        self.store.delete(f"servers/{self.engines[0].identity}")
        self.engines.pop(0)
        await self.all_listed()
        self.assert_refused(await self.resume(1, "r", "s"))
        self.assertEqual([], self.arrived("r"))

    async def test_an_engine_that_restarts_under_its_id_with_another_version_gets_no_old_stream(
        self,
    ) -> None:
        await self.add_versions("v1")
        await self.start_side()
        await self.add_gateways(2)
        self.assertEqual("v1", await self.begin_stream(0, "s"))
        engine = self.engines[0]
        self.versions[engine.identity] = "v2"
        self.store.put(f"servers/{engine.identity}", engine.entry(version="v2", born=7))
        await until(
            lambda: all(
                endpoint.entry.started_at_ms == 7
                for gateway in self.gateways
                for endpoint in gateway.endpoints.of_service("fleet")
            )
        )
        self.assert_refused(await self.resume(1, "r", "s"))
        self.assertEqual([], self.arrived("r"))

    async def test_an_engine_that_has_restarted_before_its_entry_says_so_gets_no_old_stream(
        self,
    ) -> None:
        await self.add_versions("v1")
        side = await self.start_side()
        await self.add_gateways(2)
        self.assertEqual("v1", await self.begin_stream(0, "s", "/draft/a"))
        self.versions[self.engines[0].identity] = "v2"
        self.monitor.started_at_ms = 7
        await until(lambda: side.dump()["engine_started_at_ms"] == 7)
        self.assert_refused(await self.resume(1, "r", "s", path="/draft/a"))
        self.assertEqual([], self.arrived("r"))

    @parameterized.expand([("prompts", "/draft/a"), ("without_prompts", "/plain/a")])
    async def test_an_engine_that_has_just_restarted_under_its_id_gets_no_old_stream(
        self, _: str, path: str
    ) -> None:
        await self.add_versions("v1")
        await self.start_side()
        await self.add_gateways(2)
        self.assertEqual("v1", await self.begin_stream(0, "s", path))
        # Neither the store nor the side has noticed it.
        self.engines[0].started_at_ms = 7
        self.versions[self.engines[0].identity] = "v2"
        self.assert_refused(await self.resume(1, "r", "s", path=path))
        self.assertEqual([], self.arrived("r"))

    async def test_a_stream_begins_only_at_a_run_that_is_listed(self) -> None:
        await self.add_versions("v1", "v1")
        await self.add_gateways(2)
        restarted = self.engines[0]
        restarted.started_at_ms = 7
        self.versions[restarted.identity] = "v2"
        for number in range(6):
            self.assertEqual("v1", await self.begin_stream(0, f"s{number}"))
        self.assertEqual([], restarted.requests)
        self.store.put(f"servers/{restarted.identity}", restarted.entry(version="v2"))
        await until(
            lambda: all(
                7 in {endpoint.entry.started_at_ms for endpoint in gateway.endpoints.endpoints}
                for gateway in self.gateways
            )
        )
        begun = {await self.begin_stream(0, f"t{number}") for number in range(12)}
        self.assertEqual({"v1", "v2"}, begun)

    async def test_an_unversioned_engine_is_no_version_of_another_one(self) -> None:
        await self.add_versions("", "")
        await self.start_side()
        await self.add_gateways(2)
        await self.begin_stream(0, "s")
        begun_at = next(engine for engine in self.engines if engine.requests)
        self.assert_goes_on(await self.resume(1, "r", "s"), "")
        self.assertEqual({"s", "r"}, {request.request_id for request in begun_at.requests})

    async def test_a_gateway_that_has_seen_one_version_only_knows_what_began_a_stream(
        self,
    ) -> None:
        await self.add_versions("v1", "v1")
        await self.add_gateways(2)
        self.assert_refused(await self.resume(0, "r1", "unknown"))
        history = mock.patch(
            "pearshed._internal.decisions.version_history.HISTORY_S", SHORT_HISTORY_S
        )
        history.start()
        self.addCleanup(history.stop)
        known_since = clock.now()
        await until(lambda: clock.now() - known_since > SHORT_HISTORY_S + 0.5)
        self.assert_goes_on(await self.resume(0, "r2", "unknown"), "v1")
        await self.add_versions("v2")
        await self.all_listed()
        self.assert_refused(await self.resume(0, "r3", "unknown-too"))

    async def test_a_stream_goes_on_through_a_gateway_whose_settings_name_no_other(self) -> None:
        await self.add_versions("v1", "v2", "v1", "v2")
        await self.start_side()
        await self.add_gateways(1)
        settings = gateway_settings(
            self.store.address, name="edge-alone", peers=Address("127.0.0.9", self.peer_port)
        )
        alone, _ = self.run_gateway(lambda: settings)
        await until(lambda: not alone.not_ready_reasons())
        self.callers.append(settings.callers)
        self.gateways.append(alone)
        await self.all_listed()
        begun = [await self.begin_stream(0, f"s{number}") for number in range(6)]
        self.end_gateway(0)
        for number, version in enumerate(begun):
            self.assert_goes_on(await self.resume(1, f"r{number}", f"s{number}"), version)


class InterruptedStreamTest(StreamVersionsTestCase):
    """Streams that a gateway itself continues within one response."""

    @parameterized.expand([("prompts", "/draft/a"), ("without_prompts", "/plain/a")])
    async def test_an_interrupted_stream_goes_on_only_at_its_version(
        self, _: str, path: str
    ) -> None:
        await self.add_versions("v1", "v1", "v2")
        await self.start_side()
        await self.add_gateways(1)
        for number in range(5):
            self.interrupted.add(f"s{number}")
            # A prompt of its own, so that what breaks off isn't taken for its fault.
            prompt = f"{number:x}:5000,bb:50" if number % 2 else f"{number:x}:300,bb:50"
            headers = {"Pearshed-Token-Usage": "350,20", "Pearshed-Prefix-Hash": prompt}
            request = {"request_id": f"s{number}", "headers": headers, "body": b"%d" % number}
            response = await self.send_to(0, path, **request)
            assert response is not None
            versions = set(_writers(response.body)) if response.complete else set()
            arrived = self.arrived(f"s{number}")
            self.assertEqual(1, len(set(arrived)), arrived)
            self.assertEqual({"v1"} if arrived[0] == "v1" else set(), versions)
