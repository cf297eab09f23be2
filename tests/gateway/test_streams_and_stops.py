"""Streams through a gateway, planned stops, and the pages that operators ask for."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from unittest import mock

from parameterized import parameterized

from pearshed._internal.errors import InvariantBrokenError
from tests.lib.gateway_fixture import GatewayTestCase, until
from tests.lib.users_caller import Caller
from tests.lib.users_platform import (
    EngineConnection,
    EngineRequest,
    Script,
    answer_well,
    configuration,
)


class StreamTest(GatewayTestCase):
    async def two_engines(self, script: Script) -> None:
        await self.add_engine("fleet", script)
        await self.start_gateway()
        await until(lambda: self.knows("fleet", 1))
        await self.add_engine("fleet", script, zone="tacoma")
        await until(lambda: self.knows("fleet", 2))

    async def test_a_stream_goes_on_at_another_engine(self) -> None:
        async def break_then_resume(connection: EngineConnection, request: EngineRequest) -> None:
            last = int(request.headers.get("last-event-id", 0))
            connection.begin_stream(request)
            for number in range(last + 1, 6):
                if not last and number == 4:
                    connection.send_event(number, cut=5)
                    connection.close()
                    return
                connection.send_event(number)
            connection.end_stream()

        await self.two_engines(break_then_resume)
        answer = await self.call("/draft/a")
        assert answer is not None
        expected = b"".join(b"id: %d\ndata: piece-%d\n\n" % (n, n) for n in range(1, 6))
        self.assertEqual((200, True, expected), (answer.status, answer.complete, answer.body))
        resumed = [engine.requests[0].headers.get("last-event-id") for engine in self.engines]
        self.assertEqual({None, "3"}, set(resumed))

    @parameterized.expand([("resumable", "/draft/a"), ("once_only", "/explain/a")])
    async def test_a_stream_that_ends_early_never_looks_complete(self, _: str, path: str) -> None:
        async def break_off(connection: EngineConnection, request: EngineRequest) -> None:
            connection.begin_stream(request)
            connection.send_event(1 + int(request.headers.get("last-event-id", 0)))
            connection.close()

        await self.two_engines(break_off)
        answer = await self.call(path)
        assert answer is not None
        self.assertEqual((200, False), (answer.status, answer.complete))
        runs = sum(len(engine.requests) for engine in self.engines)
        self.assertEqual(2 if path == "/draft/a" else 1, runs)

    async def test_events_are_passed_on_as_they_come(self) -> None:
        go_on = asyncio.Event()

        async def pause(connection: EngineConnection, request: EngineRequest) -> None:
            connection.begin_stream(request)
            connection.send_event(1)
            await go_on.wait()
            connection.send_event(2)
            connection.end_stream()

        await self.add_engine("fleet", pause)
        await self.start_gateway()
        await until(lambda: self.knows("fleet", 1))
        caller = await Caller.connect(self.settings.callers)
        caller.send("/explain/a")
        await caller.head()
        self.assertEqual(b"id: 1\ndata: piece-1\n\n", await caller.event())
        go_on.set()
        self.assertEqual(b"id: 2\ndata: piece-2\n\n", await caller.event())
        self.assertEqual(b"", await caller.event())
        caller.close()


class StoppingTest(GatewayTestCase):
    async def test_a_stop_cuts_nothing_and_refuses_what_it_might_cut(self) -> None:
        release = asyncio.Event()

        async def wait(connection: EngineConnection, request: EngineRequest) -> None:
            if request.target == "/lookup/slow":
                await release.wait()
            connection.answer(request)

        engine = await self.add_engine("ledger", wait)
        await self.start_gateway(grace_s=2.0)
        await until(lambda: self.knows("ledger", 1))
        slow = await Caller.connect(self.settings.callers)
        slow.send("/lookup/slow")
        kept = await Caller.connect(self.settings.callers)
        kept.send("/lookup/a", request_id="2")
        self.assertEqual(200, await _status_of(kept.answer))
        await until(lambda: len(engine.requests) == 2)
        self.gateway.request_stop()
        await until(lambda: bool(self.gateway.not_ready_reasons()))
        # The balancer has not turned yet: kept and new connections are served.
        kept.send("/lookup/a", request_id="3")
        answer = await kept.answer()
        assert answer is not None
        self.assertEqual((200, "close"), (answer.status, answer.headers["connection"]))
        self.assertEqual(200, await self.status("/lookup/a", request_id="4"))
        release.set()
        self.assertEqual(200, await _status_of(slow.answer))
        await asyncio.wait_for(self.running, 20)


async def _status_of(answer: Callable[[], Awaitable[object]]) -> object:
    return getattr(await answer(), "status", None)


class OperatorPagesTest(GatewayTestCase):
    @parameterized.expand(
        [
            ("readiness", "readiness", "/v1/readyz", 200, b"ready"),
            ("health", "control", "/healthz", 200, b"ok"),
            ("metrics", "control", "/metrics", 200, b"pearshed_gateway_configuration_version 1"),
            ("dump", "control", "/dump", 200, b'"process": "edge-olympia-1"'),
            ("other", "control", "/v1/beats", 404, b"pages:"),
        ]
    )
    async def test_page(
        self, _: str, listener: str, path: str, status: int, content: bytes
    ) -> None:
        await self.start_gateway()
        caller = await Caller.connect(getattr(self.settings, listener))
        caller.send(path, method="GET")
        answer = await caller.answer()
        assert answer is not None
        self.assertEqual(status, answer.status)
        self.assertIn(content, answer.body)
        caller.close()


class BrokenTaskTest(GatewayTestCase):
    async def test_a_request_whose_task_breaks_is_not_left_hanging(self) -> None:
        await self.add_engine("ledger", answer_well)
        gateway = await self.start_gateway()
        await until(lambda: self.knows("ledger", 1))
        with mock.patch.object(gateway._forwarder, "serve", side_effect=RuntimeError("on purpose")):
            self.assertIsNone(await self.call("/lookup/a"))
        self.assertEqual(200, await self.status("/lookup/a"))

    async def test_a_gateway_that_no_longer_follows_the_store_ends(self) -> None:
        await self.add_engine("ledger", answer_well)
        gateway = await self.start_gateway(grace_s=1.0)
        with mock.patch.object(
            gateway._store_cache, "_watch", side_effect=RuntimeError("on purpose")
        ):
            self.store.put("op/config", configuration(3))
            with self.assertRaises(InvariantBrokenError):
                await asyncio.wait_for(self.running, 20)


class ReloadTest(GatewayTestCase):
    async def test_repeats_stay_counted_when_other_settings_change(self) -> None:
        gateway = await self.start_gateway()
        budget = gateway._budget("ledger")
        self.settings = dataclasses.replace(self.settings, seeds=(self.settings.callers,))
        gateway._reload()
        self.assertIs(budget, gateway._budget("ledger"))
        self.settings = dataclasses.replace(self.settings, repeat_ratio=0.5)
        gateway._reload()
        self.assertIsNot(budget, gateway._budget("ledger"))
