"""The gateway process, which forwards callers' requests directly to endpoints."""

import asyncio
import dataclasses
import gc
import random
import signal
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import orjson
from absl import logging

import pearshed
from pearshed._internal.decisions.key_trust import are_keys_trusted
from pearshed._internal.decisions.version_history import VersionHistory
from pearshed._internal.engine_side.messages import (
    CrashReport,
    FleetTraffic,
    LimitReport,
    ReturnReport,
)
from pearshed._internal.errors import InvariantBrokenError
from pearshed._internal.gateway.admission import SideAdmissionClient
from pearshed._internal.gateway.availability.evacuations import (
    EvacuationSettings,
    EvacuationTable,
)
from pearshed._internal.gateway.availability.key_confirmation import KEYS_PATH, KeyConfirmation
from pearshed._internal.gateway.availability.pauses import PauseTable
from pearshed._internal.gateway.crash_detector import CrashDetector
from pearshed._internal.gateway.endpoints import EndpointTable
from pearshed._internal.gateway.engine_limits import cold_engine_monitor
from pearshed._internal.gateway.engine_limits.cold_engine_monitor import ColdEngineMonitor
from pearshed._internal.gateway.exchange.exchange import GatewayExchange
from pearshed._internal.gateway.exchange.gossip import STARTING_INTERVAL_S as GOSSIP_INTERVAL_S
from pearshed._internal.gateway.exchange.retry_budgets import BudgetLimits, RetryBudgets
from pearshed._internal.gateway.forwarder import Forwarder
from pearshed._internal.gateway.forwarding.destination import DestinationExplainer
from pearshed._internal.gateway.forwarding.shutdown import Shutdown
from pearshed._internal.gateway.header_codec import HeaderCodec
from pearshed._internal.gateway.operator_pages import OperatorPages
from pearshed._internal.gateway.peer_directory import PeerDirectory
from pearshed._internal.gateway.peer_sync import CHECK_INTERVAL_S, SYNC_PATH, PeerSync
from pearshed._internal.gateway.placement import LeastLoadPlacement, PromptPlacement
from pearshed._internal.gateway.placing.plain_readiness import PlainReadinessPlacement
from pearshed._internal.gateway.placing.readiness_placement import ReadinessPlacement
from pearshed._internal.gateway.rate_limited_engines import RateLimitedEngines
from pearshed._internal.gateway.request_logger import RequestLogger
from pearshed._internal.gateway.request_metrics import RequestMetrics
from pearshed._internal.gateway.request_router import RequestRouter
from pearshed._internal.gateway.settings import GatewaySettings
from pearshed._internal.gateway.side_exchange import REPORT_INTERVAL_S, SideExchange
from pearshed._internal.gateway.store import DocumentDecoder, Store
from pearshed._internal.gateway.store_cache import StoreCache
from pearshed._internal.gateway.stream_versions import StreamVersions
from pearshed._internal.gateway.waiting.plain_waiting import (
    CHECK_INTERVAL_S as SLOT_CHECK_INTERVAL_S,
)
from pearshed._internal.gateway.waiting.plain_waiting import PlainWaiting
from pearshed._internal.gateway.waiting.return_exchange import ReturnExchange
from pearshed._internal.http.caller_connection import CallerConnection
from pearshed._internal.http.listener import Listener
from pearshed._internal.http.messages import HttpRequest, RequestProblem
from pearshed._internal.http.page_server import Page, PageServer, page_name, write_problem
from pearshed._internal.models.routing import (
    DEFAULT_CALLER_LIMITS,
    CallerLimits,
    EndpointEntry,
    RoutedService,
)
from pearshed._internal.resources.process_account import ProcessAccount
from pearshed._internal.telemetry.log_stream import BoundedLogStream
from pearshed._internal.timers import clock
from pearshed._internal.timers.service import TimerService

