"""One attempt at a request: one endpoint, one connection, one answer."""

import asyncio
from collections.abc import Callable

from pearshed._internal.gateway.event_stream import EventBuffer
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
from pearshed._internal.http.messages import ResponseHead
from pearshed._internal.timers import clock

_SUCCESS = range(200, 300)
_SERVER_ERRORS = range(500, 600)
#: Time by which the endpoint's deadline lies behind ours, so that its own answer comes first.
_ENDPOINT_MARGIN_MS = 20
_MISDIRECTED = 421


class Attempt:
    """Sends a request to an endpoint and passes its answer on.

    :param patience_s: longest time to wait for the start of the answer, seconds.
    :param on_read: called when the endpoint has read the request's prompt.
    """

    def __init__(
        self,
        call: RoutedCall,
        decision: PlacementDecision,
        codec: HeaderCodec,
        writer: ResponseWriter,
        patience_s: float,
        on_read: Callable[[], None],
        metrics: RequestMetrics,
    ) -> None:
        self._metrics = metrics
        self._call = call
        self._endpoint = decision.endpoint
        self._fetch_from = decision.fetch_from
        self._on_read = on_read
        self._codec = codec
        self._writer = writer
        self._patience_s = patience_s
        self._whole = False
        self._run = 0
        self._first_ms = 0
        self._longest_gap_ms = 0

    @property
    def first_ms(self) -> int:
        """Time from the caller's request to the first part of the answer; 0 before it."""
        return self._first_ms

    @property
    def longest_gap_ms(self) -> int:
        """Longest pause between parts of a stream, milliseconds."""
        return self._longest_gap_ms

    async def run(self) -> AttemptOutcome:
        """Make the attempt.

        A cancelled attempt resets its connection, so the endpoint stops working on it.
        """
        try:
            connection = await self._endpoint.acquire(self._call.route.retryable)
        except (OSError, TimeoutError) as error:
            self._endpoint.record_unreachable()
            return NotExecuted(f"can't connect: {error or 'timed out'}", arrived=False)
        try:
            return await self._exchange(connection)
        finally:
            self._endpoint.finish_request(self._run)
            self._endpoint.release(connection, self._whole)

    async def _exchange(self, connection: EndpointConnection) -> AttemptOutcome:
        remaining_s = self._call.remaining_s
        if remaining_s <= 0:
            self._whole = True
            return OutOfTime(sent=False)
        rested_s = clock.now() - connection.idle_since
        self._run = self._endpoint.start_request(self._call.metadata.prompt_tokens)
        connection.send(self._encode(remaining_s), self._matches_response)
        if not self._call.route.retryable and not self._call.route.streaming:
            self._writer.detach()
        try:
            async with asyncio.timeout(min(remaining_s, self._patience_s)):
                first = await connection.next_event()
        except TimeoutError:
            return self._timed_out(remaining_s)
        if isinstance(first, ResponseEnd):
            self._endpoint.record_failure()
            if connection.has_served and first.kind is EndKind.TRUNCATED:
                self._endpoint.record_idle_drop(rested_s)
            return Failed(first.reason)
        assert isinstance(first, ResponseHead)
        metadata = self._codec.decode_response(first)
        self._endpoint.record_data(metadata.load)
        try:
            async with asyncio.timeout(max(0.0, self._call.remaining_s)):
                return await self._take_answer(connection, first, metadata)
        except TimeoutError:
            if self._writer.begun:
                return Interrupted("the request's time ran out")
            return OutOfTime(sent=True)

    def _timed_out(self, remaining_s: float) -> AttemptOutcome:
        if remaining_s <= self._patience_s:
            return OutOfTime(sent=True)
        self._endpoint.record_failure()
        return Failed(f"no answer within {self._patience_s:.2f} s")

    async def _take_answer(
        self, connection: EndpointConnection, head: ResponseHead, metadata: ResponseMetadata
    ) -> AttemptOutcome:
        if metadata.not_executed:
            await self._collect(connection)
            return NotExecuted(
                f"the endpoint answered {head.status}", True, head.status == _MISDIRECTED
            )
        if head.status in _SUCCESS:
            problem = _success_problem(head, metadata)
            if problem:
                self._endpoint.record_failure()
                return Failed(problem)
            if self._call.route.streaming:
                return await self._pass_stream_on(connection, head)
        return await self._pass_whole_on(connection, head)

    async def _pass_whole_on(
        self, connection: EndpointConnection, head: ResponseHead
    ) -> AttemptOutcome:
        body, end = await self._collect(connection)
        if end.kind is not EndKind.COMPLETE:
            self._endpoint.record_failure()
            return Failed(f"the answer broke off: {end.reason}")
        if head.status in _SERVER_ERRORS:
            self._endpoint.record_failure()
            return Failed(f"the endpoint answered {head.status}", head, body)
        self._endpoint.record_success()
        self._metrics.note_first_part(self._call)
        self._writer.write_whole(head.status, head.reason, messages.end_to_end(head.headers), body)
        return Answered(head.status)

    async def _collect(self, connection: EndpointConnection) -> tuple[bytes, ResponseEnd]:
        pieces: list[bytes] = []
        while True:
            event = await connection.next_event()
            if isinstance(event, ResponseEnd):
                self._whole = event.kind is EndKind.COMPLETE
                return b"".join(pieces), event
            if isinstance(event, bytes):
                pieces.append(event)

    async def _pass_stream_on(
        self, connection: EndpointConnection, head: ResponseHead
    ) -> AttemptOutcome:
        buffer = EventBuffer()
        prefilled = False
        heard = clock.now()
        while True:
            piece = await connection.next_event()
            if isinstance(piece, ResponseEnd):
                return self._end_stream(head, buffer, piece)
            if not isinstance(piece, bytes):
                continue
            self._endpoint.record_data()
            moment = clock.now()
            self._note_part(moment, heard)
            heard = moment
            for event in buffer.feed(piece):
                if not prefilled:
                    prefilled = True
                    self._endpoint.mark_prefilled(self._run)
                    self._on_read()
                if not self._writer.begun:
                    self._writer.begin_stream(head)
                    self._metrics.note_first_part(self._call)
                if not self._is_repeated(event.event_id):
                    await self._writer.write_event(event)

    def _note_part(self, moment: float, heard: float) -> None:
        """Note a part of a stream and the pause before it."""
        self._metrics.note_gap(moment - heard)
        if self._first_ms:
            gap_ms = round((moment - heard) * clock.MILLISECONDS_PER_SECOND)
            self._longest_gap_ms = max(self._longest_gap_ms, gap_ms)
        else:
            first_s = moment - self._call.request.received
            self._first_ms = max(1, round(first_s * clock.MILLISECONDS_PER_SECOND))

    def _end_stream(
        self, head: ResponseHead, buffer: EventBuffer, end: ResponseEnd
    ) -> AttemptOutcome:
        if end.kind is EndKind.COMPLETE:
            self._whole = True
            if not self._writer.begun:
                self._writer.begin_stream(head)
            self._writer.end_stream(buffer.rest)
            self._endpoint.record_success()
            return Answered(head.status)
        self._endpoint.record_failure()
        if self._writer.begun:
            return Interrupted(end.reason)
        return Failed(f"the stream broke off: {end.reason}")

    def _is_repeated(self, event_id: str | None) -> bool:
        """Tell whether an event of a resumed stream has reached the caller before."""
        last = self._writer.last_event_id
        if event_id is None or not last:
            return False
        return event_id.isdigit() and last.isdigit() and int(event_id) <= int(last)

    def _encode(self, remaining_s: float) -> bytes:
        call = self._call
        remaining_ms = int(remaining_s * clock.MILLISECONDS_PER_SECOND) + _ENDPOINT_MARGIN_MS
        metadata = ForwardingMetadata(
            self._endpoint.entry,
            remaining_ms,
            call.customer,
            call.rank if call.route.has_prompt else None,
            self._writer.last_event_id or call.metadata.last_event_id,
            self._fetch_from.entry.address if self._fetch_from is not None else None,
        )
        headers = [*call.metadata.forwarded_headers, *self._codec.encode_forwarding(metadata)]
        body = call.request.body
        if body or call.request.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"content-length", b"%d" % len(body)))
        start = call.request.method + b" " + call.request.target + b" HTTP/1.1"
        return messages.encode_head(start, headers) + body

    def _matches_response(self, head: ResponseHead) -> bool:
        return self._codec.decode_response(head).request_id == self._call.request_id


def _success_problem(head: ResponseHead, metadata: ResponseMetadata) -> str:
    """Find why a success can't be the endpoint's own answer."""
    if not metadata.signed:
        return "the answer is not signed by the endpoint"
    if messages.header_value(head.headers, b"content-encoding") is not None:
        return "the answer's body is encoded by something between"
    return ""
