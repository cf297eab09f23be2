"""Batched sending of frames over a peer connection."""

import abc
import asyncio
from collections.abc import Iterable
from typing import Protocol

from pearshed._internal.peers import peer_pb2 as pb
from pearshed._internal.timers import clock

_MAX_BATCH_FRAMES = 512
_MAX_DELAY_S = 0.02


class BatchStream(Protocol):
    """The sending half of a grpclib stream."""

    async def send_message(self, message: pb.Batch) -> None:
        """Send one message, subject to flow control."""


class FrameProducer(abc.ABC):
    """Produces frames when the connection is ready to send them.

    Response chunks that arrive while the connection is busy are thus sent as one frame.
    """

    @abc.abstractmethod
    def pop_frames(self) -> Iterable[pb.Frame]:
        """Return and clear the frames that are due, in order."""


class FrameWriter:
    """Collects frames for a peer and sends them in batches.

    Urgent frames are sent at once. When only response chunks are due, a batch is delayed until
    ``batch_s`` after the previous one, so that a busy connection sends few, larger messages and
    an idle one adds no delay. Frames queued with ``send_later`` are sent with the next
    batch or after a short delay.

    :param batch_s: minimum time between two batches that hold only response chunks, seconds.
    """

    def __init__(self, batch_s: float) -> None:
        self._batch_s = batch_s
        self._frames: list[pb.Frame] = []
        self._producers: dict[int, FrameProducer] = {}
        self._wake = asyncio.Event()
        self._urgent = asyncio.Event()
        self._last_batch_at = 0.0
        self._sent_frames = 0
        self._sent_batches = 0
        self._sent_bytes = 0

    @property
    def sent_frames(self) -> int:
        """Frames sent so far."""
        return self._sent_frames

    @property
    def sent_batches(self) -> int:
        """Messages sent so far."""
        return self._sent_batches

    @property
    def sent_bytes(self) -> int:
        """Bytes of messages sent so far, excluding gRPC and HTTP/2 framing."""
        return self._sent_bytes

    @property
    def idle_s(self) -> float:
        """Time since the last message, seconds."""
        return clock.now() - self._last_batch_at

    def send(self, frame: pb.Frame) -> None:
        """Queue a frame to be sent at once."""
        self._frames.append(frame)
        self._urgent.set()
        self._wake.set()

    def send_later(self, frame: pb.Frame) -> None:
        """Queue a frame that may be delayed, to be sent with others."""
        self._frames.append(frame)
        self._wake.set()

    def offer(self, producer: FrameProducer, urgent: bool = False) -> None:
        """Register a producer that has frames; registering it again is harmless.

        :param urgent: send the frames without delay, as for the start of a response.
        """
        self._producers[id(producer)] = producer
        self._wake.set()
        if urgent:
            self._urgent.set()

    def withdraw(self, producer: FrameProducer) -> None:
        """Remove a producer whose frames must no longer be sent on this connection."""
        self._producers.pop(id(producer), None)

    async def run(self, stream: BatchStream) -> None:
        """Send batches until cancelled or until the stream fails."""
        while True:
            await self._wake.wait()
            await self._delay_batch()
            self._wake.clear()
            self._urgent.clear()
            frames = self._pop_pending()
            for start in range(0, len(frames), _MAX_BATCH_FRAMES):
                await self._send_batch(stream, frames[start : start + _MAX_BATCH_FRAMES])

    async def _delay_batch(self) -> None:
        delay_s = self._batch_s - self.idle_s
        if not self._producers:
            delay_s = _MAX_DELAY_S
        if delay_s <= 0 or self._urgent.is_set():
            return
        try:
            async with asyncio.timeout(delay_s):
                await self._urgent.wait()
        except TimeoutError:
            pass

    def _pop_pending(self) -> list[pb.Frame]:
        frames = self._frames
        self._frames = []
        producers = self._producers
        self._producers = {}
        for producer in producers.values():
            frames.extend(producer.pop_frames())
        return frames

    async def _send_batch(self, stream: BatchStream, frames: list[pb.Frame]) -> None:
        batch = pb.Batch(frames=frames)
        self._last_batch_at = clock.now()
        await stream.send_message(batch)
        self._sent_batches += 1
        self._sent_frames += len(frames)
        self._sent_bytes += batch.ByteSize()
