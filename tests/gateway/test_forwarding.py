"""Requests through a gateway: which are retried or refused, and which response the caller gets."""

import asyncio

from parameterized import parameterized

from tests.lib.engine_scripts import (
    fail_as_busy,
    fail_as_limited,
    fail_as_too_late,
    fail_with_500,
    misdirect,
    reject,
    reset,
    respond_encoded,
    respond_twice,
    respond_unmatched_first,
    respond_unsigned,
    respond_with_garbage,
    respond_without_length,
    truncate,
)
from tests.lib.gateway_caller import Caller
from tests.lib.gateway_fixture import GatewayTestCase, until
from tests.lib.gateway_platform import (
    API_KEY,
    HOST,
    SIGNATURE,
    EngineConnection,
    EngineRequest,
    Script,
    configuration,
    respond_ok,
)


class PlainForwardingTest(GatewayTestCase):
    @parameterized.expand(
        [
            # script of the first engine, path, status, body, runs of the first and second engine
            ("ok", respond_ok, "/lookup/a", 200, b"done", (1, 0)),
            ("failure_retried", fail_with_500, "/lookup/a", 200, b"done", (1, 1)),
            ("failure_forwarded", fail_with_500, "/confirm/a", 500, b"failed", (1, 0)),
            ("503_that_ran_retried", fail_as_busy, "/lookup/a", 200, b"done", (1, 1)),
            ("503_that_ran", fail_as_busy, "/confirm/a", 502, None, (1, 0)),
            ("429_that_ran", fail_as_limited, "/confirm/a", 502, None, (1, 0)),
            ("408_that_ran", fail_as_too_late, "/confirm/a", 502, None, (1, 0)),
            ("rejected", reject, "/confirm/a", 200, b"done", (1, 1)),
            ("response_lost", reset, "/lookup/a", 200, b"done", (1, 1)),
            ("response_lost_not_retried", reset, "/confirm/a", 502, None, (1, 0)),
            ("truncated", truncate, "/lookup/a", 200, b"done", (1, 1)),
            ("truncated_not_retried", truncate, "/confirm/a", 502, None, (1, 0)),
            ("unsigned", respond_unsigned, "/lookup/a", 200, b"done", (1, 1)),
            ("unsigned_not_retried", respond_unsigned, "/confirm/a", 502, None, (1, 0)),
            ("encoded", respond_encoded, "/confirm/a", 502, None, (1, 0)),
            ("garbage", respond_with_garbage, "/confirm/a", 502, None, (1, 0)),
            ("unmatched_response", respond_unmatched_first, "/confirm/a", 200, b"mine", (1, 0)),
            ("extra_response", respond_twice, "/confirm/a", 200, b"mine", (1, 0)),
            ("no_length", respond_without_length, "/confirm/a", 200, b"to the end", (1, 0)),
            ("misdirected", misdirect, "/confirm/a", 200, b"done", (1, 1)),
        ]
    )
    async def test_response_and_runs_by_engine(
        self,
        _: str,
        script: Script,
        path: str,
        status: int,
        body: bytes | None,
        runs: tuple[int, int],
    ) -> None:
        first = await self.add_engine("ledger", script)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 1))
        second = await self.add_engine("ledger", respond_ok, zone="tacoma")
        await until(lambda: self.has_endpoints("ledger", 2))
        response = await self.call(path)
        assert response is not None
        self.assertEqual(status, response.status)
        if body is not None:
            self.assertEqual(body, response.body)
            self.assertEqual(SIGNATURE, response.headers["pearshed-response-signature"])
        else:
            self.assertNotIn("pearshed-response-signature", response.headers)
        self.assertEqual(runs, (len(first.requests), len(second.requests)))

    async def test_a_request_that_all_endpoints_reject_is_refused_as_not_run(self) -> None:
        engine = await self.add_engine("ledger", reject)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 1))
        response = await self.call("/confirm/a")
        assert response is not None
        self.assertEqual(503, response.status)
        self.assertGreater(float(response.headers["retry-after"]), 0.0)
        self.assertEqual(1, len(engine.requests))

    @parameterized.expand([("idle", 0.3, [200, 502, 200, 200]), ("busy", 0.0, [200, 502] * 2)])
    async def test_idle_time_that_lost_a_connection_limits_the_reuse_of_others(
        self, _: str, idle_s: float, statuses: list[int]
    ) -> None:
        # The engine resets each connection on its second request, and a request that must not be
        # sent twice fails with it. A reset after some idle time looks like an idle timeout of the
        # engine: connections that were idle for as long must not be reused after it. One without
        # idle time must not limit the reuse.
        used: set[EngineConnection] = set()

        async def reset_second_request(
            connection: EngineConnection, request: EngineRequest
        ) -> None:
            if connection in used:
                connection.reset()
                return
            used.add(connection)
            connection.send_response(request)

        await self.add_engine("ledger", reset_second_request)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 1))
        received = []
        for number in range(4):
            received.append(await self.status("/confirm/a", request_id=f"n{number}"))
            self.clock_offset += idle_s
        self.assertEqual(statuses, received)

    async def test_an_endpoint_gets_the_callers_request_without_forged_headers(self) -> None:
        engine = await self.add_engine("ledger", respond_ok)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 1))
        forged = {
            "Pearshed-Tenant": "somebody-else",
            "Pearshed-Hold": "stolen",
            "Pearshed-Pin-Ms": "9999",
            "Pearshed-Kv-Backup": "10.0.0.1:1",
            "Kv-From": "10.0.0.1:1/x",
            "Kv-Fetch": "10.0.0.1:1",
            "Pearshed-Request-Priority": "0",
            "Pearshed-Expect-Instance": "i-wrong",
            "Connection": "x-own, keep-alive",
            "X-Own": "hop",
            "X-Kept": "end to end",
        }
        await self.call("/confirm/a%20b?q=1&q=2", body=b"swap", headers=forged)
        forwarded = engine.requests[0]
        self.assertEqual(("POST", "/confirm/a%20b?q=1&q=2"), (forwarded.method, forwarded.target))
        self.assertEqual(b"swap", forwarded.body)
        self.assertEqual("guild", forwarded.headers["pearshed-tenant"])
        self.assertEqual("end to end", forwarded.headers["x-kept"])
        self.assertEqual(engine.identity, forwarded.headers["pearshed-expect-instance"])
        self.assertLessEqual(int(forwarded.headers["pearshed-deadline-ms"]), 3020)
        for name in ("authorization", "x-own", "pearshed-hold", "pearshed-pin-ms", "kv-from"):
            self.assertNotIn(name, forwarded.headers)
        self.assertNotIn("kv-fetch", forwarded.headers)
        self.assertNotIn("pearshed-kv-backup", forwarded.headers)

    async def test_a_request_fails_at_the_routes_timeout(self) -> None:
        async def hang(connection: EngineConnection, request: EngineRequest) -> None:
            del request
            await connection.wait_closed()

        await self.add_engine("ledger", hang)
        document = configuration(2)
        for route in document["routes"]:
            route["timeoutMs"] = 300
        self.store.put("op/config", document)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 1))
        self.assertEqual(504, await self.status("/confirm/a"))

    @parameterized.expand([("one_endpoint_allowed", 1, 2), ("one_endpoint_left", 2, 1)])
    async def test_a_slow_response_is_awaited_when_no_other_endpoint_may_be_tried(
        self, _: str, max_endpoints: int, engines: int
    ) -> None:
        async def respond_late(connection: EngineConnection, request: EngineRequest) -> None:
            await asyncio.sleep(0.6)
            connection.send_response(request)

        document = configuration(2)
        for route in document["routes"]:
            route.update(timeoutMs=1000, maxAttempts=max_endpoints)
        self.store.put("op/config", document)
        for _number in range(engines):
            await self.add_engine("ledger", respond_late)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", engines))
        self.assertEqual(200, await self.status("/lookup/a"))

    async def test_an_idempotent_request_leaves_a_silent_endpoint_before_its_own_time_ends(
        self,
    ) -> None:
        async def respond_once_the_other_timed_out(
            connection: EngineConnection, request: EngineRequest
        ) -> None:
            if sum(len(engine.requests) for engine in self.engines) == 1:
                await connection.wait_closed()
            else:
                connection.send_response(request)

        for _number in range(2):
            await self.add_engine("ledger", respond_once_the_other_timed_out)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 2))
        with self.assertLogs("absl", "INFO") as logs:
            status = await self.status("/lookup/a", headers={"Pearshed-Deadline-Ms": "1000"})
        self.assertEqual(200, status)
        outcomes = [
            (record.fields["outcome"], record.fields["reason"][:16])  # type: ignore[attr-defined]
            for record in logs.records
            if record.msg == "request.attempt"
        ]
        self.assertEqual([("Failed", "no answer within"), ("Answered", "")], outcomes)

    async def test_a_caller_disconnect_ends_the_endpoints_work(self) -> None:
        ended = asyncio.Event()

        async def hang(connection: EngineConnection, request: EngineRequest) -> None:
            del request
            await connection.wait_closed()
            ended.set()

        engine = await self.add_engine("ledger", hang)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 1))
        caller = await Caller.connect(self.settings.callers)
        caller.send("/lookup/a")
        await until(lambda: bool(engine.requests))
        caller.close()
        await asyncio.wait_for(ended.wait(), 10)

    async def test_no_retry_is_sent_after_the_caller_disconnected(self) -> None:
        caller_left = asyncio.Event()

        async def reject_late(connection: EngineConnection, request: EngineRequest) -> None:
            await caller_left.wait()
            await reject(connection, request)

        for _ in range(2):
            await self.add_engine("ledger", reject_late)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 2))
        caller = await Caller.connect(self.settings.callers)
        caller.send("/confirm/a")
        await until(lambda: any(engine.requests for engine in self.engines))
        caller.close()
        await until(lambda: not self.gateway.pages.dump()["connections"])
        caller_left.set()
        await until(
            lambda: not any(endpoint.in_flight for endpoint in self.gateway.endpoints.endpoints)
        )
        # By the time that this later request gets its response, a retry would have arrived.
        await self.status("/open/a", headers={"Authorization": ""})
        self.assertEqual(
            1,
            sum(
                request.target == "/confirm/a"
                for engine in self.engines
                for request in engine.requests
            ),
        )

    async def test_responses_on_one_connection_keep_their_order(self) -> None:
        async def echo(connection: EngineConnection, request: EngineRequest) -> None:
            await asyncio.sleep(0.02 if request.body == b"0" else 0)
            connection.send_response(request, body=request.body)

        await self.add_engine("ledger", echo)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 1))
        caller = await Caller.connect(self.settings.callers)
        for number in range(4):
            caller.send("/lookup/a", request_id=str(number), body=str(number).encode())
        bodies = []
        for _ in range(4):
            response = await caller.read_response()
            assert response is not None
            bodies.append(response.body)
        self.assertEqual([b"0", b"1", b"2", b"3"], bodies)
        caller.close()


