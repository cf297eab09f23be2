"""Fakes of clocks, timers, connections and the endpoint client, and an attempt manager harness."""

import unittest
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast
from unittest import mock

from pearshed._internal.configuration.catalogue import Catalogue
from pearshed._internal.configuration.feed import FeedChange
from pearshed._internal.configuration.parser import encode_record
from pearshed._internal.configuration.store import RecordStore
from pearshed._internal.membership.vm_view import VMView
from pearshed._internal.models.outcomes import Execution
from pearshed._internal.models.requests import ForwardedCall
from pearshed._internal.peers import frames
from pearshed._internal.peers import peer_pb2 as pb
from pearshed._internal.peers.writer import FrameProducer, FrameWriter
from pearshed._internal.side.attempt_manager import AttemptManager
from pearshed._internal.side.endpoint_client import EndpointCall, EndpointClient, ResponseReceiver
from pearshed._internal.side.key_ownership import KeyOwnership
from pearshed._internal.side.keys import KeyTable
from pearshed._internal.side.order import TieredOrder
from pearshed._internal.timers.service import TimerService
from tests.lib.records import Document

START_S = 1_000_000.0
START_UNIX_MS = 1_700_000_000_000


class FakeClock:
    """Replaces both clocks for the duration of a test."""

    def __init__(self, test: unittest.TestCase) -> None:
        self.now = START_S
        module = "pearshed._internal.timers.clock"
        for name, read in (("now", lambda: self.now), ("unix_ms", self.unix_ms)):
            patcher = mock.patch(f"{module}.{name}", read)
            patcher.start()
            test.addCleanup(patcher.stop)

    def unix_ms(self) -> int:
        """Read the wall clock."""
        return START_UNIX_MS + round((self.now - START_S) * 1000)

    def advance(self, seconds: float) -> None:
        """Move both clocks forward."""
        self.now += seconds


class FakeTimers:
    """Collects subscribed callbacks, which the test calls by ``fire``."""

    def __init__(self) -> None:
        self.repeated: list[Callable[[], None]] = []

    def every(self, interval_s: float, callback: Callable[[], None], jitter: float = 0.1) -> Any:
        """Subscribe a callback."""
        del interval_s, jitter
        self.repeated.append(callback)
        return mock.Mock()

    def after(self, delay_s: float, callback: Callable[[], None]) -> Any:
        """Subscribe a callback unless it is subscribed; ``fire`` calls it before earlier ones."""
        del delay_s
        if callback not in self.repeated:
            self.repeated.insert(0, callback)
        return mock.Mock()

    def fire(self) -> None:
        """Call every callback once."""
        for callback in self.repeated:
            callback()


class FakeWriter:
    """Records frames as soon as they are offered."""

    def __init__(self) -> None:
        self.sent: list[pb.Frame] = []

    def send(self, frame: pb.Frame) -> None:
        """Record a frame."""
        self.sent.append(frame)

    def offer(self, producer: FrameProducer, urgent: bool = False) -> None:
        """Record the producer's frames."""
        del urgent
        self.sent.extend(producer.pop_frames())

    def withdraw(self, producer: FrameProducer) -> None:
        """Do nothing; no producer is pending."""

    def kinds(self, attempt: int) -> list[str]:
        """List the kinds of frames sent for an attempt."""
        return [str(f.WhichOneof("kind")) for f in self.sent if f.attempt == attempt]

    def last(self, attempt: int) -> pb.Frame:
        """Return the last frame sent for an attempt."""
        return [frame for frame in self.sent if frame.attempt == attempt][-1]

    def content(self, attempt: int) -> bytes:
        """Return the response body sent for an attempt."""
        return b"".join(f.delta.content for f in self.sent if f.attempt == attempt)


@dataclass
class StartedCall:
    """A call that an attempt manager has started."""

    call: ForwardedCall
    receiver: ResponseReceiver
    fresh: bool
    head_timeout_s: float
    cancelled: bool = False
    ended: bool = False

    def cancel(self) -> None:
        """Record the cancellation."""
        self.cancelled = True

    def respond(
        self,
        content: bytes = b"answer",
        complete: bool = True,
        status: int = 200,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Send a complete or an interrupted response."""
        self.ended = True
        self.receiver.set_head(status, headers, until_close=False)
        self.receiver.add(content)
        self.receiver.finish(Execution.RAN if complete else Execution.MAY_HAVE_RUN, complete, "")


@dataclass
class FakeClient:
    """Records the calls that an attempt manager starts."""

    started: list[StartedCall] = field(default_factory=list)

    def start(
        self, call: ForwardedCall, receiver: ResponseReceiver, fresh: bool, head_timeout_s: float
    ) -> EndpointCall:
        """Record a call."""
        self.started.append(StartedCall(call, receiver, fresh, head_timeout_s))
        return cast(EndpointCall, self.started[-1])


def change(revision: int, documents: list[Document], confirmed_ago_s: float = 0.0) -> FeedChange:
    """Create a feed change whose documents have its revision."""
    stamped = ({**document, "revision": revision} for document in documents)
    return FeedChange(revision, tuple(encode_record(item) for item in stamped), confirmed_ago_s)


def catalogue(documents: list[Document], revision: int = 1) -> Catalogue:
    """Create a catalogue from record documents."""
    store = RecordStore()
    store.apply(change(revision, documents))
    return store.catalogue


class AttemptManagerHarness:
    """An attempt manager whose collaborators are fakes.

    :ivar writers: the latest writer of each entry, by incarnation.
    """

    def __init__(self, documents: list[Document], endpoint: str = "engine-1") -> None:
        self.timers = FakeTimers()
        self.client = FakeClient()
        self.view = VMView()
        self.keys = KeyTable(retention_s=900.0, clock_skew_s=5.0)
        self.writers: dict[str, FakeWriter] = {}
        self.key_ownership = KeyOwnership(endpoint, self.view)
        self.manager = AttemptManager(
            endpoint,
            TieredOrder(),
            cast(TimerService, self.timers),
            cast(EndpointClient, self.client),
            self.keys,
            self.key_ownership,
            lease_s=0.5,
        )
        self.manager.update(catalogue(documents))

    def connect(self, entry_incarnation: str) -> FakeWriter:
        """Connect an entry, replacing its earlier connection."""
        writer = FakeWriter()
        self.writers[entry_incarnation] = writer
        self.manager.connection_made(entry_incarnation, cast(FrameWriter, writer))
        return writer

    def disconnect(self, entry_incarnation: str) -> None:
        """Disconnect an entry."""
        self.manager.connection_lost(
            entry_incarnation, cast(FrameWriter, self.writers[entry_incarnation])
        )

    def reserve(
        self, entry_incarnation: str, attempt: int, class_name: str = "chat", **fields: Any
    ) -> None:
        """Send a reservation."""
        values = {"idempotent": True, "deadline_ms": 10_000, "customer": "demo", **fields}
        frame = pb.Frame(attempt=attempt, reserve=pb.Reserve(class_name=class_name, **values))
        self.manager.handle(entry_incarnation, frame)

    def body(self, entry_incarnation: str, attempt: int) -> None:
        """Send a request body."""
        self.manager.handle(
            entry_incarnation, frames.body(attempt, ForwardedCall("POST", "/x", (), b"{}"))
        )

    def send(self, entry_incarnation: str, attempt: int, **kind: Any) -> None:
        """Send a frame of any other kind."""
        self.manager.handle(entry_incarnation, pb.Frame(attempt=attempt, **kind))
