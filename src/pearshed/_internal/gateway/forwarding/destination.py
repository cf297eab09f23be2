"""Says where a request would go now, and why, without sending it."""

import urllib.parse
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from pearshed._internal.gateway.endpoints import (
    UNRESPONSIVE_AFTER_S,
    Endpoint,
    EndpointTable,
)
from pearshed._internal.gateway.header_codec import RequestMetadata
from pearshed._internal.gateway.placement import Placement, PlacementDecision
from pearshed._internal.gateway.rate_limited_engines import RateLimitedEngines
from pearshed._internal.gateway.routed_call import RoutedCall
from pearshed._internal.http.messages import HttpRequest
from pearshed._internal.models.routing import PromptPart, Route, RoutingConfiguration
from pearshed._internal.timers import clock
from pearshed._internal.utils.foreign_values import describe, parse_count

#: Endpoints that are listed in the order in which a request would try them.
MAX_RANKED = 8


@dataclass(frozen=True, slots=True)
class DestinationQuery:
    """The request of which an operator asks where it would go.

    :ivar route: name of the route.
    :ivar customer: name of the customer; empty for a public route.
    :ivar prompt: parts of the prompt in order; the last belongs to this request alone.
    :ivar output_tokens: tokens that it is expected to generate.
    """

    route: str
    customer: str
    prompt: tuple[PromptPart, ...]
    output_tokens: int


def encode_query(query: DestinationQuery) -> str:
    """Encode a query as the query string of the page's target."""
    parts = ",".join(f"{part.part_id}:{part.tokens}" for part in query.prompt)
    fields = {"route": query.route, "customer": query.customer, "parts": parts}
    return urllib.parse.urlencode({**fields, "output": str(query.output_tokens)})


def decode_query(text: str) -> Result[DestinationQuery, str]:
    """Decode the query string of the page's target.

    :returns: the query, or an error message.
    """
    fields = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
    if not fields.get("route"):
        return Failure("the query names no route")
    prompt = []
    for entry in filter(None, fields.get("parts", "").split(",")):
        part_id, _, text = entry.rpartition(":")
        tokens = parse_count(text)
        if not part_id or tokens is None:
            return Failure(f"{describe(entry)} is no part of a prompt: expected ID:TOKENS")
        prompt.append(PromptPart(part_id, tokens))
    output = parse_count(fields.get("output", "0"))
    if output is None:
        return Failure(f"{describe(fields['output'])} is no number of output tokens")
    customer = fields.get("customer", "")
    return Success(DestinationQuery(fields["route"], customer, tuple(prompt), output))


