"""Datagrams between gateways and the sides of engines.

A lost datagram is sent again by the gateway, which asks until it hears; a side answers a repeated
question with the present state of the reservation, so repeats are harmless.
"""

from dataclasses import dataclass

import orjson
from returns.result import Failure, Result, Success

from pearshed._internal.models.routing import PromptPart

#: Largest datagram that is read, bytes; prompts have a few parts.
MOST_BYTES = 4096


@dataclass(frozen=True, slots=True)
class Ask:
    """A gateway asks for admission of a request.

    :ivar reservation: names the request and the gateway's attempt at it.
    :ivar rank: urgency, 0 is the most urgent.
    :ivar budget_ms: time for which the reservation may wait, milliseconds; 0 for an answer now.
    :ivar output_tokens: tokens that the request is expected to generate.
    """

    reservation: str
    rank: int
    budget_ms: int
    prompt: tuple[PromptPart, ...]
    output_tokens: int


@dataclass(frozen=True, slots=True)
class PromptRead:
    """The engine has read the prompt of an admitted request."""

    reservation: str


@dataclass(frozen=True, slots=True)
class Done:
    """The request has ended, or is no longer wanted."""

    reservation: str


@dataclass(frozen=True, slots=True)
class Granted:
    """The request may be sent now.

    :ivar gateways: gateways that this side has heard of late.
    """

    reservation: str
    gateways: int


@dataclass(frozen=True, slots=True)
class Waiting:
    """The reservation is queued; it has not run."""

    reservation: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The request can't begin within its budget.

    :ivar wait_ms: time after which it likely could, milliseconds.
    """

    reservation: str
    wait_ms: int


Message = Ask | PromptRead | Done | Granted | Waiting | Refused

_KINDS: dict[str, type[PromptRead | Done | Waiting]] = {
    "p": PromptRead,
    "d": Done,
    "w": Waiting,
}


def encode(message: Message) -> bytes:
    """Encode a message as a JSON list that begins with its kind."""
    if isinstance(message, Ask):
        prompt = [[part.part_id, part.tokens] for part in message.prompt]
        return orjson.dumps(
            [
                "a",
                message.reservation,
                message.rank,
                message.budget_ms,
                prompt,
                message.output_tokens,
            ]
        )
    if isinstance(message, Refused):
        return orjson.dumps(["r", message.reservation, message.wait_ms])
    if isinstance(message, Granted):
        return orjson.dumps(["g", message.reservation, message.gateways])
    kind = next(kind for kind, cls in _KINDS.items() if isinstance(message, cls))
    return orjson.dumps([kind, message.reservation])


def decode(datagram: bytes) -> Result[Message, str]:
    """Decode a datagram.

    :returns: the message, or what is wrong with the datagram.
    """
    if len(datagram) > MOST_BYTES:
        return Failure("the datagram is too large")
    try:
        kind, reservation, *rest = orjson.loads(datagram)
        if not isinstance(reservation, str):
            return Failure("the reservation is not text")
        if kind == "a":
            rank, budget_ms, prompt, output_tokens = rest
            parts = tuple(PromptPart(str(part), int(tokens)) for part, tokens in prompt)
            return Success(Ask(reservation, int(rank), int(budget_ms), parts, int(output_tokens)))
        if kind == "r":
            return Success(Refused(reservation, int(rest[0])))
        if kind == "g":
            return Success(Granted(reservation, int(rest[0])))
        if kind in _KINDS:
            return Success(_KINDS[kind](reservation))
    except (orjson.JSONDecodeError, TypeError, ValueError, IndexError) as error:
        return Failure(f"malformed datagram: {error}")
    return Failure(f"unknown kind of datagram {kind!r}")
