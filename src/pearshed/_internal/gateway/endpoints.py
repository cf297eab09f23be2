"""Endpoints as this process uses them: connections, load, and how they fare."""

from collections.abc import Iterable, Mapping

from absl import logging

from pearshed._internal.gateway.header_codec import EndpointLoadReport
from pearshed._internal.gateway.idle_reuse_limit import IdleReuseLimit
from pearshed._internal.http.endpoint_connection import EndpointConnection, connect
from pearshed._internal.models.routing import EndpointEntry, EndpointState
from pearshed._internal.timers import clock

#: An endpoint is a few milliseconds away; a dark one costs a request this much.
CONNECT_TIMEOUT_S = 0.35
#: Idle time after which a connection isn't reused when the endpoint names no limit.
IDLE_LIMIT_S = 8.0
#: Part of the endpoint's own idle limit up to which a connection is reused.
IDLE_SHARE = 0.7
#: Idle time up to which a connection may carry a request that must not be sent twice.
FRESH_IDLE_S = 2.5
#: Weight of the latest outcome in the share of failures.
_FAILURE_WEIGHT = 0.2
#: Consecutive failures to connect after which an endpoint is left alone for a while.
_EJECT_AFTER = 1
_FIRST_EJECTION_S = 0.5
_LONGEST_EJECTION_S = 4.0
#: A reported load counts in full when new and nothing after this time, seconds.
REPORT_LIFE_S = 2.0


class Endpoint:
    """One endpoint with this process's connections to it.

    :param entry: what the platform lists; replaced as it changes.
    :param idle_reuse_limit: of the service's connections.
    """

    def __init__(
        self, entry: EndpointEntry, idle_reuse_limit: IdleReuseLimit | None = None
    ) -> None:
        self._entry = entry
        self._idle_reuse_limit = idle_reuse_limit or IdleReuseLimit(entry.service)
        self._idle: list[EndpointConnection] = []
        self._running: dict[int, tuple[float, int]] = {}
        self._open = 0
        self._next_run = 0
        self._heard = clock.now()
        self._failure_share = 0.0
        self._ejections = 0
        self._ejected_until = float("-inf")
        self._report: EndpointLoadReport | None = None
        self._reported = float("-inf")
        self._own_at_report = 0
        self._gone = False

    @property
    def entry(self) -> EndpointEntry:
        """What the platform lists."""
        return self._entry

    @property
    def in_flight(self) -> int:
        """Requests of this process that the endpoint has."""
        return len(self._running)

    @property
    def tokens_in_flight(self) -> int:
        """Tokens to be read for this process's requests in flight."""
        return sum(tokens for _, tokens in self._running.values())

    @property
    def open_connections(self) -> int:
        """Connections in use or being opened, idle ones included."""
        return self._open + len(self._idle)

    @property
    def accepting(self) -> bool:
        """Whether the endpoint may get new requests by what the platform lists."""
        return not self._gone and self._entry.state is EndpointState.READY

    @property
    def failure_share(self) -> float:
        """Recent share of requests that failed, 0 to 1."""
        return self._failure_share

    def is_ejected(self, moment: float) -> bool:
        """Tell whether the endpoint is left alone after failures."""
        return moment < self._ejected_until

    def unresponsive_s(self, moment: float) -> float:
        """Time for which requests in flight have heard nothing, seconds; 0 without any."""
        if not self._running:
            return 0.0
        oldest = min(started for started, _ in self._running.values())
        return max(0.0, moment - max(self._heard, oldest))

    def other_callers_load(self, moment: float) -> float:
        """Estimate the requests of other callers from the last report, which fades with age."""
        if self._report is None:
            return 0.0
        fading = max(0.0, 1.0 - (moment - self._reported) / REPORT_LIFE_S)
        return max(0, self._report.running + self._report.waiting - self._own_at_report) * fading

    def update(self, entry: EndpointEntry) -> None:
        """Take what the platform lists now."""
        if entry.address != self._entry.address or entry.started_at_ms != self._entry.started_at_ms:
            self.close_idle()
        self._entry = entry

    def retire(self) -> None:
        """Note that the endpoint is gone; what it runs may finish."""
        self._gone = True
        self.close_idle()

    def mark_misdirected(self) -> None:
        """Note that another endpoint answers at the address."""
        self._gone = True
        self.close_idle()

    async def acquire(self, retryable: bool) -> EndpointConnection:
        """Take an idle connection or open one.

        :param retryable: the request may be sent again if an idle connection proves dead.
        :raises OSError: when none can be opened in time.
        """
        moment = clock.now()
        while self._idle:
            connection = self._idle.pop()
            idle_s = moment - connection.idle_since
            limit_s = self._idle_limit_s(connection)
            if not retryable:
                limit_s = min(limit_s, FRESH_IDLE_S)
            if connection.usable and idle_s < limit_s:
                self._open += 1
                return connection
            connection.abort()
        self._open += 1
        try:
            return await connect(self._entry.address, CONNECT_TIMEOUT_S)
        except BaseException:
            self._open -= 1
            raise

    def record_idle_drop(self, idle_s: float) -> None:
        """Note a connection that ended with the first bytes that were sent after a rest.

        :param idle_s: its rest, seconds.
        """
        self._idle_reuse_limit.record_drop(idle_s)

    def release(self, connection: EndpointConnection, whole: bool) -> None:
        """Give a connection back.

        :param whole: its answer was taken whole; else it is reset.
        """
        self._open -= 1
        if not whole:
            connection.abort()
        elif connection.finish() and not self._gone:
            self._idle.append(connection)

    def start_request(self, tokens: int) -> int:
        """Note a request that is sent now.

        :param tokens: tokens of its prompt that must be read.
        :returns: a handle for ``finish_request``.
        """
        self._next_run += 1
        self._running[self._next_run] = (clock.now(), tokens)
        return self._next_run

    def mark_prefilled(self, run: int) -> None:
        """Note that a request's prompt has been read."""
        if run in self._running:
            self._running[run] = (self._running[run][0], 0)

    def finish_request(self, run: int) -> None:
        """Note the end of a request."""
        self._running.pop(run, None)

    def record_data(self, report: EndpointLoadReport | None = None) -> None:
        """Note bytes of the endpoint, with the load that they report."""
        self._heard = clock.now()
        if report is not None:
            self.record_load(report)

    def record_load(self, report: EndpointLoadReport) -> None:
        """Note the load that the endpoint or its side tells."""
        self._report = report
        self._reported = clock.now()
        self._own_at_report = len(self._running)

    def record_success(self) -> None:
        """Note an answer of good quality."""
        self._failure_share *= 1.0 - _FAILURE_WEIGHT
        self._ejections = 0

    def record_failure(self) -> None:
        """Note a failed answer."""
        self._failure_share += (1.0 - self._failure_share) * _FAILURE_WEIGHT

    def record_unreachable(self) -> None:
        """Note that no connection could be opened, or that the endpoint fell silent."""
        self.record_failure()
        pause_s = min(_LONGEST_EJECTION_S, _FIRST_EJECTION_S * 2.0**self._ejections)
        self._ejections += 1
        self._ejected_until = clock.now() + pause_s
        logging.info(
            "endpoint.ejected",
            extra={
                "fields": {
                    "identity": self._entry.identity,
                    "address": str(self._entry.address),
                    "for_s": pause_s,
                    "failure_share": round(self._failure_share, 2),
                }
            },
        )

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def _idle_limit_s(self, connection: EndpointConnection) -> float:
        limit_s = connection.idle_limit_s(IDLE_LIMIT_S) * IDLE_SHARE
        return min(limit_s, self._idle_reuse_limit.max_idle_s)

    def trim(self, moment: float) -> None:
        """Drop idle connections that are closed or idle for too long."""
        kept = []
        for connection in self._idle:
            limit_s = self._idle_limit_s(connection)
            if connection.usable and moment - connection.idle_since < limit_s:
                kept.append(connection)
            else:
                connection.abort()
        self._idle = kept


