"""A request's run at the endpoint, with the response received so far."""

import enum
from collections.abc import Iterable

from pearshed._internal.http.event_stream import ends_inside_event, is_event_stream
from pearshed._internal.models.outcomes import Execution
from pearshed._internal.peers import frames
from pearshed._internal.peers import peer_pb2 as pb
from pearshed._internal.peers.writer import FrameProducer, FrameWriter
from pearshed._internal.timers import clock

MAX_DELTA_BYTES = 256 * 1024


class RunState(enum.Enum):
    """State of a run."""

    RUNNING = "running"
    FINISHED = "finished"


class Run(FrameProducer):
    """Buffers the complete response until the entry acknowledges it.

    This allows the response to be resumed from any byte on a new connection, and to be replayed
    for a retry with the same idempotency key.

    :param attempt: the entry's number of the attempt that receives the response.
    """

    def __init__(self, attempt: int, idempotent: bool) -> None:
        self._attempt = attempt
        self._idempotent = idempotent
        self._state = RunState.RUNNING
        self._status = 0
        self._headers: tuple[tuple[str, str], ...] = ()
        self._until_close = False
        self._content = bytearray()
        self._execution = Execution.NOT_RUN
        self._complete = False
        self._detail = ""
        self._writer: FrameWriter | None = None
        self._head_sent = False
        self._sent_bytes = 0
        self._end_sent = False
        self._replayed = False
        self._cancelled = False
        self._started_at = clock.now()
        self._detached_at = 0.0

    @property
    def attempt(self) -> int:
        """The entry's number of the attempt."""
        return self._attempt

    @property
    def idempotent(self) -> bool:
        """Whether the request may be run more than once."""
        return self._idempotent

    @property
    def finished(self) -> bool:
        """Whether the endpoint has finished the request."""
        return self._state is RunState.FINISHED

    @property
    def complete(self) -> bool:
        """Whether the response is complete."""
        return self._complete

    @property
    def execution(self) -> Execution:
        """Whether the request was executed, as far as known once finished."""
        return self._execution

    @property
    def length(self) -> int:
        """Number of response bytes received."""
        return len(self._content)

    @property
    def sent_bytes(self) -> int:
        """Bytes of the response that the entry has, or that were passed to its connection."""
        return self._sent_bytes

    @property
    def running_s(self) -> float:
        """Time since the run started, seconds."""
        return clock.now() - self._started_at

    @property
    def detached_s(self) -> float:
        """Time since the run lost its connection, seconds; 0 while attached."""
        return clock.now() - self._detached_at if self._writer is None else 0.0

    @property
    def cancelled(self) -> bool:
        """Whether the response is no longer needed."""
        return self._cancelled

    def attach(self, writer: FrameWriter, offset: int = 0, head_sent: bool = False) -> None:
        """Send the response on a connection, starting at a byte offset."""
        self.detach()
        self._writer = writer
        self._sent_bytes = offset
        self._head_sent = head_sent
        self._end_sent = False
        writer.offer(self)

    def detach(self) -> None:
        """Stop sending; the response is retained."""
        if self._writer is not None:
            self._writer.withdraw(self)
        self._writer = None
        self._detached_at = clock.now()

    def cancel(self) -> None:
        """Mark the response as no longer needed."""
        self._cancelled = True

    def set_head(
        self, status: int, headers: tuple[tuple[str, str], ...], until_close: bool
    ) -> None:
        """Store the status, the headers and the framing of the response."""
        self._status = status
        self._headers = headers
        self._until_close = until_close
        self._offer()

    def add(self, content: bytes) -> None:
        """Append bytes of the response body."""
        self._content += content
        self._offer()

    def finish(self, execution: Execution, complete: bool, detail: str = "") -> None:
        """Store the outcome; the response has ended."""
        if complete and self._is_event_stream() and ends_inside_event(self._content):
            complete, detail = False, "the stream ended inside an event"
        self._state = RunState.FINISHED
        self._execution = execution
        self._complete = complete
        self._detail = detail
        self._offer()

    def replay(self, attempt: int) -> "Run":
        """Create a finished run with the same response for another attempt."""
        copy = Run(attempt, self._idempotent)
        copy._status = self._status
        copy._headers = self._headers
        copy._until_close = self._until_close
        copy._content = self._content
        copy._replayed = True
        copy.finish(self._execution, self._complete, self._detail)
        return copy

    def pop_frames(self) -> Iterable[pb.Frame]:
        """Create the frames that have not been sent on this connection."""
        if self._status and not self._head_sent:
            self._head_sent = True
            head = pb.Head(
                status=self._status,
                headers=frames.headers_to_wire(self._headers),
                replayed=self._replayed,
                until_close=self._until_close,
            )
            yield pb.Frame(attempt=self._attempt, head=head)
        while self._sent_bytes < len(self._content):
            chunk = bytes(self._content[self._sent_bytes : self._sent_bytes + MAX_DELTA_BYTES])
            yield pb.Frame(
                attempt=self._attempt, delta=pb.Delta(offset=self._sent_bytes, content=chunk)
            )
            self._sent_bytes += len(chunk)
        if self.finished and not self._end_sent:
            self._end_sent = True
            yield self._end_frame()

    def _end_frame(self) -> pb.Frame:
        return pb.Frame(
            attempt=self._attempt,
            end=pb.End(
                execution=frames.execution_to_wire(self._execution),
                complete=self._complete,
                length=len(self._content),
                detail=self._detail,
            ),
        )

    def _is_event_stream(self) -> bool:
        return any(
            name.lower() == "content-type" and is_event_stream(value)
            for name, value in self._headers
        )

    def _offer(self) -> None:
        if self._writer is not None:
            self._writer.offer(self, urgent=not self._sent_bytes)
