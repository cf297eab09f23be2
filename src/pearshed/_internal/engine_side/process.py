"""Sidecar process of an engine: admits the requests that gateways then send to the engine."""

import asyncio
import random
import signal
from collections.abc import Iterable, Mapping
from typing import Any, cast

from absl import logging
from returns.pipeline import is_successful

import pearshed
from pearshed._internal.decisions.engine_load import Quote
from pearshed._internal.decisions.returns import ReturnTable
from pearshed._internal.engine_side import messages
from pearshed._internal.engine_side.admission_queue import AdmissionQueue, Reservation
from pearshed._internal.engine_side.cold_phases import ColdPhases
from pearshed._internal.engine_side.crash_records import CrashTable
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
from pearshed._internal.engine_side.monitor import EngineMonitor
from pearshed._internal.engine_side.place_queue import PlaceKeeper
from pearshed._internal.engine_side.prompt_cache import PromptCache
from pearshed._internal.engine_side.rate_limits import RateLimit, RateLimitTable
from pearshed._internal.engine_side.recent_peers import RecentPeers
from pearshed._internal.engine_side.settings import EngineSideSettings
from pearshed._internal.engine_side.side_pages import SidePages
from pearshed._internal.engine_side.stream_origins import OriginTable
from pearshed._internal.engine_side.traffic_table import TrafficTable
from pearshed._internal.http.page_server import Page, PageServer
from pearshed._internal.resources.process_account import ProcessAccount
from pearshed._internal.telemetry.log_stream import BoundedLogStream
from pearshed._internal.timers import clock
from pearshed._internal.timers.service import TimerService

#: Interval for reading the engine's load, seconds. Gateways report the progress and end of requests
#: at once, so these reports only correct the state.
REPORT_INTERVAL_S = 0.1
#: Wait for cache changes in one call, seconds; the longest that the engine allows.
CACHE_WAIT_S = 1.0
_RETRY_INTERVAL_S = 0.25
_QUEUE_INTERVAL_S = 0.02
#: Shortest time after which the queue is processed again for the next request, seconds.
_MIN_QUEUE_DELAY_S = 0.002
_LOG_DRAIN_INTERVAL_S = 0.1
_COLD_CHECK_INTERVAL_S = 1.0
#: The datagrams of one report of crashes arrive within this time, seconds; gateways send the next
#: one later.
_REPORT_SPAN_S = 0.05
#: Time for which an encoded report of crashes is sent to all gateways that ask, seconds.
_ENCODED_TTL_S = 0.1
#: Shortest time between responses to one gateway's reports of refused requests, seconds; gateways
#: report new ones more often.
_RETURNS_INTERVAL_S = 0.45

#: Waits of granted requests with terms from which they are logged, seconds: a tenth of the tightest
#: target.
MIN_LOGGED_WAIT_S = 0.05

_Peer = tuple[str, int]


