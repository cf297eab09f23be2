"""The platform's documents, decoded into the project's own types."""

from collections.abc import Mapping
from typing import Any

import orjson
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from pearshed._internal.gateway.store_cache import DocumentDecoder
from pearshed._internal.models.routing import (
    CallerLimits,
    EndpointEntry,
    EndpointState,
    KeyHolder,
    Route,
    RoutedService,
    RouteKind,
    RoutingConfiguration,
    ServiceShare,
)
from pearshed._internal.timers.clock import MILLISECONDS_PER_SECOND
from pearshed._internal.utils.addresses import parse_address


class _WrongFieldError(Exception):
    """A field of a document is missing or of another type."""


class PlatformDocuments(DocumentDecoder):
    """Decodes the platform's documents."""

    def configuration(self, document: bytes) -> Result[RoutingConfiguration, str]:
        """Decode the operator's configuration."""
        return decode_configuration(document)

    def endpoint(self, identity: str, document: bytes) -> Result[EndpointEntry, str]:
        """Decode what an endpoint says of itself."""
        return decode_endpoint(identity, document)


def decode_configuration(document: bytes) -> Result[RoutingConfiguration, str]:
    """Decode the operator's configuration.

    :returns: the configuration, or what is wrong with the document.
    """
    try:
        return Success(_configuration(_object(orjson.loads(document))))
    except orjson.JSONDecodeError as error:
        return Failure(f"not JSON: {error}")
    except _WrongFieldError as error:
        return Failure(str(error))


def decode_endpoint(identity: str, document: bytes) -> Result[EndpointEntry, str]:
    """Decode what an endpoint says of itself.

    :returns: the entry, or what is wrong with it; other writers may leave entries of their own.
    """
    try:
        return Success(_endpoint(identity, _object(orjson.loads(document))))
    except orjson.JSONDecodeError as error:
        return Failure(f"not JSON: {error}")
    except _WrongFieldError as error:
        return Failure(str(error))


def _configuration(raw: Mapping[str, Any]) -> RoutingConfiguration:
    routes: dict[str, list[Route]] = {}
    for entry in _list(raw, "routes"):
        route = _route(_object(entry))
        routes.setdefault(route.host, []).append(route)
    for host_routes in routes.values():
        host_routes.sort(key=lambda route: len(route.prefix), reverse=True)
    holders = _holders(raw)
    return RoutingConfiguration(
        version=_integer(raw, "version"),
        routes={host: tuple(found) for host, found in routes.items()},
        services={
            service.name: service
            for service in (_service(_object(entry)) for entry in _list(raw, "services"))
        },
        key_holders=holders or {},
        keys_required=holders is not None,
        limits=_limits(raw),
        route_rank_count=1
        + max((route.rank for found in routes.values() for route in found), default=0),
        customer_rank_count=1
        + max((found.rank or 0 for found in (holders or {}).values()), default=0),
    )


def _route(raw: Mapping[str, Any]) -> Route:
    try:
        kind = RouteKind(_text(raw, "kind"))
    except ValueError as error:
        raise _WrongFieldError(f"routes.kind: {error}") from error
    return Route(
        name=_text(raw, "name"),
        host=_text(raw, "hostname").lower(),
        prefix=_text(raw, "pathPrefix"),
        kind=kind,
        shares=_shares(raw),
        timeout_ms=_integer(raw, "timeoutMs"),
        target_ms=_integer(raw, "targetLatencyMs", 0),
        gap_target_ms=_integer(raw, "targetGapMs", 0),
        max_endpoints=max(1, _integer(raw, "maxAttempts", 1)),
        rank=_integer(raw, "priority", 0),
        public=raw.get("public") is True,
        has_prompt=raw.get("sticky") is True,
        resumable=raw.get("resumable") is True,
    )


