"""Serves the connections of entries to a side, each with a handler task and a sender task."""

import asyncio
import contextlib
from dataclasses import dataclass

import grpclib.server
from absl import logging
from grpclib.exceptions import StreamTerminatedError

from pearshed._internal.peers import frames
from pearshed._internal.peers import peer_pb2 as pb
from pearshed._internal.peers.peer_grpc import SideBase
from pearshed._internal.peers.relay import FeedRelay
from pearshed._internal.peers.writer import FrameWriter
from pearshed._internal.settings.model import PeerSettings
from pearshed._internal.side.attempt_manager import AttemptManager
from pearshed._internal.timers import clock
from pearshed._internal.timers.service import Subscription, TimerService

_MICROSECONDS_PER_SECOND = 1_000_000
_SEND_ERRORS = (OSError, StreamTerminatedError, ConnectionError)


@dataclass(frozen=True, slots=True)
class SideIdentity:
    """What a side sends in its hello to entries."""

    name: str
    incarnation: str
    data_centre: str


@dataclass(eq=False, slots=True)
class _Session:
    """A connection of an entry."""

    entry_incarnation: str
    entry: str
    writer: FrameWriter
    last_received_at: float


class SideSessions(SideBase):
    """Implements the peer protocol for entries."""

    def __init__(
        self,
        identity: SideIdentity,
        settings: PeerSettings,
        attempt_manager: AttemptManager,
        timers: TimerService,
        relay: FeedRelay,
    ) -> None:
        self._identity = identity
        self._settings = settings
        self._attempt_manager = attempt_manager
        self._timers = timers
        self._relay = relay
        self._sessions: dict[str, _Session] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._accepted = 0

    @property
    def entries(self) -> list[str]:
        """Names of the connected entries."""
        return [session.entry for session in self._sessions.values()]

    @property
    def accepted(self) -> int:
        """Number of connections accepted."""
        return self._accepted

    @property
    def sent_bytes(self) -> int:
        """Number of bytes sent on the open connections."""
        return sum(session.writer.sent_bytes for session in self._sessions.values())

    def broadcast_load(self) -> None:
        """Send the current load to all entries, such as when a drain starts."""
        for session in self._sessions.values():
            session.writer.send(self._heartbeat())

    async def Exchange(  # noqa: N802
        self, stream: "grpclib.server.Stream[pb.Batch, pb.Batch]"
    ) -> None:
        """Serve one connection of an entry until it closes."""
        first = await stream.recv_message()
        if first is None or not first.frames or not first.frames[0].HasField("hello"):
            return
        session = self._open(first.frames[0].hello)
        session.writer.send(
            frames.hello(
                self._identity.name, self._identity.incarnation, self._identity.data_centre
            )
        )
        session.writer.send(self._heartbeat())
        relay_peer_id = self._relay.join(session.writer.send)
        heartbeat_watch = self._watch_heartbeats(session)
        sender_task = asyncio.get_running_loop().create_task(session.writer.run(stream))
        sender_task.add_done_callback(_log_sender_end)
        try:
            self._handle_batch(session, first)
            async for batch in stream:
                session.last_received_at = clock.now()
                self._handle_batch(session, batch)
        finally:
            heartbeat_watch.cancel()
            self._relay.leave(relay_peer_id)
            self._close(session)
            sender_task.cancel()
            with contextlib.suppress(asyncio.CancelledError, *_SEND_ERRORS):
                await sender_task

    def _open(self, hello: pb.Hello) -> _Session:
        """Open a session; an earlier one of the same entry incarnation is closed."""
        entry_incarnation = hello.incarnation
        replaced = self._tasks.pop(entry_incarnation, None)
        if replaced is not None:
            replaced.cancel()
        writer = FrameWriter(hello.batch_us / _MICROSECONDS_PER_SECOND)
        session = _Session(entry_incarnation, hello.process, writer, clock.now())
        self._sessions[entry_incarnation] = session
        task = asyncio.current_task()
        if task is not None:
            self._tasks[entry_incarnation] = task
        self._attempt_manager.connection_made(entry_incarnation, writer)
        self._accepted += 1
        logging.info("entry %s connected", hello.process)
        return session

    def _close(self, session: _Session) -> None:
        self._attempt_manager.connection_lost(session.entry_incarnation, session.writer)
        if self._sessions.get(session.entry_incarnation) is session:
            del self._sessions[session.entry_incarnation]
            self._tasks.pop(session.entry_incarnation, None)
        logging.info("connection of entry %s ended", session.entry)

    def _handle_batch(self, session: _Session, batch: pb.Batch) -> None:
        for frame in batch.frames:
            if frame.attempt:
                self._attempt_manager.handle(session.entry_incarnation, frame)
            elif frame.HasField("heartbeat"):
                session.writer.send(self._heartbeat())
            else:
                self._relay.handle(frame, session.writer.send)

    def _watch_heartbeats(self, session: _Session) -> Subscription:
        """End a session whose entry stops sending heartbeats; the side only responds to them."""

        def check() -> None:
            unresponsive_s = clock.now() - session.last_received_at
            task = self._tasks.get(session.entry_incarnation)
            is_current = self._sessions.get(session.entry_incarnation) is session
            if unresponsive_s > self._settings.silence_s and is_current and task is not None:
                task.cancel()

        return self._timers.every(self._settings.heartbeat_s, check)

    def _heartbeat(self) -> pb.Frame:
        scheduler = self._attempt_manager.scheduler
        return pb.Frame(
            heartbeat=pb.Heartbeat(
                slots=scheduler.slots,
                running=scheduler.running,
                queued=scheduler.queued,
                draining=scheduler.draining,
            )
        )


def _log_sender_end(task: "asyncio.Task[None]") -> None:
    """Retrieve the sender's exception, which only means that the connection was lost."""
    if not task.cancelled() and task.exception() is not None:
        logging.debug("sender ended: %r", task.exception())
