"""The connection of an entry to one side process."""

import asyncio
import contextlib
import random
from collections.abc import Iterable
from dataclasses import dataclass

import grpclib.client
from absl import logging
from grpclib.exceptions import GRPCError, StreamTerminatedError

from pearshed._internal.entry.attempt import Attempt, LinkLossReason
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
from pearshed._internal.utils.tls import ReloadingContext

_INITIAL_RECONNECT_DELAY_S = 0.05
_MAX_RECONNECT_DELAY_S = 2.0
_CONNECT_TIMEOUT_S = 2.0
_RESUME_WINDOW_FACTOR = 2.0  # times silence_s
_FEED_STATE_INTERVAL_S = 5.0
_MAX_AGE_MS = 2**32 - 1

_CONNECTION_ERRORS = (OSError, GRPCError, StreamTerminatedError, TimeoutError, ConnectionError)


@dataclass(frozen=True, slots=True)
class EntryIdentity:
    """What an entry sends in its hello to sides.

    :ivar incarnation: differs for each start of the process.
    """

    name: str
    incarnation: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class SideLoad:
    """Load that a side last reported.

    :ivar slots: maximum number of concurrent requests; 0 until the side is configured.
    """

    slots: int = 0
    running: int = 0
    queued: int = 0
    draining: bool = False


SideAttempt = Attempt["SideLink"]


