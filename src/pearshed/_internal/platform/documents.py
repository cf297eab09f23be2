"""Decodes the platform's JSON documents into the project's own types."""

import re
from collections.abc import Mapping
from typing import Any

import orjson
from absl import logging
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from pearshed._internal.gateway.store import DocumentDecoder
from pearshed._internal.models.routing import (
    DEFAULT_CALLER_LIMITS,
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
from pearshed._internal.utils.foreign_values import describe, to_integer, to_number

_HEADER_VALUE = re.compile("[\x21-\x7e\xa0-\xff](?:[\x20-\x7e\xa0-\xff]*[\x21-\x7e\xa0-\xff])?")


class _FieldError(Exception):
    """A field of a document is missing or invalid."""


class PlatformDocuments(DocumentDecoder):
    """Decodes the platform's documents."""

    def configuration(self, document: bytes) -> Result[RoutingConfiguration, str]:
        """Decode a configuration."""
        return decode_configuration(document)

    def endpoint(self, identity: str, document: bytes) -> Result[EndpointEntry, str]:
        """Decode an endpoint's entry."""
        return decode_endpoint(identity, document)


def decode_configuration(document: bytes) -> Result[RoutingConfiguration, str]:
    """Decode the operator's routing configuration.

    :returns: the configuration, or an error message.
    """
    try:
        return Success(_parse_configuration(_require_object(orjson.loads(document))))
    except orjson.JSONDecodeError as error:
        return Failure(f"not JSON: {error}")
    except _FieldError as error:
        return Failure(str(error))


def decode_endpoint(identity: str, document: bytes) -> Result[EndpointEntry, str]:
    """Decode the entry that an endpoint publishes of itself.

    :returns: the entry, or an error message; other writers may store entries of another format.
    """
    try:
        return Success(_parse_endpoint(identity, _require_object(orjson.loads(document))))
    except orjson.JSONDecodeError as error:
        return Failure(f"not JSON: {error}")
    except _FieldError as error:
        return Failure(str(error))


def _parse_configuration(raw: Mapping[str, Any]) -> RoutingConfiguration:
    routes: dict[str, list[Route]] = {}
    for entry in _get_list(raw, "routes"):
        route = _parse_route(_require_object(entry))
        routes.setdefault(route.host, []).append(route)
    for host_routes in routes.values():
        host_routes.sort(key=lambda route: len(route.prefix), reverse=True)
    key_holders = _parse_key_holders(raw)
    return RoutingConfiguration(
        version=_get_integer(raw, "version"),
        routes={host: tuple(host_routes) for host, host_routes in routes.items()},
        services={
            service.name: service
            for service in (
                _parse_service(_require_object(entry)) for entry in _get_list(raw, "services")
            )
        },
        key_holders=key_holders or {},
        keys_required=key_holders is not None,
        limits=_parse_limits(raw),
        route_rank_count=1
        + max((route.rank for host_routes in routes.values() for route in host_routes), default=0),
        customer_rank_count=1
        + max((holder.rank or 0 for holder in (key_holders or {}).values()), default=0),
        prompt_services=frozenset(
            share.service
            for host_routes in routes.values()
            for route in host_routes
            if route.has_prompt
            for share in route.shares
        ),
    )


def _parse_route(raw: Mapping[str, Any]) -> Route:
    try:
        kind = RouteKind(_get_text(raw, "kind"))
    except ValueError as error:
        raise _FieldError(f"routes.kind: {describe(str(error))}") from error
    return Route(
        name=_get_text(raw, "name"),
        host=_get_text(raw, "hostname").lower(),
        prefix=_get_text(raw, "pathPrefix"),
        kind=kind,
        shares=_parse_shares(raw),
        timeout_ms=_get_integer(raw, "timeoutMs"),
        target_ms=_get_integer(raw, "targetLatencyMs", 0),
        gap_target_ms=_get_integer(raw, "targetGapMs", 0),
        max_endpoints=max(1, _get_integer(raw, "maxAttempts", 1)),
        rank=_get_integer(raw, "priority", 0),
        public=raw.get("public") is True,
        has_prompt=raw.get("sticky") is True,
        resumable=raw.get("resumable") is True,
        allowed_regions=_parse_regions(raw),
    )


def _parse_shares(raw: Mapping[str, Any]) -> tuple[ServiceShare, ...]:
    if raw.get("trafficSplit"):
        entries = [_require_object(entry) for entry in _get_list(raw, "trafficSplit")]
        return tuple(
            ServiceShare(_get_text(entry, "service"), _get_number(entry, "weight"))
            for entry in entries
        )
    return (ServiceShare(_get_text(raw, "service"), 1.0),)


def _parse_service(raw: Mapping[str, Any]) -> RoutedService:
    engine = raw.get("engine")
    engine = engine if isinstance(engine, dict) else {}
    # The fields of a cold engine stand with the service or with its engines.
    cold = {**engine, **raw}
    return RoutedService(
        name=_get_text(raw, "name"),
        max_connections=_get_integer(raw, "maxConns", 0),
        slots=_get_integer(engine, "slots", 0),
        cache_tokens=_get_integer(engine, "kvCapacity", 0),
        cold_s=max(0.0, _get_number(cold, "coldS", 0.0)),
        cold_per_s=max(0.0, _get_number(cold, "coldPerS", 0.0)),
        kv_token_bytes=int(_find_number(engine, "kvTokenBytes")),
        link_mbps=_find_number(engine, "linkMbps"),
    )


def _parse_key_holders(raw: Mapping[str, Any]) -> dict[str, KeyHolder] | None:
    if "tenants" not in raw or raw["tenants"] is None:
        # Without a list of customers no route requires an API key.
        return None
    key_holders = {}
    for entry in _get_list(raw, "tenants"):
        customer = _require_object(entry)
        name = _get_text(customer, "name")
        if not _is_header_value(name):
            # Without this customer, the rest of the configuration can be used.
            logging.error("customer.refused", extra={"fields": {"reason": _not_a_header(name)}})
            continue
        rank = customer.get("priority")
        holder = KeyHolder(name, _find_rank(rank), _parse_regions(customer))
        for key in _get_list(customer, "apiKeys"):
            if isinstance(key, str):
                key_holders[key] = holder
            else:
                reason = f"an API key of {name} is {describe(key)}"
                logging.error("customer.refused", extra={"fields": {"reason": reason}})
    return key_holders


def _find_rank(raw: Any) -> int | None:
    """Return a customer's rank; ``None`` for the rank of the route."""
    try:
        return to_integer(raw)
    except ValueError:
        return None


def _parse_regions(raw: Mapping[str, Any]) -> frozenset[str] | None:
    """Return the regions that a route or a customer allows; ``None`` if it names none.

    An invalid list refuses the configuration: ignored, it would allow all regions.
    """
    if not raw.get("allowedRegions"):
        return None
    regions = _get_list(raw, "allowedRegions")
    if not all(isinstance(region, str) for region in regions):
        raise _FieldError("allowedRegions: expected a list of names")
    return frozenset(regions)


def _parse_limits(raw: Mapping[str, Any]) -> CallerLimits:
    limits = raw.get("limits")
    limits = limits if isinstance(limits, dict) else {}
    return CallerLimits(
        max_header_bytes=_get_integer(
            limits, "maxHeaderBytes", DEFAULT_CALLER_LIMITS.max_header_bytes
        ),
        max_body_bytes=_get_integer(limits, "maxBodyBytes", DEFAULT_CALLER_LIMITS.max_body_bytes),
        header_timeout_s=_get_seconds(
            limits, "headerTimeoutMs", DEFAULT_CALLER_LIMITS.header_timeout_s
        ),
        idle_timeout_s=_get_seconds(limits, "idleTimeoutMs", DEFAULT_CALLER_LIMITS.idle_timeout_s),
    )


def _parse_endpoint(identity: str, raw: Mapping[str, Any]) -> EndpointEntry:
    """Parse an entry; other writers' entries lack fields, or have some of another type.

    :raises _FieldError: when it is no engine's.
    """
    if not _is_header_value(identity):
        raise _FieldError(f"identity: {_not_a_header(identity)}")
    _get_count(raw, "seq")
    address = parse_address(_get_text(raw, "address"))
    if not is_successful(address):
        raise _FieldError(f"address: {address.failure()}")
    if not address.unwrap().port:
        raise _FieldError("address: port 0 can't be connected to")
    try:
        state = EndpointState(_get_text(raw, "state"))
    except ValueError as error:
        raise _FieldError(f"state: {describe(str(error))}") from error
    return EndpointEntry(
        identity=identity,
        service=_get_text(raw, "service"),
        address=address.unwrap(),
        data_centre=_get_text(raw, "zone"),
        slots=_get_count(raw, "slots"),
        state=state,
        warmup_remaining_s=_get_count(raw, "coldLeftMs") / MILLISECONDS_PER_SECOND,
        started_at_ms=_get_count(raw, "born", 0),
        # Despite its name, the version of an engine's software, not that of its weights.
        software_version=_get_version(raw),
    )


def _get_version(raw: Mapping[str, Any]) -> str:
    """Return an entry's version, which may be empty."""
    version = raw.get("version")
    if not isinstance(version, str):
        raise _FieldError(f"version: expected text, found {describe(version)}")
    return version


def _is_header_value(text: str) -> bool:
    """Return whether a header can carry a text: RFC 9110, section 5.5, in Latin-1."""
    return _HEADER_VALUE.fullmatch(text) is not None


def _not_a_header(text: str) -> str:
    return f"{describe(text)} can't be sent in a header"


def _require_object(raw: Any) -> Mapping[str, Any]:
    if not isinstance(raw, dict):
        raise _FieldError(f"expected an object, found {type(raw).__name__}")
    return raw


def _get_list(raw: Mapping[str, Any], name: str) -> list[Any]:
    value = raw.get(name)
    if not isinstance(value, list):
        raise _FieldError(f"{name}: expected a list, found {type(value).__name__}")
    return value


def _get_text(raw: Mapping[str, Any], name: str) -> str:
    value = raw.get(name)
    if not isinstance(value, str) or not value:
        raise _FieldError(f"{name}: expected text, found {describe(value)}")
    return value


def _get_number(raw: Mapping[str, Any], name: str, default: float | None = None) -> float:
    value = raw.get(name, default)
    if value is None and default is not None:
        value = default
    try:
        return to_number(value)
    except ValueError as error:
        raise _FieldError(f"{name}: {error}") from error


def _find_number(raw: Mapping[str, Any], name: str) -> float:
    """Return a number without which the rest of the document can be used; 0 if it is none."""
    try:
        return to_number(raw.get(name))
    except ValueError:
        return 0.0


def _get_integer(raw: Mapping[str, Any], name: str, default: int | None = None) -> int:
    return int(_get_number(raw, name, default))


def _get_count(raw: Mapping[str, Any], name: str, default: int | None = None) -> int:
    """Return a whole number of at least 0."""
    value = _get_integer(raw, name, default)
    if value < 0:
        raise _FieldError(f"{name}: {value} is negative")
    return value


def _get_seconds(raw: Mapping[str, Any], name: str, default_s: float) -> float:
    return _get_number(raw, name, default_s * MILLISECONDS_PER_SECOND) / MILLISECONDS_PER_SECOND
