"""HTTP pages of a gateway for operators and the platform's load balancer."""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from typing import Any

import orjson

import pearshed
from pearshed._internal.gateway.availability.evacuations import EvacuationTable
from pearshed._internal.gateway.crash_detector import CrashDetector
from pearshed._internal.gateway.endpoints import EndpointTable
from pearshed._internal.gateway.engine_limits.cold_engine_monitor import ColdEngineMonitor
from pearshed._internal.gateway.exchange.exchange import GatewayExchange
from pearshed._internal.gateway.store_cache import StoreCache
from pearshed._internal.http.page_server import page_name
from pearshed._internal.resources.process_account import ProcessAccount
from pearshed._internal.telemetry.log_stream import BoundedLogStream
from pearshed._internal.telemetry.metrics import Metric, MetricsPage, Sample, counter, gauge
from pearshed._internal.timers import clock

#: Upper bound of reported ages, seconds; they are infinite until the store has first responded.
_MAX_AGE_S = 1e9


class OperatorPages:
    """Readiness, health, metrics and the state of a gateway.

    :param connections: open connections of callers.
    :param exchange: what gateways know together, and the retry budgets.
    :param account: what connections hold.
    :param engine_speeds: returns the speeds of engines with the ages of their figures.
    """

    def __init__(
        self,
        name: str,
        store_cache: StoreCache,
        endpoints: EndpointTable,
        connections: Collection[object],
        exchange: GatewayExchange,
        crashes: CrashDetector,
        cold_engines: ColdEngineMonitor,
        log_stream: BoundedLogStream,
        not_ready_reasons: Callable[[], list[str]],
        evacuations: EvacuationTable,
        account: ProcessAccount,
        engine_speeds: Callable[[], Sequence[Mapping[str, object]]] = tuple,
    ) -> None:
        self._evacuations = evacuations
        self._account = account
        self._name = name
        self._store_cache = store_cache
        self._endpoints = endpoints
        self._connections = connections
        self._exchange = exchange
        self._crashes = crashes
        self._cold_engines = cold_engines
        self._log_stream = log_stream
        self._not_ready_reasons = not_ready_reasons
        self._engine_speeds = engine_speeds
        self._metrics = MetricsPage()
        self._metrics.add(self._collect)
        self._metrics.add(account.collect)

    @property
    def metrics(self) -> MetricsPage:
        """The metrics page, to which other components add their metrics."""
        return self._metrics

    def page(self, target: str) -> tuple[int, bytes]:
        """Return a page.

        :param target: target of the HTTP request.
        :returns: status and content.
        """
        page = page_name(target)
        if page == "dump":
            return 200, orjson.dumps(self.dump(), option=orjson.OPT_INDENT_2)
        if page == "metrics":
            return 200, self.metrics_page().encode()
        if page == "healthz":
            return 200, b"ok\n"
        if page == "readyz":
            reasons = self._not_ready_reasons()
            return (503 if reasons else 200), "\n".join(reasons or ["ready"]).encode()
        return 404, b"pages: readyz healthz metrics dump\n"

    def metrics_page(self) -> str:
        """Return the metrics as text."""
        return self._metrics.render("text/plain")[0].decode()

    def dump(self) -> Mapping[str, Any]:
        """Return the state of the process."""
        configuration = self._store_cache.configuration
        return {
            "process": self._name,
            "version": pearshed.__version__,
            "not_ready": self._not_ready_reasons(),
            "configuration": configuration.version if configuration is not None else None,
            "confirmed_ago_s": round(self._store_cache.age_s, 3) if configuration else None,
            "store_revision": self._store_cache.revision,
            "known_from_peers": self._store_cache.has_peer_state,
            "evacuations": self._evacuations.dump(),
            "doubted_evacuations": self._evacuations.dump_doubted(),
            "doubted_entries": self._store_cache.entries.dump(),
            "connections": len(self._connections),
            "gateways": self._exchange.gateway_count,
            "retry_budgets": self._exchange.retry_budgets.dump(),
            "log_lines_dropped": self._log_stream.dropped,
            "held": self._account.dump(),
            "blocked_parts": [
                {
                    "part": part.part_id,
                    "crashes": part.crashes,
                    "remaining_s": round(part.blocked_until - clock.now(), 1),
                }
                for part in self._crashes.blocked_parts.values()
            ],
            "cold_engines": [
                {
                    "identity": identity,
                    "reason": limit.reason.value,
                    "per_s": round(limit.per_s, 2),
                    "remaining_s": round(limit.left_s, 1),
                }
                for identity, limit in self._cold_engines.cold.items()
            ],
            "endpoints": [
                {
                    "identity": endpoint.entry.identity,
                    "service": endpoint.entry.service,
                    "address": str(endpoint.entry.address),
                    "state": endpoint.entry.state.value,
                    "evacuated": endpoint.evacuated,
                    "pause_s": round(endpoint.pause_s, 3),
                    "in_flight": endpoint.in_flight,
                    "connections": endpoint.open_connections,
                    "failure_share": round(endpoint.failure_share, 3),
                }
                for endpoint in self._endpoints.endpoints
            ],
            "engine_speeds": self._engine_speeds(),
        }

    def _collect(self) -> Iterable[Metric]:
        configuration = self._store_cache.configuration
        yield gauge(
            "pearshed_gateway_configuration_version",
            "Version of the configuration in force",
            configuration.version if configuration is not None else 0,
        )
        yield gauge(
            "pearshed_gateway_confirmed_ago_seconds",
            "Time since the store confirmed the configuration",
            min(self._store_cache.age_s, _MAX_AGE_S),
        )
        yield gauge(
            "pearshed_gateway_store_receiving_seconds",
            "Time for which a response of the store is being received",
            self._store_cache.receiving_s,
        )
        yield Metric(
            "pearshed_gateway_store_calls_failed_total",
            "Calls to the store without a complete response, by the phase in which they failed",
            tuple(
                Sample(count, {"phase": phase})
                for phase, count in self._store_cache.failed_calls.items()
            ),
            counter=True,
        )
        yield gauge("pearshed_gateway_connections", "Callers connected", len(self._connections))
        yield gauge("pearshed_gateway_gateways", "Gateways in all", self._exchange.gateway_count)
        yield counter(
            "pearshed_gateway_repeats_denied_total",
            "Second sends refused for want of budget",
            sum(budget.denied for budget in self._exchange.retry_budgets.budgets.values()),
        )
        yield counter(
            "pearshed_gateway_log_lines_dropped_total",
            "Log lines dropped since the reader was slow",
            self._log_stream.dropped,
        )
        yield counter(
            "pearshed_gateway_endpoints_leaving_total",
            "Endpoints that announced in a response that they leave",
            self._endpoints.leaving_announcements,
        )
        endpoints = tuple(self._endpoints.endpoints)
        yield Metric(
            "pearshed_gateway_in_flight",
            "Requests that an endpoint has from this gateway",
            tuple(
                Sample(endpoint.in_flight, {"endpoint": endpoint.entry.identity})
                for endpoint in endpoints
            ),
        )
