"""Decoding of the users' platform: documents, headers, settings file and store client."""

import json
import pathlib
import tempfile
import unittest
from typing import Any

from absl import logging
from parameterized import parameterized
from returns.pipeline import is_successful

from pearshed._internal.errors import SettingsError
from pearshed._internal.gateway.header_codec import ForwardingMetadata
from pearshed._internal.gateway.store import StoreResponse
from pearshed._internal.http.messages import Headers, ResponseHead
from pearshed._internal.models.routing import EndpointEntry, EndpointState, PromptPart
from pearshed._internal.platform.documents import decode_configuration, decode_endpoint
from pearshed._internal.platform.headers import PlatformHeaders
from pearshed._internal.platform.settings_file import load_gateway_settings
from pearshed._internal.platform.store_client import PlatformStore
from pearshed._internal.utils.addresses import Address
from tests.lib.gateway_platform import configuration, route
from tests.lib.gateway_store import StoreStandIn

ENTRY = {
    "service": "fleet",
    "address": "10.0.0.1:80",
    "zone": "olympia",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 3,
    "born": 17,
}


class DocumentsTest(unittest.TestCase):
    def test_routes_match_by_host_and_longest_prefix(self) -> None:
        document = configuration(
            3,
            routes=[
                route("short", "idempotent", "ledger", pathPrefix="/a/"),
                route("long", "idempotent", "ledger", pathPrefix="/a/b/"),
                route("far", "idempotent", "ledger", hostname="other.example", pathPrefix="/"),
            ],
        )
        decoded = decode_configuration(json.dumps(document).encode()).unwrap()
        names = [
            getattr(decoded.match(host, path), "name", None)
            for host, path in (
                ("rota.example", "/a/x"),
                ("rota.example", "/a/b/x"),
                ("rota.example", "/a/b"),
                ("rota.example", "/b/"),
                ("other.example", "/b/"),
            )
        ]
        self.assertEqual(["short", "long", "short", None, "far"], names)

    @parameterized.expand(
        [
            ("ascii", "guild of St. Mary", True),
            ("latin_1", "g\u00e4rten", True),
            ("cyrillic", "\u0433\u0438\u043b\u044c\u0434\u0438\u044f", False),
            ("line_end", "guild\r\nX-Admin: 1", False),
            ("null", "guild\0", False),
            ("control", "gu\x85ild", False),
            ("space_at_the_end", "guild ", False),
        ]
    )
    def test_names_that_no_header_can_carry_are_refused(
        self, _: str, name: str, valid: bool
    ) -> None:
        tenants = [{"name": "others", "apiKeys": ["k0"]}, {"name": name, "apiKeys": ["k1", "k2"]}]
        document = json.dumps(configuration(3, tenants=tenants)).encode()
        with self.assertLogs("absl", "INFO") as logs:
            logging.info("end")
            decoded = decode_configuration(document).unwrap()
        self.assertEqual({"k0", "k1", "k2"} if valid else {"k0"}, decoded.key_holders.keys())
        refused = [record.msg for record in logs.records if record.msg == "customer.refused"]
        self.assertEqual([] if valid else ["customer.refused"], refused)
        entry = decode_endpoint(name, json.dumps(ENTRY).encode())
        self.assertEqual(valid, is_successful(entry))

    def test_customer_ranks_precede_route_ranks(self) -> None:
        document = configuration(
            3,
            routes=[
                route("urgent", "idempotent", "ledger", priority=0),
                route("patient", "idempotent", "ledger", priority=2),
            ],
            tenants=[
                {"name": "first", "apiKeys": ["a"], "priority": 0},
                {"name": "second", "apiKeys": ["b"], "priority": 1},
            ],
        )
        decoded = decode_configuration(json.dumps(document).encode()).unwrap()
        order = sorted(
            (
                (decoded.rank(candidate, decoded.key_holders[key]), key, candidate.name)
                for key in "ab"
                for candidate in decoded.routes["rota.example"]
            ),
        )
        self.assertEqual(
            [("a", "urgent"), ("a", "patient"), ("b", "urgent"), ("b", "patient")],
            [(key, name) for _, key, name in order],
        )

    def test_more_ranks_than_engines_distinguish_keep_their_order(self) -> None:
        document = configuration(
            3,
            routes=[route(f"r{n}", "idempotent", "ledger", priority=n) for n in range(3)],
            tenants=[{"name": f"t{n}", "apiKeys": [str(n)], "priority": n} for n in range(6)],
        )
        decoded = decode_configuration(json.dumps(document).encode()).unwrap()
        routes = sorted(decoded.routes["rota.example"], key=lambda candidate: candidate.rank)
        ranks = [
            decoded.rank(candidate, decoded.key_holders[str(customer)])
            for customer in range(6)
            for candidate in routes
        ]
        self.assertEqual(sorted(ranks), ranks)
        self.assertEqual((0, 9), (ranks[0], ranks[-1]))

    @parameterized.expand(
        [
            ("noise", b"\xff\xfe"),
            ("list", b"[]"),
            ("no_version", b'{"routes": [], "services": []}'),
            ("version_as_text", b'{"version": "7", "routes": [], "services": []}'),
            ("routes_as_text", b'{"version": 7, "routes": "none", "services": []}'),
            (
                "unknown_kind",
                json.dumps(configuration(2, routes=[route("x", "odd", "y")])).encode(),
            ),
        ]
    )
    def test_an_invalid_configuration_is_refused(self, _: str, document: bytes) -> None:
        self.assertFalse(is_successful(decode_configuration(document)))

    @parameterized.expand(
        [
            ("unchanged", {}, True),
            ("draining", {"state": "draining"}, True),
            ("unknown_state", {"state": "sleepy"}, False),
            ("no_service", {"service": None}, False),
            ("address_by_name", {"address": "engine.example:80"}, False),
            ("slots_as_text", {"slots": "64"}, False),
            ("true_as_number", {"born": True}, False),
        ]
    )
    def test_only_a_valid_entry_is_decoded(
        self, _: str, change: dict[str, Any], valid: bool
    ) -> None:
        # Other writers may store entries of another format under the same prefix.
        decoded = decode_endpoint("i-1", json.dumps({**ENTRY, **change}).encode())
        self.assertEqual(valid, is_successful(decoded))


