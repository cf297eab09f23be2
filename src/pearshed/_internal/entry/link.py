"""The connection of an entry to one side process."""

import asyncio
import contextlib
import random
import ssl
from collections.abc import Iterable
from dataclasses import dataclass

import grpclib.client
from absl import logging
from grpclib.exceptions import GRPCError, StreamTerminatedError

from pearshed._internal.entry.attempt import Attempt, LinkLoss
from pearshed._internal.models.records import Endpoint
from pearshed._internal.peers import frames
from pearshed._internal.peers import peer_pb2 as pb
from pearshed._internal.peers.peer_grpc import SideStub
from pearshed._internal.peers.relay import FeedRelay
from pearshed._internal.peers.transport import connection_configuration
from pearshed._internal.peers.writer import FrameWriter
from pearshed._internal.settings.model import PeerSettings
from pearshed._internal.timers import clock
from pearshed._internal.timers.service import TimerService
from pearshed._internal.utils.backoff import Backoff

_RECONNECT_FIRST_S = 0.05
_RECONNECT_LONGEST_S = 2.0
_CONNECT_TIMEOUT_S = 2.0
_RESUME_WINDOW_SILENCES = 2.0
_FEED_STATE_PERIOD_S = 5.0
_LARGEST_AGE_MS = 2**32 - 1

_CONNECTION_ERRORS = (OSError, GRPCError, StreamTerminatedError, TimeoutError, ConnectionError)


@dataclass(frozen=True, slots=True)
class EntryIdentity:
    """How an entry introduces itself to sides.

    :ivar incarnation: differs for each start of the process.
    """

    name: str
    incarnation: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class SideLoad:
    """Load that a side last reported.

    :ivar slots: requests that it runs at once; 0 until it is configured.
    """

    slots: int = 0
    running: int = 0
    queued: int = 0
    draining: bool = False


SideAttempt = Attempt["SideLink"]


