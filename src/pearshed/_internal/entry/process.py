"""The entry process, which routes requests of callers to side processes."""

import asyncio
import threading
from collections.abc import Iterable, Mapping
from typing import Any

from absl import logging

from pearshed._internal.configuration.catalogue import Catalogue
from pearshed._internal.decisions.ending_order import Room
from pearshed._internal.entry.admission import EntryAdmission
from pearshed._internal.entry.application import CallerApplication
from pearshed._internal.entry.caller_room import CallerRoom
from pearshed._internal.entry.classifier import Classifier
from pearshed._internal.entry.dispatcher import Dispatcher
from pearshed._internal.entry.health import EndpointHealth
from pearshed._internal.entry.http_server import CallerServer, prepare_server
from pearshed._internal.entry.key_router import KeyRouter
from pearshed._internal.entry.link import EntryIdentity, SideLink
from pearshed._internal.entry.links import LinkTable
from pearshed._internal.entry.metrics import EntryMetrics
from pearshed._internal.entry.placement import Candidates, create_placement
from pearshed._internal.entry.request_log import RequestLog
from pearshed._internal.entry.retry_budget import RetryBudget
from pearshed._internal.entry.startup_check import StartupCheck
from pearshed._internal.processes.base import Process
from pearshed._internal.settings.model import EntrySettings
from pearshed._internal.telemetry.metrics import HistogramMetric, Metric
from pearshed._internal.timers import clock
from pearshed._internal.utils.tls import caller_server_context, peer_client_context

_READ_CHECK_INTERVAL_S = 0.5
_STARTUP_CHECK_INTERVAL_S = 0.05
_DRAIN_POLL_INTERVAL_S = 0.05
_LAST_REQUEST_POLL_INTERVAL_S = 0.01
#: Time without a request after which connections are closed, seconds.
_LAST_REQUEST_WAIT_S = 0.3
#: Longest time to wait for requests on open connections, seconds; some callers never send any.
_LAST_REQUESTS_TIMEOUT_S = 2.0


class EntryProcess(Process):
    """Classifies and admits calls, and dispatches them to sides."""

    def __init__(self, settings: EntrySettings) -> None:
        super().__init__(settings.process, settings.platform, is_entry=True)
        self._settings = settings
        identity = EntryIdentity(
            settings.process.name, self._incarnation, settings.process.data_centre
        )
        self._peer_tls = self._create_tls_context(settings.peer_tls, peer_client_context)
        self._caller_tls = self._create_tls_context(settings.caller_tls, caller_server_context)
        self._startup_check = StartupCheck()
        self._health = EndpointHealth()
        self._budget = RetryBudget()
        self._links = LinkTable(
            identity,
            settings.peers,
            self._timers,
            self._relay,
            self._health,
            self._view,
            settings.subset,
            self._peer_tls,
        )
        self._dispatcher = Dispatcher(
            Candidates(self._list_links, self._health, self._view),
            create_placement(settings.placement, settings.process.data_centre),
            KeyRouter(lambda: self._store.catalogue, self._links, self._view),
            self._health,
            self._budget,
            settings.fanout,
            settings.protected_fanout,
        )
        self._admission = EntryAdmission(
            settings.max_requests,
            lambda: self._store.catalogue,
            lambda: len(self._view.live_entries()),
        )
        self._request_log = RequestLog()
        self._server = CallerServer(
            settings,
            self._application(),
            self._create_room(),
            self._caller_tls.create_server_context() if self._caller_tls is not None else None,
        )
        self._server_thread = threading.Thread(
            target=self._server.serve, name="callers", daemon=True
        )
        self._store.subscribe(self._links.update)
        self._view.subscribe(self._links.update_entries)
        self._timers.every(_STARTUP_CHECK_INTERVAL_S, self._check_startup)
        self._timers.every(_READ_CHECK_INTERVAL_S, self._server.read_monitor.abort_slow_reads)
        self._metrics.add(self._collect)

    def not_ready_reasons(self) -> list[str]:
        """List the reasons why the entry should get no calls."""
        reasons = super().not_ready_reasons()
        if not self._startup_check.confirmed:
            reasons.append("sides haven't confirmed the configuration yet")
        if not any(link.connected and link.load.slots for link in self._list_links()):
            reasons.append("no side with slots is connected")
        return reasons

    def _confirmed_catalogue(self) -> Catalogue:
        """Return the catalogue for callers; an empty one until sides have confirmed it."""
        return self._store.catalogue if self._startup_check.confirmed else Catalogue()

    def _check_startup(self) -> None:
        if not self._startup_check.confirmed:
            self._startup_check.update(len(self._links.links), self._relay.compared_peers)

    def _create_room(self) -> CallerRoom:
        """Create the room for callers' connections, with a thread-safe account."""
        machine = self._settings.process.machine
        connections = min(machine.entry_callers.connections, self._settings.max_connections)
        room = Room(machine.entry_callers.held_bytes, connections)
        return CallerRoom(self._account.add("callers", lambda: room), connections)

    def _application(self) -> CallerApplication:
        return CallerApplication(
            asyncio.get_running_loop(),
            Classifier(self._confirmed_catalogue),
            self._admission,
            self._dispatcher,
            lambda: self._store.catalogue,
            self._request_log,
            self._settings.max_body_bytes,
        )

    async def _start(self) -> None:
        prepare_server(self._server, self._settings.listen, "callers")
        self._server_thread.start()
        logging.info("serving callers on %s:%s", *self._server.bind_addr[:2])

    async def _finish(self) -> None:
        """Keep serving until the balancer has seen that the entry is not ready, then drain."""
        self._server.close_after_responses()
        await asyncio.sleep(self._settings.drain_s)
        self._admission.close()
        while self._admission.in_flight:
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
        await self._answer_last_requests()

    async def _answer_last_requests(self) -> None:
        """Stop listening, and refuse what still arrives on the connections that are open."""
        await self._server.stop_accepting()
        quiet_since = clock.now()
        deadline = quiet_since + _LAST_REQUESTS_TIMEOUT_S
        while clock.now() < min(deadline, quiet_since + _LAST_REQUEST_WAIT_S):
            await asyncio.sleep(_LAST_REQUEST_POLL_INTERVAL_S)
            if self._server.is_busy:
                quiet_since = clock.now()

    def _close(self) -> None:
        self._server.stop()
        self._links.stop()

    def _dump(self) -> Mapping[str, Any]:
        return {
            "role": "entry",
            "callers": str(self._settings.listen),
            "in_flight": self._admission.in_flight,
            "reading": self._server.read_monitor.reading,
            "ejected": self._health.ejected_endpoints(),
            "retries": {"spent": self._budget.spent, "denied": self._budget.denied},
            "links": [_describe_link(link) for link in self._list_links()],
        }

    def _list_links(self) -> list[SideLink]:
        return list(self._links.links.values())

    def _collect(self) -> Iterable[Metric | HistogramMetric]:
        metrics = EntryMetrics(
            self._request_log, self._admission, self._dispatcher, self._budget, self._health
        )
        return metrics.collect(self._list_links(), self._server.read_monitor)


def _describe_link(link: SideLink) -> Mapping[str, Any]:
    return {
        "endpoint": link.endpoint.name,
        "service": link.endpoint.service,
        "side": str(link.endpoint.side),
        "connected": link.connected,
        "reconnects": link.reconnects,
        "attempts": link.attempt_count,
        "slots": link.load.slots,
        "running": link.load.running,
        "queued": link.load.queued,
        "draining": link.load.draining or link.endpoint.draining,
        "late_frames": link.late_frames,
    }
