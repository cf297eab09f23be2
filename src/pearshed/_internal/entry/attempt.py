"""One attempt at a request: reservations at a few sides, then a run at one of them."""

import asyncio
import enum
from dataclasses import dataclass
from typing import Generic, TypeVar

from pearshed._internal.entry.response_sink import ResponseSink
from pearshed._internal.models import statuses
from pearshed._internal.models.outcomes import RelayedChunk, RelayedHead
from pearshed._internal.models.requests import RoutedRequest
from pearshed._internal.peers import frames
from pearshed._internal.peers import peer_pb2 as pb
from pearshed._internal.timers import clock

#: The link to a side; an attempt only compares links for identity.
LinkT = TypeVar("LinkT")

MIN_SERVER_ERROR_STATUS = 500


class LinkLossReason(enum.Enum):
    """Why an attempt lost its connection to a side."""

    BROKEN = "the connection broke and was not replaced in time"
    PROCESS_GONE = "the side process is gone or has restarted"


@dataclass(frozen=True, slots=True)
class LinkLost:
    """Event of an attempt whose side can no longer be reached."""

    reason: LinkLossReason


AttemptEvent = pb.Frame | LinkLost


class Attempt(Generic[LinkT]):
    """Receives the frames of one attempt and relays the response in order.

    Frames from a side that the attempt is not bound to, and chunks that overlap or skip bytes,
    are dropped and counted, so that a response never mixes the output of two runs.

    :param number: unique within this incarnation of the entry.
    :param sink: receives the response: as it arrives if the request is streaming, else once it
        is complete.
    """

    def __init__(self, number: int, request: RoutedRequest, sink: ResponseSink) -> None:
        self.number = number
        self.request = request
        self._sink = sink
        self._events: asyncio.Queue[tuple[LinkT, AttemptEvent]] = asyncio.Queue()
        self._bound_link: LinkT | None = None
        self._open_links: list[LinkT] = []
        self._head: RelayedHead | None = None
        self._buffered_chunks: list[bytes] = []
        self._offset = 0
        self._delivery_started = False
        self._dropped_frames = 0
        self._body_sent_at = 0.0

    @property
    def bound_link(self) -> LinkT | None:
        """The link to the side that runs the request, once chosen."""
        return self._bound_link

    @property
    def offset(self) -> int:
        """Bytes of the response body received in order."""
        return self._offset

    @property
    def head(self) -> RelayedHead | None:
        """Status and headers of the response, once received."""
        return self._head

    @property
    def delivery_started(self) -> bool:
        """Whether the caller may have received a part of this attempt's response."""
        return self._delivery_started

    @property
    def dropped_frames(self) -> int:
        """Frames dropped as late, out of order or from the wrong side."""
        return self._dropped_frames

    @property
    def body_sent(self) -> bool:
        """Whether the request's body was sent to a side."""
        return self._body_sent_at > 0

    @property
    def body_age_s(self) -> float:
        """Time since the body was sent, seconds."""
        return clock.now() - self._body_sent_at

    @property
    def may_run_elsewhere(self) -> bool:
        """Whether another side may run the request although this one's run may go on."""
        return not self.body_sent or (self.request.idempotent and not self._delivery_started)

    @property
    def open_links(self) -> list[LinkT]:
        """Links on which frames for the attempt may still arrive."""
        return list(self._open_links)

    def add_link(self, link: LinkT) -> None:
        """Add a link that carries the attempt."""
        self._open_links.append(link)

    def remove_link(self, link: LinkT) -> None:
        """Remove a link that no longer carries the attempt."""
        if link in self._open_links:
            self._open_links.remove(link)

    async def next_event(self) -> tuple[LinkT, AttemptEvent]:
        """Wait for the next grant, refusal, end or loss."""
        return await self._events.get()

    def bind(self, link: LinkT) -> None:
        """Accept frames from one side only, from now on."""
        self._bound_link = link

    def mark_body_sent(self) -> None:
        """Record the time from which the request may run."""
        self._body_sent_at = clock.now()

    def receive(self, link: LinkT, frame: pb.Frame) -> None:
        """Handle a frame that a link received for this attempt."""
        if self._bound_link is not None and link is not self._bound_link:
            self._dropped_frames += 1
            return
        kind = frame.WhichOneof("kind")
        if kind == "delta":
            self._receive_delta(frame.delta)
        elif kind == "head":
            self._receive_head(link, frame)
        else:
            self._events.put_nowait((link, frame))

    def handle_link_loss(self, link: LinkT, reason: LinkLossReason) -> None:
        """Queue the loss of a link, unless the attempt is bound to another."""
        if self._bound_link is None or self._bound_link is link:
            self._events.put_nowait((link, LinkLost(reason)))

    def flush_buffered(self) -> None:
        """Relay a response that was buffered until it was complete."""
        self._begin_delivery()
        if self._buffered_chunks:
            self._sink.put(RelayedChunk(b"".join(self._buffered_chunks)))
            self._buffered_chunks.clear()

    def _begin_delivery(self) -> None:
        if not self._delivery_started and self._head is not None:
            self._delivery_started = True
            self._sink.put(self._head)

    def _receive_head(self, link: LinkT, frame: pb.Frame) -> None:
        if self._head is not None:
            self._dropped_frames += 1
            return
        head = frame.head
        headers = frames.headers_from_wire(head.headers)
        self._head = RelayedHead(head.status, headers, head.replayed, head.until_close)
        if self._bound_link is None:
            # A response replayed for an idempotency key comes without a grant.
            self._events.put_nowait((link, frame))

    def _relays_immediately(self) -> bool:
        """Return whether chunks are relayed as they arrive.

        A server error is buffered, since a retry at another endpoint may succeed.
        """
        head = self._head
        if head is None or not statuses.is_final(head.status):
            return False
        return self.request.streaming and head.status < MIN_SERVER_ERROR_STATUS

    def _receive_delta(self, delta: pb.Delta) -> None:
        if delta.offset != self._offset:
            self._dropped_frames += 1
            return
        self._offset += len(delta.content)
        if self._relays_immediately():
            # Not before: without a byte of the body, another endpoint can still respond.
            self._begin_delivery()
            self._sink.put(RelayedChunk(delta.content))
        else:
            self._buffered_chunks.append(delta.content)
