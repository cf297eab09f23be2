"""Follows which engines are cold, from entries and responses, and shows it to operators."""

from collections.abc import Callable, Iterable, Mapping

from absl import logging

from pearshed._internal.decisions import cold_engines
from pearshed._internal.decisions.cold_engines import (
    ColdEngines,
    ColdLimit,
    ColdPolicy,
    ColdReason,
)
from pearshed._internal.gateway.settings import GatewaySettings
from pearshed._internal.gateway.store_cache import StoreCache
from pearshed._internal.models.routing import EndpointEntry
from pearshed._internal.telemetry.metrics import Metric, Sample, gauge
from pearshed._internal.timers import clock

#: Interval at which beginnings and ends of cold phases are noticed for the log, seconds.
CHECK_INTERVAL_S = 1.0


class ColdEngineMonitor:
    """The cold engines that this gateway knows, with log lines and metrics.

    :param settings: returns the settings in force.
    """

    def __init__(self, store_cache: StoreCache, settings: Callable[[], GatewaySettings]) -> None:
        self._store_cache = store_cache
        self._settings = settings
        self._engines = ColdEngines(self._policy)
        self._cold: dict[str, ColdLimit] = {}

    @property
    def cold(self) -> Mapping[str, ColdLimit]:
        """Limits of the engines that were cold at the last check, by identity."""
        return self._cold

    def limit(self, entry: EndpointEntry) -> ColdLimit | None:
        """Return the limit of an engine that is cold now; ``None`` when it is warm."""
        return self._engines.limit(entry)

    def observe(self, entries: Iterable[EndpointEntry]) -> None:
        """Record the entries that are listed now."""
        configuration = self._store_cache.configuration
        if configuration is not None:
            services = configuration.services
            self._engines.observe(entries, services, self._store_cache.received)
            self.check()

    def record_header(self, entry: EndpointEntry, left_s: float) -> None:
        """Record what a response says of the engine's cold phase.

        :param left_s: time until the engine is warm, seconds.
        """
        self._engines.record_header(entry, left_s)

    def note_data_centre_returned(self, data_centre: str) -> None:
        """Count a data centre's engines as cold from now on: its evacuation is withdrawn."""
        self._engines.note_data_centre_returned(data_centre)
        fields = {"data_centre": data_centre}
        logging.info("engines.cold_after_evacuation", extra={"fields": fields})
        self.check()

    def check(self) -> None:
        """Log the cold phases that have begun or ended. Called every ``CHECK_INTERVAL_S``."""
        if not self._cold and not self._engines.may_be_cold:
            return
        cold: dict[str, ColdLimit] = {}
        for entry in self._store_cache.endpoints.values():
            limit = self._engines.limit(entry)
            if limit is not None:
                cold[entry.identity] = limit
                if entry.identity not in self._cold:
                    _log_begin(entry, limit)
        for identity in self._cold.keys() - cold.keys():
            logging.info("engine.warm", extra={"fields": {"endpoint": identity}})
        self._cold = cold

    def collect(self) -> Iterable[Metric]:
        """Report the metrics."""
        yield Metric(
            "pearshed_gateway_cold_engines",
            "Engines that count as cold, by why",
            tuple(
                Sample(
                    sum(limit.reason is reason for limit in self._cold.values()),
                    {"reason": reason.value},
                )
                for reason in ColdReason
            ),
        )
        yield gauge(
            "pearshed_gateway_cold_left_seconds",
            "Time until the last cold engine is warm",
            max((limit.left_s for limit in self._cold.values()), default=0.0),
        )

    def _policy(self, service: str) -> ColdPolicy | None:
        settings = self._settings()
        configuration = self._store_cache.configuration
        routed = configuration.services.get(service) if configuration is not None else None
        if settings.cold_overshoot is None or routed is None or routed.cold_per_s <= 0.0:
            return None
        per_s = cold_engines.aimed_rate(
            routed.cold_per_s, settings.cold_overshoot, settings.cold_slack
        )
        return ColdPolicy(per_s, routed.cold_s)


def _log_begin(entry: EndpointEntry, limit: ColdLimit) -> None:
    fields = {
        "endpoint": entry.identity,
        "address": str(entry.address),
        "per_s": round(limit.per_s, 2),
        "left_ms": round(limit.left_s * clock.MILLISECONDS_PER_SECOND),
        "reason": limit.reason.value,
    }
    logging.info("engine.cold", extra={"fields": fields})
