"""Documents that others write, with values that no field should have, in both stacks.

Each is decoded or refused with a short message, and what is decoded can be sent on.
"""

import json
import random
import unittest
import urllib.parse
from collections.abc import Callable
from typing import Any

import orjson
from parameterized import parameterized
from returns.pipeline import is_successful
from returns.result import Result

from pearshed._internal.configuration import http_source
from pearshed._internal.configuration.parser import parse_document
from pearshed._internal.configuration.store import RecordStore
from pearshed._internal.decisions.returns import RefusedCall
from pearshed._internal.engine_side import messages
from pearshed._internal.engine_side.messages import (
    AdmissionGranted,
    AdmissionQueued,
    AdmissionRefused,
    AdmissionRequest,
    CrashReport,
    FleetTraffic,
    LimitReport,
    Message,
    OriginReport,
    OriginResponse,
    PlaceRequest,
    RequestFinished,
    ReturnReport,
    TrafficReport,
)
from pearshed._internal.engine_side.rate_limits import RateLimit
from pearshed._internal.engine_side.traffic_table import RouteTraffic
from pearshed._internal.gateway import peer_messages
from pearshed._internal.gateway.exchange import messages as exchange_messages
from pearshed._internal.gateway.exchange.exchange import GatewayExchange
from pearshed._internal.gateway.exchange.messages import Loan, LoanRequest, News
from pearshed._internal.gateway.exchange.retry_budgets import BudgetLimits
from pearshed._internal.gateway.forwarding import destination
from pearshed._internal.gateway.header_codec import ForwardingMetadata
from pearshed._internal.http.messages import ResponseHead
from pearshed._internal.membership.vm_view import parse_vm
from pearshed._internal.models.routing import PromptPart
from pearshed._internal.models.stream_origin import StreamOrigin
from pearshed._internal.peers import peer_pb2 as pb
from pearshed._internal.platform import engine_client, names, store_client
from pearshed._internal.platform.documents import decode_configuration, decode_endpoint
from pearshed._internal.platform.headers import PlatformHeaders
from pearshed._internal.timers import clock
from tests.lib import records
from tests.lib.gateway_platform import EngineStandIn, configuration, route
from tests.lib.hostile import VALUES, variants
from tests.lib.side_stand_in import quote

_MAX_MESSAGE = 500
_CODEC = PlatformHeaders()
_BASE64 = "aGVsbG8="

_ENTRY = EngineStandIn("i-1", "fleet").entry(address="127.0.0.1:80", coldLeftMs=5)
_CONFIGURATION = configuration(
    7,
    routes=[
        route(
            "draft",
            "streaming",
            "fleet",
            sticky=True,
            trafficSplit=[{"service": "fleet", "weight": 2}],
            allowedRegions=["west"],
            targetGapMs=300,
        ),
        route("lookup", "idempotent", "ledger"),
    ],
    services=[
        {
            "name": "fleet",
            "healthPath": "/",
            "maxConns": 9,
            "coldS": 1,
            "coldPerS": 2,
            "engine": {"slots": 4, "kvCapacity": 5, "kvTokenBytes": 2, "linkMbps": 3},
        }
    ],
    tenants=[{"name": "guild", "apiKeys": ["a"], "priority": 1, "allowedRegions": ["west"]}],
)
_REPORT = {
    "queued": 1,
    "running": 12,
    "kvUsed": 41,
    "kvTotal": 90,
    "born": 5,
    "runs": [["id", 5, 3, 0]],
}
_CACHE = {"epoch": "a", "next": 4, "lost": False, "events": [[1, "+", "", "part", 50, "m"]]}
_ITEM = {"key": "servers/i-1", "value": _BASE64, "revision": 4, "created": 3, "lease": 0}
_UPDATE = {
    "revision": 4,
    "version": 3,
    "confirmed_ago_ms": 50,
    "configuration": ["op/config", 3, _BASE64],
    "compressed_configuration": ["op/config", 3, "eJwDAAAAAAE="],
    "endpoints": [["servers/a", 4, _BASE64]],
    "evacuations": {"data_centres": {"a": 3}, "revision": 4, "confirmed_ago_ms": 5},
}
_ORIGIN = StreamOrigin("fleet", "v1")
_ROUTES = (RouteTraffic("r", 1.0, 2.0, 3.0),)
_DATAGRAMS: tuple[Message, ...] = (
    AdmissionRequest("a/1", 1, 5, (PromptPart("x", 4),), 3, 4, 5, True, None),
    RequestFinished("a", 3),
    AdmissionGranted("a", 1, 5, quote(4)),
    AdmissionGranted("a", 1, 5, None, 7),
    AdmissionQueued("a", quote(3)),
    AdmissionRefused("a", 5, True, quote(4)),
    TrafficReport("a", _ROUTES),
    FleetTraffic("a", 4, _ROUTES, ("127.0.0.1",)),
    PlaceRequest("a", "run", 2.0, 4, 1, 5),
    PlaceRequest("a", "run", 2.0, 4, 1, 5, 3.0, 6),
    LimitReport("", (RateLimit("r", 1.0, clock.now()),)),
    ReturnReport("", (RefusedCall("c", 1, clock.now(), False),)),
    OriginReport("a", "s", _ORIGIN),
    OriginResponse("a", _ORIGIN),
    CrashReport("", (), {}),
)
_HEADER_VALUES = (
    b"",
    b"-1",
    b"1e999",
    b"nan",
    b"inf",
    b"-inf",
    b"9" * 5000,
    b"\xb2",
    b"a:\xb2",
    b"a:" + b"9" * 5000,
    b"9" * 5000 + b",1",
    b"1,2," + b"9" * 5000,
    b"1,2,3," + b"9" * 5000,
    b"[" * 4000,
    b"\xff\x00",
    b"Token \xff",
    b"timeout=" + b"9" * 5000,
)


