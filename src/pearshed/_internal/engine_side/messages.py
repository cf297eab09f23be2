"""Datagrams between gateways and the sides of engines.

A lost datagram is sent again by the gateway, which asks until it hears; a side answers a repeated
question with the present state of the reservation, so repeats are harmless.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import orjson
from returns.result import Failure, Result, Success

from pearshed._internal.engine_side.traffic_table import RouteTraffic
from pearshed._internal.models.routing import PromptPart

#: Largest datagram that is read, bytes; prompts have a few parts, services a few routes.
MAX_DATAGRAM_BYTES = 4096


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A gateway asks for admission of a request.

    :ivar reservation: names the request and the gateway's attempt at it.
    :ivar rank: urgency, 0 is the most urgent.
    :ivar budget_ms: time for which the reservation may wait, milliseconds; 0 for an answer now.
    :ivar output_tokens: tokens that the request is expected to generate.
    :ivar slots: requests that the engine runs at once, as it lists itself; 0 when not known.
    :ivar gap_ms: longest pause between events that is on time, milliseconds; 0 for none.
    """

    reservation: str
    rank: int
    budget_ms: int
    prompt: tuple[PromptPart, ...]
    output_tokens: int
    slots: int = 0
    gap_ms: int = 0


@dataclass(frozen=True, slots=True)
class PromptPrefilled:
    """The engine has read the prompt of an admitted request."""

    reservation: str


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """The request has ended, or is no longer wanted.

    :ivar longest_gap_ms: longest pause between its events, milliseconds; 0 for none.
    """

    reservation: str
    longest_gap_ms: int = 0


@dataclass(frozen=True, slots=True)
class AdmissionGranted:
    """The request may be sent now.

    :ivar admitted: requests that the engine has, this one included.
    """

    reservation: str
    admitted: int


@dataclass(frozen=True, slots=True)
class AdmissionQueued:
    """The reservation is queued; it has not run."""

    reservation: str


@dataclass(frozen=True, slots=True)
class AdmissionRefused:
    """The request can't begin within its budget.

    :ivar wait_ms: time after which it likely could, milliseconds.
    """

    reservation: str
    wait_ms: int


@dataclass(frozen=True, slots=True)
class TrafficReport:
    """A gateway tells its traffic."""

    reservation: str
    routes: tuple[RouteTraffic, ...]


@dataclass(frozen=True, slots=True)
class FleetTraffic:
    """A side tells the traffic of all gateways.

    :ivar gateways: gateways that report to this side.
    :ivar hosts: of some of them, so that gateways can find each other.
    """

    reservation: str
    gateways: int
    routes: tuple[RouteTraffic, ...]
    hosts: tuple[str, ...] = ()


Message = (
    AdmissionRequest
    | PromptPrefilled
    | RequestFinished
    | AdmissionGranted
    | AdmissionQueued
    | AdmissionRefused
    | TrafficReport
    | FleetTraffic
)

_KINDS: dict[str, type[PromptPrefilled | AdmissionQueued]] = {
    "p": PromptPrefilled,
    "w": AdmissionQueued,
}


def encode(message: Message) -> bytes:
    """Encode a message as a JSON list that begins with its kind."""
    if isinstance(message, AdmissionRequest):
        prompt = [[part.part_id, part.tokens] for part in message.prompt]
        return orjson.dumps(
            [
                "a",
                message.reservation,
                message.rank,
                message.budget_ms,
                prompt,
                message.output_tokens,
                message.slots,
                message.gap_ms,
            ]
        )
    if isinstance(message, RequestFinished):
        return orjson.dumps(["d", message.reservation, message.longest_gap_ms])
    if isinstance(message, AdmissionRefused):
        return orjson.dumps(["r", message.reservation, message.wait_ms])
    if isinstance(message, AdmissionGranted):
        return orjson.dumps(["g", message.reservation, message.admitted])
    if isinstance(message, TrafficReport):
        return orjson.dumps(["t", message.reservation, _plain(message.routes)])
    if isinstance(message, FleetTraffic):
        routes = _plain(message.routes)
        return orjson.dumps(
            ["f", message.reservation, message.gateways, routes, list(message.hosts)]
        )
    kind = next(kind for kind, cls in _KINDS.items() if isinstance(message, cls))
    return orjson.dumps([kind, message.reservation])


def decode(datagram: bytes) -> Result[Message, str]:
    """Decode a datagram.

    :returns: the message, or what is wrong with the datagram.
    """
    if len(datagram) > MAX_DATAGRAM_BYTES:
        return Failure("the datagram is too large")
    try:
        kind, reservation, *rest = orjson.loads(datagram)
        if not isinstance(reservation, str):
            return Failure("the reservation is not text")
        if kind == "a":
            rank, budget_ms, prompt, output_tokens, *more = rest
            parts = tuple(PromptPart(str(part), int(tokens)) for part, tokens in prompt)
            # Gateways of an older version name neither slots nor pauses.
            slots, gap_ms = (int(more[0]), int(more[1])) if len(more) > 1 else (0, 0)
            bounds = (int(rank), int(budget_ms))
            return Success(
                AdmissionRequest(reservation, *bounds, parts, int(output_tokens), slots, gap_ms)
            )
        if kind == "d":
            return Success(RequestFinished(reservation, int(rest[0]) if rest else 0))
        if kind == "r":
            return Success(AdmissionRefused(reservation, int(rest[0])))
        if kind == "g":
            return Success(AdmissionGranted(reservation, int(rest[0])))
        if kind == "t":
            return Success(TrafficReport(reservation, _routes(rest[0])))
        if kind == "f":
            # Sides of an older version name no hosts.
            hosts = tuple(str(host) for host in rest[2]) if len(rest) > 2 else ()
            return Success(FleetTraffic(reservation, int(rest[0]), _routes(rest[1]), hosts))
        if kind in _KINDS:
            return Success(_KINDS[kind](reservation))
    except (orjson.JSONDecodeError, TypeError, ValueError, IndexError) as error:
        return Failure(f"malformed datagram: {error}")
    return Failure(f"unknown kind of datagram {kind!r}")


def _plain(routes: tuple[RouteTraffic, ...]) -> list[list[object]]:
    return [
        [
            found.route,
            round(found.request_weight, 2),
            round(found.mean_prompt_tokens),
            round(found.mean_work_tokens),
        ]
        for found in routes
    ]


def _routes(raw: Sequence[Sequence[Any]]) -> tuple[RouteTraffic, ...]:
    return tuple(
        RouteTraffic(str(route), float(weight), float(tokens), float(work))
        for route, weight, tokens, work in raw
    )
