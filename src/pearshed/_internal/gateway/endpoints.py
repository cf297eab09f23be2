"""Endpoints as this process uses them: connections, load and failures."""

from collections.abc import Iterable, Mapping

from absl import logging

from pearshed._internal.decisions.engine_load import Quote
from pearshed._internal.decisions.engine_pauses import PauseRequest
from pearshed._internal.gateway.availability.evacuations import EvacuationTable
from pearshed._internal.gateway.availability.pauses import PauseTable
from pearshed._internal.gateway.header_codec import EndpointLoadReport
from pearshed._internal.gateway.idle_reuse_limit import IdleReuseLimit
from pearshed._internal.gateway.leaving_endpoints import LeavingEndpoints
from pearshed._internal.http.endpoint_connection import EndpointConnection, connect
from pearshed._internal.models.routing import EndpointEntry, EndpointState
from pearshed._internal.timers import clock

#: An endpoint is a few milliseconds away; an unreachable one delays a request by this.
CONNECT_TIMEOUT_S = 0.35
#: Idle limit assumed for an endpoint that announces none.
DEFAULT_IDLE_LIMIT_S = 8.0
#: Share of the idle limit up to which a connection is reused.
IDLE_LIMIT_SHARE = 0.7
#: Idle time up to which a connection may carry a request that must not be sent twice.
NON_RETRYABLE_IDLE_S = 2.5
#: Weight of the latest outcome in the failure share.
_FAILURE_WEIGHT = 0.2
_FIRST_EJECTION_S = 0.5
#: Time without data for requests in flight after which an endpoint is avoided, seconds.
UNRESPONSIVE_AFTER_S = 1.2
_MAX_EJECTION_S = 4.0
#: Time for which an endpoint is avoided after its side has reported that it is silent, seconds.
SILENCE_TTL_S = 0.5
#: The weight of a reported load falls from 1 to 0 within this time, seconds.
LOAD_REPORT_TTL_S = 2.0