_FIELDS = ("service", "address", "zone", "version", "slots", "state", "coldLeftMs", "seq")
_OTHER_TYPES: dict[str, list[Any]] = {
    "text": [None, 7, 0.5, True, [], {}],
    "number": [None, "7", True, [], {}, -1],
}


class ForeignEntryFieldsTest(unittest.TestCase):
    """Guards against another writer's entry that is taken for an engine."""

    @parameterized.expand([(field,) for field in _FIELDS])
    def test_an_entry_without_a_field_is_no_engine(self, field: str) -> None:
        entry = {name: value for name, value in ENTRY.items() if name != field}
        decoded = decode_endpoint("i-1", json.dumps(entry).encode())
        self.assertIn(field, decoded.failure())

    @parameterized.expand(
        [
            (f"{field}_{number}", field, value)
            for field in _FIELDS
            for number, value in enumerate(
                _OTHER_TYPES["text" if isinstance(ENTRY[field], str) else "number"]
            )
        ]
    )
    def test_an_entry_with_a_field_of_another_type_is_no_engine(
        self, _: str, field: str, value: Any
    ) -> None:
        decoded = decode_endpoint("i-1", json.dumps({**ENTRY, field: value}).encode())
        self.assertIn(field, decoded.failure())

    @parameterized.expand(
        [
            ("no_start", {"born": None}),
            ("no_version", {"version": ""}),
            ("cold", {"coldLeftMs": 1500.5}),
            ("more", {"stage": "hybrid", "models": []}),
        ]
    )
    def test_entries_of_engines_are_decoded(self, _: str, change: dict[str, Any]) -> None:
        entry = {name: value for name, value in {**ENTRY, **change}.items() if value is not None}
        self.assertTrue(is_successful(decode_endpoint("i-1", json.dumps(entry).encode())))


