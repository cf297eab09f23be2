"""Asks the sides of engines to admit requests before these are sent."""

import abc
import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import cast

from absl import logging
from returns.pipeline import is_successful

from pearshed._internal.engine_side import messages
from pearshed._internal.engine_side.messages import (
    AdmissionGranted,
    AdmissionQueued,
    AdmissionRefused,
    AdmissionRequest,
    FleetTraffic,
    Message,
    PromptPrefilled,
    RequestFinished,
    TrafficReport,
)
from pearshed._internal.engine_side.traffic_table import RouteTraffic
from pearshed._internal.gateway.endpoints import Endpoint
from pearshed._internal.gateway.header_codec import EndpointLoadReport
from pearshed._internal.gateway.lane_allocator import stable_order
from pearshed._internal.gateway.routed_call import RoutedCall
from pearshed._internal.timers import clock

#: A side answers in a few milliseconds; a lost datagram is sent again after this.
ASK_AGAIN_S = 0.06
#: Questions without any answer after which a side is taken as silent.
MOST_UNANSWERED = 3
#: A silent side isn't asked for this long; requests then go straight to its engine.
SILENT_S = 1.5
#: A waiting reservation is renewed this often, so that its side knows it is still wanted.
RENEW_S = 0.2
#: The count of gateways is of use for this long after a side told it, seconds.
COUNT_LIFE_S = 20.0
#: Sides that add up the traffic of all gateways: one more than may be lost at once.
TRAFFIC_SIDES = 2
#: Time beyond its budget after which a reservation that hears nothing is given up.
_OVERDUE_S = 0.3


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may be sent now.

    :ivar reservation: to be told of the request's end; empty where no side was asked.
    """

    reservation: str


@dataclass(frozen=True, slots=True)
class NotAdmitted:
    """The engine can't begin the request in time; nothing was sent.

    :ivar wait_s: time after which it likely could, seconds.
    """

    wait_s: float


Admission = Admitted | NotAdmitted


class AdmissionClient(abc.ABC):
    """Decides whether a request may be sent to an engine now."""

    @abc.abstractmethod
    async def admit(
        self, call: RoutedCall, endpoint: Endpoint, attempt: int, budget_s: float
    ) -> Admission:
        """Ask for admission.

        :param attempt: number of the attempt at the request.
        :param budget_s: longest time to wait for it, seconds.
        """

    @abc.abstractmethod
    def notify_prefilled(self, admitted: Admitted, endpoint: Endpoint) -> None:
        """Tell that the engine has read the prompt."""

    @abc.abstractmethod
    def notify_finished(
        self, admitted: Admitted, endpoint: Endpoint, longest_gap_ms: int = 0
    ) -> None:
        """Tell that the request has ended.

        :param longest_gap_ms: longest pause between its events, milliseconds.
        """


class SideAdmissionClient(AdmissionClient, asyncio.DatagramProtocol):
    """Asks the sides by datagrams. Where a side is silent, requests are sent unasked.

    :param port: of the sides, alike on all VMs.
    :param on_fleet_traffic: called with a side's host and what it tells of all gateways.
    """

    def __init__(self, port: int, on_fleet_traffic: Callable[[str, FleetTraffic], None]) -> None:
        self._port = port
        self._on_fleet_traffic = on_fleet_traffic
        self._transport: asyncio.DatagramTransport | None = None
        self._answers: dict[str, asyncio.Queue[Message]] = {}
        self._silent_until: dict[str, float] = {}
        self._counted = float("-inf")
        self._gateways = 0

    @property
    def gateways(self) -> int:
        """Gateways that report their traffic; 0 while no side has told."""
        return self._gateways if clock.now() - self._counted < COUNT_LIFE_S else 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take an answer of a side."""
        decoded = messages.decode(data)
        if not is_successful(decoded):
            logging.info("datagram.malformed", extra={"fields": {"reason": decoded.failure()}})
            return
        message = decoded.unwrap()
        self._silent_until.pop(addr[0], None)
        if isinstance(message, FleetTraffic):
            self._counted = clock.now()
            self._gateways = message.gateways
            self._on_fleet_traffic(addr[0], message)
            return
        answers = self._answers.get(message.reservation)
        if answers is not None:
            answers.put_nowait(message)
        elif isinstance(message, AdmissionGranted):
            # The request is no longer wanted here.
            self._send(RequestFinished(message.reservation), addr[0])

    async def admit(
        self, call: RoutedCall, endpoint: Endpoint, attempt: int, budget_s: float
    ) -> Admission:
        """Ask the side of an engine."""
        host = endpoint.entry.address.host
        if clock.now() < self._silent_until.get(host, 0.0):
            return Admitted("")
        reservation = f"{call.request_id}/{attempt}"
        answers: asyncio.Queue[Message] = asyncio.Queue()
        self._answers[reservation] = answers
        granted = False
        try:
            outcome = await self._converse(call, endpoint, reservation, answers, budget_s)
            granted = isinstance(outcome, Admitted)
            return outcome
        finally:
            del self._answers[reservation]
            if not granted:
                self._send(RequestFinished(reservation), host)

    def report_traffic(
        self, endpoints: Sequence[Endpoint], routes: tuple[RouteTraffic, ...]
    ) -> None:
        """Tell this gateway's traffic to the sides that add it up, the same for all gateways."""
        moment = clock.now()
        hosts = dict.fromkeys(
            endpoint.entry.address.host for endpoint in sorted(endpoints, key=stable_order)
        )
        heard = [host for host in hosts if moment >= self._silent_until.get(host, 0.0)]
        for host in heard[:TRAFFIC_SIDES]:
            self._send(TrafficReport("", routes), host)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def notify_prefilled(self, admitted: Admitted, endpoint: Endpoint) -> None:
        """Tell the side that the engine has read the prompt."""
        if admitted.reservation:
            self._send(PromptPrefilled(admitted.reservation), endpoint.entry.address.host)

    def notify_finished(
        self, admitted: Admitted, endpoint: Endpoint, longest_gap_ms: int = 0
    ) -> None:
        """Tell the side that the request has ended."""
        if admitted.reservation:
            self._send(
                RequestFinished(admitted.reservation, longest_gap_ms), endpoint.entry.address.host
            )

    async def _converse(
        self,
        call: RoutedCall,
        endpoint: Endpoint,
        reservation: str,
        answers: "asyncio.Queue[Message]",
        budget_s: float,
    ) -> Admission:
        host = endpoint.entry.address.host
        ends = clock.now() + budget_s
        unanswered = 0
        pause_s = ASK_AGAIN_S
        while True:
            left_s = ends - clock.now()
            if left_s < -_OVERDUE_S:
                return NotAdmitted(budget_s)
            self._send(_ask(call, endpoint, reservation, left_s), host)
            try:
                async with asyncio.timeout(pause_s):
                    answer = await answers.get()
            except TimeoutError:
                unanswered += 1
                if unanswered >= MOST_UNANSWERED and pause_s == ASK_AGAIN_S:
                    self._note_silent(host)
                    return Admitted("")
                continue
            decided = _decision(answer, endpoint)
            if decided is not None:
                return decided
            if isinstance(answer, AdmissionQueued):
                decided = await self._wait(answers, endpoint)
                if decided is not None:
                    return decided
                pause_s = RENEW_S

    async def _wait(
        self, answers: "asyncio.Queue[Message]", endpoint: Endpoint
    ) -> Admission | None:
        """Wait for a decision on a reservation until it must be renewed."""
        try:
            async with asyncio.timeout(RENEW_S):
                while True:
                    decided = _decision(await answers.get(), endpoint)
                    if decided is not None:
                        return decided
        except TimeoutError:
            return None

    def _note_silent(self, host: str) -> None:
        self._silent_until[host] = clock.now() + SILENT_S
        logging.info("side.silent", extra={"fields": {"host": host, "for_s": SILENT_S}})

    def _send(self, message: Message, host: str) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(messages.encode(message), (host, self._port))


def _ask(call: RoutedCall, endpoint: Endpoint, reservation: str, left_s: float) -> AdmissionRequest:
    return AdmissionRequest(
        reservation,
        call.rank,
        max(0, int(left_s * clock.MILLISECONDS_PER_SECOND)),
        call.metadata.prompt,
        call.metadata.expected_output_tokens,
        endpoint.entry.slots,
        call.route.gap_target_ms,
    )


def _decision(answer: Message, endpoint: Endpoint) -> Admission | None:
    """Read a decision from an answer, and the engine's load with it."""
    if isinstance(answer, AdmissionGranted):
        endpoint.record_load(EndpointLoadReport(answer.admitted, 0, 0))
        return Admitted(answer.reservation)
    if isinstance(answer, AdmissionRefused):
        return NotAdmitted(answer.wait_ms / clock.MILLISECONDS_PER_SECOND)
    return None
