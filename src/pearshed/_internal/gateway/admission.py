"""Asks the sides of engines to admit requests before these are sent."""

import abc
import asyncio
import dataclasses
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import cast

from absl import logging
from returns.pipeline import is_successful

from pearshed._internal.decisions.engine_load import Quote
from pearshed._internal.decisions.useful_time import CallerNeeds
from pearshed._internal.engine_side import messages
from pearshed._internal.engine_side.messages import (
    AdmissionGranted,
    AdmissionQueued,
    AdmissionRefused,
    AdmissionRequest,
    CrashReport,
    FleetTraffic,
    LimitReport,
    Message,
    OriginReport,
    OriginRequest,
    OriginResponse,
    PlaceReleased,
    PlaceRequest,
    PromptPrefilled,
    RequestFinished,
    ReturnReport,
    TrafficReport,
)
from pearshed._internal.engine_side.stream_origins import OriginTable
from pearshed._internal.engine_side.traffic_table import RouteTraffic
from pearshed._internal.gateway.endpoints import Endpoint
from pearshed._internal.gateway.exchange.messages import is_exchange_datagram
from pearshed._internal.gateway.header_codec import EndpointLoadReport
from pearshed._internal.gateway.lane_allocator import stable_order
from pearshed._internal.gateway.routed_call import RoutedCall
from pearshed._internal.gateway.stream_versions import OriginAnswers, OriginClient
from pearshed._internal.models.stream_origin import StreamOrigin
from pearshed._internal.timers import clock

