"""Odd entries that another writer leaves among those of the engines."""

import json
from typing import Any
from unittest import mock

from absl import logging
from parameterized import parameterized

from tests.lib.gateway_fixture import GatewayTestCase, until
from tests.lib.hostile import VALUES

_DEEP = VALUES["deeper"]


def _entry(**fields: str) -> bytes:
    """Create an entry that is valid but for some fields, which are JSON texts."""
    valid = {
        "service": '"ledger"',
        "address": '"127.0.0.1:9"',
        "zone": '"olympia"',
        "version": '"v1"',
        "state": '"ready"',
        "slots": "6",
        "coldLeftMs": "0",
        "seq": "1",
        "born": "1700000000000",
    }
    return "{{{}}}".format(
        ",".join(f'"{name}":{text}' for name, text in {**valid, **fields}.items())
    ).encode()


_ODD: list[tuple[str, bytes]] = [
    ("deep_document", VALUES["too_deep"].encode()),
    ("deep_service", _entry(service=_DEEP)),
    ("deep_address", _entry(address=_DEEP)),
    ("deep_state", _entry(state=_DEEP)),
    ("deep_slots", _entry(slots=_DEEP)),
    ("deep_start", _entry(born=_DEEP)),
    ("slots_too_large", _entry(slots="1e300")),
    ("slots_of_many_digits", _entry(slots="9" * 400)),
    ("slots_infinite", _entry(slots="1e999")),
    ("slots_negative", _entry(slots="-1")),
    ("start_too_large", _entry(born=str(2**64))),
    ("start_negative", _entry(born="-5")),
    ("cold_for_ever", _entry(coldLeftMs="1e308")),
    ("port_out_of_range", _entry(address='"127.0.0.1:70000"')),
    ("port_of_many_digits", _entry(address=f'"127.0.0.1:{"9" * 5000}"')),
    ("port_0", _entry(address='"127.0.0.1:0"')),
    ("port_superscript", _entry(address='"127.0.0.1:\\u00b2"')),
    ("host_name", _entry(address='"engine.example:80"')),
    ("no_bytes_that_can_be_read", b"\xff\xfe\x00"),
    ("nothing", b""),
    ("list", b"[]"),
    (
        "another_writers",
        b'{"service":"ledger","address":"127.0.0.1:9","zone":"olympia","state":"ready"}',
    ),
]


class ForeignEntryTest(GatewayTestCase):
    """Guards against gateways that end, or stop following the store, because of one entry."""

    def put_odd(self, content: bytes) -> None:
        self.store.put("servers/a-first", content)
        self.store.put("servers/i-~odd", content)

    async def assert_follows(self) -> None:
        """Check that the good engine is used and that later changes arrive."""
        self.assertEqual(200, await self.status("/lookup/a"))
        await self.add_engine("ledger", self.engines[0].script)
        await until(lambda: self.gateway_task.done() or self.has_endpoints("ledger", 2))
        self.assertFalse(self.gateway_task.done())
        self.assertEqual(200, await self.status("/lookup/a"))

    async def respond(self, connection: Any, request: Any) -> None:
        connection.send_response(request)

    @parameterized.expand(_ODD)
    async def test_an_odd_entry_that_is_read_at_the_start_costs_only_itself(
        self, _: str, content: bytes
    ) -> None:
        self.put_odd(content)
        await self.add_engine("ledger", self.respond)
        await self.start_gateway()
        await until(lambda: self.gateway_task.done() or self.has_endpoints("ledger", 1))
        await self.assert_follows()

    @parameterized.expand(_ODD)
    async def test_an_odd_entry_that_a_watch_brings_costs_only_itself(
        self, _: str, content: bytes
    ) -> None:
        await self.add_engine("ledger", self.respond)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 1))
        self.put_odd(content)
        await self.assert_follows()

    async def test_an_odd_entry_is_logged_once_however_often_it_is_read(self) -> None:
        self.put_odd(_entry(slots="1e300"))
        await self.add_engine("ledger", self.respond)
        with mock.patch.object(logging, "info", wraps=logging.info) as info:
            await self.start_gateway()
            await until(lambda: self.has_endpoints("ledger", 1))
            self.store.compact()
            self.store.put("servers/i-last", self.engines[0].entry(service="other"))
            await until(lambda: self.has_endpoints("other", 1))
            lines = [call for call in info.call_args_list if call.args[0] == "endpoint.refused"]
        self.assertEqual(2, len(lines))
        self.assertTrue(all(len(json.dumps(call.kwargs["extra"])) < 400 for call in lines))

    @parameterized.expand([("number", "7"), ("deep", _DEEP), ("text", '"x"'), ("none", "null")])
    async def test_an_evacuation_with_an_odd_value_is_in_force(self, _: str, text: str) -> None:
        await self.add_engine("ledger", self.respond)
        await self.start_gateway(evacuation_bound_s=5.0)
        await until(lambda: self.has_endpoints("ledger", 1))
        self.store.put("op/evacuate/olympia", text.encode())
        self.store.put("op/evacuate/", text.encode())
        self.store.put("op/evacuate/" + "x" * 180, text.encode())
        await until(lambda: self.gateway_task.done() or self.has_endpoints("ledger", 0))
        self.assertFalse(self.gateway_task.done())
        self.assertEqual(503, await self.status("/lookup/a"))

    @parameterized.expand(
        [(name, text) for name, text in VALUES.items() if name not in ("long_text",)]
    )
    async def test_an_odd_configuration_leaves_the_last_one_in_force(
        self, _: str, text: str
    ) -> None:
        await self.add_engine("ledger", self.respond)
        await self.start_gateway()
        await until(lambda: self.has_endpoints("ledger", 1))
        self.store.put("op/config", text.encode())
        await self.assert_follows()
