"""The records in force, indexed for the questions that requests ask."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import TypeVar

from pearshed._internal.models.records import (
    Customer,
    Endpoint,
    Model,
    Record,
    RecordKind,
    RequestClass,
    Tier,
)

_Value = TypeVar("_Value")


@dataclass(frozen=True)
class Catalogue:
    """An immutable view of all records at one revision.

    :ivar revision: highest revision that the view includes.
    :ivar customers_by_key: customers by the SHA-256 of their API key.
    :ivar endpoints_by_service: endpoints of each service, sorted by name.
    """

    revision: int = 0
    tiers: Mapping[str, Tier] = field(default_factory=dict)
    classes: Mapping[str, RequestClass] = field(default_factory=dict)
    customers: Mapping[str, Customer] = field(default_factory=dict)
    models: Mapping[str, Model] = field(default_factory=dict)
    endpoints: Mapping[str, Endpoint] = field(default_factory=dict)
    customers_by_key: Mapping[str, Customer] = field(default_factory=dict)
    endpoints_by_service: Mapping[str, tuple[Endpoint, ...]] = field(default_factory=dict)

    def tier_of(self, request_class: RequestClass) -> Tier:
        """Find the tier of a class; a class whose tier is not published gets the last rank."""
        return self.tiers.get(request_class.tier, Tier(request_class.tier, rank=100))


def build_catalogue(revision: int, records: Iterable[Record]) -> Catalogue:
    """Index the records."""
    by_kind: dict[RecordKind, dict[str, object]] = {kind: {} for kind in RecordKind}
    for record in records:
        if record.value is not None:
            by_kind[record.kind][record.name] = record.value
    customers: dict[str, Customer] = _typed(by_kind[RecordKind.CUSTOMER], Customer)
    endpoints: dict[str, Endpoint] = _typed(by_kind[RecordKind.ENDPOINT], Endpoint)
    return Catalogue(
        revision=revision,
        tiers=_typed(by_kind[RecordKind.TIER], Tier),
        classes=_typed(by_kind[RecordKind.CLASS], RequestClass),
        customers=customers,
        models=_typed(by_kind[RecordKind.MODEL], Model),
        endpoints=endpoints,
        customers_by_key={customer.api_key_sha256: customer for customer in customers.values()},
        endpoints_by_service=_group_by_service(endpoints),
    )


def _typed(values: Mapping[str, object], kind: type[_Value]) -> dict[str, _Value]:
    return {name: value for name, value in values.items() if isinstance(value, kind)}


def _group_by_service(endpoints: Mapping[str, Endpoint]) -> dict[str, tuple[Endpoint, ...]]:
    groups: dict[str, list[Endpoint]] = {}
    for name in sorted(endpoints):
        groups.setdefault(endpoints[name].service, []).append(endpoints[name])
    return {service: tuple(group) for service, group in groups.items()}
