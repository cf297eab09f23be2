"""Streams through a gateway, graceful stops, and the pages for operators."""

import asyncio
import dataclasses
import socket
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

from parameterized import parameterized
from prometheus_client.parser import text_string_to_metric_families
from prometheus_client.samples import Sample

from pearshed._internal.decisions.service_retry_budget import BURST_SHARE
from pearshed._internal.errors import InvariantBrokenError
from tests.lib.gateway_caller import Caller
from tests.lib.gateway_fixture import GatewayTestCase, until
from tests.lib.gateway_platform import (
    API_KEY,
    HOST,
    EngineConnection,
    EngineRequest,
    Script,
    configuration,
    respond_ok,
)
from tests.lib.stop_load import Fate, StopLoad


class StreamTest(GatewayTestCase):
    async def start_with_two_engines(self, script: Script) -> None:
        await self.add_engine("fleet", script)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("fleet", 1))
        await self.add_engine("fleet", script, zone="tacoma")
        await until(lambda: self.has_endpoints("fleet", 2))

    async def test_a_truncated_stream_resumes_on_another_engine(self) -> None:
        async def truncate_then_resume(
            connection: EngineConnection, request: EngineRequest
        ) -> None:
            last = int(request.headers.get("last-event-id", 0))
            connection.begin_stream(request)
            for number in range(last + 1, 6):
                if not last and number == 4:
                    connection.send_event(number, omit_bytes=5)
                    connection.close()
                    return
                connection.send_event(number)
            connection.end_stream()

        await self.start_with_two_engines(truncate_then_resume)
        response = await self.call("/draft/a")
        assert response is not None
        expected = b"".join(b"id: %d\ndata: piece-%d\n\n" % (n, n) for n in range(1, 6))
        self.assertEqual((200, True, expected), (response.status, response.complete, response.body))
        resumed = [engine.requests[0].headers.get("last-event-id") for engine in self.engines]
        self.assertEqual({None, "3"}, set(resumed))

    @parameterized.expand([("resumable", "/draft/a"), ("not_resumable", "/explain/a")])
    async def test_a_truncated_stream_never_looks_complete(self, _: str, path: str) -> None:
        async def truncate(connection: EngineConnection, request: EngineRequest) -> None:
            connection.begin_stream(request)
            connection.send_event(1 + int(request.headers.get("last-event-id", 0)))
            connection.close()

        await self.start_with_two_engines(truncate)
        response = await self.call(path)
        assert response is not None
        self.assertEqual((200, False), (response.status, response.complete))
        runs = sum(len(engine.requests) for engine in self.engines)
        self.assertEqual(2 if path == "/draft/a" else 1, runs)

    @parameterized.expand(
        [
            ("chunked", "/explain/a", True, 0, "Answered"),
            ("chunked", "/explain/a", True, 4, "Interrupted"),
            ("until close", "/explain/a", False, 0, "Answered"),
            ("length", "/lookup/a", True, 0, "Answered"),
        ]
    )
    async def test_attempts_are_logged_and_counted_by_framing(
        self, framing: str, path: str, chunked: bool, omit_bytes: int, outcome: str
    ) -> None:
        async def stream(connection: EngineConnection, request: EngineRequest) -> None:
            if path == "/lookup/a":
                connection.send_response(request)
                return
            connection.begin_stream(request, chunked)
            connection.send_event(1)
            connection.send_event(2, omit_bytes)
            if omit_bytes:
                connection.close()
            else:
                connection.end_stream()

        await self.add_engine("ledger" if path == "/lookup/a" else "fleet", stream)
        gateway = await self.start_gateway()
        await until(lambda: len(tuple(gateway.endpoints.endpoints)) == 1)
        with self.assertLogs("absl", "INFO") as logs:
            await self.call(path)
            await until(lambda: any(record.msg == "request.attempt" for record in logs.records))
        record = next(record for record in logs.records if record.msg == "request.attempt")
        event_bytes = len(b"id: 1\ndata: piece-1\n\n")
        expected = {
            "framing": framing,
            "outcome": outcome,
            "body_bytes": 2 * event_bytes - omit_bytes if path == "/explain/a" else len(b"done"),
            "unfinished_event_bytes": event_bytes - omit_bytes if omit_bytes else 0,
        }
        fields = record.fields  # type: ignore[attr-defined]
        self.assertEqual(expected, {name: fields[name] for name in expected})
        self.assertIn(
            f'response_framing_total{{framing="{framing}",outcome="{outcome}"}} 1',
            gateway.pages.metrics_page(),
        )

    async def test_events_are_forwarded_as_they_arrive(self) -> None:
        first_received = asyncio.Event()

        async def wait_between_events(connection: EngineConnection, request: EngineRequest) -> None:
            connection.begin_stream(request)
            connection.send_event(1)
            await first_received.wait()
            connection.send_event(2)
            connection.end_stream()

        await self.add_engine("fleet", wait_between_events)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("fleet", 1))
        caller = await Caller.connect(self.settings.callers)
        caller.send("/explain/a")
        await caller.read_head()
        self.assertEqual(b"id: 1\ndata: piece-1\n\n", await caller.read_chunk())
        first_received.set()
        self.assertEqual(b"id: 2\ndata: piece-2\n\n", await caller.read_chunk())
        self.assertEqual(b"", await caller.read_chunk())
        caller.close()