class Endpoint:
    """One endpoint with this process's connections to it.

    :param entry: as listed by the platform; replaced when it changes.
    :param idle_reuse_limit: of the service's connections.
    :param leaving_endpoints: the runs of all endpoints that have announced that they leave.
    :param evacuations: the evacuated data centres.
    :param pauses: the pauses that engines have asked for.
    """

    def __init__(
        self,
        entry: EndpointEntry,
        idle_reuse_limit: IdleReuseLimit | None = None,
        leaving_endpoints: LeavingEndpoints | None = None,
        evacuations: EvacuationTable | None = None,
        pauses: PauseTable | None = None,
    ) -> None:
        self._evacuations = evacuations if evacuations is not None else EvacuationTable()
        self._pauses = pauses if pauses is not None else PauseTable()
        self._entry = entry
        self._idle_reuse_limit = idle_reuse_limit or IdleReuseLimit(entry.service)
        self._leaving_endpoints = (
            leaving_endpoints if leaving_endpoints is not None else LeavingEndpoints()
        )
        self._leaving = self._leaving_endpoints.is_leaving(entry)
        self._idle_connections: list[EndpointConnection] = []
        self._in_flight: dict[int, tuple[float, int]] = {}
        self._in_use = 0
        self._last_handle = 0
        self._last_received_at = clock.now()
        self._failure_share = 0.0
        self._ejections = 0
        self._ejected_until = float("-inf")
        self._silent_until = float("-inf")
        self._load: EndpointLoadReport | None = None
        self._load_reported_at = float("-inf")
        self._in_flight_at_report = 0
        self._retired = False
        self._quote: Quote | None = None
        self._quoted_at = float("-inf")

    @property
    def entry(self) -> EndpointEntry:
        """The endpoint's entry, as listed by the platform."""
        return self._entry

    @property
    def in_flight(self) -> int:
        """Number of this process's requests at the endpoint."""
        return len(self._in_flight)

    @property
    def pending_prefill_tokens(self) -> int:
        """Pending prefill of this process's requests in flight, tokens."""
        return sum(tokens for _, tokens in self._in_flight.values())

    @property
    def open_connections(self) -> int:
        """Number of connections in use, being opened or idle."""
        return self._in_use + len(self._idle_connections)

    @property
    def latest_quote(self) -> Quote | None:
        """The latest quote of the engine's side; ``None`` before the first."""
        return self._quote

    def quote_age_s(self, now: float) -> float:
        """Age of the latest quote, seconds; infinite before the first."""
        return now - self._quoted_at

    def record_quote(self, quote: Quote) -> None:
        """Record a quote of the engine's side, with the load that it states."""
        self._quote = quote
        self._quoted_at = clock.now()

    @property
    def reported_load(self) -> EndpointLoadReport | None:
        """The last load that the endpoint has reported; ``None`` before the first."""
        return self._load

    @property
    def in_flight_at_report(self) -> int:
        """Number of this process's requests at the endpoint when it reported its load."""
        return self._in_flight_at_report

    def load_age_s(self, now: float) -> float:
        """Age of the reported load, seconds; infinite before the first."""
        return now - self._load_reported_at

    @property
    def accepting(self) -> bool:
        """Whether the endpoint may get new requests.

        It is listed as ready, not retired, hasn't announced that it leaves, doesn't pause, and its
        data centre is not evacuated.
        """
        return self.accepts_otherwise and not self.evacuated and not self.pause_s

    @property
    def accepts_otherwise(self) -> bool:
        """Whether the endpoint may get new requests, or could but for an evacuation or pause."""
        return not self._retired and not self._leaving and self._entry.state is EndpointState.READY

    @property
    def evacuated(self) -> bool:
        """Whether the endpoint's data centre is evacuated."""
        return self._evacuations.is_evacuated(self._entry.data_centre)

    @property
    def pause_s(self) -> float:
        """Rest of the pause that the endpoint has asked for, seconds; 0 without one."""
        return self._pauses.remaining_s(self._entry)

    @property
    def failure_share(self) -> float:
        """Recent share of requests that failed, 0 to 1."""
        return self._failure_share

    def is_ejected(self, now: float) -> bool:
        """Return whether the endpoint is ejected after failures."""
        return now < self._ejected_until

    def is_silent(self, now: float) -> bool:
        """Return whether the endpoint's side has reported that it is silent."""
        return now < self._silent_until

    def unresponsive_s(self, now: float) -> float:
        """Time without data for the requests in flight, seconds; 0 if there are none."""
        if not self._in_flight:
            return 0.0
        oldest = min(started for started, _ in self._in_flight.values())
        return max(0.0, now - max(self._last_received_at, oldest))

    def other_callers_load(self, now: float) -> float:
        """Estimate other callers' requests from the last report, whose weight falls with age."""
        if self._load is None:
            return 0.0
        decay = max(0.0, 1.0 - (now - self._load_reported_at) / LOAD_REPORT_TTL_S)
        return max(0, self._load.running + self._load.waiting - self._in_flight_at_report) * decay

    def update(self, entry: EndpointEntry) -> None:
        """Apply a changed entry."""
        if entry.address != self._entry.address or entry.started_at_ms != self._entry.started_at_ms:
            self.close_idle()
        self._entry = entry

    def retire(self) -> None:
        """Stop new requests to an endpoint that is gone; those in flight may finish."""
        self._retired = True
        self.close_idle()

    def mark_misdirected(self) -> None:
        """Stop new requests: another endpoint responds at the address."""
        self._retired = True
        self.close_idle()

    def mark_silent(self) -> None:
        """Avoid the endpoint for a moment: its side reports that it is silent."""
        self._silent_until = clock.now() + SILENCE_TTL_S

    def mark_leaving(self) -> None:
        """Stop new requests for good: the endpoint has announced that it leaves."""
        self._leaving = True
        if self._leaving_endpoints.add(self._entry):
            self.close_idle()
            logging.info(
                "endpoint.leaving",
                extra={
                    "fields": {
                        "identity": self._entry.identity,
                        "service": self._entry.service,
                        "address": str(self._entry.address),
                        "in_flight": self.in_flight,
                    }
                },
            )

    def record_pause(self, asked: PauseRequest) -> None:
        """Stop new requests for the time that the endpoint asks for."""
        self._pauses.record(self._entry, asked)

    async def acquire(self, retryable: bool) -> EndpointConnection:
        """Return an idle connection or open one.

        :param retryable: the request may be sent again if an idle connection turns out to be dead.
        :raises OSError: when none can be opened in time.
        """
        now = clock.now()
        while self._idle_connections:
            connection = self._idle_connections.pop()
            idle_s = now - connection.idle_since
            limit_s = self._idle_limit_s(connection)
            if not retryable:
                limit_s = min(limit_s, NON_RETRYABLE_IDLE_S)
            if connection.usable and idle_s < limit_s:
                self._in_use += 1
                return connection
            connection.abort()
        self._in_use += 1
        try:
            return await connect(self._entry.address, CONNECT_TIMEOUT_S)
        except BaseException:
            self._in_use -= 1
            raise

    def record_idle_drop(self, idle_s: float) -> None:
        """Record a connection that ended with the first bytes sent after an idle time.

        :param idle_s: its idle time, seconds.
        """
        self._idle_reuse_limit.record_drop(idle_s)

    def release(self, connection: EndpointConnection, complete: bool) -> None:
        """Return a connection after use.

        :param complete: its response was read completely; otherwise the connection is reset.
        """
        self._in_use -= 1
        if not complete:
            connection.abort()
        elif connection.finish() and not (self._retired or self._leaving or self.evacuated):
            self._idle_connections.append(connection)

    def start_request(self, tokens: int) -> int:
        """Record a request that is sent now.

        :param tokens: tokens of its prompt to prefill.
        :returns: a handle for ``finish_request``.
        """
        self._last_handle += 1
        self._in_flight[self._last_handle] = (clock.now(), tokens)
        return self._last_handle

    def mark_prefilled(self, handle: int) -> None:
        """Record that a request's prompt has been prefilled."""
        if handle in self._in_flight:
            self._in_flight[handle] = (self._in_flight[handle][0], 0)

    def finish_request(self, handle: int) -> None:
        """Record the end of a request."""
        self._in_flight.pop(handle, None)

    def record_data(self, report: EndpointLoadReport | None = None) -> None:
        """Record that data arrived, with the load that it reports."""
        self._last_received_at = clock.now()
        self._silent_until = float("-inf")
        if report is not None:
            self.record_load(report)

    def record_load(self, report: EndpointLoadReport) -> None:
        """Record the load that the endpoint or its side reports."""
        self._load = report
        self._load_reported_at = clock.now()
        self._in_flight_at_report = len(self._in_flight)

    def record_success(self) -> None:
        """Record a successful response."""
        self._failure_share *= 1.0 - _FAILURE_WEIGHT
        self._ejections = 0

    def record_failure(self) -> None:
        """Record a failed response."""
        self._failure_share += (1.0 - self._failure_share) * _FAILURE_WEIGHT

    def record_unreachable(self) -> None:
        """Record that no connection could be opened, and eject the endpoint for a while.

        Connections that fail while it is ejected show nothing new: they were begun together.
        """
        self._eject("no connection could be opened")

    def record_out_of_time(self) -> None:
        """Record that a request got no response in its time; eject an endpoint that sends nothing.

        Its report may work all the same, and without a mark the next request would wait there too.
        """
        if self.unresponsive_s(clock.now()) >= UNRESPONSIVE_AFTER_S:
            self._eject("it sends nothing")

    def _eject(self, cause: str) -> None:
        if self.is_ejected(clock.now()):
            return
        self.record_failure()
        ejection_s = min(_MAX_EJECTION_S, _FIRST_EJECTION_S * 2.0**self._ejections)
        self._ejections += 1
        self._ejected_until = clock.now() + ejection_s
        logging.info(
            "endpoint.ejected",
            extra={
                "fields": {
                    "identity": self._entry.identity,
                    "address": str(self._entry.address),
                    "cause": cause,
                    "for_s": ejection_s,
                    "failure_share": round(self._failure_share, 2),
                }
            },
        )

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in self._idle_connections:
            connection.abort()
        self._idle_connections.clear()

    def _idle_limit_s(self, connection: EndpointConnection) -> float:
        limit_s = connection.idle_limit_s(DEFAULT_IDLE_LIMIT_S) * IDLE_LIMIT_SHARE
        return min(limit_s, self._idle_reuse_limit.max_idle_s)

    def close_expired_idle(self, now: float) -> None:
        """Close idle connections that are unusable or have been idle for too long."""
        reusable = []
        for connection in self._idle_connections:
            limit_s = self._idle_limit_s(connection)
            if connection.usable and now - connection.idle_since < limit_s:
                reusable.append(connection)
            else:
                connection.abort()
        self._idle_connections = reusable