class HeadersTest(unittest.TestCase):
    codec = PlatformHeaders()

    def test_request_headers_are_decoded(self) -> None:
        headers: Headers = (
            (b"pearshed-request-id", b"42"),
            (b"pearshed-deadline-ms", b"1500"),
            (b"pearshed-token-usage", b"1460,80"),
            (b"pearshed-prefix-hash", b"5c1e:800,91bd:410,e440:250"),
            (b"pearshed-length-hint", b"54"),
            (b"authorization", b"Token abc"),
            (b"last-event-id", b"7"),
        )
        metadata = self.codec.decode_request(headers)
        self.assertEqual(("42", 1500.0, "abc", "7"), _request_fields(metadata))
        self.assertEqual(PromptPart("91bd", 410), metadata.prompt[1])
        self.assertEqual((1460, 54), (metadata.prompt_tokens, metadata.expected_output_tokens))

    @parameterized.expand(
        [
            ("prompt", (b"pearshed-prefix-hash", b"5c1e800,,:")),
            ("tokens", (b"pearshed-token-usage", b"many")),
            ("deadline", (b"pearshed-deadline-ms", b"soon")),
            ("hint", (b"pearshed-length-hint", b"-1")),
            ("key", (b"authorization", b"Token")),
        ]
    )
    def test_a_malformed_header_is_ignored(self, _: str, header: tuple[bytes, bytes]) -> None:
        metadata = self.codec.decode_request((header,))
        self.assertEqual(((), 0, None, 0, ""), _optional_fields(metadata))

    def test_forwarding_headers_name_the_endpoint_and_the_remaining_time(self) -> None:
        entry = EndpointEntry(
            "i-1", "fleet", Address("10.0.0.1", 80), "olympia", 64, EndpointState.READY, 0.0, 0
        )
        metadata = ForwardingMetadata(entry, 900, "guild", 12, "7", Address("10.0.0.2", 80))
        self.assertEqual(
            {
                b"pearshed-deadline-ms": b"900",
                b"pearshed-expect-instance": b"i-1",
                b"pearshed-tenant": b"guild",
                b"pearshed-request-priority": b"9",
                b"kv-fetch": b"10.0.0.2:80",
                b"last-event-id": b"7",
            },
            dict(self.codec.encode_forwarding(metadata)),
        )

    @parameterized.expand(
        [
            ("ran", 200, ((b"pearshed-response-signature", b"x"),), False),
            ("not_executed", 503, ((b"pearshed-not-executed", b"1"),), True),
            ("misdirected", 421, (), True),
            ("unstated", 503, (), False),
        ]
    )
    def test_only_an_explicit_response_means_not_executed(
        self, _: str, status: int, headers: Headers, not_executed: bool
    ) -> None:
        metadata = self.codec.decode_response(ResponseHead(status, b"", headers))
        self.assertEqual(not_executed, metadata.not_executed)


