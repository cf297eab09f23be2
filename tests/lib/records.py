"""Configuration records for tests, in the platform's JSON format."""

import hashlib
from collections.abc import Sequence
from typing import Any

API_KEY = "demo-key"

Document = dict[str, Any]


def record(kind: str, name: str, schema: int = 1, /, **spec: Any) -> Document:
    """Create a record; the platform replaces its revision."""
    return {"kind": kind, "name": name, "schema": schema, "revision": 1, "spec": spec}


def tiers() -> list[Document]:
    """Create three tiers."""
    return [
        record("tier", "urgent", rank=0, protected=True),
        record("tier", "standard", rank=1, share=0.2),
        record("tier", "background", rank=2, share=0.1),
    ]


def request_class(name: str, tier: str, idempotent: bool = True, **spec: Any) -> Document:
    """Create a request class."""
    targets = {"first_token_ms": 1000, "total_ms": 30_000, **spec}
    return record("class", name, tier=tier, idempotent=idempotent, **targets)


def customer(name: str, key: str, classes: Sequence[str], **spec: Any) -> Document:
    """Create a customer."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return record("customer", name, api_key_sha256=digest, classes=list(classes), **spec)


def endpoint(name: str, service: str, side_port: int, slots: int = 8, **spec: Any) -> Document:
    """Create an endpoint."""
    fields = {"data_centre": "olympia", "kind": "engine", **spec}
    return record(
        "endpoint", name, service=service, side=f"127.0.0.1:{side_port}", slots=slots, **fields
    )


def vm(name: str, role: str, data_centre: str = "olympia", state: str = "live") -> Document:
    """Create a VM of the platform's VM list."""
    return {"name": name, "role": role, "data_centre": data_centre, "state": state}


def base_records() -> list[Document]:
    """Create tiers, classes, a customer and a model."""
    classes = ["notice", "chat", "draft", "order"]
    return [
        *tiers(),
        request_class("notice", "urgent"),
        request_class("chat", "standard"),
        request_class("draft", "background"),
        request_class("order", "urgent", idempotent=False),
        request_class("hidden", "standard"),
        customer("demo", API_KEY, classes),
        record("model", "writer", service="writing"),
    ]
