"""Sends plain requests where they are done first, if endpoints say how busy their machines are."""

import random
from collections.abc import Sequence

from absl import logging

from pearshed._internal.decisions.engine_pace import EnginePaces
from pearshed._internal.gateway.endpoints import Endpoint
from pearshed._internal.gateway.placement import Placement, PlacementDecision, prefer_healthy
from pearshed._internal.gateway.routed_call import RoutedCall
from pearshed._internal.timers import clock

#: Requests by which an endpoint in another data centre must be less loaded.
REMOTE_PENALTY_REQUESTS = 1.0
#: Requests by which an endpoint whose requests all fail must be less loaded.
_FAILURE_PENALTY_REQUESTS = 4.0
#: Random part of a comparison, requests, so that gateways with the same figures don't all choose
#: one endpoint.
_TIE_REQUESTS = 0.5


class PlainReadinessPlacement(Placement):
    """Compares the expected work time of plain endpoints: count, sustained and momentary speed.

    Where no endpoint of a service has ever said how busy its machine is, the fallback decides.

    :param data_centre: of this process.
    :param fallback: compares counts of requests.
    """

    def __init__(self, data_centre: str, rng: random.Random, fallback: Placement) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._fallback = fallback
        self._paces: dict[str, EnginePaces] = {}

    def record_request(self, call: RoutedCall) -> None:
        """Record a request before its first attempt."""
        self._fallback.record_request(call)

    def record_prefill(self, call: RoutedCall, endpoint: Endpoint) -> None:
        """Do nothing: plain requests have no prompt."""

    def record_answer(
        self, call: RoutedCall, endpoint: Endpoint, elapsed_s: float, generating_s: float
    ) -> None:
        """Record the work time of a call."""
        del generating_s
        paces = self._paces.get(call.service)
        if paces is None:
            if not _states_business(endpoint):
                return
            paces = self._paces[call.service] = EnginePaces()
        self._observe(paces, endpoint)
        entry = endpoint.entry
        work_ms = elapsed_s * clock.MILLISECONDS_PER_SECOND
        paces.record_work(entry.identity, entry.started_at_ms, call.route.name, work_ms)

    def choose(
        self, call: RoutedCall, candidates: Sequence[Endpoint], *, overflow: bool = False
    ) -> PlacementDecision | None:
        """Choose the endpoint with the least expected work time."""
        if not any(_states_business(endpoint) for endpoint in candidates):
            return self._fallback.choose(call, candidates, overflow=overflow)
        paces = self._paces.setdefault(call.service, EnginePaces())
        for endpoint in candidates:
            self._observe(paces, endpoint)
        now = clock.now()

        def expected_work(endpoint: Endpoint) -> float:
            identity = endpoint.entry.identity
            is_local = endpoint.entry.data_centre == self._data_centre
            count = (
                1.0
                + endpoint.in_flight
                + endpoint.other_callers_load(now)
                + (0.0 if is_local else REMOTE_PENALTY_REQUESTS)
                + endpoint.failure_share * _FAILURE_PENALTY_REQUESTS
                + self._rng.random() * _TIE_REQUESTS
            )
            return count / paces.relative_speed(identity) * paces.work_factor(identity)

        return PlacementDecision(min(prefer_healthy(candidates, self._rng), key=expected_work))

    @staticmethod
    def _observe(paces: EnginePaces, endpoint: Endpoint) -> None:
        """Take in the momentary figure that the endpoint reported last."""
        report = endpoint.reported_load
        if report is None or report.busy_percent is None:
            return
        entry = endpoint.entry
        age_s = endpoint.load_age_s(clock.now())
        if paces.record_busy(entry.identity, entry.started_at_ms, report.busy_percent, age_s):
            fields = {"identity": entry.identity, "figure": "busy_percent"}
            logging.warning(
                "endpoint.false_figure", extra={"fields": fields | {"value": report.busy_percent}}
            )


def _states_business(endpoint: Endpoint) -> bool:
    report = endpoint.reported_load
    return report is not None and report.busy_percent is not None