def _numbers(*values: float | None) -> None:
    """Check that numbers can be sent on."""
    orjson.dumps(values)
    assert all(value is None or abs(value) < 1e18 for value in values), values


def _object(document: bytes) -> dict[str, Any] | None:
    """Decode JSON as the HTTP client does."""
    try:
        raw = orjson.loads(document)
    except orjson.JSONDecodeError:
        return None
    return raw if isinstance(raw, dict) else None


def _value_of(result: Result[Any, Any]) -> Any:
    """Return a decoded value, or ``None`` after a check of the message."""
    if is_successful(result):
        return result.unwrap()
    assert len(str(result.failure())) < _MAX_MESSAGE, len(str(result.failure()))
    return None


def _check_entry(document: bytes) -> None:
    entry = _value_of(decode_endpoint("i-1", document))
    if entry is not None:
        _numbers(entry.slots, entry.started_at_ms, entry.warmup_remaining_s)
        assert min(entry.slots, entry.started_at_ms, entry.warmup_remaining_s) >= 0
        assert 0 < entry.address.port <= 65535
        orjson.dumps([entry.service, entry.data_centre, entry.software_version])
        messages.encode(AdmissionRequest("a/1", 1, 1, (), 1, entry.slots))
        _CODEC.encode_forwarding(ForwardingMetadata(entry, 1, "", 1, ""))


def _check_configuration(document: bytes) -> None:
    decoded = _value_of(decode_configuration(document))
    if decoded is None:
        return
    _numbers(decoded.version, decoded.limits.idle_timeout_s, decoded.limits.max_body_bytes)
    assert decoded.competing_services is not None
    for routes in decoded.routes.values():
        for one in routes:
            orjson.dumps([one.name, one.prefix])
            _numbers(one.timeout_ms, one.target_ms, one.gap_target_ms, one.rank)
    for holder in decoded.key_holders.values():
        holder.name.encode("latin-1")


def _check_report(document: bytes) -> None:
    raw = _object(document)
    report = _value_of(engine_client._parse_report((200, raw))) if raw is not None else None
    if report is not None:
        _numbers(report.running, report.waiting, report.used_tokens, report.total_tokens)
        _numbers(report.started_at_ms, *(run.tokens for run in report.runs))


def _check_cache(document: bytes) -> None:
    raw = _object(document)
    update = _value_of(engine_client._parse_cache_update((200, raw))) if raw is not None else None
    if update is not None:
        _numbers(update.next_number, *(change.tokens for change in update.changes))


def _check_item(document: bytes) -> None:
    reply = store_client._Reply(200, {}, 0.0, 0.0, era=3)
    item = store_client._parse_item(_object(document), reply)
    if item is not None:
        orjson.dumps([item.key, item.revision])


def _check_update(document: bytes) -> None:
    raw = _object(document)
    update = _value_of(peer_messages.decode_update(raw)) if raw is not None else None
    if update is not None:
        assert update.confirmed_ago_s >= 0.0
        assert update.evacuations is None or update.evacuations.confirmed_ago_s >= 0.0
        peer_messages.encode_update(update)


def _check_datagram(document: bytes) -> None:
    message = _value_of(messages.decode(document))
    if message is not None:
        messages.encode_all(message)


def _check_exchange(document: bytes) -> None:
    def send(datagram: bytes, host: str) -> None:
        exchange_messages.decode(datagram).unwrap()

    exchange = GatewayExchange(
        "10.0.0.1",
        (),
        lambda: (),
        lambda: BudgetLimits(0.2, 50.0, 10.0),
        lambda service: True,
        send,
        random.Random(1),
    )
    exchange.receive(document, "10.0.0.2")
    exchange.run_if_due()
    _numbers(exchange.gateway_count)


def _check_record(document: bytes) -> None:
    record = _value_of(parse_document(document))
    if record is not None:
        pb.FeedUpdate(revision=record.revision, documents=[record.document])
        pb.Reserve(customer=record.name, class_name=record.name)


def _check_vm(document: bytes) -> None:
    vm = _value_of(parse_vm(document))
    if vm is not None:
        pb.FeedUpdate(revision=vm.revision, documents=[document])
        pb.Reserve(customer=vm.name)