class SideLink:
    """Keeps one connection to a side and replaces it when it fails or becomes unresponsive.

    One task connects, exchanges frames and reconnects. Attempts that are bound to the link
    resume on the next connection at the byte offset they have reached.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        identity: EntryIdentity,
        settings: PeerSettings,
        timers: TimerService,
        relay: FeedRelay,
        tls: ReloadingContext | None,
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
        self._feeds_last_reported_at = clock.now()
        self._received_messages = 0
        self._received_frames = 0
        self._run_task: asyncio.Task[None] | None = None
        self._heartbeat_timer = timers.every(settings.heartbeat_s, self._check_connection)
        self._connection_task: asyncio.Task[None] | None = None

    @property
    def endpoint(self) -> Endpoint:
        """The endpoint's latest record."""
        return self._endpoint

    @property
    def load(self) -> SideLoad:
        """Load that the side last reported."""
        return self._load

    @property
    def connected(self) -> bool:
        """Whether the side has sent its hello on the current connection."""
        return self._connected

    @property
    def side_incarnation(self) -> str:
        """Incarnation of the side process at the last connection."""
        return self._side_incarnation

    @property
    def attempt_count(self) -> int:
        """Number of open attempts on this link."""
        return len(self._attempts)

    @property
    def late_frames(self) -> int:
        """Frames received for attempts that had ended."""
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
        """Frames in the messages from the side so far."""
        return self._received_frames

    def update(self, endpoint: Endpoint) -> None:
        """Replace the endpoint's record by a new revision with the same address."""
        self._endpoint = endpoint

    def start(self) -> None:
        """Start the link's task."""
        self._run_task = asyncio.get_running_loop().create_task(
            self._run(), name=f"link-{self._endpoint.name}"
        )

    def stop(self) -> None:
        """Stop the link permanently and fail its attempts."""
        self._heartbeat_timer.cancel()
        if self._run_task is not None:
            self._run_task.cancel()
        self._fail_attempts(self._attempts.values(), LinkLossReason.BROKEN)

    def open_attempt(self, attempt: SideAttempt, frame: pb.Frame) -> None:
        """Register an attempt and send its reservation."""
        self._attempts[attempt.number] = attempt
        attempt.add_link(self)
        self._send(frame)

    def close_attempt(self, attempt: SideAttempt, frame: pb.Frame | None = None) -> None:
        """Remove an attempt and send its last frame, if any."""
        attempt.remove_link(self)
        was_open = self._attempts.pop(attempt.number, None) is not None
        if was_open and frame is not None and self._writer is not None:
            self._writer.send_later(frame)

    def send(self, attempt: SideAttempt, frame: pb.Frame) -> None:
        """Send a frame of an open attempt."""
        if attempt.number in self._attempts:
            self._send(frame)

    def _send(self, frame: pb.Frame) -> None:
        if self._writer is not None:
            self._writer.send(frame)

    async def _run(self) -> None:
        backoff = Backoff(_INITIAL_RECONNECT_DELAY_S, _MAX_RECONNECT_DELAY_S, random.Random())
        while True:
            process_gone = False
            self._connection_task = asyncio.get_running_loop().create_task(
                self._run_connection(backoff)
            )
            try:
                await self._connection_task
            except ConnectionRefusedError:
                process_gone = True
            except asyncio.CancelledError:
                if self._run_task is not None and self._run_task.cancelling():
                    self._connection_task.cancel()
                    raise
            except _CONNECTION_ERRORS as error:
                logging.info("connection to %s ended; reconnecting: %s", self._endpoint.name, error)
            self._handle_disconnect(process_gone)
            self._reconnects += 1
            await asyncio.sleep(backoff.next_delay())

    async def _run_connection(self, backoff: Backoff) -> None:
        """Run one connection until it ends."""
        address = self._endpoint.side
        channel = grpclib.client.Channel(
            address.host,
            address.port,
            config=connection_configuration(),
            ssl=self._tls.current if self._tls is not None else None,
        )
        batch_s = self._settings.batch_ms / clock.MILLISECONDS_PER_SECOND
        writer = FrameWriter(batch_s)
        send_task: asyncio.Task[None] | None = None
        relay_peer_id = 0
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
                send_task = asyncio.get_running_loop().create_task(writer.run(stream))
                self._last_received_at = clock.now()
                self._writer = writer
                async for batch in stream:
                    self._last_received_at = clock.now()
                    self._received_messages += 1
                    self._received_frames += len(batch.frames)
                    if not self._connected:
                        relay_peer_id = self._handle_hello(batch, writer)
                        backoff.reset()
                    for frame in batch.frames:
                        self._handle_frame(frame, writer)
        finally:
            self._relay.leave(relay_peer_id)
            if send_task is not None:
                send_task.cancel()
                with contextlib.suppress(asyncio.CancelledError, *_CONNECTION_ERRORS):
                    await send_task
            channel.close()

    def _handle_hello(self, batch: pb.Batch, writer: FrameWriter) -> int:
        """Handle the hello in the side's first batch and resume the bound attempts.

        :returns: the id of this connection in the feed relay.
        """
        incarnation = batch.frames[0].hello.incarnation if batch.frames else ""
        restarted = self._side_incarnation not in ("", incarnation)
        self._side_incarnation = incarnation
        self._connected = True
        if restarted:
            self._fail_attempts(self._bound_attempts(), LinkLossReason.PROCESS_GONE)
        for attempt in self._bound_attempts():
            writer.send(_resume(attempt))
        return self._relay.join(writer.send)

    def _handle_frame(self, frame: pb.Frame, writer: FrameWriter) -> None:
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
        return [attempt for attempt in self._attempts.values() if attempt.bound_link is self]

    def _handle_disconnect(self, process_gone: bool) -> None:
        if self._connected:
            self._lost_at = clock.now()
        self._connected = False
        self._writer = None
        self._load = SideLoad()
        if process_gone:
            self._fail_attempts(self._attempts.values(), LinkLossReason.PROCESS_GONE)
            return
        unbound = [attempt for attempt in self._attempts.values() if attempt.bound_link is not self]
        self._fail_attempts(unbound, LinkLossReason.BROKEN)

    def _fail_attempts(self, attempts: Iterable[SideAttempt], reason: LinkLossReason) -> None:
        for attempt in list(attempts):
            self._attempts.pop(attempt.number, None)
            attempt.remove_link(self)
            attempt.handle_link_loss(self, reason)

    def _check_connection(self) -> None:
        """Send a heartbeat, or replace the connection if it has become unresponsive.

        Without a connection, fail the attempts that may run elsewhere once the resume window has
        passed. The others wait for their side until their deadline: it may only be silent.
        """
        if self._writer is None:
            window_s = self._settings.silence_s * _RESUME_WINDOW_FACTOR
            if self._attempts and clock.now() - self._lost_at > window_s:
                movable = [one for one in self._attempts.values() if one.may_run_elsewhere]
                self._fail_attempts(movable, LinkLossReason.BROKEN)
            return
        if clock.now() - self._last_received_at > self._settings.silence_s:
            self._replace_unresponsive_connection()
            return
        if self._connected:
            self._send_feed_states(self._writer)
            self._writer.send(pb.Frame(heartbeat=pb.Heartbeat()))

    def _send_feed_states(self, writer: FrameWriter) -> None:
        """Queue the feed states with a heartbeat every few seconds."""
        if clock.now() - self._feeds_last_reported_at < _FEED_STATE_INTERVAL_S:
            return
        self._feeds_last_reported_at = clock.now()
        for state in self._relay.states():
            writer.send_later(state)

    def _replace_unresponsive_connection(self) -> None:
        logging.warning("no data from %s within the timeout; reconnecting", self._endpoint.name)
        if self._connection_task is not None:
            self._connection_task.cancel()


def _resume(attempt: SideAttempt) -> pb.Frame:
    return pb.Frame(
        attempt=attempt.number,
        resume=pb.Resume(
            offset=attempt.offset,
            head_received=attempt.head is not None,
            age_ms=min(_MAX_AGE_MS, round(attempt.body_age_s * clock.MILLISECONDS_PER_SECOND)),
        ),
    )