class DestinationExplainer:
    """Answers queries from the state that this gateway has now.

    :param configuration: returns the current configuration, or ``None`` before the first.
    :param placement: returns the placement for a request.
    """

    def __init__(
        self,
        configuration: Callable[[], RoutingConfiguration | None],
        endpoints: EndpointTable,
        placement: Callable[[RoutedCall], Placement],
        rate_limited: RateLimitedEngines,
    ) -> None:
        self._configuration = configuration
        self._endpoints = endpoints
        self._placement = placement
        self._rate_limited = rate_limited

    def page(self, query_string: str) -> tuple[int, Mapping[str, Any]]:
        """Answer a query.

        :returns: status of the page, and its content.
        """
        query = decode_query(query_string)
        if not is_successful(query):
            return 400, {"error": query.failure()}
        explained = self.explain(query.unwrap())
        if not is_successful(explained):
            return 404, {"error": explained.failure()}
        return 200, explained.unwrap()

    def explain(self, query: DestinationQuery) -> Result[Mapping[str, Any], str]:
        """Return where the request would go by service, or an error message."""
        configuration = self._configuration()
        if configuration is None:
            return Failure("the gateway knows no configuration yet")
        route = _find_route(configuration, query.route)
        if route is None:
            return Failure(f"configuration {configuration.version} has no route {query.route!r}")
        holders = configuration.key_holders.values()
        holder = next((holder for holder in holders if holder.name == query.customer), None)
        if query.customer and holder is None:
            return Failure(
                f"configuration {configuration.version} has no customer {query.customer!r}"
            )
        rank = configuration.rank(route, holder)
        calls = [
            _build_call(query, route, share.service, rank, configuration.version)
            for share in route.shares
        ]
        return Success(
            {
                "route": route.name,
                "customer": query.customer,
                "configuration": configuration.version,
                "rank": rank,
                "target_ms": route.target_ms,
                "services": [self._explain_service(call) for call in calls],
            }
        )

    def _explain_service(self, call: RoutedCall) -> Mapping[str, Any]:
        candidates = self._endpoints.of_service(call.service)
        ranked = self._placement(call).rank(call, candidates, MAX_RANKED)
        chosen = {decision.endpoint for decision in ranked}
        others = [
            endpoint
            for endpoint in self._endpoints.endpoints
            if endpoint.entry.service == call.service and endpoint not in chosen
        ]
        return {
            "service": call.service,
            "goes_to": ranked[0].endpoint.entry.identity if ranked else None,
            "refused": None if ranked else "no endpoint is available",
            "candidates": [self._describe(decision) for decision in ranked],
            "not_used": [
                {"endpoint": endpoint.entry.identity, "reason": self._reason(endpoint, candidates)}
                for endpoint in others
            ],
        }

    def _describe(self, decision: PlacementDecision) -> Mapping[str, Any]:
        endpoint, estimate = decision.endpoint, decision.estimate
        now = clock.now()
        quote = endpoint.latest_quote
        source = decision.fetch_from
        return {
            "endpoint": endpoint.entry.identity,
            "address": str(endpoint.entry.address),
            "data_centre": endpoint.entry.data_centre,
            "copies_from": source.entry.identity if source is not None else None,
            "in_flight": endpoint.in_flight,
            "other_callers": round(endpoint.other_callers_load(now), 1),
            "failure_share": round(endpoint.failure_share, 2),
            "next_place_ms": _milliseconds(self._rate_limited.next_place_s(endpoint.entry)),
            "estimate": (
                None
                if estimate is None
                else {
                    "ready_ms": round(estimate.ready_ms),
                    "wait_ms": round(estimate.wait_ms),
                    "prefill_ms": round(estimate.prefill_ms),
                    "first_event_ms": round(estimate.first_event_ms),
                    "age_ms": round(estimate.age_ms),
                }
            ),
            "side": (
                None
                if quote is None
                else {
                    "age_ms": _milliseconds(endpoint.quote_age_s(now)),
                    "tokens_per_s": quote.load.tokens_per_s,
                    "pending_tokens": quote.load.pending_tokens,
                    "waiting": quote.load.waiting_count,
                    "running": quote.load.running,
                }
            ),
        }

    def _reason(self, endpoint: Endpoint, candidates: Sequence[Endpoint]) -> str:
        now = clock.now()
        if endpoint.pause_s:
            return f"asked for a pause, {endpoint.pause_s:.1f} s left"
        if endpoint not in candidates:
            return f"gets nothing new (listed as {endpoint.entry.state.value})"
        if endpoint.is_ejected(now):
            return "ejected after connections that failed"
        if endpoint.is_silent(now) or endpoint.unresponsive_s(now) >= UNRESPONSIVE_AFTER_S:
            return "silent"
        return "others come first"


def _find_route(configuration: RoutingConfiguration, name: str) -> Route | None:
    routes = (route for routes in configuration.routes.values() for route in routes)
    return next((route for route in routes if route.name == name), None)


def _build_call(
    query: DestinationQuery, route: Route, service: str, rank: int, version: int
) -> RoutedCall:
    tokens = sum(part.tokens for part in query.prompt)
    metadata = RequestMetadata(
        "", None, "", "", "", query.prompt, tokens, query.output_tokens, query.output_tokens, ()
    )
    now = clock.now()
    headers = ((b"host", route.host.encode()),)
    request = HttpRequest(b"POST", route.prefix.encode(), headers, b"", True, True, now)
    deadline = now + route.timeout_ms / clock.MILLISECONDS_PER_SECOND
    return RoutedCall(request, metadata, route, service, query.customer, rank, deadline, version)


def _milliseconds(seconds: float) -> int | None:
    return round(seconds * clock.MILLISECONDS_PER_SECOND) if seconds < float("inf") else None
