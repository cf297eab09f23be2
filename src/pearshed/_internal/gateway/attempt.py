"""One attempt at a request: one endpoint, one connection, one response."""

import asyncio
from collections.abc import Callable

from absl import logging

from pearshed._internal.gateway.forwarding.run_check import is_listed_run
from pearshed._internal.gateway.header_codec import (
    ForwardingMetadata,
    HeaderCodec,
    ResponseMetadata,
)
from pearshed._internal.gateway.placement import PlacementDecision
from pearshed._internal.gateway.request_metrics import RequestMetrics
from pearshed._internal.gateway.response_writer import ResponseWriter
from pearshed._internal.gateway.routed_call import (
    Answered,
    AttemptOutcome,
    Failed,
    Interrupted,
    NotExecuted,
    OutOfTime,
    RoutedCall,
)
from pearshed._internal.http import messages
from pearshed._internal.http.endpoint_connection import EndKind, EndpointConnection, ResponseEnd
from pearshed._internal.http.event_stream import EventBuffer, is_event_stream
from pearshed._internal.http.messages import BodyFraming, ResponseHead
from pearshed._internal.http.segments import SEGMENT_BYTES, SegmentedBytes, segments_of
from pearshed._internal.timers import clock

_SUCCESS = range(200, 300)
_SERVER_ERRORS = range(500, 600)
#: Added to the deadline that is sent to the endpoint, so that the gateway times out first.
_ENDPOINT_DEADLINE_MARGIN_MS = 20
#: Larger responses that aren't streams are refused, bytes; they are held in memory.
MAX_BUFFERED_RESPONSE_BYTES = 16 * 1024 * 1024
_MISDIRECTED = 421
#: Callers take these for the promise that the request was not run.
_NOT_RUN_STATUSES = frozenset((408, 429, 503))
#: A request that has generated events for this long is not what crashes its engine, seconds.
_SUSPECT_RUN_S = 1.0
_POSSIBLY_COMPLETE = (EndKind.COMPLETE, EndKind.CLOSED)


