"""The records in force, indexed for lookups on the request path."""

import dataclasses
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from pearshed._internal.models.records import (
    Customer,
    Endpoint,
    Model,
    Record,
    RecordKind,
    RecordValue,
    RequestClass,
    Tier,
)

_FIELD_BY_KIND = {
    RecordKind.TIER: "tiers",
    RecordKind.CLASS: "classes",
    RecordKind.CUSTOMER: "customers",
    RecordKind.MODEL: "models",
    RecordKind.ENDPOINT: "endpoints",
}


@dataclass(frozen=True)
class Catalogue:
    """An immutable snapshot of all records at one revision.

    :ivar revision: highest revision that the snapshot includes.
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
        """Return a class's tier; if the tier is not published, one of the lowest priority."""
        return self.tiers.get(request_class.tier, Tier(request_class.tier, rank=100))


def update_catalogue(
    catalogue: Catalogue, revision: int, changed: Mapping[RecordKind, Mapping[str, RecordValue]]
) -> Catalogue:
    """Create the snapshot of a new revision.

    :param changed: all records in force of each kind that has changed; the indexes of other kinds
        are reused, so that a change of one kind doesn't reindex thousands of other records.
    """
    fields: dict[str, Any] = {"revision": revision}
    for kind, values in changed.items():
        fields[_FIELD_BY_KIND[kind]] = values
    updated = dataclasses.replace(catalogue, **fields)
    derived: dict[str, Any] = {}
    if RecordKind.CUSTOMER in changed:
        customers = updated.customers.values()
        derived["customers_by_key"] = {customer.api_key_sha256: customer for customer in customers}
    if RecordKind.ENDPOINT in changed:
        derived["endpoints_by_service"] = _group_by_service(updated.endpoints)
    return dataclasses.replace(updated, **derived)


def build_catalogue(revision: int, records: Iterable[Record]) -> Catalogue:
    """Create a snapshot from a list of records."""
    by_kind: dict[RecordKind, dict[str, RecordValue]] = {kind: {} for kind in RecordKind}
    for record in records:
        if record.value is not None:
            by_kind[record.kind][record.name] = record.value
    return update_catalogue(Catalogue(), revision, by_kind)


def _group_by_service(endpoints: Mapping[str, Endpoint]) -> dict[str, tuple[Endpoint, ...]]:
    groups: dict[str, list[Endpoint]] = {}
    for name in sorted(endpoints):
        groups.setdefault(endpoints[name].service, []).append(endpoints[name])
    return {service: tuple(group) for service, group in groups.items()}