class RoutingTest(GatewayTestCase):
    @parameterized.expand(
        [
            ("known", "/lookup/a", {}, 200),
            ("no_route", "/nowhere/", {}, 404),
            ("other_host", "/lookup/a", {"Host": "other.example"}, 404),
            ("host_with_port", "/lookup/a", {"Host": f"{HOST.upper()}:80"}, 200),
            ("unknown_key", "/lookup/a", {"Authorization": "Token wrong"}, 401),
            ("no_key", "/lookup/a", {"Authorization": ""}, 401),
            ("other_scheme", "/lookup/a", {"Authorization": f"Bearer {API_KEY}"}, 401),
            ("public", "/open/a", {"Authorization": ""}, 200),
        ]
    )
    async def test_status(self, _: str, path: str, headers: dict[str, str], status: int) -> None:
        await self.add_engine("ledger", respond_ok)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 1))
        self.assertEqual(status, await self.status(path, headers=headers))

    async def test_keys_are_refused_while_the_configuration_is_too_old(self) -> None:
        engine = await self.add_engine("ledger", respond_ok)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 1))
        self.store.refuse_with = 503
        self.clock_offset = 4.9
        response = await self.call("/lookup/a")
        assert response is not None
        self.assertEqual((503, 0), (response.status, len(engine.requests)))
        self.assertEqual(200, await self.status("/open/a", headers={"Authorization": ""}))
        self.assertTrue(self.gateway.not_ready_reasons())
        self.store.refuse_with = 0
        await until(lambda: not self.gateway.not_ready_reasons())
        self.assertEqual(200, await self.status("/lookup/a"))

    async def test_a_revoked_key_is_refused(self) -> None:
        await self.add_engine("ledger", respond_ok)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 1))
        self.store.put("op/config", configuration(5, tenants=[{"name": "guild", "apiKeys": []}]))
        await until(lambda: self.gateway.pages.dump()["configuration"] == 5)
        self.assertEqual(401, await self.status("/lookup/a"))

    async def test_without_a_configuration_requests_are_refused_as_not_run(self) -> None:
        self.store.put("op/config", b"not a configuration")
        await self.add_engine("ledger", respond_ok)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.3):
                await self.start_gateway()
        self.assertEqual(503, await self.status("/lookup/a"))