_CHECKS: list[tuple[str, Callable[[bytes], None], Any]] = [
    ("entry", _check_entry, _ENTRY),
    ("configuration", _check_configuration, _CONFIGURATION),
    ("engine_report", _check_report, _REPORT),
    ("cache_events", _check_cache, _CACHE),
    ("store_item", _check_item, _ITEM),
    ("peer_update", _check_update, _UPDATE),
    *(
        (f"datagram_{number}", _check_datagram, json.loads(messages.encode(message)))
        for number, message in enumerate(_DATAGRAMS)
    ),
    *(
        (
            f"exchange_{type(message).__name__}",
            _check_exchange,
            json.loads(exchange_messages.encode(message)),
        )
        for message in (
            News({"gateways": [["10.0.0.3", 5], ["10.0.0.4", 900]]}, asks=True),
            LoanRequest(3, "fleet", 0.5),
            Loan(3, 0.25),
        )
    ),
    *(
        (f"record_{raw['kind']}_{raw['name']}", _check_record, raw)
        for raw in records.base_records()
    ),
    ("record_endpoint", _check_record, records.endpoint("engine-1", "writing", 1, slots=2)),
    (
        "vm",
        _check_vm,
        {"name": "a", "data_centre": "olympia", "role": "entry", "state": "live", "revision": 4},
    ),
]


class ForeignDocumentTest(unittest.TestCase):
    """Guards against processes that end, or stop following, because of one odd document."""

    @parameterized.expand(_CHECKS)
    def test_each_field_is_decoded_or_refused(
        self, _: str, check: Callable[[bytes], None], document: Any
    ) -> None:
        for description, content in variants(document):
            with self.subTest(description):
                check(content)

    @parameterized.expand(
        [
            (name.decode(), name)
            for name in (
                names.REQUEST_ID,
                names.DEADLINE_MS,
                names.TOKEN_LIMITS,
                names.PROMPT_PARTS,
                names.LENGTH_HINT,
                names.LAST_EVENT_ID,
                names.RESUMES,
                names.AUTHORIZATION,
            )
        ]
    )
    def test_headers_of_callers(self, _: str, name: bytes) -> None:
        for value in _HEADER_VALUES:
            with self.subTest(value[:20]):
                metadata = _CODEC.decode_request(((name, value),))
                _numbers(metadata.prompt_tokens, metadata.expected_output_tokens)
                _numbers(metadata.deadline_ms, *(part.tokens for part in metadata.prompt))

    @parameterized.expand(
        [
            (name.decode(), name)
            for name in (
                names.LOAD,
                names.LEAVING,
                names.RATE_LIMIT,
                names.COLD_MS,
                names.RETRY_AFTER,
                names.NOT_EXECUTED,
                names.REQUEST_ID,
            )
        ]
    )
    def test_headers_of_engines(self, _: str, name: bytes) -> None:
        for value in _HEADER_VALUES:
            with self.subTest(value[:20]):
                metadata = _CODEC.decode_response(ResponseHead(503, b"", ((name, value),)))
                _numbers(metadata.cold_s, metadata.rate_limit)
                if metadata.load is not None:
                    _numbers(metadata.load.running, metadata.load.slots, metadata.load.busy_percent)

    def test_queries_of_other_gateways_and_operators(self) -> None:
        for value in _HEADER_VALUES:
            text = value.decode("latin-1")
            for name in ("version", "confirmed_ago_ms"):
                fields = {"version": "1", "confirmed_ago_ms": "1", name: text}
                with self.subTest(f"{name}={text[:20]}"):
                    asked = _value_of(peer_messages.decode_request(urllib.parse.urlencode(fields)))
                    self.assertTrue(asked is None or asked.confirmed_ago_s >= 0.0)
            for name in ("parts", "output"):
                with self.subTest(f"{name}={text[:20]}"):
                    query = urllib.parse.urlencode({"route": "a", name: text})
                    _value_of(destination.decode_query(query))

    @parameterized.expand([("records", records.base_records()[-1]), ("vms", {"name": "a"})])
    def test_a_bad_document_costs_only_itself_in_a_feed(self, name: str, good: Any) -> None:
        for value in VALUES.values():
            content = f'{{"revision": 3, "{name}": [{json.dumps(good)}, {value}]}}'
            with self.subTest(value[:20]):
                change = _value_of(http_source.parse_changes("/v1", name, content.encode()))
                self.assertIsNotNone(change)
                self.assertEqual(good, json.loads(change.documents[0]))


class ForeignRecordTest(unittest.TestCase):
    """Guards against entries and sides that stop following the platform."""

    def test_a_record_that_cant_be_read_leaves_the_others_in_force(self) -> None:
        good = records.base_records()
        for value in VALUES.values():
            items = ",".join([*(json.dumps({**raw, "revision": 2}) for raw in good), value])
            content = f'{{"records": [{items}], "revision": 3}}'.encode()
            with self.subTest(value[:20]):
                store = RecordStore()
                change = _value_of(http_source.parse_changes("/v1", "records", content))
                self.assertEqual(len(good), store.apply(change))
                self.assertEqual(3, store.revision)