#: The load balancer stops routing callers here after two failed readiness checks, a second apart.
BALANCER_REMOVAL_S = 2.6
#: Time for which a connection stays open for a request that is on its way, seconds. The others were
#: closed after their last response, or have been idle since before the stop.
LAST_REQUEST_WAIT_S = 0.5
#: Reserved at the end of the grace period for sending the last bytes.
STOP_MARGIN_S = 0.3
#: Interval at which gateways report their traffic to each other, through sides.
TRAFFIC_REPORT_INTERVAL_S = 0.5
#: Interval at which the settings file is checked, since it may change without a signal.
SETTINGS_CHECK_INTERVAL_S = 5.0
_EXPIRY_CHECK_INTERVAL_S = 0.25
_LOG_DRAIN_INTERVAL_S = 0.1
_STOP_CHECK_INTERVAL_S = 0.02
#: Number of gateways assumed to share the limits of engines while it is unknown.
ASSUMED_GATEWAYS = 32


class GatewayProcess:
    """Forwards callers' requests directly to endpoints.

    :param load_settings: reloads the settings file; returns ``None`` when it is invalid.
    :param log_stream: buffer of the log lines to be written.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        load_settings: Callable[[], GatewaySettings | None],
        store: Store,
        decoder: DocumentDecoder,
        codec: HeaderCodec,
        log_stream: BoundedLogStream,
    ) -> None:
        self._settings = settings
        self._load_settings = load_settings
        self._store = store
        self._log_stream = log_stream
        self._rng = random.Random()
        self._timers = TimerService()
        self._account = ProcessAccount(lambda: self._settings.machine, serves_callers=True)
        self._evacuation_settings = _evacuation_settings(settings)
        self._evacuations = EvacuationTable(lambda: self._evacuation_settings)
        self._store_cache = StoreCache(
            store,
            decoder,
            self._rng,
            self._evacuations,
            lambda: self._settings.entry_lease_s,
        )
        self._directory = PeerDirectory(settings.control, settings.seeds, self._rng)
        self._peer_sync = PeerSync(self._store_cache, self._directory, self._rng)
        self._pauses = PauseTable()
        self._endpoints = EndpointTable(self._evacuations, self._pauses)
        self._key_confirmation = KeyConfirmation(self._store_cache, self._directory)
        self._store_cache.on_endpoints(self._apply_endpoints)
        self._connections: set[CallerConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._listeners: list[Listener] = []
        self._stopping = False
        self._refusing_requests = False
        self._store_task_error: BaseException | None = None
        self._stop_requested = asyncio.Event()
        self._request_metrics = RequestMetrics()
        self._request_logger = RequestLogger(self._log_context)
        self._admission = SideAdmissionClient(
            settings.peers.port,
            self._apply_fleet_traffic,
            self._apply_records,
        )
        self._exchange = GatewayExchange(
            settings.peers.host,
            [seed.host for seed in settings.seeds],
            lambda: self._directory.hosts,
            self._retry_limits,
            lambda service: self._find_service(service) is not None,
            self._admission.send_datagram,
            self._rng,
        )
        self._admission.on_exchange(self._exchange.receive)
        self._crashes = CrashDetector()
        self._side_exchange = SideExchange(self._admission.send)
        self._side_exchange.add(self._crashes)
        self._cold_engines = ColdEngineMonitor(self._store_cache, lambda: self._settings)
        self._evacuated: frozenset[str] = frozenset()
        self._evacuations.on_change(self._apply_evacuated)
        self._rate_limited = RateLimitedEngines(
            self._admission,
            self._side_exchange,
            lambda: self._exchange.gateway_count or ASSUMED_GATEWAYS,
            self._rng,
            self._cold_engines.limit,
        )
        self._side_exchange.add(self._rate_limited)
        self._returns = ReturnExchange(self._is_any_service_contended)
        self._side_exchange.add(self._returns)
        self._plain_waiting = PlainWaiting(lambda: self._exchange.gateway_count or ASSUMED_GATEWAYS)
        self._version_history = self._create_version_history()
        self._stream_versions = StreamVersions(
            self._admission,
            lambda: self._side_exchange.hosts,
            lambda: self._directory.hosts,
            self._version_history,
            self._store_cache.wait_confirmed,
        )
        self._admission.respond_from(self._stream_versions.table)
        self._shutdown = Shutdown()
        self._prompt_placement = ReadinessPlacement(
            settings.data_centre,
            self._rng,
            self._places_by_readiness,
            self._find_service,
            PromptPlacement(settings.data_centre, self._rng),
        )
        self._forwarder = Forwarder(
            codec,
            RequestRouter(
                lambda: self._store_cache.configuration,
                self._keys_trusted,
                self._routes_trusted,
                self._rng,
                lambda: self._settings.regions,
            ),
            self._endpoints,
            PlainReadinessPlacement(
                settings.data_centre,
                self._rng,
                LeastLoadPlacement(settings.data_centre, self._rng),
            ),
            self._prompt_placement,
            self._admission,
            self._exchange.retry_budgets,
            self._crashes,
            self._rate_limited,
            self._cold_engines,
            self._stream_versions,
            self._returns,
            self._plain_waiting,
            self._request_logger,
            self._request_metrics,
            self._rng,
            self._evacuations,
            self._pauses,
            self._shutdown,
        )
        self._pauses.on_begin(self._plain_waiting.process)
        self._pages = OperatorPages(
            settings.name,
            self._store_cache,
            self._endpoints,
            self._connections,
            self._exchange,
            self._crashes,
            self._cold_engines,
            log_stream,
            self.not_ready_reasons,
            self._evacuations,
            self._account,
            lambda: self._prompt_placement.dump(self._endpoints.endpoints),
        )
        self._destinations = DestinationExplainer(
            lambda: self._store_cache.configuration,
            self._endpoints,
            self._forwarder.placement,
            self._rate_limited,
        )
        self._add_metrics()
        self._page_server = PageServer(self._find_page, self._timers, self._account.pages)

    def _create_version_history(self) -> VersionHistory:
        """Create a history that follows the store."""
        history = VersionHistory()
        self._store_cache.on_configuration(history.update_routes)
        self._store_cache.on_entry(history.record)
        self._store_cache.on_gap(history.record_gap)
        return history

    def _add_metrics(self) -> None:
        metrics = self._pages.metrics
        metrics.add(self._request_metrics.collect)
        metrics.add(lambda: self._prompt_placement.collect(self._endpoints.endpoints))
        metrics.add(self._peer_sync.collect)
        metrics.add(self._exchange.collect)
        metrics.add(self._crashes.collect)
        metrics.add(self._rate_limited.collect)
        metrics.add(self._cold_engines.collect)
        metrics.add(self._stream_versions.collect)
        metrics.add(self._evacuations.collect)
        metrics.add(self._pauses.collect)
        metrics.add(self._returns.collect)
        metrics.add(self._plain_waiting.collect)

    async def run(self) -> None:
        """Run until a signal stops the process, then finish the requests in flight."""
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self.request_stop)
        self._timers.start()
        self._timers.every(_EXPIRY_CHECK_INTERVAL_S, self._drop_expired)
        self._timers.every(TRAFFIC_REPORT_INTERVAL_S, self._report_traffic)
        self._timers.every(SLOT_CHECK_INTERVAL_S, self._plain_waiting.process)
        self._timers.every(REPORT_INTERVAL_S, self._exchange_records)
        self._timers.every(GOSSIP_INTERVAL_S, self._exchange.run_if_due)
        self._timers.every(cold_engine_monitor.CHECK_INTERVAL_S, self._cold_engines.check)
        self._timers.every(SETTINGS_CHECK_INTERVAL_S, self._reload_settings)
        self._timers.every(_LOG_DRAIN_INTERVAL_S, self._log_stream.drain)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        peers = self._settings.peers
        await loop.create_datagram_endpoint(
            lambda: self._admission, local_addr=(peers.host, peers.port)
        )
        await self._page_server.listen(self._settings.readiness)
        if self._settings.control.port:
            await self._page_server.listen(self._settings.control)
            self._timers.every(CHECK_INTERVAL_S, self._peer_sync.start_if_stale)
            self._timers.every(CHECK_INTERVAL_S, self._key_confirmation.start_if_due)
        callers = await Listener.open(self._settings.callers, self._create_connection)
        self._listeners.append(callers)
        store_task = loop.create_task(self._store_cache.run())
        store_task.add_done_callback(self._store_task_ended)
        self._tasks.add(store_task)
        logging.info("process.started", extra={"fields": {"version": pearshed.__version__}})
        gc.collect()
        gc.freeze()
        await self._stop_requested.wait()
        await self._stop(callers)
        if self._store_task_error is not None:
            raise InvariantBrokenError(
                "the task that watches the store failed"
            ) from self._store_task_error

    @property
    def endpoints(self) -> EndpointTable:
        """The known endpoints."""
        return self._endpoints

    @property
    def store_cache(self) -> StoreCache:
        """The cached state of the store."""
        return self._store_cache

    @property
    def peer_sync(self) -> PeerSync:
        """The exchange of store state with other gateways."""
        return self._peer_sync

    @property
    def evacuations(self) -> EvacuationTable:
        """The evacuated data centres."""
        return self._evacuations

    @property
    def crashes(self) -> CrashDetector:
        """What is known of crashes of engines."""
        return self._crashes

    @property
    def rate_limited(self) -> RateLimitedEngines:
        """What is known of the limits of engines."""
        return self._rate_limited

    @property
    def cold_engines(self) -> ColdEngineMonitor:
        """The engines that count as cold."""
        return self._cold_engines

    @property
    def retry_budgets(self) -> RetryBudgets:
        """The retry budgets of all services."""
        return self._exchange.retry_budgets

    @property
    def pages(self) -> OperatorPages:
        """The pages for operators and the load balancer."""
        return self._pages

    def request_stop(self) -> None:
        """Request a graceful stop, as SIGTERM does."""
        self._stop_requested.set()

    def not_ready_reasons(self) -> list[str]:
        """Return the reasons why the gateway should get no callers; empty when it is ready."""
        reasons = []
        if self._stopping:
            reasons.append("stopping")
        if self._store_cache.configuration is None:
            reasons.append("no configuration yet")
        elif not self._keys_trusted():
            reasons.append("the configuration is too old to trust its keys")
        elif not self._evacuations.trusted:
            reasons.append("the evacuations known are too old")
        return reasons

    async def _stop(self, callers: Listener) -> None:
        """Serve until the balancer has stopped routing callers, then finish what is in flight."""
        self._stopping = True
        started_at = clock.now()
        deadline = started_at + self._settings.grace_s - STOP_MARGIN_S
        self._shutdown.begin(deadline)
        logging.info("process.stopping", extra={"fields": {"connections": len(self._connections)}})
        await asyncio.sleep(min(BALANCER_REMOVAL_S, self._settings.grace_s / 2))
        self._refusing_requests = True
        await callers.stop()
        while clock.now() < deadline:
            # Begins with the wait, in which connections accepted last are added.
            await asyncio.sleep(_STOP_CHECK_INTERVAL_S)
            self._shutdown.end_late_requests()
            for connection in tuple(self._connections):
                connection.close_if_idle(LAST_REQUEST_WAIT_S)
            if not self._connections:
                break
        logging.info("process.stopped", extra={"fields": {"cut": len(self._connections)}})
        self.close()

    def close(self) -> None:
        """Close all components immediately, and abort requests in flight."""
        self._timers.stop()
        self._page_server.close()
        for listener in self._listeners:
            listener.close()
        for task in self._tasks:
            task.cancel()
        for connection in tuple(self._connections):
            connection.abort()
        self._peer_sync.close()
        self._key_confirmation.close()
        self._admission.close()
        self._store.close()
        self._log_stream.drain()

    def _find_page(self, target: str) -> Page:
        if target.startswith(SYNC_PATH):
            return Page(*self._peer_sync.respond(target), content_type="")
        if target.partition("?")[0] == KEYS_PATH:
            return Page(*self._key_confirmation.respond(target), content_type="")
        if page_name(target) == "where":
            status, content = self._destinations.page(target.partition("?")[2])
            return Page(status, orjson.dumps(content), "application/json")
        return Page(*self._pages.page(target), content_type="")

    def _create_connection(self) -> CallerConnection:
        return CallerConnection(
            self._caller_limits,
            self._account.callers,
            self._serve_in_task,
            self._connections.discard,
        )

    async def _serve_caller(self, connection: CallerConnection) -> None:
        while True:
            request = await connection.next_request()
            if request is None:
                return
            if isinstance(request, RequestProblem):
                self._request_logger.write(
                    "request.malformed",
                    "",
                    failed=False,
                    status=request.status,
                    reason=request.message,
                )
                write_problem(connection, request)
                return
            if self._refusing_requests:
                self._forwarder.refuse_while_stopping(request, connection)
                connection.close()
                return
            if not await self._serve_request(connection, request):
                return
            await connection.drain()
            connection.finish_request()

    async def _serve_request(self, connection: CallerConnection, request: HttpRequest) -> bool:
        """Serve one request.

        :returns: whether the connection can serve another.
        """
        task = asyncio.current_task()
        assert task is not None
        connection.on_disconnect(lambda: _cancel(task))
        try:
            writer = await self._forwarder.serve(request, connection, self._stopping)
        except asyncio.CancelledError:
            if not connection.disconnected:
                raise
            return False
        finally:
            connection.on_disconnect(None)
        if writer.closes_connection:
            connection.close()
            return False
        return not connection.disconnected

    def _places_by_readiness(self, service: str) -> bool:
        """Return whether prompts of a service are placed by readiness; none is for now.

        Gateways that have not yet measured the same speeds disagree on the homes of shared parts:
        they were prefilled again twice as often as with placement by counts. It needs an exchange
        of measured speeds first (docs/design/0016-placement-by-readiness.md).
        """
        del service
        return False

    def _find_service(self, service: str) -> RoutedService | None:
        configuration = self._store_cache.configuration
        return configuration.services.get(service) if configuration is not None else None

    def _reload_settings(self) -> None:
        """Reload the settings file; changed addresses take effect at the next start."""
        loaded = self._load_settings()
        if loaded is None or loaded == self._settings:
            return
        changed = [
            field.name
            for field in dataclasses.fields(loaded)
            if getattr(loaded, field.name) != getattr(self._settings, field.name)
        ]
        self._settings = loaded
        self._evacuation_settings = _evacuation_settings(loaded)
        self._evacuations.refresh()
        logging.info("settings.reloaded", extra={"fields": {"changed": ",".join(changed)}})

    def _report_traffic(self) -> None:
        for service, allocator in self._prompt_placement.lane_allocators.items():
            self._admission.report_traffic(
                self._endpoints.of_service(service), allocator.own_traffic()
            )

    def _apply_records(self, host: str, report: CrashReport | LimitReport | ReturnReport) -> None:
        self._side_exchange.record_response(host)
        if isinstance(report, CrashReport):
            self._crashes.merge(report)
        elif isinstance(report, ReturnReport):
            self._returns.merge(report)
        else:
            self._rate_limited.merge(report)

    def _apply_evacuated(self, data_centres: frozenset[str]) -> None:
        """Return traffic in steps to data centres whose evacuation was withdrawn."""
        for data_centre in self._evacuated - data_centres:
            self._cold_engines.note_data_centre_returned(data_centre)
        self._evacuated = data_centres

    def _is_any_service_contended(self) -> bool:
        configuration = self._store_cache.configuration
        return configuration is not None and bool(configuration.competing_services)

    def _apply_endpoints(self, entries: Mapping[str, EndpointEntry]) -> None:
        self._endpoints.update(entries)
        self._cold_engines.observe(entries.values())
        self._side_exchange.add_hosts(self._side_hosts())
        self._version_history.update(entries.values())

    def _side_hosts(self) -> Iterable[str]:
        configuration = self._store_cache.configuration
        return (
            endpoint.entry.address.host
            for service in (configuration.prompt_services if configuration is not None else ())
            for endpoint in self._endpoints.of_service(service)
        )

    def _exchange_records(self) -> None:
        self._crashes.refresh()
        self._side_exchange.exchange(self._side_hosts())

    def _apply_fleet_traffic(self, host: str, traffic: FleetTraffic) -> None:
        self._exchange.record_count(traffic.gateways)
        self._directory.add_hosts(traffic.hosts)
        for service, allocator in self._prompt_placement.lane_allocators.items():
            endpoints = self._endpoints.of_service(service)
            if any(endpoint.entry.address.host == host for endpoint in endpoints):
                allocator.set_fleet_traffic(traffic.routes)

    def _log_context(self) -> Mapping[str, object]:
        """Return the configuration's version and age, for log lines."""
        configuration = self._store_cache.configuration
        if configuration is None:
            return {"version": 0}
        age_ms = round(self._store_cache.age_s * clock.MILLISECONDS_PER_SECOND)
        return {"version": configuration.version, "confirmed_ago_ms": age_ms}

    def _drop_expired(self) -> None:
        now = clock.now()
        for connection in tuple(self._connections):
            connection.close_if_overdue(now)
        self._endpoints.close_idle_connections()
        self._store_cache.drop_expired()

    def _keys_trusted(self) -> bool:
        if not self._settings.keys_fail_closed:
            return True
        if self._settings.control.port and not self._peer_sync.asked_at_start:
            return False
        return are_keys_trusted(
            self._settings.revocation_s, self._store_cache.age_s, self._key_confirmation.age_s
        )

    def _routes_trusted(self) -> bool:
        """Return whether the configuration is fresh enough to say that a route doesn't exist."""
        age_s = self._store_cache.age_s
        return not self._settings.keys_fail_closed or are_keys_trusted(
            self._settings.revocation_s, age_s, age_s
        )

    def _caller_limits(self) -> CallerLimits:
        configuration = self._store_cache.configuration
        return configuration.limits if configuration is not None else DEFAULT_CALLER_LIMITS

    def _retry_limits(self) -> BudgetLimits:
        settings = self._settings
        return BudgetLimits(settings.repeat_ratio, settings.repeat_slack, settings.repeat_window_s)

    def _serve_in_task(self, connection: CallerConnection) -> None:
        self._connections.add(connection)
        task = asyncio.get_running_loop().create_task(self._serve_caller(connection))
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._connection_ended(done, connection))

    def _connection_ended(self, task: "asyncio.Task[None]", connection: CallerConnection) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error("the task of a caller's connection failed", exc_info=task.exception())
            # The end of the connection makes no claim on whether the request ran, and the caller
            # need not wait for its timeout.
            connection.abort()

    def _store_task_ended(self, task: "asyncio.Task[None]") -> None:
        """Stop the process if the task failed.

        It would get no more updates of the store; a new process starts with fresh state.
        """
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._store_task_error = task.exception()
            self.request_stop()


def _evacuation_settings(settings: GatewaySettings) -> EvacuationSettings:
    return EvacuationSettings(
        settings.evacuation_bound_s, frozenset(settings.regions), settings.keys_fail_closed
    )


def _cancel(task: "asyncio.Task[Any]") -> None:
    task.cancel()