class SideLink:
    """Keeps one connection to a side, replaces it when it fails or falls silent.

    One task runs the link: connect, exchange, and again. Attempts that were bound to the link
    are resumed on the next connection at the byte where they stopped.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        identity: EntryIdentity,
        settings: PeerSettings,
        timers: TimerService,
        relay: FeedRelay,
        tls: ssl.SSLContext | None,
    ) -> None:
        self._tls = tls
        self._endpoint = endpoint
        self._identity = identity
        self._settings = settings
        self._timers = timers
        self._relay = relay
        self._attempts: dict[int, SideAttempt] = {}
        self._writer: FrameWriter | None = None
        self._load = SideLoad()
        self._connected = False
        self._side_incarnation = ""
        self._last_received_at = 0.0
        self._lost_at = clock.now()
        self._late_frames = 0
        self._reconnects = 0
        self._told_feeds_at = clock.now()
        self._received_messages = 0
        self._received_frames = 0
        self._task: asyncio.Task[None] | None = None
        self._subscription = timers.every(settings.heartbeat_s, self._tick)
        self._connection: asyncio.Task[None] | None = None

    @property
    def endpoint(self) -> Endpoint:
        """The endpoint's record as last seen."""
        return self._endpoint

    @property
    def load(self) -> SideLoad:
        """Load that the side last reported."""
        return self._load

    @property
    def connected(self) -> bool:
        """Whether the side has answered on the present connection."""
        return self._connected

    @property
    def side_incarnation(self) -> str:
        """Which start of the side process the link talks to."""
        return self._side_incarnation

    @property
    def attempts(self) -> int:
        """Attempts that wait for something from this side."""
        return len(self._attempts)

    @property
    def late_frames(self) -> int:
        """Frames for attempts that had ended."""
        return self._late_frames

    @property
    def reconnects(self) -> int:
        """Connections after the first."""
        return self._reconnects

    @property
    def received_messages(self) -> int:
        """Messages from the side so far."""
        return self._received_messages

    @property
    def received_frames(self) -> int:
        """Frames in those messages."""
        return self._received_frames

    def update(self, endpoint: Endpoint) -> None:
        """Take a new revision of the endpoint's record; the address must be the same."""
        self._endpoint = endpoint

    def start(self) -> None:
        """Start the link's task."""
        self._task = asyncio.get_running_loop().create_task(
            self._run(), name=f"link-{self._endpoint.name}"
        )

    def stop(self) -> None:
        """Stop the link for good."""
        self._subscription.cancel()
        if self._task is not None:
            self._task.cancel()
        self._lose_all(self._attempts.values(), LinkLoss.BROKEN)

    def open_attempt(self, attempt: SideAttempt, frame: pb.Frame) -> None:
        """Send an attempt's reservation and pass its frames on from now on."""
        self._attempts[attempt.number] = attempt
        attempt.opened(self)
        self._send(frame)

    def close_attempt(self, attempt: SideAttempt, frame: pb.Frame | None = None) -> None:
        """Forget an attempt and send a last frame for it, if any."""
        attempt.closed(self)
        known = self._attempts.pop(attempt.number, None) is not None
        if known and frame is not None and self._writer is not None:
            self._writer.send_later(frame)

    def send(self, attempt: SideAttempt, frame: pb.Frame) -> None:
        """Send a frame of an open attempt."""
        if attempt.number in self._attempts:
            self._send(frame)

    def _send(self, frame: pb.Frame) -> None:
        if self._writer is not None:
            self._writer.send(frame)

    async def _run(self) -> None:
        backoff = Backoff(_RECONNECT_FIRST_S, _RECONNECT_LONGEST_S, random.Random())
        while True:
            process_gone = False
            self._connection = asyncio.get_running_loop().create_task(self._connect(backoff))
            try:
                await self._connection
            except ConnectionRefusedError:
                process_gone = True
            except asyncio.CancelledError:
                if self._task is not None and self._task.cancelling():
                    self._connection.cancel()
                    raise
            except _CONNECTION_ERRORS as error:
                logging.info("connection to %s ended: %s", self._endpoint.name, error)
            self._disconnected(process_gone)
            self._reconnects += 1
            await asyncio.sleep(backoff.next_delay())

    async def _connect(self, backoff: Backoff) -> None:
        """Hold one connection for as long as it lives."""
        address = self._endpoint.side
        channel = grpclib.client.Channel(
            address.host,
            address.port,
            config=connection_configuration(),
            ssl=self._tls,
        )
        batch_s = self._settings.batch_ms / clock.MILLISECONDS_PER_SECOND
        writer = FrameWriter(batch_s)
        sending: asyncio.Task[None] | None = None
        peer = 0
        try:
            async with SideStub(channel).Exchange.open() as stream:
                await asyncio.wait_for(stream.send_request(), _CONNECT_TIMEOUT_S)
                writer.send(
                    frames.hello(
                        self._identity.name,
                        self._identity.incarnation,
                        self._identity.data_centre,
                        batch_s,
                    )
                )
                sending = asyncio.get_running_loop().create_task(writer.run(stream))
                self._last_received_at = clock.now()
                self._writer = writer
                async for batch in stream:
                    self._last_received_at = clock.now()
                    self._received_messages += 1
                    self._received_frames += len(batch.frames)
                    if not self._connected:
                        peer = self._greet(batch, writer)
                        backoff.reset()
                    for frame in batch.frames:
                        self._handle(frame, writer)
        finally:
            self._relay.leave(peer)
            if sending is not None:
                sending.cancel()
                with contextlib.suppress(asyncio.CancelledError, *_CONNECTION_ERRORS):
                    await sending
            channel.close()

    def _greet(self, batch: pb.Batch, writer: FrameWriter) -> int:
        """Handle the side's first batch, which begins with its hello."""
        incarnation = batch.frames[0].hello.incarnation if batch.frames else ""
        restarted = self._side_incarnation not in ("", incarnation)
        self._side_incarnation = incarnation
        self._connected = True
        if restarted:
            self._lose_all(self._bound_attempts(), LinkLoss.PROCESS_GONE)
        for attempt in self._bound_attempts():
            writer.send(_resume(attempt))
        return self._relay.join(writer.send)

    def _handle(self, frame: pb.Frame, writer: FrameWriter) -> None:
        if frame.attempt:
            attempt = self._attempts.get(frame.attempt)
            if attempt is None:
                self._late_frames += 1
                return
            attempt.receive(self, frame)
        elif frame.HasField("heartbeat"):
            load = frame.heartbeat
            self._load = SideLoad(load.slots, load.running, load.queued, load.draining)
        else:
            self._relay.handle(frame, writer.send)

    def _bound_attempts(self) -> list[SideAttempt]:
        return [attempt for attempt in self._attempts.values() if attempt.bound is self]

    def _disconnected(self, process_gone: bool) -> None:
        if self._connected:
            self._lost_at = clock.now()
        self._connected = False
        self._writer = None
        self._load = SideLoad()
        if process_gone:
            self._lose_all(self._attempts.values(), LinkLoss.PROCESS_GONE)
            return
        unbound = [attempt for attempt in self._attempts.values() if attempt.bound is not self]
        self._lose_all(unbound, LinkLoss.BROKEN)

    def _lose_all(self, attempts: Iterable[SideAttempt], loss: LinkLoss) -> None:
        for attempt in list(attempts):
            self._attempts.pop(attempt.number, None)
            attempt.closed(self)
            attempt.lose(self, loss)

    def _tick(self) -> None:
        """Send a heartbeat, and replace a connection that has fallen silent."""
        if self._writer is None:
            window_s = self._settings.silence_s * _RESUME_WINDOW_SILENCES
            if self._attempts and clock.now() - self._lost_at > window_s:
                self._lose_all(self._attempts.values(), LinkLoss.BROKEN)
            return
        if clock.now() - self._last_received_at > self._settings.silence_s:
            self._replace_silent_connection()
            return
        if self._connected:
            self._tell_feeds(self._writer)
            self._writer.send(pb.Frame(heartbeat=pb.Heartbeat()))

    def _tell_feeds(self, writer: FrameWriter) -> None:
        """Let feed states travel with a heartbeat now and then."""
        if clock.now() - self._told_feeds_at < _FEED_STATE_PERIOD_S:
            return
        self._told_feeds_at = clock.now()
        for state in self._relay.states():
            writer.send_later(state)

    def _replace_silent_connection(self) -> None:
        logging.warning("connection to %s is silent; replacing it", self._endpoint.name)
        if self._connection is not None:
            self._connection.cancel()


def _resume(attempt: SideAttempt) -> pb.Frame:
    return pb.Frame(
        attempt=attempt.number,
        resume=pb.Resume(
            offset=attempt.offset,
            head_received=attempt.head is not None,
            age_ms=min(_LARGEST_AGE_MS, round(attempt.body_age_s * clock.MILLISECONDS_PER_SECOND)),
        ),
    )