class Attempt:
    """Sends a request to an endpoint and relays its response to the caller.

    :param timeout_s: longest time to wait for the response head, seconds.
    :param confirms_run: ask the endpoint first whether it is the run that its entry describes.
    :param withheld_reason: returns why the request must not be sent now; empty if it may.
    :param on_sent: called right before the request is sent; it isn't sent if this returns false.
    :param on_response: called with the response's metadata, unless another endpoint responded.
    :param on_prefilled: called when the endpoint has prefilled the request's prompt.
    """

    def __init__(
        self,
        call: RoutedCall,
        decision: PlacementDecision,
        codec: HeaderCodec,
        writer: ResponseWriter,
        timeout_s: float,
        confirms_run: bool,
        withheld_reason: Callable[[], str],
        on_sent: Callable[[], bool],
        on_response: Callable[[ResponseMetadata], None],
        on_prefilled: Callable[[], None],
        metrics: RequestMetrics,
    ) -> None:
        self._metrics = metrics
        self._call = call
        self._endpoint = decision.endpoint
        self._fetch_from = decision.fetch_from
        self._withheld_reason = withheld_reason
        self._on_sent = on_sent
        self._on_response = on_response
        self._on_prefilled = on_prefilled
        self._codec = codec
        self._writer = writer
        self._timeout_s = timeout_s
        self._confirms_run = confirms_run
        self._connection_reused = False
        self._complete = False
        self._request_handle = 0
        self._first_ms = 0
        self._longest_gap_ms = 0
        self._framing: BodyFraming | None = None
        self._body_bytes = 0
        self._unfinished_event_bytes = 0
        self._sent_at = 0.0
        self._first_event_at: float | None = None
        self._cut_off = False
        self._asked_pause = False

    @property
    def sent_at(self) -> float:
        """Clock reading when the request was sent, seconds."""
        return self._sent_at

    @property
    def generating_s(self) -> float:
        """Time since the first event of the response, seconds; 0 before it."""
        return clock.now() - self._first_event_at if self._first_event_at is not None else 0.0

    @property
    def may_have_crashed_engine(self) -> bool:
        """Whether the connection ended before the response, soon after its first event."""
        return self._cut_off and self.generating_s < _SUSPECT_RUN_S

    @property
    def complete(self) -> bool:
        """Whether the response was received to an end that its framing proves."""
        return self._complete and self._framing is not None

    @property
    def framing(self) -> BodyFraming | None:
        """What marks the end of the endpoint's response; ``None`` without a response."""
        return self._framing

    @property
    def body_bytes(self) -> int:
        """Bytes of the endpoint's response body received."""
        return self._body_bytes

    @property
    def unfinished_event_bytes(self) -> int:
        """Bytes after the last complete event when the stream ended."""
        return self._unfinished_event_bytes

    @property
    def first_ms(self) -> int:
        """Time from the caller's request to the first chunk of a stream, milliseconds; 0 before."""
        return self._first_ms

    @property
    def longest_gap_ms(self) -> int:
        """Longest gap between chunks of a stream, milliseconds."""
        return self._longest_gap_ms

    async def run(self) -> AttemptOutcome:
        """Make the attempt.

        Cancelling it resets the connection, so that the endpoint stops working on the request.
        """
        try:
            connection = await self._endpoint.acquire(self._call.route.retryable)
        except (OSError, TimeoutError) as error:
            self._endpoint.record_unreachable()
            return NotExecuted(f"can't connect: {error or 'timed out'}", arrived=False)
        self._connection_reused = connection.has_served
        try:
            reason = self._withheld_reason()
            if reason:
                return NotExecuted(reason, arrived=False, withheld=True)
            if self._confirms_run and not await is_listed_run(
                connection, self._codec, self._endpoint.entry
            ):
                return NotExecuted("the endpoint has not confirmed its run", arrived=False)
            return await self._exchange(connection)
        finally:
            self._endpoint.finish_request(self._request_handle)
            self._endpoint.release(connection, self._complete)

    async def _exchange(self, connection: EndpointConnection) -> AttemptOutcome:
        remaining_s = self._call.remaining_s
        if remaining_s <= 0:
            self._complete = True
            return OutOfTime(sent=False)
        # The endpoint may have been evacuated while it was asked for its run.
        reason = self._withheld_reason()
        if reason:
            self._complete = True
            return NotExecuted(reason, arrived=False, withheld=True)
        if not self._on_sent():
            self._complete = True
            return NotExecuted("the place at the engine has lapsed", arrived=False)
        self._sent_at = clock.now()
        idle_s = self._sent_at - connection.idle_since
        self._request_handle = self._endpoint.start_request(self._call.metadata.prompt_tokens)
        body = self._call.request.body
        is_small = len(body) <= SEGMENT_BYTES
        connection.send(
            self._encode(remaining_s) + (bytes(body) if is_small else b""),
            self._matches_response,
            expects_body=not self._call.request.head_only,
            body=() if is_small else segments_of(body),
        )
        if not self._call.route.retryable and not self._call.route.streaming:
            self._writer.ignore_disconnect()
        try:
            async with asyncio.timeout(min(remaining_s, self._timeout_s)):
                first_event = await connection.next_event()
        except TimeoutError:
            return self._timeout_outcome(remaining_s)
        if isinstance(first_event, ResponseEnd):
            self._endpoint.record_failure()
            self._cut_off = first_event.kind is EndKind.TRUNCATED
            if self._connection_reused and first_event.kind is EndKind.TRUNCATED:
                self._endpoint.record_idle_drop(idle_s)
            return Failed(first_event.reason)
        assert isinstance(first_event, ResponseHead)
        self._framing = first_event.framing
        metadata = self._codec.decode_response(first_event)
        self._endpoint.record_data(metadata.load)
        if first_event.status != _MISDIRECTED:
            # A misdirected request was answered by another endpoint.
            self._on_response(metadata)
            if metadata.leaving:
                self._endpoint.mark_leaving()
            if metadata.pause is not None:
                self._asked_pause = True
                self._endpoint.record_pause(metadata.pause)
        try:
            async with asyncio.timeout(max(0.0, self._call.remaining_s)):
                return await self._relay_response(connection, first_event, metadata)
        except TimeoutError:
            if self._writer.started:
                return Interrupted("the request's time ran out")
            return OutOfTime(sent=True)

    def _timeout_outcome(self, remaining_s: float) -> AttemptOutcome:
        if remaining_s <= self._timeout_s:
            self._endpoint.record_out_of_time()
            return OutOfTime(sent=True)
        self._endpoint.record_failure()
        return Failed(f"no answer within {self._timeout_s:.2f} s")

    async def _relay_response(
        self, connection: EndpointConnection, head: ResponseHead, metadata: ResponseMetadata
    ) -> AttemptOutcome:
        if metadata.not_executed:
            await self._read_body(connection)
            return NotExecuted(
                f"the endpoint answered {head.status}", True, head.status == _MISDIRECTED
            )
        if head.status in _SUCCESS:
            problem = _response_problem(head, metadata)
            if problem:
                self._endpoint.record_failure()
                return Failed(problem)
            if self._call.route.streaming and self._may_be_event_stream(head):
                return await self._relay_stream(connection, head)
        if self._writer.started:
            return await self._drop_response(connection, head)
        return await self._relay_buffered(connection, head, metadata.signed)

    async def _drop_response(
        self, connection: EndpointConnection, head: ResponseHead
    ) -> AttemptOutcome:
        """Read a response that is no part of the stream that the caller has begun to receive."""
        await self._read_body(connection)
        if head.status in _SERVER_ERRORS and not self._asked_pause:
            self._endpoint.record_failure()
        return Failed(f"the endpoint answered {head.status} to the rest of a stream")

    async def _relay_buffered(
        self, connection: EndpointConnection, head: ResponseHead, signed: bool
    ) -> AttemptOutcome:
        body, end = await self._read_body(connection)
        if end.kind not in _POSSIBLY_COMPLETE:
            self._cut_off = end.kind is EndKind.TRUNCATED
            self._endpoint.record_failure()
            return Failed(f"the answer broke off: {end.reason}")
        if head.status in _NOT_RUN_STATUSES:
            if not self._asked_pause:
                self._endpoint.record_failure()
            return Failed(f"the endpoint answered {head.status} and may have run the request")
        if head.status in _SERVER_ERRORS:
            self._endpoint.record_failure()
            return Failed(f"the endpoint answered {head.status}", head, body)
        if signed:
            # What another server at the address answers shows nothing of the endpoint.
            self._endpoint.record_success()
        self._metrics.record_response_start(self._call)
        self._writer.relay_response(head, body)
        return Answered(head.status)

    async def _read_body(
        self, connection: EndpointConnection
    ) -> tuple[SegmentedBytes, ResponseEnd]:
        body = SegmentedBytes()
        while True:
            event = await connection.next_event()
            if isinstance(event, ResponseEnd):
                self._complete = event.kind is EndKind.COMPLETE
                return body, event
            if isinstance(event, bytes):
                self._body_bytes += len(event)
                body.append(event)
            reason = ""
            if self._body_bytes > MAX_BUFFERED_RESPONSE_BYTES:
                reason = f"a body of over {self._body_bytes} bytes"
            elif len(body) > SEGMENT_BYTES and not self._writer.hold(body.held_bytes):
                reason = f"no room for more than {self._body_bytes} bytes of a body"
            if reason:
                self._writer.hold(0)
                return SegmentedBytes(), self._refuse_unbounded(reason)

    def _refuse_unbounded(self, reason: str) -> ResponseEnd:
        """Log a response that has grown too large; its connection is reset after the attempt."""
        logging.warning(
            "response.unbounded",
            extra={
                "fields": {
                    "request": self._call.request_id,
                    "endpoint": self._endpoint.entry.identity,
                    "reason": reason,
                }
            },
        )
        return ResponseEnd(EndKind.MALFORMED, reason)

    async def _relay_stream(
        self, connection: EndpointConnection, head: ResponseHead
    ) -> AttemptOutcome:
        buffer = EventBuffer()
        prefilled = False
        last_received_at = clock.now()
        while True:
            chunk = await connection.next_event()
            if isinstance(chunk, ResponseEnd):
                self._unfinished_event_bytes = buffer.unfinished_event_bytes
                return self._end_stream(head, buffer, chunk)
            if not isinstance(chunk, bytes):
                continue
            self._body_bytes += len(chunk)
            self._endpoint.record_data()
            now = clock.now()
            self._record_chunk(now, last_received_at)
            last_received_at = now
            for event in buffer.feed(chunk):
                if not prefilled:
                    prefilled = True
                    self._first_event_at = now
                    self._endpoint.mark_prefilled(self._request_handle)
                    self._on_prefilled()
                if not self._writer.started:
                    self._writer.begin_stream(head)
                    self._metrics.record_response_start(self._call)
                if not self._is_duplicate(event.event_id):
                    await self._writer.write_event(event)
            if buffer.too_large:
                reason = f"an event of over {buffer.unfinished_event_bytes} bytes"
                return self._end_stream(head, buffer, self._refuse_unbounded(reason))

    def _record_chunk(self, now: float, last_received_at: float) -> None:
        """Record a chunk of a stream and the gap before it."""
        self._metrics.record_gap(now - last_received_at)
        if self._first_ms:
            gap_ms = round((now - last_received_at) * clock.MILLISECONDS_PER_SECOND)
            self._longest_gap_ms = max(self._longest_gap_ms, gap_ms)
        else:
            elapsed_s = now - self._call.request.received_at
            self._first_ms = max(1, round(elapsed_s * clock.MILLISECONDS_PER_SECOND))

    def _end_stream(
        self, head: ResponseHead, buffer: EventBuffer, end: ResponseEnd
    ) -> AttemptOutcome:
        self._complete = end.kind is EndKind.COMPLETE
        problem = self._stream_problem(buffer, end)
        if not problem:
            if not self._writer.started:
                self._writer.begin_stream(head)
            self._writer.end_stream(buffer.remainder)
            self._endpoint.record_success()
            return Answered(head.status)
        self._cut_off = end.kind in (EndKind.TRUNCATED, EndKind.CLOSED)
        self._endpoint.record_failure()
        if self._writer.started:
            return Interrupted(problem)
        return Failed(f"the stream broke off: {problem}")

    def _stream_problem(self, buffer: EventBuffer, end: ResponseEnd) -> str:
        """Return why the stream must not be ended as complete; empty if it may."""
        if end.kind not in _POSSIBLY_COMPLETE:
            return end.reason
        if buffer.unfinished_event_bytes:
            return "the stream ended inside an event"
        if end.kind is EndKind.CLOSED and self._writer.frames_body:
            return "the resumed stream ended with its connection"
        return ""

    def _is_duplicate(self, event_id: str | None) -> bool:
        """Return whether the caller already has this event of a resumed stream."""
        last_event_id = self._writer.last_event_id
        if event_id is None or not last_event_id:
            return False
        return (
            event_id.isdigit() and last_event_id.isdigit() and int(event_id) <= int(last_event_id)
        )

    def _may_be_event_stream(self, head: ResponseHead) -> bool:
        if self._call.request.head_only or head.framing is BodyFraming.NO_BODY:
            return False
        content_type = messages.header_value(head.headers, b"content-type")
        return content_type is None or is_event_stream(content_type.decode("latin-1"))

    def _encode(self, remaining_s: float) -> bytes:
        call = self._call
        remaining_ms = (
            int(remaining_s * clock.MILLISECONDS_PER_SECOND) + _ENDPOINT_DEADLINE_MARGIN_MS
        )
        fetch_from = self._fetch_from
        if fetch_from is not None and fetch_from.evacuated:
            fetch_from = None
        metadata = ForwardingMetadata(
            self._endpoint.entry,
            remaining_ms,
            call.customer,
            call.rank if call.route.has_prompt else None,
            self._writer.last_event_id or call.metadata.last_event_id,
            fetch_from.entry.address if fetch_from is not None else None,
        )
        headers = [*call.metadata.forwarded_headers, *self._codec.encode_forwarding(metadata)]
        body = call.request.body
        if body or call.request.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"content-length", b"%d" % len(body)))
        start = call.request.method + b" " + call.request.target + b" HTTP/1.1"
        return messages.encode_head(start, headers)

    def _matches_response(self, head: ResponseHead) -> bool:
        return self._codec.decode_response(head).request_id == self._call.request_id


def _response_problem(head: ResponseHead, metadata: ResponseMetadata) -> str:
    """Return why a successful response can't come from the endpoint itself; empty if it can."""
    if not metadata.signed:
        return "the answer is not signed by the endpoint"
    if messages.header_value(head.headers, b"content-encoding") is not None:
        return "the answer's body is encoded by something between"
    return ""
