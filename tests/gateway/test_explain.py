"""``pearshed explain`` finds the cause of a failed request in log lines; keys aren't logged."""

import contextlib
import io
import json
import logging as standard_logging
import os
import pathlib
import tempfile
import unittest

from absl import logging

from pearshed._internal.cli import status_codes
from pearshed._internal.cli.main import main
from pearshed._internal.logs import JsonFormatter
from pearshed._internal.telemetry.log_stream import MAX_PENDING_BYTES, BoundedLogStream
from tests.lib.engine_scripts import reject, reset
from tests.lib.gateway_fixture import GatewayTestCase, until
from tests.lib.gateway_platform import respond_ok


class ExplainTest(GatewayTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.log = io.StringIO()
        handler = standard_logging.StreamHandler(self.log)
        handler.setFormatter(JsonFormatter("edge-olympia-1"))
        logger = logging.get_absl_logger()
        level = logger.level
        logger.addHandler(handler)
        logger.setLevel("INFO")
        self.addCleanup(logger.removeHandler, handler)
        self.addCleanup(logger.setLevel, level)

    def explain(self, request: str) -> str:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "edge.log"
            rows = [f"12.5 edge-olympia-1 {row}" for row in self.log.getvalue().splitlines()]
            path.write_text("\n".join([*rows, "{ not JSON", "no line of ours"]))
            with contextlib.redirect_stdout(io.StringIO()) as output:
                self.assertEqual(status_codes.SUCCESS, main(["explain", request, str(path)]))
        return output.getvalue()

    async def test_a_request_refused_for_an_old_configuration(self) -> None:
        await self.add_engine("ledger", respond_ok)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 1))
        self.store.refuse_with = 503
        self.clock_offset = 6.0
        await until(lambda: "store.lost" in self.log.getvalue())
        self.assertEqual(503, await self.status("/confirm/a", request_id="r-stale"))
        explanation = self.explain("r-stale")
        self.assertIn("the keys known are too old", explanation)
        self.assertIn("known state", explanation)
        self.assertIn("store.lost reason=/v1/kv-watch answered status 503", explanation)

    async def test_a_request_failed_by_a_lost_engine(self) -> None:
        engine = await self.add_engine("ledger", reset)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 1))
        self.assertEqual(502, await self.status("/confirm/a", request_id="r-doubt"))
        explanation = self.explain("r-doubt")
        self.assertIn(f"endpoint={engine.identity}", explanation)
        self.assertIn("outcome=Failed reason=connection lost", explanation)
        self.assertIn("endpoint.listed", explanation)

    async def test_a_request_refused_under_load(self) -> None:
        await self.add_engine("ledger", reject)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 1))
        self.assertEqual(503, await self.status("/confirm/a", request_id="r-load"))
        explanation = self.explain("r-load")
        self.assertIn("outcome=NotExecuted reason=the endpoint answered 503", explanation)
        self.assertIn("request.refused status=503", explanation)

    async def test_keys_are_never_logged(self) -> None:
        await self.add_engine("ledger", reset)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 1))
        secret = "secret-of-somebody"
        for headers in ({}, {"Authorization": f"Token {secret}"}):
            await self.status("/confirm/a", headers=headers)
        lines = [json.loads(row) for row in self.log.getvalue().splitlines()]
        self.assertGreater(len(lines), 3)
        self.assertNotIn(secret, self.log.getvalue())
        self.assertNotIn("key-of-the-guild", self.log.getvalue())


class LogStreamTest(unittest.TestCase):
    def test_a_stalled_reader_does_not_block_the_writer(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        stream = BoundedLogStream(writer)
        line = "x" * 199 + "\n"
        written = 2 * MAX_PENDING_BYTES // len(line)
        for number in range(written):
            stream.write(line)
            if number % 50 == 0:
                stream.drain()
        stream.drain()
        self.assertGreater(stream.dropped, 0)
        received = 0
        os.set_blocking(reader, False)
        with contextlib.suppress(BlockingIOError):
            while True:
                received += len(os.read(reader, 1 << 20))
                stream.drain()
        self.assertEqual(written - stream.dropped, received // len(line))
        self.assertEqual(0, received % len(line))
