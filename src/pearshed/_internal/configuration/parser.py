"""Parses and validates configuration records of all supported schema versions."""

import json
from collections.abc import Callable, Mapping
from typing import Any

from returns.result import Failure, Result, Success

from pearshed._internal.errors import FieldProblem
from pearshed._internal.models.records import (
    Customer,
    Endpoint,
    EndpointKind,
    Model,
    Record,
    RecordKind,
    RecordValue,
    RequestClass,
    Tier,
)
from pearshed._internal.utils.addresses import Address, parse_address
from pearshed._internal.utils.fields import FieldReader
from pearshed._internal.utils.foreign_values import shorten

SUPPORTED_SCHEMAS = (1, 2)
_SHA256_HEX_LENGTH = 64
_DEFAULT_QUEUE_LIMIT = 1000
_DEFAULT_MAX_WAIT_MS = 30_000
_MAX_SLOTS = 1024
_HOUR_MS = 3_600_000

_SpecReader = Callable[[str, FieldReader], RecordValue]


class RecordProblemError(Exception):
    """A record that was refused because some of its fields are invalid.

    It is returned as the failure of a ``Result`` and never raised.

    :ivar record: kind and name of the record, as far as they could be read.
    :ivar problems: all invalid fields.
    """

    def __init__(self, record: str, problems: tuple[FieldProblem, ...]) -> None:
        super().__init__(record)
        self.record = record
        self.problems = problems

    def __str__(self) -> str:
        return f"record {self.record}: " + "; ".join(str(problem) for problem in self.problems)


def parse_document(document: bytes) -> Result[Record, RecordProblemError]:
    """Parse and validate a record's JSON document.

    :param document: a JSON object with kind, name, schema, revision and spec.
    """
    try:
        raw = json.loads(document)
    except (ValueError, RecursionError) as error:
        problem = FieldProblem((), f"not a JSON document: {error}")
        return Failure(RecordProblemError("(unreadable)", (problem,)))
    return parse_record(raw, document)


def parse_record(raw: Any, document: bytes | None = None) -> Result[Record, RecordProblemError]:
    """Validate a record that has been parsed from JSON.

    :param document: the record's JSON document; encoded from ``raw`` if absent.
    :returns: the record, or all its problems.
    """
    problems: list[FieldProblem] = []
    reader = FieldReader(raw, problems)
    kind = reader.text("kind", choices=[choice.value for choice in RecordKind])
    name = reader.text("name")
    revision = reader.integer("revision", minimum=1)
    schema = reader.integer("schema", minimum=1)
    deleted = reader.flag("deleted", False)
    spec = reader.section("spec", required=not deleted)
    reader.finish()
    if schema not in SUPPORTED_SCHEMAS and not problems:
        supported = ", ".join(str(version) for version in SUPPORTED_SCHEMAS)
        reader.report("schema", f"version {schema} is not supported; supported: {supported}")
    value = None
    if not problems and not deleted:
        value = _SPEC_READERS[(RecordKind(kind), schema)](name, spec)
        spec.finish()
    if problems:
        return Failure(
            RecordProblemError(f"{shorten(kind) or '?'}/{shorten(name) or '?'}", tuple(problems))
        )
    encoded = document if document is not None else encode_record(raw)
    return Success(Record(RecordKind(kind), name, revision, value, encoded))


def encode_record(raw: Mapping[str, Any]) -> bytes:
    """Encode a record as compact JSON."""
    return json.dumps(raw, separators=(",", ":"), sort_keys=True).encode()


def _read_tier(name: str, spec: FieldReader) -> Tier:
    return Tier(
        name=name,
        rank=spec.integer("rank", minimum=0, maximum=100),
        protected=spec.flag("protected", False),
        share=spec.number("share", 0.0, minimum=0.0, maximum=0.5),
    )