def _shares(raw: Mapping[str, Any]) -> tuple[ServiceShare, ...]:
    if raw.get("trafficSplit"):
        entries = [_object(entry) for entry in _list(raw, "trafficSplit")]
        return tuple(
            ServiceShare(_text(entry, "service"), _number(entry, "weight")) for entry in entries
        )
    return (ServiceShare(_text(raw, "service"), 1.0),)


def _service(raw: Mapping[str, Any]) -> RoutedService:
    engine = raw.get("engine")
    engine = engine if isinstance(engine, dict) else {}
    return RoutedService(
        name=_text(raw, "name"),
        max_connections=_integer(raw, "maxConns", 0),
        slots=_integer(engine, "slots", 0),
        cache_tokens=_integer(engine, "kvCapacity", 0),
    )


def _holders(raw: Mapping[str, Any]) -> dict[str, KeyHolder] | None:
    if "tenants" not in raw or raw["tenants"] is None:
        return None
    holders = {}
    for entry in _list(raw, "tenants"):
        tenant = _object(entry)
        rank = tenant.get("priority")
        holder = KeyHolder(_text(tenant, "name"), rank if isinstance(rank, int) else None)
        for key in _list(tenant, "apiKeys"):
            holders[str(key)] = holder
    return holders


def _limits(raw: Mapping[str, Any]) -> CallerLimits:
    limits = raw.get("limits")
    limits = limits if isinstance(limits, dict) else {}
    return CallerLimits(
        max_header_bytes=_integer(limits, "maxHeaderBytes", DEFAULT_LIMITS.max_header_bytes),
        max_body_bytes=_integer(limits, "maxBodyBytes", DEFAULT_LIMITS.max_body_bytes),
        header_timeout_s=_seconds(limits, "headerTimeoutMs", DEFAULT_LIMITS.header_timeout_s),
        idle_timeout_s=_seconds(limits, "idleTimeoutMs", DEFAULT_LIMITS.idle_timeout_s),
    )


#: In force until a configuration is known.
DEFAULT_LIMITS = CallerLimits(16 * 1024, 4 * 1024 * 1024, 5.0, 30.0)


def _endpoint(identity: str, raw: Mapping[str, Any]) -> EndpointEntry:
    address = parse_address(_text(raw, "address"))
    if not is_successful(address):
        raise _WrongFieldError(f"address: {address.failure()}")
    try:
        state = EndpointState(_text(raw, "state"))
    except ValueError as error:
        raise _WrongFieldError(f"state: {error}") from error
    return EndpointEntry(
        identity=identity,
        service=_text(raw, "service"),
        address=address.unwrap(),
        data_centre=_text(raw, "zone"),
        slots=_integer(raw, "slots", 0),
        state=state,
        warmup_remaining_s=_seconds(raw, "coldLeftMs", 0.0),
        started_at_ms=_integer(raw, "born", 0),
    )


def _object(raw: Any) -> Mapping[str, Any]:
    if not isinstance(raw, dict):
        raise _WrongFieldError(f"expected an object, found {type(raw).__name__}")
    return raw


def _list(raw: Mapping[str, Any], name: str) -> list[Any]:
    value = raw.get(name)
    if not isinstance(value, list):
        raise _WrongFieldError(f"{name}: expected a list, found {type(value).__name__}")
    return value


def _text(raw: Mapping[str, Any], name: str) -> str:
    value = raw.get(name)
    if not isinstance(value, str) or not value:
        raise _WrongFieldError(f"{name}: expected text, found {value!r}")
    return value


def _number(raw: Mapping[str, Any], name: str, default: float | None = None) -> float:
    value = raw.get(name, default)
    if value is None and default is not None:
        value = default
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise _WrongFieldError(f"{name}: expected a number, found {value!r}")
    return float(value)


def _integer(raw: Mapping[str, Any], name: str, default: int | None = None) -> int:
    return int(_number(raw, name, default))


def _seconds(raw: Mapping[str, Any], name: str, default_s: float) -> float:
    return _number(raw, name, default_s * MILLISECONDS_PER_SECOND) / MILLISECONDS_PER_SECOND
