"""Which connections are ended first when what callers make a process hold exceeds its room.

Load: clients that hold much and send little, such as heads and bodies that stop short of their end,
answers that nobody reads and connections that stay silent, beside callers that send whole requests.
The latter keep being served: who makes progress is ended last, and a request that is being served
isn't ended at all.
"""

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

#: Time without progress after which a connection counts as stalled, seconds; a lost packet is sent
#: again well before.
STALLED_AFTER_S = 1.0
#: Age below which a rate says little, seconds.
_SHORTEST_AGE_S = 1.0
#: Held bytes up to which a connection counts as small: a head and some of a body.
SMALL_BYTES = 64 * 1024
#: Share of the room that larger ones may fill, so that they leave some to ordinary requests.
LARGE_SHARE = 0.75
#: Share of the room that is free after some were ended, so that not every byte ends another one.
_FREED_SHARE = 1 / 16

_Key = TypeVar("_Key")


class HoldingStage(enum.Enum):
    """What a connection waits for.

    ``REFUSED``: its client still has to read a refusal. ``IDLE``: the next request. ``RECEIVING``:
    the rest of a request. ``SENDING``: its client has to read an answer. ``SERVING``: the answer.
    ``AHEAD``: the answer, and the client has sent more requests meanwhile, which can be refused.
    """

    REFUSED = "refused"
    IDLE = "idle"
    RECEIVING = "receiving"
    SENDING = "sending"
    SERVING = "serving"
    AHEAD = "ahead"


@dataclass(frozen=True, slots=True)
class Holding(Generic[_Key]):
    """What one connection makes the process hold.

    :ivar held_bytes: memory, bytes, with overhead and copies.
    :ivar freed_bytes: what of it is free once the connection, or what it sent ahead, is ended.
    :ivar moved_bytes: bytes received of the unfinished request.
    :ivar begun_at: clock reading at which the stage began, seconds.
    :ivar progressed_at: clock reading at which bytes were received or taken last, seconds.
    """

    key: _Key
    stage: HoldingStage
    held_bytes: int
    freed_bytes: int
    moved_bytes: int
    begun_at: float
    progressed_at: float


@dataclass(frozen=True, slots=True)
class Room:
    """What all connections may make the process hold.

    :ivar held_bytes: bytes of memory.
    :ivar connections: number of open connections.
    """

    held_bytes: int
    connections: int


def choose_ended(holdings: Sequence[Holding[_Key]], room: Room, now: float) -> list[_Key]:
    """Choose the connections to end, in order, so that the others fit in the room."""
    ordered = ending_order(holdings, now)
    held = sum(holding.held_bytes for holding in holdings)
    large = sum(holding.held_bytes for holding in holdings if _is_large(holding))
    most_held = room.held_bytes
    most_large = int(room.held_bytes * LARGE_SHARE)
    freed = int(room.held_bytes * _FREED_SHARE)
    ended: dict[int, Holding[_Key]] = {}
    if large > most_large:
        for index, holding in enumerate(ordered):
            if large <= most_large - freed:
                break
            if _is_large(holding) and not _is_being_read(holding, now):
                ended[index] = holding
                large -= holding.freed_bytes
                held -= holding.freed_bytes
    if held > most_held:
        for index, holding in enumerate(ordered):
            if held <= most_held - freed:
                break
            if index not in ended:
                ended[index] = holding
                held -= holding.freed_bytes
    closed = sum(holding.stage is not HoldingStage.AHEAD for holding in ended.values())
    excess = len(holdings) - closed - room.connections
    if excess > 0:
        # One that is refused counts until it has gone, as the first to be closed for good.
        excess += int(room.connections * _FREED_SHARE)
    for index, holding in enumerate(ordered):
        if excess <= 0:
            break
        if index not in ended and holding.stage is not HoldingStage.AHEAD:
            ended[index] = holding
            excess -= 1
    return [ended[index].key for index in sorted(ended)]


def ending_order(holdings: Sequence[Holding[_Key]], now: float) -> list[Holding[_Key]]:
    """Return the connections that may be ended, the first one first."""
    endable = [holding for holding in holdings if holding.stage is not HoldingStage.SERVING]
    return sorted(endable, key=lambda holding: _rank(holding, now))


def _rank(holding: Holding[_Key], now: float) -> tuple[int, float]:
    stalled_s = now - holding.progressed_at
    age_s = now - holding.begun_at
    if holding.stage is HoldingStage.REFUSED:
        return 0, -stalled_s
    if holding.stage is HoldingStage.IDLE:
        # A client that has just connected is about to send its first request.
        return (2 if stalled_s >= STALLED_AFTER_S else 5), -stalled_s
    if stalled_s >= STALLED_AFTER_S or holding.stage is HoldingStage.AHEAD:
        return 1, -holding.held_bytes
    if _is_being_read(holding, now):
        # The engine's work would be lost with the answer.
        return 6, -holding.held_bytes
    if _is_large(holding):
        return 3, holding.moved_bytes / max(_SHORTEST_AGE_S, age_s)
    if age_s >= _SHORTEST_AGE_S:
        return 4, holding.moved_bytes / age_s
    return 5, -stalled_s


def _is_being_read(holding: Holding[_Key], now: float) -> bool:
    stalled_s = now - holding.progressed_at
    return holding.stage is HoldingStage.SENDING and stalled_s < STALLED_AFTER_S


def _is_large(holding: Holding[_Key]) -> bool:
    return holding.held_bytes > SMALL_BYTES