class EngineSideProcess(asyncio.DatagramProtocol):
    """Serves the admission requests of gateways for one engine over UDP."""

    def __init__(
        self, settings: EngineSideSettings, monitor: EngineMonitor, log_stream: BoundedLogStream
    ) -> None:
        self._settings = settings
        self._monitor = monitor
        self._log_stream = log_stream
        self._timers = TimerService()
        self._cache = PromptCache()
        self._queue = AdmissionQueue(self._cache, self._grant, self._refuse)
        self._logged_silence = False
        self._transport: asyncio.DatagramTransport | None = None
        self._stop_requested = asyncio.Event()
        self._traffic = TrafficTable()
        self._crashes = CrashTable()
        self._crashes_sent_at = RecentPeers(_REPORT_SPAN_S)
        self._crashes_encoded_at = float("-inf")
        self._crash_datagrams: tuple[bytes, ...] = ()
        self._limits = RateLimitTable()
        self._returns = ReturnTable()
        self._returns_sent_at = RecentPeers(_RETURNS_INTERVAL_S)
        self._origins = OriginTable()
        self._cold_phases = ColdPhases()
        self._places = PlaceKeeper(self._limits.per_s, self._cold_phases.per_s)
        self._malformed_datagrams = 0
        self._rng = random.Random()
        self._pages = SidePages(self._queue, self._places, log_stream, self.dump)
        self._account = ProcessAccount(lambda: settings.machine)
        self._pages.add_metrics(self._account.collect)
        self._page_server = PageServer(
            lambda target: Page(*self._pages.page(target), content_type=""),
            self._timers,
            self._account.pages,
        )

    @property
    def serving(self) -> bool:
        """Whether the process receives datagrams of gateways."""
        return self._transport is not None and not self._transport.is_closing()

    def request_stop(self) -> None:
        """Request a stop, as SIGTERM does."""
        self._stop_requested.set()

    async def run(self) -> None:
        """Run until a signal stops the process."""
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, _log_reload_ignored)
        self._timers.start()
        self._timers.every(_QUEUE_INTERVAL_S, self._process_queue)
        self._timers.every(_QUEUE_INTERVAL_S, self._places.process)
        self._timers.every(_COLD_CHECK_INTERVAL_S, self._cold_phases.drop_ended)
        self._timers.every(_QUEUE_INTERVAL_S, self._log_silence)
        self._timers.every(_LOG_DRAIN_INTERVAL_S, self._log_stream.drain)
        address = self._settings.listen
        await loop.create_datagram_endpoint(lambda: self, local_addr=(address.host, address.port))
        await self._page_server.listen(address)
        tasks = [
            loop.create_task(self._poll_reports()),
            loop.create_task(self._poll_cache_updates()),
        ]
        logging.info("process.started", extra={"fields": {"version": pearshed.__version__}})
        await self._stop_requested.wait()
        logging.info("process.stopping", extra={"fields": self.dump()})
        for task in tasks:
            task.cancel()
        self._timers.stop()
        if self._transport is not None:
            self._transport.close()
        self._page_server.close()
        self._monitor.close()
        self._log_stream.drain()

    def dump(self) -> Mapping[str, Any]:
        """Return the state of the process."""
        return {
            "process": self._settings.name,
            "version": pearshed.__version__,
            "engine": str(self._settings.engine),
            "waiting": self._queue.waiting_count,
            "admitted": self._queue.granted_count,
            "engine_started_at_ms": self._queue.engine_started_at_ms,
            "engine_silent": self._queue.silence.is_silent,
            "tokens_per_s": round(self._queue.tokens_per_s),
            "sustained_tokens_per_s": round(self._queue.capacity.tokens_per_s),
            "speed_samples": self._queue.capacity.sample_count,
            "first_event_ms": round(
                self._queue.capacity.first_event_s * clock.MILLISECONDS_PER_SECOND
            ),
            "customers_waiting": self._queue.waiting_customer_count,
            "late_grant_share": round(self._queue.late_share, 3),
            "tokens_unread": self._queue.pending_prefill_tokens,
            "pace_share": round(self._queue.prefill_share, 3),
            "crashes": len(self._crashes.records),
            "rate_limits": len(self._limits.limits),
            "cold_runs": self._cold_phases.count,
            "stream_origins": len(self._origins),
            "counts_places_for": self._places.run_count,
            "gateways": self._traffic.gateway_count,
            "datagrams_malformed": self._malformed_datagrams,
            "log_lines_dropped": self._log_stream.dropped,
            "held": self._account.dump(),
        }

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for responses."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: _Peer) -> None:
        """Decode and handle a message of a gateway."""
        decoded = messages.decode(data)
        if not is_successful(decoded):
            self._malformed_datagrams += 1
            logging.info("datagram.malformed", extra={"fields": {"reason": decoded.failure()}})
            return
        message = decoded.unwrap()
        if isinstance(message, AdmissionRequest):
            self._handle_request(message, addr)
        elif isinstance(message, PromptPrefilled):
            self._queue.record_prefill(message.reservation)
        elif isinstance(message, RequestFinished):
            self._queue.finish(message.reservation, message.longest_gap_ms)
        elif isinstance(message, TrafficReport):
            self._traffic.record_report(addr[0], message.routes)
            hosts = self._traffic.sample_gateways(self._rng)
            total = FleetTraffic("", self._traffic.gateway_count, self._traffic.total(), hosts)
            self._send(total, addr)
        elif isinstance(message, CrashReport):
            self._crashes.merge(message.records, message.successes)
            self._respond_to_crash_report(addr)
        elif isinstance(message, LimitReport):
            self._limits.merge(message.limits)
            self._send(LimitReport("", self._limits.limits), addr)
        elif isinstance(message, ReturnReport):
            self._returns.merge(message.records)
            self._respond_to_return_report(addr)
        elif isinstance(message, OriginReport):
            self._origins.record(message.stream, message.origin)
        elif isinstance(message, OriginRequest):
            origin = self._origins.find(message.stream)
            self._send(OriginResponse(message.reservation, origin), addr)
        elif isinstance(message, PlaceRequest):
            self._handle_place_request(message, addr)
        elif isinstance(message, PlaceReleased):
            self._places.release(message.run, message.reservation)

    def _respond_to_crash_report(self, peer: _Peer) -> None:
        """Send all known crashes, once for the datagrams of one report."""
        now = clock.now()
        if not self._crashes_sent_at.begin(peer, now):
            return
        if now - self._crashes_encoded_at > _ENCODED_TTL_S:
            self._crashes_encoded_at = now
            records = self._crashes.records
            report = CrashReport("", records, self._crashes.suspect_successes(records))
            self._crash_datagrams = messages.encode_all(report)
        self._send_datagrams(self._crash_datagrams, peer)

    def _respond_to_return_report(self, peer: _Peer) -> None:
        """Send the known refusals of all gateways."""
        if self._returns_sent_at.begin(peer, clock.now()):
            self._send(ReturnReport("", tuple(self._returns.report())), peer)

    def _handle_request(self, request: AdmissionRequest, peer: _Peer) -> None:
        if self._queue.is_granted(request.reservation):
            self._send(self._build_grant(request.reservation), peer)
            return

        def notify(message: object) -> None:
            self._send(message, peer)  # type: ignore[arg-type]

        accepted = self._queue.submit(request, notify)
        if accepted and not self._queue.is_granted(request.reservation):
            quote = self._queue.quote_of(request.reservation)
            self._send(AdmissionQueued(request.reservation, quote), peer)

    def _handle_place_request(self, request: PlaceRequest, peer: _Peer) -> None:
        if request.per_s is not None:
            named_at = clock.now() - request.named_ms / clock.MILLISECONDS_PER_SECOND
            self._limits.merge((RateLimit(request.run, request.per_s, named_at),))
        if request.cold_per_s is not None:
            left_s = request.cold_left_ms / clock.MILLISECONDS_PER_SECOND
            self._cold_phases.record(request.run, request.cold_per_s, left_s)
        queue = self._places.queue(request.run)

        def grant() -> None:
            self._pages.record_place("granted", request.rank)
            waited_ms = 0
            if request.cold_per_s is not None:
                waited_s = queue.waited_s(request.reservation)
                waited_ms = int(waited_s * clock.MILLISECONDS_PER_SECOND)
            self._send(AdmissionGranted(request.reservation, 0, waited_ms=waited_ms), peer)

        def refuse(wait_s: float) -> None:
            self._pages.record_place("refused", request.rank)
            wait_ms = int(wait_s * clock.MILLISECONDS_PER_SECOND)
            self._send(AdmissionRefused(request.reservation, wait_ms), peer)

        if queue.submit(request, grant, refuse):
            self._send(AdmissionQueued(request.reservation), peer)

    def _grant(self, reservation: Reservation) -> None:
        waited_s = clock.now() - reservation.submitted_at
        self._pages.record_granted(reservation.request.rank, waited_s)
        granted = self._build_grant(reservation.request.reservation)
        reservation.notify(granted)
        terms = _describe_terms(reservation, granted.quote)
        if terms and waited_s > MIN_LOGGED_WAIT_S:
            request = messages.request_id_of(reservation.request.reservation)
            fields = {"request": request, "rank": reservation.request.rank, **terms}
            logging.info("admission.waited", extra={"fields": fields})

    def _build_grant(self, reservation: str) -> AdmissionGranted:
        queue = self._queue
        quote = queue.quote_of(reservation)
        return AdmissionGranted(reservation, queue.granted_count, queue.engine_started_at_ms, quote)

    def _refuse(self, reservation: Reservation, wait_s: float) -> None:
        self._pages.record_refused(reservation.request.rank, reservation.reason)
        wait_ms = int(wait_s * clock.MILLISECONDS_PER_SECOND)
        is_silent = self._queue.silence.is_silent and reservation.request.has_alternative
        quote = self._queue.quote(reservation)
        reservation.notify(
            AdmissionRefused(reservation.request.reservation, wait_ms, is_silent, quote)
        )
        logging.info(
            "admission.refused",
            extra={
                "fields": {
                    "request": messages.request_id_of(reservation.request.reservation),
                    "rank": reservation.request.rank,
                    "unread": reservation.prefill_tokens,
                    "waiting": self._queue.waiting_count,
                    "admitted": self._queue.granted_count,
                    "expected_wait_ms": wait_ms,
                    "engine_silent": is_silent,
                    "reason": reservation.reason,
                    **_describe_terms(reservation, quote),
                }
            },
        )

    def _send(self, message: Message, peer: _Peer) -> None:
        self._send_datagrams(messages.encode_all(message), peer)

    def _send_datagrams(self, datagrams: Iterable[bytes], peer: _Peer) -> None:
        if self._transport is not None:
            for datagram in datagrams:
                self._transport.sendto(datagram, peer)

    async def _poll_reports(self) -> None:
        reachable = False
        while True:
            report = await self._monitor.report()
            if is_successful(report):
                self._log_end_of_silence()
                self._queue.apply_report(report.unwrap())
            if is_successful(report) is not reachable:
                reachable = is_successful(report)
                reason = "" if reachable else report.failure()
                event = "engine.reached" if reachable else "engine.lost"
                fields = {"reason": reason, "admitted": self._queue.granted_count}
                logging.info(event, extra={"fields": fields})
            await asyncio.sleep(REPORT_INTERVAL_S if reachable else _RETRY_INTERVAL_S)

    def _process_queue(self) -> None:
        """Process the queue, and again as soon as the engine likely has room for the next one."""
        self._queue.process()
        next_grant_s = self._queue.next_grant_s
        if next_grant_s is not None and next_grant_s < _QUEUE_INTERVAL_S:
            self._timers.after(max(next_grant_s, _MIN_QUEUE_DELAY_S), self._queue.process)

    def _log_silence(self) -> None:
        if self._queue.silence.is_silent and not self._logged_silence:
            self._logged_silence = True
            fields = {"waiting": self._queue.waiting_count, "admitted": self._queue.granted_count}
            logging.info("engine.silent", extra={"fields": fields})

    def _log_end_of_silence(self) -> None:
        if self._logged_silence:
            self._logged_silence = False
            fields = {
                "silent_ms": round(self._queue.silence.quiet_s * clock.MILLISECONDS_PER_SECOND),
                "waiting": self._queue.waiting_count,
                "admitted": self._queue.granted_count,
                "tokens_per_s": round(self._queue.tokens_per_s),
            }
            logging.info("engine.responds", extra={"fields": fields})

    async def _poll_cache_updates(self) -> None:
        since = 0
        epoch = ""
        reachable = True
        while True:
            result = await self._monitor.next_cache_update(since, CACHE_WAIT_S)
            if not is_successful(result):
                if reachable:
                    fields = {"reason": result.failure()}
                    logging.info("engine.cache_events_failed", extra={"fields": fields})
                reachable = False
                await asyncio.sleep(_RETRY_INTERVAL_S)
                continue
            reachable = True
            update = result.unwrap()
            if update.epoch != epoch and epoch:
                logging.info("engine.started_anew", extra={"fields": {"epoch": update.epoch}})
                self._cache.clear()
            elif update.lost and epoch:
                logging.info(
                    "engine.cache_events_lost", extra={"fields": {"next": update.next_number}}
                )
            epoch = update.epoch
            since = update.next_number
            self._cache.apply_update(update)


def _describe_terms(reservation: Reservation, quote: Quote | None) -> Mapping[str, Any]:
    """Return what a decision on a request with terms was made from, for the log."""
    terms = reservation.request.terms
    if terms is None or quote is None:
        return {}
    waited_s = clock.now() - reservation.submitted_at
    return {
        "customer": terms.customer,
        "returned": terms.returned,
        "waited_ms": round(waited_s * clock.MILLISECONDS_PER_SECOND),
        "target_left_ms": terms.target_left_ms,
        "useful_left_ms": terms.useful_left_ms,
        "ready_ms": quote.ready_ms,
        "tokens_per_s": quote.load.tokens_per_s,
        "pending": quote.load.pending_tokens,
        "waiting_tokens": quote.load.waiting_tokens,
    }


def _log_reload_ignored() -> None:
    logging.info("settings.unchanged", extra={"fields": {"cause": "SIGHUP"}})