class StoppingTest(GatewayTestCase):
    async def test_a_stop_finishes_requests_that_arrive_before_the_balancer_reacts(self) -> None:
        release = asyncio.Event()

        async def respond_when_released(
            connection: EngineConnection, request: EngineRequest
        ) -> None:
            if request.target == "/lookup/slow":
                await release.wait()
            connection.send_response(request)

        engine = await self.add_engine("ledger", respond_when_released)
        await self.start_gateway(grace_s=2.0)
        await until(lambda: self.has_endpoints("ledger", 1))
        slow = await Caller.connect(self.settings.callers)
        slow.send("/lookup/slow")
        persistent = await Caller.connect(self.settings.callers)
        persistent.send("/lookup/a", request_id="2")
        self.assertEqual(200, await _status_of(persistent.read_response))
        await until(lambda: len(engine.requests) == 2)
        self.gateway.request_stop()
        await until(lambda: bool(self.gateway.not_ready_reasons()))
        # The balancer may still send callers: open and new connections are served.
        persistent.send("/lookup/a", request_id="3")
        response = await persistent.read_response()
        assert response is not None
        self.assertEqual((200, "close"), (response.status, response.headers["connection"]))
        self.assertEqual(200, await self.status("/lookup/a", request_id="4"))
        release.set()
        self.assertEqual(200, await _status_of(slow.read_response))
        await asyncio.wait_for(self.gateway_task, 20)

    async def test_a_request_that_might_not_finish_before_the_stop_is_refused(self) -> None:
        engine = await self.add_engine("ledger", respond_ok)
        gateway = await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 1))
        caller = await Caller.connect(self.settings.callers)
        gateway._refusing_requests = True
        caller.send("/lookup/a")
        response = await caller.read_response()
        assert response is not None
        self.assertEqual((503, "close"), (response.status, response.headers["connection"]))
        self.assertGreater(float(response.headers["retry-after"]), 0)
        self.assertIsNone(await caller.read_response())
        self.assertEqual([], engine.requests)
        caller.close()


async def _status_of(read_response: Callable[[], Awaitable[object]]) -> object:
    return getattr(await read_response(), "status", None)


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
        response = await caller.read_response()
        assert response is not None
        self.assertEqual(status, response.status)
        self.assertIn(content, response.body)
        caller.close()

    async def test_metrics_of_several_routes_and_classes(self) -> None:
        async def stream(connection: EngineConnection, request: EngineRequest) -> None:
            connection.begin_stream(request)
            connection.send_event(1)
            connection.end_stream()

        await self.add_engine("ledger", respond_ok)
        await self.add_engine("fleet", stream)
        gateway = await self.start_gateway()
        await until(lambda: len(tuple(gateway.endpoints.endpoints)) == 2)
        counts = {"lookup": 3, "open": 2, "confirm": 1, "explain": 2}
        for name, count in counts.items():
            for _ in range(count):
                self.assertEqual(200, await self.status(f"/{name}/a"))
        self.assertEqual(404, await self.status("/nowhere/a"))
        caller = await Caller.connect(self.settings.control)
        caller.send("/metrics", method="GET")
        response = await caller.read_response()
        caller.close()
        assert response is not None
        self.assertEqual((200, True), (response.status, response.complete))
        families = text_string_to_metric_families(response.body.decode())
        samples = [sample for family in families for sample in family.samples]
        for metric in ("answers_total", "on_time_total", "first_part_seconds_count"):
            self.assertEqual(counts, _by_label(samples, metric, "route"))
        buckets = [sample for sample in samples if sample.labels.get("le") == "+Inf"]
        self.assertEqual(counts, _by_label(buckets, "first_part_seconds_bucket", "route"))
        attempts = _by_label(samples, "attempts_total", "outcome")
        self.assertEqual({"Answered": sum(counts.values())}, attempts)
        self.assertEqual({"404": 1}, _by_label(samples, "refusals_total", "status"))

    async def test_a_page_that_cannot_be_rendered_is_an_error_response(self) -> None:
        gateway = await self.start_gateway()
        with (
            mock.patch.object(gateway.pages, "page", side_effect=RuntimeError("on purpose")),
            self.assertLogs("absl", "ERROR") as logs,
        ):
            caller = await Caller.connect(self.settings.control)
            caller.send("/metrics", method="GET")
            response = await asyncio.wait_for(caller.read_response(), 10)
        assert response is not None
        self.assertEqual((500, "close"), (response.status, response.headers["connection"]))
        record = logs.records[0]
        self.assertEqual("page.failed", record.msg)
        self.assertEqual({"target": "/metrics"}, record.fields)  # type: ignore[attr-defined]
        caller.close()