class SettingsFileTest(unittest.TestCase):
    def load(self, document: Any) -> Any:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "boot.json"
            path.write_text(json.dumps(document))
            return load_gateway_settings(path)

    def document(self) -> dict[str, Any]:
        return {
            "node": "edge-1",
            "ip": "10.1.0.40",
            "zone": "olympia",
            "listen": {"front": "10.1.0.40:80", "ready": "10.1.0.40:81"},
            "portRange": [7340, 7355],
            "seeds": ["10.1.0.40:82", "not an address"],
            "bounds": {
                "failClosed": True,
                "revokeMs": 5000,
                "graceS": 8,
                "retryBudgetRatio": 0.2,
                "budgetSlack": 58,
                "budgetWindowS": 10,
            },
            "provider": {"address": "10.200.1.7:83"},
            "somethingNew": {"a": 1},
        }

    @parameterized.expand(
        [
            ("none", {}, (None, 0.0)),
            ("overshoot_alone", {"coldOvershoot": 1.5}, (1.5, 0.0)),
            ("both", {"coldOvershoot": 1.5, "coldSlack": 5}, (1.5, 5.0)),
        ]
    )
    def test_bounds_of_cold_engines_are_optional(
        self, _: str, bounds: dict[str, float], expected: tuple[float | None, float]
    ) -> None:
        """Guards against limits where the settings hold none, and gateways that don't start."""
        document = self.document()
        document["bounds"].update(bounds)
        settings = self.load(document)
        self.assertEqual(expected, (settings.cold_overshoot, settings.cold_slack))

    def test_settings_are_read_and_unknown_fields_ignored(self) -> None:
        settings = self.load(self.document())
        self.assertEqual(("edge-1", "olympia", 5.0), _settings_fields(settings))
        self.assertEqual(Address("10.1.0.40", 7340), settings.peers)
        self.assertEqual((Address("10.1.0.40", 82),), settings.seeds)

    @parameterized.expand(
        [
            ("no_listen", "listen", {}, "listen.front"),
            ("bound_as_text", "bounds", {"revokeMs": "soon"}, "bounds.revokeMs"),
            ("no_ports", "portRange", [], "portRange"),
            ("no_name", "node", "", "node"),
        ]
    )
    def test_an_error_names_the_field(self, _: str, name: str, value: Any, field: str) -> None:
        with self.assertRaises(SettingsError) as raised:
            self.load({**self.document(), name: value})
        self.assertIn(field, str(raised.exception))


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = StoreStandIn()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.client = PlatformStore(self.store.address)
        self.addCleanup(self.client.close)

    async def test_all_pages_of_entries_are_read(self) -> None:
        for number in range(5):
            self.store.put(f"servers/i-{number}", ENTRY)
        pages: list[StoreResponse] = []
        after = ""
        while not pages or after:
            pages.append((await self.client.read_endpoints(after)).unwrap())
            after = pages[-1].next_page_key
        self.assertEqual([2, 2, 1], [len(page.items) for page in pages])
        keys = [item.key for page in pages for item in page.items]
        self.assertEqual([f"servers/i-{n}" for n in range(5)], keys)

    async def test_a_watch_returns_changes_and_deletions(self) -> None:
        self.store.put("servers/i-1", ENTRY)
        before = (await self.client.read_endpoints("")).unwrap().revision
        self.store.put("servers/i-2", ENTRY)
        self.store.delete("servers/i-1")
        response = (await self.client.watch(before, 1.0)).unwrap()
        self.assertEqual(
            [("servers/i-2", True), ("servers/i-1", False)],
            [(item.key, item.value is not None) for item in response.items],
        )

    @parameterized.expand([("busy", 503), ("too_many", 429)])
    async def test_an_error_status_is_a_failure(self, _: str, status: int) -> None:
        self.store.refuse_with = status
        response = await self.client.read_configuration()
        self.assertFalse(response.failure().history_lost)

    async def test_a_compacted_history_is_reported_as_lost(self) -> None:
        self.store.put("op/config", configuration(1))
        self.store.compact()
        self.assertTrue((await self.client.watch(1, 0.1)).failure().history_lost)

    async def test_a_reset_connection_is_replaced(self) -> None:
        await self.client.read_configuration()
        self.store.reset_connections()
        results = [is_successful(await self.client.read_configuration()) for _ in range(2)]
        self.assertTrue(results[-1])


def _request_fields(metadata: Any) -> tuple[Any, ...]:
    return (metadata.request_id, metadata.deadline_ms, metadata.api_key, metadata.last_event_id)


def _optional_fields(metadata: Any) -> tuple[Any, ...]:
    return (
        metadata.prompt,
        metadata.prompt_tokens,
        metadata.deadline_ms,
        metadata.output_tokens_hint,
        metadata.api_key,
    )


def _settings_fields(settings: Any) -> tuple[Any, ...]:
    return (settings.name, settings.data_centre, settings.revocation_s)
