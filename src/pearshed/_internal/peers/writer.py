"""Batched sending on one direction of a peer connection."""

import abc
import asyncio
from collections.abc import Iterable
from typing import Protocol

from pearshed._internal.peers import peer_pb2 as pb
from pearshed._internal.timers import clock

_LARGEST_BATCH_FRAMES = 512
_LONGEST_DELAY_S = 0.02


class BatchStream(Protocol):
    """The sending half of a grpclib stream."""

    async def send_message(self, message: pb.Batch) -> None:
        """Send one message, waiting for flow control."""


class FrameProducer(abc.ABC):
    """Something that makes its frames when the connection is ready to carry them.

    Parts of an answer that arrive while the connection is busy thus travel as one frame.
    """

    @abc.abstractmethod
    def pop_frames(self) -> Iterable[pb.Frame]:
        """Make the frames that are due, in order, and forget them."""


class FrameWriter:
    """Collects frames for a peer and sends them in batches.

    Urgent frames go at once. When only parts of answers are due, a batch waits until
    ``batch_s`` after the one before, so that a busy connection sends few, larger messages
    and a quiet one adds no delay. Frames that nobody waits for stay until others go, or for a
    short while.

    :param batch_s: shortest time between two batches of parts only, seconds.
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
        """Bytes of messages sent so far, without the framing below them."""
        return self._sent_bytes

    @property
    def idle_s(self) -> float:
        """Time since the last message, seconds."""
        return clock.now() - self._last_batch_at

    def send(self, frame: pb.Frame) -> None:
        """Queue a frame that the peer waits for."""
        self._frames.append(frame)
        self._urgent.set()
        self._wake.set()

    def send_later(self, frame: pb.Frame) -> None:
        """Queue a frame that nobody waits for, to travel with others."""
        self._frames.append(frame)
        self._wake.set()

    def offer(self, producer: FrameProducer, urgent: bool = False) -> None:
        """Note that a producer has frames; offering it again before they go is harmless.

        :param urgent: do not hold the frames back, as for the start of an answer.
        """
        self._producers[id(producer)] = producer
        self._wake.set()
        if urgent:
            self._urgent.set()

    def withdraw(self, producer: FrameProducer) -> None:
        """Forget a producer whose frames are not wanted on this connection any more."""
        self._producers.pop(id(producer), None)

    async def run(self, stream: BatchStream) -> None:
        """Send batches until cancelled or until the stream fails."""
        while True:
            await self._wake.wait()
            await self._wait_for_company()
            self._wake.clear()
            self._urgent.clear()
            frames = self._take()
            for start in range(0, len(frames), _LARGEST_BATCH_FRAMES):
                await self._send_batch(stream, frames[start : start + _LARGEST_BATCH_FRAMES])

    async def _wait_for_company(self) -> None:
        delay_s = self._batch_s - self.idle_s
        if not self._producers:
            delay_s = _LONGEST_DELAY_S
        if delay_s <= 0 or self._urgent.is_set():
            return
        try:
            async with asyncio.timeout(delay_s):
                await self._urgent.wait()
        except TimeoutError:
            pass

    def _take(self) -> list[pb.Frame]:
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
