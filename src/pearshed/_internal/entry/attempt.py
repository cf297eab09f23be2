"""One attempt at a request: reservations at a few sides, then a run at one of them."""

import asyncio
import enum
from dataclasses import dataclass
from typing import Generic, TypeVar

from pearshed._internal.entry.response_sink import ResponseSink
from pearshed._internal.models.outcomes import RelayedChunk, RelayedHead
from pearshed._internal.models.requests import RoutedRequest
from pearshed._internal.peers import frames
from pearshed._internal.peers import peer_pb2 as pb
from pearshed._internal.timers import clock

#: The link to a side; an attempt only tells one from another.
LinkT = TypeVar("LinkT")

SERVER_ERROR = 500


class LinkLoss(enum.Enum):
    """Why an attempt lost its connection to a side."""

    BROKEN = "the connection broke and was not replaced in time"
    PROCESS_GONE = "the side process is gone or has restarted"


@dataclass(frozen=True, slots=True)
class LinkLost:
    """Event of an attempt whose side can't be reached any more."""

    loss: LinkLoss


AttemptEvent = pb.Frame | LinkLost


class Attempt(Generic[LinkT]):
    """Receives the frames of one attempt and passes the answer on, in order.

    Frames from a side that the attempt is not bound to, and parts that overlap or skip
    bytes, are dropped and counted: an answer is never mixed from two runs.

    :param number: unique within this start of the entry.
    :param sink: gets the answer; nothing is passed on before ``deliver`` is set.
    """

    def __init__(self, number: int, request: RoutedRequest, sink: ResponseSink) -> None:
        self.number = number
        self.request = request
        self._sink = sink
        self._events: asyncio.Queue[tuple[LinkT, AttemptEvent]] = asyncio.Queue()
        self._bound: LinkT | None = None
        self._open: list[LinkT] = []
        self._head: RelayedHead | None = None
        self._parts: list[bytes] = []
        self._offset = 0
        self._delivered = False
        self._dropped = 0
        self._body_sent_at = 0.0

    @property
    def bound(self) -> LinkT | None:
        """The link to the side that runs the request."""
        return self._bound

    @property
    def offset(self) -> int:
        """Bytes of the answer received in order."""
        return self._offset

    @property
    def head(self) -> RelayedHead | None:
        """Start of the answer, once received."""
        return self._head

    @property
    def delivered(self) -> bool:
        """Whether the caller may have seen anything of this attempt's answer."""
        return self._delivered

    @property
    def dropped(self) -> int:
        """Frames that were dropped as late, foreign or out of order."""
        return self._dropped

    @property
    def body_sent(self) -> bool:
        """Whether the request's body was sent to a side."""
        return self._body_sent_at > 0

    @property
    def body_age_s(self) -> float:
        """Time since the body was sent, seconds."""
        return clock.now() - self._body_sent_at

    @property
    def open_links(self) -> list[LinkT]:
        """Links that may still bring something for the attempt."""
        return list(self._open)

    def opened(self, link: LinkT) -> None:
        """Note a link that carries the attempt."""
        self._open.append(link)

    def closed(self, link: LinkT) -> None:
        """Note that a link does not carry the attempt any more."""
        if link in self._open:
            self._open.remove(link)

    async def next_event(self) -> tuple[LinkT, AttemptEvent]:
        """Wait for the next grant, refusal, end or loss."""
        return await self._events.get()

    def bind(self, link: LinkT) -> None:
        """Accept frames from one side only, from now on."""
        self._bound = link

    def mark_body_sent(self) -> None:
        """Note that the request may run from now on."""
        self._body_sent_at = clock.now()

    def receive(self, link: LinkT, frame: pb.Frame) -> None:
        """Handle a frame that a link received for this attempt."""
        if self._bound is not None and link is not self._bound:
            self._dropped += 1
            return
        kind = frame.WhichOneof("kind")
        if kind == "delta":
            self._receive_delta(frame.delta)
        elif kind == "head":
            self._receive_head(link, frame)
        else:
            self._events.put_nowait((link, frame))

    def lose(self, link: LinkT, loss: LinkLoss) -> None:
        """Note that a link can't bring anything any more."""
        if self._bound is None or self._bound is link:
            self._events.put_nowait((link, LinkLost(loss)))

    def flush_whole(self) -> None:
        """Pass on an answer that was held back until it was whole."""
        if self._delivered or self._head is None:
            return
        self._delivered = True
        self._sink.put(self._head)
        if self._parts:
            self._sink.put(RelayedChunk(b"".join(self._parts)))
            self._parts.clear()

    def _receive_head(self, link: LinkT, frame: pb.Frame) -> None:
        if self._head is not None:
            self._dropped += 1
            return
        head = frame.head
        self._head = RelayedHead(head.status, frames.headers_from_wire(head.headers), head.replayed)
        if self._bound is None:
            # An answer replayed for an idempotency key comes without a grant.
            self._events.put_nowait((link, frame))
        if self._passes_on():
            self._delivered = True
            self._sink.put(self._head)

    def _passes_on(self) -> bool:
        """Tell whether the answer goes on as it comes.

        An error of the endpoint is held back: another endpoint may answer instead.
        """
        good = self._head is not None and self._head.status < SERVER_ERROR
        return self.request.streaming and good

    def _receive_delta(self, delta: pb.Delta) -> None:
        if delta.offset != self._offset:
            self._dropped += 1
            return
        self._offset += len(delta.content)
        if self._passes_on():
            self._sink.put(RelayedChunk(delta.content))
        else:
            self._parts.append(delta.content)
