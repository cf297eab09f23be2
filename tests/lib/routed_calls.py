"""Endpoint entries, routes and routed requests for tests of a gateway's parts."""

from typing import Any

from pearshed._internal.gateway.header_codec import RequestMetadata
from pearshed._internal.gateway.routed_call import RoutedCall
from pearshed._internal.http.messages import HttpRequest
from pearshed._internal.models.routing import (
    DEFAULT_CALLER_LIMITS,
    EndpointEntry,
    EndpointState,
    PromptPart,
    Route,
    RouteKind,
    RoutingConfiguration,
    ServiceShare,
)
from pearshed._internal.utils.addresses import Address


def entry(number: int, data_centre: str = "olympia", **overrides: Any) -> EndpointEntry:
    """Create an endpoint's entry."""
    values: dict[str, Any] = {
        "identity": f"i-{number}",
        "service": "fleet",
        "address": Address("10.0.0.1", 1000 + number),
        "data_centre": data_centre,
        "slots": 64,
        "state": EndpointState.READY,
        "warmup_remaining_s": 0.0,
        "started_at_ms": 0,
        "software_version": "v1",
        **overrides,
    }
    return EndpointEntry(**values)


def route(name: str, prefix: str = "/", services: tuple[str, ...] = ("fleet",)) -> Route:
    """Create a streaming route."""
    shares = tuple(ServiceShare(service, 1.0) for service in services)
    return Route(
        name, "h", prefix, RouteKind.STREAMING, shares, 5000, 1000, 300, 2, 0, True, True, False
    )


def routing(*routes: Route) -> RoutingConfiguration:
    """Create a configuration with the routes of one host."""
    return RoutingConfiguration(1, {"h": routes}, {}, {}, False, DEFAULT_CALLER_LIMITS, 1, 1)


def call(number: int, shared: str = "", shared_tokens: int = 0, name: str = "draft") -> RoutedCall:
    """Create a routed request with a prompt."""
    prompt: tuple[PromptPart, ...] = (PromptPart(f"own-{number}", 500),)
    if shared:
        prompt = (PromptPart(shared, shared_tokens), *prompt)
    tokens = sum(part.tokens for part in prompt)
    metadata = RequestMetadata(str(number), None, "", "", "", prompt, tokens, 100, 0, ())
    request = HttpRequest(b"POST", b"/", (), b"", True, True, 0.0)
    return RoutedCall(request, metadata, route(name), "fleet", "", 0, 1e12, 1)