def _read_class_v1(name: str, spec: FieldReader) -> RequestClass:
    return RequestClass(
        name=name,
        tier=spec.text("tier"),
        idempotent=spec.flag("idempotent"),
        first_token_ms=spec.integer("first_token_ms", minimum=1, maximum=_HOUR_MS),
        between_tokens_ms=spec.integer("between_tokens_ms", 1000, minimum=1, maximum=_HOUR_MS),
        total_ms=spec.integer("total_ms", 120_000, minimum=1, maximum=_HOUR_MS),
        queue_limit=spec.integer("queue_limit", _DEFAULT_QUEUE_LIMIT, minimum=0),
        max_wait_ms=spec.integer("max_wait_ms", _DEFAULT_MAX_WAIT_MS, minimum=0, maximum=_HOUR_MS),
    )


def _read_class_v2(name: str, spec: FieldReader) -> RequestClass:
    """Read schema 2, which groups targets and queue limits into sections."""
    targets = spec.section("targets", required=True)
    queue = spec.section("queue")
    value = RequestClass(
        name=name,
        tier=spec.text("tier"),
        idempotent=spec.flag("idempotent"),
        first_token_ms=targets.integer("first_token_ms", minimum=1, maximum=_HOUR_MS),
        between_tokens_ms=targets.integer("between_tokens_ms", 1000, minimum=1, maximum=_HOUR_MS),
        total_ms=targets.integer("total_ms", 120_000, minimum=1, maximum=_HOUR_MS),
        queue_limit=queue.integer("limit", _DEFAULT_QUEUE_LIMIT, minimum=0),
        max_wait_ms=queue.integer("max_wait_ms", _DEFAULT_MAX_WAIT_MS, minimum=0, maximum=_HOUR_MS),
    )
    targets.finish()
    queue.finish()
    return value


def _read_customer(name: str, spec: FieldReader) -> Customer:
    digest = spec.text("api_key_sha256").lower()
    if digest and (len(digest) != _SHA256_HEX_LENGTH or not _is_hex(digest)):
        spec.report("api_key_sha256", "expected 64 hexadecimal digits")
    classes = spec.texts("classes")
    if not classes:
        spec.report("classes", "must name at least one class; the first is the default")
    return Customer(
        name=name,
        api_key_sha256=digest,
        weight=spec.number("weight", 1.0, minimum=0.01, maximum=10_000.0),
        max_in_flight=spec.integer("max_in_flight", 1000, minimum=1),
        classes=classes,
    )


def _read_model(name: str, spec: FieldReader) -> Model:
    return Model(name=name, service=spec.text("service"))


def _read_endpoint(name: str, spec: FieldReader) -> Endpoint:
    kind = spec.text("kind", choices=[choice.value for choice in EndpointKind])
    return Endpoint(
        name=name,
        service=spec.text("service"),
        data_centre=spec.text("data_centre"),
        kind=EndpointKind.PLAIN if kind == EndpointKind.PLAIN.value else EndpointKind.ENGINE,
        side=_read_side_address(spec),
        slots=spec.integer("slots", minimum=1, maximum=_MAX_SLOTS),
        draining=spec.flag("draining", False),
        checks_fence=spec.flag("checks_fence", False),
    )


def _read_side_address(spec: FieldReader) -> Address:
    parsed = parse_address(spec.text("side"))
    failure = parsed.swap().value_or("")
    if failure:
        spec.report("side", failure)
    return parsed.value_or(Address("127.0.0.1", 0))


def _is_hex(text: str) -> bool:
    return all(character in "0123456789abcdef" for character in text)


_SPEC_READERS: dict[tuple[RecordKind, int], _SpecReader] = {
    (RecordKind.TIER, 1): _read_tier,
    (RecordKind.TIER, 2): _read_tier,
    (RecordKind.CLASS, 1): _read_class_v1,
    (RecordKind.CLASS, 2): _read_class_v2,
    (RecordKind.CUSTOMER, 1): _read_customer,
    (RecordKind.CUSTOMER, 2): _read_customer,
    (RecordKind.MODEL, 1): _read_model,
    (RecordKind.MODEL, 2): _read_model,
    (RecordKind.ENDPOINT, 1): _read_endpoint,
    (RecordKind.ENDPOINT, 2): _read_endpoint,
}