class EndpointTable:
    """The endpoints that the platform lists, by service.

    :param evacuations: the evacuated data centres.
    :param pauses: the pauses that engines have asked for.
    """

    def __init__(
        self, evacuations: EvacuationTable | None = None, pauses: PauseTable | None = None
    ) -> None:
        self._evacuations = evacuations if evacuations is not None else EvacuationTable()
        self._pauses = pauses if pauses is not None else PauseTable()
        self._evacuations.on_change(self._close_evacuated)
        self._endpoints: dict[str, Endpoint] = {}
        self._by_service: dict[str, tuple[Endpoint, ...]] = {}
        self._idle_reuse_limits: dict[str, IdleReuseLimit] = {}
        self._leaving = LeavingEndpoints()

    @property
    def leaving_announcements(self) -> int:
        """Number of endpoints that have announced that they leave."""
        return self._leaving.announcements

    @property
    def endpoints(self) -> Iterable[Endpoint]:
        """All endpoints."""
        return self._endpoints.values()

    def of_service(self, service: str) -> tuple[Endpoint, ...]:
        """List the endpoints of a service that may get new requests."""
        endpoints = self._by_service.get(service, ())
        return tuple(endpoint for endpoint in endpoints if endpoint.accepting)

    def evacuated_of_service(self, service: str) -> tuple[Endpoint, ...]:
        """List the endpoints of a service in evacuated data centres that could get requests."""
        endpoints = self._by_service.get(service, ())
        return tuple(one for one in endpoints if one.accepts_otherwise and one.evacuated)

    def paused_of_service(self, service: str) -> tuple[Endpoint, ...]:
        """List the endpoints of a service that get no requests only since they pause."""
        endpoints = self._by_service.get(service, ())
        return tuple(
            one for one in endpoints if one.accepts_otherwise and not one.evacuated and one.pause_s
        )

    def update(self, entries: Mapping[str, EndpointEntry]) -> None:
        """Apply the entries that the platform lists now."""
        for identity in self._endpoints.keys() - entries.keys():
            self._endpoints.pop(identity).retire()
        for identity, entry in entries.items():
            current = self._endpoints.get(identity)
            if current is None:
                self._endpoints[identity] = self._create(entry)
            elif (
                current.entry.started_at_ms != entry.started_at_ms
                or current.entry.address != entry.address
            ):
                # The endpoint restarted or moved; no earlier state applies.
                current.retire()
                self._endpoints[identity] = self._create(entry)
            else:
                current.update(entry)
        by_service: dict[str, list[Endpoint]] = {}
        for endpoint in self._endpoints.values():
            by_service.setdefault(endpoint.entry.service, []).append(endpoint)
        self._by_service = {
            service: tuple(sorted(endpoints, key=lambda endpoint: endpoint.entry.identity))
            for service, endpoints in by_service.items()
        }

    def _create(self, entry: EndpointEntry) -> Endpoint:
        limit = self._idle_reuse_limits.setdefault(entry.service, IdleReuseLimit(entry.service))
        return Endpoint(entry, limit, self._leaving, self._evacuations, self._pauses)

    def _close_evacuated(self, data_centres: frozenset[str]) -> None:
        """Close the idle connections to evacuated data centres."""
        for endpoint in self._endpoints.values():
            if endpoint.entry.data_centre in data_centres:
                endpoint.close_idle()

    def close_idle_connections(self) -> None:
        """Close connections that have been idle for too long."""
        now = clock.now()
        for endpoint in self._endpoints.values():
            endpoint.close_expired_idle(now)