def _by_label(samples: list[Sample], metric: str, label: str) -> dict[str, float]:
    return {
        sample.labels[label]: sample.value
        for sample in samples
        if sample.name == f"pearshed_gateway_{metric}"
    }


class FailedTaskTest(GatewayTestCase):
    async def test_a_request_whose_task_fails_is_reset(self) -> None:
        await self.add_engine("ledger", respond_ok)
        gateway = await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 1))
        with mock.patch.object(gateway._forwarder, "serve", side_effect=RuntimeError("on purpose")):
            self.assertIsNone(await self.call("/lookup/a"))
        self.assertEqual(200, await self.status("/lookup/a"))

    async def test_a_gateway_whose_store_task_fails_stops(self) -> None:
        await self.add_engine("ledger", respond_ok)
        gateway = await self.start_gateway(grace_s=1.0)
        with mock.patch.object(
            gateway._store_cache, "_watch", side_effect=RuntimeError("on purpose")
        ):
            self.store.put("op/config", configuration(3))
            with self.assertRaises(InvariantBrokenError):
                await asyncio.wait_for(self.gateway_task, 20)


class ReloadTest(GatewayTestCase):
    @parameterized.expand(
        [("other_settings", {"grace_s": 3.0}), ("its_limits", {"repeat_slack": 20})]
    )
    async def test_what_was_spent_of_a_retry_budget_stays_spent_when_settings_change(
        self, _: str, changes: dict[str, Any]
    ) -> None:
        await self.add_engine("ledger", respond_ok)
        gateway = await self.start_gateway(repeat_slack=4)
        budgets = gateway.retry_budgets
        spent = 0
        while await budgets.try_spend("ledger"):
            spent += 1
        self.assertEqual(2, spent)
        self.settings = dataclasses.replace(self.settings, **changes)
        gateway._reload_settings()
        self.assertFalse(await budgets.try_spend("ledger"))
        capacity = gateway.pages.dump()["retry_budgets"]["ledger"]["capacity"]
        self.assertAlmostEqual(BURST_SHARE * changes.get("repeat_slack", 4), capacity, places=1)


class StopUnderLoadTest(GatewayTestCase):
    @parameterized.expand([("few_callers", 4), ("many_callers", 48)])
    async def test_a_stopping_gateway_answers_all_requests_that_it_has_accepted(
        self, _: str, callers: int
    ) -> None:
        await self.add_engine("ledger", respond_ok)
        await self.start_gateway(grace_s=2.0)
        await until(lambda: self.has_endpoints("ledger", 1))
        load = StopLoad(self.settings.callers, _lookup, callers)
        load.start()
        await until(lambda: load.counts[Fate.ANSWERED] >= 100)
        self.gateway.request_stop()
        await asyncio.wait_for(self.gateway_task, 20)
        await until(lambda: load.finished)
        self.assertEqual(0, load.counts[Fate.CUT], load.counts)

    @parameterized.expand([("sent_at_once", True), ("sent_after_the_listener_closed", False)])
    async def test_a_connection_opened_just_before_the_listener_closes_gets_an_answer(
        self, _: str, sent_at_once: bool
    ) -> None:
        await self.add_engine("ledger", respond_ok)
        await self.start_gateway(grace_s=2.0)
        await until(lambda: self.has_endpoints("ledger", 1))
        address = (self.settings.callers.host, self.settings.callers.port)
        with mock.patch("pearshed._internal.gateway.process.BALANCER_REMOVAL_S", 0.0):
            self.gateway.request_stop()
            # The event loop doesn't run between the request to stop and the connection.
            connection = socket.create_connection(address)
            if sent_at_once:
                connection.sendall(_lookup(1))
            await until(lambda: self.gateway._refusing_requests)
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        if not sent_at_once:
            await loop.sock_sendall(connection, _lookup(1))
        async with asyncio.timeout(10):
            received = await loop.sock_recv(connection, 65536)
        self.assertTrue(received.startswith(b"HTTP/1.1 503 "), received)
        connection.close()
        await asyncio.wait_for(self.gateway_task, 20)


def _lookup(number: int) -> bytes:
    return (
        f"GET /lookup/{number} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {API_KEY}\r\n"
        f"Pearshed-Request-Id: {number}\r\nPearshed-Deadline-Ms: 3000\r\n\r\n"
    ).encode()