#: A side responds within a few milliseconds; a lost datagram is sent again after this.
RESEND_AFTER_S = 0.06
#: Requests without a response after which a side counts as unresponsive.
MAX_UNANSWERED = 3
#: Time for which an unresponsive side is skipped; requests then go straight to its engine.
SIDE_SKIP_S = 1.5
#: Interval at which a queued reservation is renewed, so that its side knows it is still needed.
RENEWAL_INTERVAL_S = 0.2
#: Sides that merge the traffic of all gateways: one more than may be lost at once.
TRAFFIC_SIDES = 2
#: Times that those who may remember the origin of a stream are asked.
ORIGIN_TRIES = 3
#: Time beyond its budget after which a reservation without a response is given up.
_RESPONSE_GRACE_S = 0.3


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may be sent now.

    :ivar reservation: id for reporting the request's end; empty if no side granted it.
    :ivar started_at_ms: Unix time of the engine's start, milliseconds; 0 if not known.
    :ivar waited_s: time for which a request for a place at a cold engine waited at the side,
        seconds.
    """

    reservation: str
    started_at_ms: int = 0
    waited_s: float = 0.0


@dataclass(frozen=True, slots=True)
class NotAdmitted:
    """The engine can't start the request in time; nothing was sent.

    :ivar wait_s: time after which it likely could, seconds.
    :ivar engine_silent: the engine is silent; another one may take the request.
    :ivar quote: of the engine's side for the request; ``None`` if it gave none.
    """

    wait_s: float
    engine_silent: bool = False
    quote: Quote | None = None


Admission = Admitted | NotAdmitted


def _ignore_queued(queued: AdmissionQueued) -> None:
    """Do nothing with the state of a place in a queue."""


_Decision = AdmissionGranted | AdmissionRefused


class AdmissionClient(abc.ABC):
    """Requests admission before a request is sent to an engine."""

    @abc.abstractmethod
    async def admit(
        self,
        call: RoutedCall,
        endpoint: Endpoint,
        attempt: int,
        budget_s: float,
        has_alternative: bool,
        needs: CallerNeeds | None = None,
        on_queued: Callable[[Quote | None], None] | None = None,
    ) -> Admission:
        """Request admission.

        :param attempt: number of the attempt at the request.
        :param budget_s: longest time to wait for admission, seconds.
        :param has_alternative: another engine may take the request while this one is silent.
        :param needs: what the caller needs, if callers compete for the service.
        :param on_queued: called with the side's quote whenever it says that the request waits.
        """

    @abc.abstractmethod
    def notify_prefilled(self, admitted: Admitted, endpoint: Endpoint) -> None:
        """Report that the engine has prefilled the prompt."""

    @abc.abstractmethod
    def notify_finished(
        self, admitted: Admitted, endpoint: Endpoint, longest_gap_ms: int = 0
    ) -> None:
        """Report that the request has ended.

        :param longest_gap_ms: longest gap between its events, milliseconds.
        """


class SideAdmissionClient(AdmissionClient, OriginClient, asyncio.DatagramProtocol):
    """Requests admission by datagrams. If a side is unresponsive, requests are sent without it.

    :param port: UDP port of the sides, the same on all VMs.
    :param on_fleet_traffic: called with a side's host and its report of all gateways' traffic.
    :param on_records: called with a side's host and its report of crashes, limits or refused
        requests.
    """

    def __init__(
        self,
        port: int,
        on_fleet_traffic: Callable[[str, FleetTraffic], None],
        on_records: Callable[[str, CrashReport | LimitReport | ReturnReport], None],
    ) -> None:
        self._on_exchange: Callable[[bytes, str], None] | None = None
        self._port = port
        self._on_fleet_traffic = on_fleet_traffic
        self._on_records = on_records
        self._transport: asyncio.DatagramTransport | None = None
        self._responses: dict[str, asyncio.Queue[Message]] = {}
        self._skipped_until: dict[str, float] = {}
        self._origins: OriginTable | None = None

    def respond_from(self, origins: OriginTable) -> None:
        """Let other gateways record and find the origins of streams in a table."""
        self._origins = origins

    def on_exchange(self, callback: Callable[[bytes, str], None]) -> None:
        """Call ``callback`` with each datagram of the gateways' exchange, and its sender's host."""
        self._on_exchange = callback

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for requests."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Dispatch the message of a side or another gateway."""
        if self._on_exchange is not None and is_exchange_datagram(data):
            self._on_exchange(data, addr[0])
            return
        decoded = messages.decode(data)
        if not is_successful(decoded):
            logging.info("datagram.malformed", extra={"fields": {"reason": decoded.failure()}})
            return
        message = decoded.unwrap()
        self._skipped_until.pop(addr[0], None)
        if isinstance(message, FleetTraffic):
            self._on_fleet_traffic(addr[0], message)
            return
        if isinstance(message, CrashReport | LimitReport | ReturnReport):
            self._on_records(addr[0], message)
            return
        if isinstance(message, OriginReport | OriginRequest):
            self._handle_origin_message(message, addr[0])
            return
        if isinstance(message, OriginResponse):
            message = dataclasses.replace(message, host=addr[0])
        responses = self._responses.get(message.reservation)
        if responses is not None:
            responses.put_nowait(message)
        elif isinstance(message, AdmissionGranted):
            # This gateway no longer needs the reservation.
            self.send(RequestFinished(message.reservation), addr[0])

    async def admit(
        self,
        call: RoutedCall,
        endpoint: Endpoint,
        attempt: int,
        budget_s: float,
        has_alternative: bool,
        needs: CallerNeeds | None = None,
        on_queued: Callable[[Quote | None], None] | None = None,
    ) -> Admission:
        """Request admission from the side of an engine."""
        host = endpoint.entry.address.host
        if clock.now() < self._skipped_until.get(host, 0.0):
            return Admitted("")
        reservation = messages.reservation_id(call.request_id, attempt)

        def build(remaining_s: float) -> Message:
            request = _build_request(call, endpoint, reservation, remaining_s, has_alternative)
            return request if needs is None else dataclasses.replace(request, terms=needs.terms())

        def record_queued(queued: AdmissionQueued) -> None:
            if queued.quote is not None:
                endpoint.record_quote(queued.quote)
            if on_queued is not None:
                on_queued(queued.quote)

        cancel = RequestFinished(reservation)
        decision = await self._ask(host, build, cancel, budget_s, record_queued)
        if decision is None:
            self._mark_unresponsive(host)
            return Admitted("")
        if decision.quote is not None:
            endpoint.record_quote(decision.quote)
        if isinstance(decision, AdmissionRefused):
            if decision.engine_silent:
                endpoint.mark_silent()
            wait_s = decision.wait_ms / clock.MILLISECONDS_PER_SECOND
            return NotAdmitted(wait_s, decision.engine_silent, decision.quote)
        endpoint.record_load(EndpointLoadReport(decision.admitted, 0, 0))
        return Admitted(reservation, decision.started_at_ms)

    async def request_place(self, request: PlaceRequest, host: str) -> Admission | None:
        """Request a place at an engine with a limit from the side that counts for it.

        :returns: the decision, or ``None`` if the side doesn't respond.
        """

        def build(remaining_s: float) -> Message:
            budget_ms = max(0, int(remaining_s * clock.MILLISECONDS_PER_SECOND))
            return dataclasses.replace(request, budget_ms=budget_ms)

        released = PlaceReleased(request.reservation, request.run)
        budget_s = request.budget_ms / clock.MILLISECONDS_PER_SECOND
        decision = await self._ask(host, build, released, budget_s)
        if decision is None:
            self.send(released, host)
            return None
        if isinstance(decision, AdmissionRefused):
            return NotAdmitted(decision.wait_ms / clock.MILLISECONDS_PER_SECOND)
        waited_s = decision.waited_ms / clock.MILLISECONDS_PER_SECOND
        return Admitted(request.reservation, waited_s=waited_s)

    async def ask_origins(
        self, request: OriginRequest, hosts: Sequence[str], *, first_only: bool
    ) -> OriginAnswers:
        """Ask several hosts at once, and again those that don't respond."""
        origins: set[StreamOrigin] = set()
        responses: asyncio.Queue[Message] = asyncio.Queue()
        self._responses[request.reservation] = responses
        silent = set(hosts)
        try:
            for _ in range(ORIGIN_TRIES):
                for host in silent:
                    self.send(request, host)
                try:
                    async with asyncio.timeout(RESEND_AFTER_S):
                        while silent:
                            response = await responses.get()
                            if not isinstance(response, OriginResponse):
                                continue
                            if response.origin is not None:
                                origins.add(response.origin)
                            silent.discard(response.host)
                            if origins and first_only:
                                break
                except TimeoutError:
                    continue
                break
            return OriginAnswers(frozenset(origins), frozenset(hosts) - silent)
        finally:
            del self._responses[request.reservation]

    def _handle_origin_message(self, message: OriginReport | OriginRequest, host: str) -> None:
        if self._origins is None:
            return
        if isinstance(message, OriginReport):
            self._origins.record(message.stream, message.origin)
        else:
            origin = self._origins.find(message.stream)
            self.send(OriginResponse(message.reservation, origin), host)

    def report_traffic(
        self, endpoints: Sequence[Endpoint], routes: tuple[RouteTraffic, ...]
    ) -> None:
        """Report this gateway's traffic to the sides that merge it, the same for all gateways."""
        now = clock.now()
        hosts = dict.fromkeys(
            endpoint.entry.address.host for endpoint in sorted(endpoints, key=stable_order)
        )
        responsive = [host for host in hosts if now >= self._skipped_until.get(host, 0.0)]
        for host in responsive[:TRAFFIC_SIDES]:
            self.send(TrafficReport("", routes), host)

    def send(self, message: Message, host: str) -> None:
        """Send a message to the side at a host."""
        for datagram in messages.encode_all(message):
            self.send_datagram(datagram, host)

    def send_datagram(self, datagram: bytes, host: str) -> None:
        """Send a datagram to the side or gateway at a host."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(datagram, (host, self._port))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def notify_prefilled(self, admitted: Admitted, endpoint: Endpoint) -> None:
        """Notify the side that the engine has prefilled the prompt."""
        if admitted.reservation:
            self.send(PromptPrefilled(admitted.reservation), endpoint.entry.address.host)

    def notify_finished(
        self, admitted: Admitted, endpoint: Endpoint, longest_gap_ms: int = 0
    ) -> None:
        """Notify the side that the request has ended."""
        if admitted.reservation:
            self.send(
                RequestFinished(admitted.reservation, longest_gap_ms), endpoint.entry.address.host
            )

    async def _ask(
        self,
        host: str,
        build: Callable[[float], Message],
        cancel: Message,
        budget_s: float,
        on_queued: Callable[[AdmissionQueued], None] = _ignore_queued,
    ) -> _Decision | None:
        """Ask a side until it decides.

        :param build: builds the request from the remaining time to wait, seconds.
        :param cancel: sent if the request is no longer needed, or was refused.
        :returns: the decision, or ``None`` if the side doesn't respond.
        """
        reservation = cancel.reservation
        responses: asyncio.Queue[Message] = asyncio.Queue()
        self._responses[reservation] = responses
        needed = False
        try:
            decision = await self._negotiate(host, build, responses, budget_s, on_queued)
            needed = not isinstance(decision, AdmissionRefused)
            return decision
        finally:
            del self._responses[reservation]
            if not needed:
                self.send(cancel, host)

    async def _negotiate(
        self,
        host: str,
        build: Callable[[float], Message],
        responses: "asyncio.Queue[Message]",
        budget_s: float,
        on_queued: Callable[[AdmissionQueued], None],
    ) -> _Decision | None:
        deadline = clock.now() + budget_s
        unanswered = 0
        interval_s = RESEND_AFTER_S
        while True:
            remaining_s = deadline - clock.now()
            if remaining_s < -_RESPONSE_GRACE_S:
                wait_ms = int(budget_s * clock.MILLISECONDS_PER_SECOND)
                return AdmissionRefused(build(0.0).reservation, wait_ms)
            self.send(build(remaining_s), host)
            try:
                async with asyncio.timeout(interval_s):
                    response = await responses.get()
            except TimeoutError:
                unanswered += 1
                if unanswered >= MAX_UNANSWERED and interval_s == RESEND_AFTER_S:
                    return None
                continue
            if isinstance(response, AdmissionGranted | AdmissionRefused):
                return response
            if isinstance(response, AdmissionQueued):
                on_queued(response)
                decision = await _wait_queued(responses, on_queued)
                if decision is not None:
                    return decision
                interval_s = RENEWAL_INTERVAL_S

    def _mark_unresponsive(self, host: str) -> None:
        self._skipped_until[host] = clock.now() + SIDE_SKIP_S
        logging.info("side.silent", extra={"fields": {"host": host, "for_s": SIDE_SKIP_S}})


def _build_request(
    call: RoutedCall,
    endpoint: Endpoint,
    reservation: str,
    remaining_s: float,
    has_alternative: bool,
) -> AdmissionRequest:
    return AdmissionRequest(
        reservation,
        call.rank,
        max(0, int(remaining_s * clock.MILLISECONDS_PER_SECOND)),
        call.metadata.prompt,
        call.metadata.expected_output_tokens,
        endpoint.entry.slots,
        call.route.gap_target_ms,
        has_alternative,
    )


async def _wait_queued(
    responses: "asyncio.Queue[Message]", on_queued: Callable[[AdmissionQueued], None]
) -> _Decision | None:
    """Wait for a decision on a queued request until it must be renewed."""
    try:
        async with asyncio.timeout(RENEWAL_INTERVAL_S):
            while True:
                response = await responses.get()
                if isinstance(response, AdmissionGranted | AdmissionRefused):
                    return response
                if isinstance(response, AdmissionQueued):
                    on_queued(response)
    except TimeoutError:
        return None