class EndpointTable:
    """The endpoints that the platform lists, by service."""

    def __init__(self) -> None:
        self._endpoints: dict[str, Endpoint] = {}
        self._by_service: dict[str, tuple[Endpoint, ...]] = {}
        self._idle_reuse_limits: dict[str, IdleReuseLimit] = {}

    @property
    def endpoints(self) -> Iterable[Endpoint]:
        """All endpoints."""
        return self._endpoints.values()

    def of_service(self, service: str) -> tuple[Endpoint, ...]:
        """List the endpoints of a service that may get new requests."""
        found = self._by_service.get(service, ())
        return tuple(endpoint for endpoint in found if endpoint.accepting)

    def update(self, entries: Mapping[str, EndpointEntry]) -> None:
        """Take what the platform lists now."""
        for identity in self._endpoints.keys() - entries.keys():
            self._endpoints.pop(identity).retire()
        for identity, entry in entries.items():
            held = self._endpoints.get(identity)
            if held is None:
                self._endpoints[identity] = self._create(entry)
            elif (
                held.entry.started_at_ms != entry.started_at_ms
                or held.entry.address != entry.address
            ):
                # The identity was started anew; nothing of before holds.
                held.retire()
                self._endpoints[identity] = self._create(entry)
            else:
                held.update(entry)
        by_service: dict[str, list[Endpoint]] = {}
        for endpoint in self._endpoints.values():
            by_service.setdefault(endpoint.entry.service, []).append(endpoint)
        self._by_service = {
            service: tuple(sorted(found, key=lambda endpoint: endpoint.entry.identity))
            for service, found in by_service.items()
        }

    def _create(self, entry: EndpointEntry) -> Endpoint:
        bound = self._idle_reuse_limits.setdefault(entry.service, IdleReuseLimit(entry.service))
        return Endpoint(entry, bound)

    def close_idle_connections(self) -> None:
        """Drop connections that have been idle for too long."""
        moment = clock.now()
        for endpoint in self._endpoints.values():
            endpoint.trim(moment)
