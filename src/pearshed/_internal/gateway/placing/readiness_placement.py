"""Sends prompts of services with competing callers to the engine that is ready for them first."""

import collections
import math
import random
import zlib
from collections.abc import Callable, Iterable, Mapping, Sequence, Set
from dataclasses import dataclass

from pearshed._internal.decisions.engine_load import Quote
from pearshed._internal.decisions.engine_pace import PaceState
from pearshed._internal.decisions.readiness import ReadinessEstimate
from pearshed._internal.gateway.endpoints import UNRESPONSIVE_AFTER_S, Endpoint
from pearshed._internal.gateway.lane_allocator import LaneAllocator
from pearshed._internal.gateway.placement import (
    Placement,
    PlacementDecision,
    prefer_healthy,
)
from pearshed._internal.gateway.placing.engine_readiness import (
    MIN_SHARED_TOKENS,
    EngineReadiness,
    ReadinessInputs,
    is_shared,
    run_of,
)
from pearshed._internal.gateway.placing.measured_lanes import (
    MeasuredLaneAllocator,
    OutputTokenCost,
)
from pearshed._internal.gateway.routed_call import RoutedCall
from pearshed._internal.membership import rendezvous
from pearshed._internal.models.routing import RoutedService
from pearshed._internal.models.stream_origin import StreamOrigin
from pearshed._internal.telemetry.metrics import Metric, Sample
from pearshed._internal.timers import clock

#: Up to this number of engines, each is considered.
MAX_SCANNED_ENGINES = 64
#: Engines of a prefix's order that are considered.
_MAX_HOMES = 4
#: Random engines that are compared with the best known one. All gateways read the same figures, so
#: that the best of all gets the requests of all of them at once.
_SAMPLES = 2
#: Random engines that are drawn in addition, in case that the request has tried some of them.
_SPARE_SAMPLES = 4
#: Share of the time left to the target up to which an engine counts as ready in time: an earlier
#: first event has no worth, and a second copy of a shared part costs other requests their time.
COMFORTABLE_SHARE = 0.6
#: Steps of the relative speed in the order of a prefix's engines, so that all gateways use the same
#: weight although they measure a little differently.
_WEIGHT_STEPS = 4
#: Change of the relative speed, in such steps, from which an engine's weight changes.
_WEIGHT_HYSTERESIS = 0.75
#: Shared prefixes whose last engine is remembered.
_MAX_PREFIXES = 4_000
#: Engines of one group, of large fleets: a prefix's homes are sought in two groups only.
_GROUP_SIZE = 32
#: Lanes whose groups are kept until they change.
_MAX_GROUPED_LANES = 8
_SCORE_BITS = 64


@dataclass(frozen=True, slots=True)
class Candidate:
    """An engine that was considered for a request.

    :ivar cost_ms: time until the first event, with what prefilling a shared part again costs other
        requests.
    :ivar position: in the order of the prefix, 0 is the home; -1 for others.
    """

    endpoint: Endpoint
    estimate: ReadinessEstimate
    cost_ms: float
    position: int


@dataclass(frozen=True, slots=True)
class Explanation:
    """A candidate with the inputs of its estimate.

    :ivar chosen: the request would go there.
    """

    candidate: Candidate
    inputs: ReadinessInputs
    state: PaceState
    chosen: bool


class ReadinessPlacement(Placement):
    """Sends a request to the engine at which it has its first event soonest.

    Requests with a long shared prefix go to the first engine, in an order that all gateways
    compute, that is ready in time; other requests to the best of two random engines and the best
    one known.

    :param data_centre: of this process.
    :param competes: returns whether callers with very different targets compete for a service.
    :param service: returns a service of the current configuration.
    :param fallback: places the requests of other services.
    """

    def __init__(
        self,
        data_centre: str,
        rng: random.Random,
        competes: Callable[[str], bool],
        service: Callable[[str], RoutedService | None],
        fallback: Placement,
    ) -> None:
        self._rng = rng
        self._competes = competes
        self._fallback = fallback
        self._readiness = EngineReadiness(data_centre, service)
        self._lane_allocators: dict[str, MeasuredLaneAllocator] = {}
        self._output_costs: dict[str, OutputTokenCost] = {}
        self._weights: dict[str, int] = {}
        self._groups: dict[int, tuple[Sequence[Endpoint], dict[str, list[Endpoint]]]] = {}
        self._best_known: dict[tuple[str, str], Endpoint] = {}
        self._prefix_engines: collections.OrderedDict[str, Endpoint] = collections.OrderedDict()

    @property
    def readiness(self) -> EngineReadiness:
        """The estimates of readiness."""
        return self._readiness

    @property
    def lane_allocators(self) -> Mapping[str, LaneAllocator]:
        """Lane allocators by service, those of the fallback included."""
        others: Mapping[str, LaneAllocator] = getattr(self._fallback, "lane_allocators", {})
        return {**others, **self._lane_allocators}

    def output_token_cost(self, service: str) -> OutputTokenCost:
        """Return what an output token costs the engines of a service."""
        return self._output_costs.setdefault(service, OutputTokenCost())

    def record_request(self, call: RoutedCall) -> None:
        """Record the work that a request causes."""
        if not self._competes(call.service):
            self._fallback.record_request(call)
            return
        metadata = call.metadata
        work = (
            metadata.prompt_tokens
            - call.shared_prefix_tokens * self._readiness.reuse_share(call)
            + metadata.expected_output_tokens * self.output_token_cost(call.service).tokens
        )
        self._allocator(call.service).record_request(call.route, metadata.prompt_tokens, work)

    def choose(
        self, call: RoutedCall, candidates: Sequence[Endpoint], *, overflow: bool = False
    ) -> PlacementDecision | None:
        """Choose the engine that is ready first, or the home of the prefix while it is in time."""
        if not self._competes(call.service):
            return self._fallback.choose(call, candidates, overflow=overflow)
        considered = self._consider(call, candidates, _SAMPLES, overflow)
        if not considered:
            return None
        best = considered[0]
        decision = self._decide(call, best, considered)
        speed = self._readiness.paces(call.service).tokens_per_s(best.endpoint.entry.identity)
        self._readiness.record_choice(
            call, best.endpoint, best.estimate.prefill_ms / clock.MILLISECONDS_PER_SECOND * speed
        )
        return decision

    def rank(
        self, call: RoutedCall, candidates: Sequence[Endpoint], limit: int
    ) -> Sequence[PlacementDecision]:
        """List the best engines for a request, the best first."""
        if not self._competes(call.service):
            return self._fallback.rank(call, candidates, limit)
        considered = self._consider(call, candidates, max(_SAMPLES, limit), overflow=False)
        return [self._decide(call, candidate, considered) for candidate in considered[:limit]]

    def record_prefill(self, call: RoutedCall, endpoint: Endpoint) -> None:
        """Record that an engine has prefilled the prompt of a request."""
        if not self._competes(call.service):
            self._fallback.record_prefill(call, endpoint)
            return
        self._readiness.record_prefill(call, endpoint)
        prefix_id = call.shared_prefix_id
        if prefix_id and call.shared_prefix_tokens >= MIN_SHARED_TOKENS:
            self._prefix_engines[prefix_id] = endpoint
            self._prefix_engines.move_to_end(prefix_id)
            if len(self._prefix_engines) > _MAX_PREFIXES:
                self._prefix_engines.popitem(last=False)

    def record_quote(self, call: RoutedCall, endpoint: Endpoint, quote: Quote) -> None:
        """Record a quote, which the endpoint has recorded already, for one request."""
        if self._competes(call.service):
            self._readiness.record_quote(call, endpoint, quote)

    def record_answer(
        self, call: RoutedCall, endpoint: Endpoint, elapsed_s: float, generating_s: float
    ) -> None:
        """Record a complete stream, from whose pace the cost of an output token follows."""
        del elapsed_s
        if not self._competes(call.service):
            return
        report = endpoint.reported_load
        running = report.running if report is not None else endpoint.in_flight + 1
        speed = self._readiness.paces(call.service).tokens_per_s(endpoint.entry.identity)
        self.output_token_cost(call.service).record(
            generating_s,
            call.metadata.expected_output_tokens,
            running,
            endpoint.entry.slots,
            speed,
        )

    def explain(self, call: RoutedCall, candidates: Sequence[Endpoint]) -> Sequence[Explanation]:
        """List the engines that would be considered for a request, without sending it."""
        best_known = dict(self._best_known)
        considered = self._consider(call, candidates, MAX_SCANNED_ENGINES, overflow=False)
        self._best_known = best_known
        paces = self._readiness.paces(call.service)
        now = clock.now()
        return [
            Explanation(
                candidate,
                self._readiness.inputs(call, candidate.endpoint, is_home=candidate.position == 0),
                paces.state(
                    candidate.endpoint.entry.identity,
                    failing=candidate.endpoint.is_ejected(now)
                    or candidate.endpoint.failure_share >= 0.5,
                    silent=candidate.endpoint.is_silent(now)
                    or candidate.endpoint.unresponsive_s(now) >= UNRESPONSIVE_AFTER_S,
                    cold=candidate.endpoint.entry.warmup_remaining_s > 0,
                    loaded=candidate.estimate.wait_ms > candidate.estimate.prefill_ms,
                ),
                index == 0,
            )
            for index, candidate in enumerate(considered)
        ]

    def dump(self, endpoints: Iterable[Endpoint]) -> Sequence[Mapping[str, object]]:
        """Return the speeds of engines for the state dump."""
        shares = self._shares(endpoints)
        return [
            {
                "service": service,
                "engine": report.engine,
                "tokens_per_s": round(report.tokens_per_s),
                "relative_speed": round(report.relative_speed, 3),
                "sustained_age_s": _finite(report.sustained_age_s),
                "busy_percent": report.busy_percent,
                "busy_age_s": _finite(report.busy_age_s),
                "work_share": round(shares.get(report.engine, (0.0, 0.0))[0], 4),
                "speed_share": round(shares.get(report.engine, (0.0, 0.0))[1], 4),
            }
            for service, paces in self._readiness.all_paces.items()
            for report in paces.reports()
        ]

    def collect(self, endpoints: Iterable[Endpoint]) -> Iterable[Metric]:
        """Return the speeds and the shares of work of all engines as metrics."""
        reports = [
            report for paces in self._readiness.all_paces.values() for report in paces.reports()
        ]
        shares = self._shares(endpoints)
        values: tuple[tuple[str, str, list[tuple[str, float]]], ...] = (
            (
                "pearshed_gateway_engine_tokens_per_second",
                "Sustained prefill speed of an engine",
                [(report.engine, report.tokens_per_s) for report in reports],
            ),
            (
                "pearshed_gateway_engine_speed_age_seconds",
                "Age of the latest figure of an engine's sustained speed",
                [(r.engine, r.sustained_age_s) for r in reports if r.tokens_per_s],
            ),
            (
                "pearshed_gateway_engine_busy_percent",
                "How long work takes on an engine, in percent of the usual, at the latest figure",
                [(r.engine, r.busy_percent) for r in reports if math.isfinite(r.busy_age_s)],
            ),
            (
                "pearshed_gateway_engine_busy_age_seconds",
                "Age of that figure",
                [(r.engine, r.busy_age_s) for r in reports if math.isfinite(r.busy_age_s)],
            ),
            (
                "pearshed_gateway_engine_work_share",
                "Share of this gateway's work that an engine got",
                [(engine, work) for engine, (work, _) in shares.items()],
            ),
            (
                "pearshed_gateway_engine_speed_share",
                "Share of its service's speed that an engine has",
                [(engine, speed) for engine, (_, speed) in shares.items()],
            ),
        )
        for name, text, samples in values:
            yield Metric(
                name, text, tuple(Sample(value, {"endpoint": engine}) for engine, value in samples)
            )

    def _shares(self, endpoints: Iterable[Endpoint]) -> dict[str, tuple[float, float]]:
        """Return each engine's share of its service's work and of its speed."""
        by_service: dict[str, list[Endpoint]] = {}
        for endpoint in endpoints:
            if endpoint.entry.service in self._readiness.all_paces:
                by_service.setdefault(endpoint.entry.service, []).append(endpoint)
        shares = {}
        for service, members in by_service.items():
            paces = self._readiness.paces(service)
            work = {m.entry.identity: self._readiness.own_tokens_total(m) for m in members}
            speed = {m.entry.identity: paces.tokens_per_s(m.entry.identity) for m in members}
            total_work, total_speed = sum(work.values()) or 1.0, sum(speed.values()) or 1.0
            for engine, tokens in work.items():
                shares[engine] = (tokens / total_work, speed[engine] / total_speed)
        return shares

    def _allocator(self, service: str) -> MeasuredLaneAllocator:
        allocator = self._lane_allocators.get(service)
        if allocator is None:
            allocator = MeasuredLaneAllocator(self._readiness.paces(service))
            self._lane_allocators[service] = allocator
        return allocator

    def _consider(
        self, call: RoutedCall, candidates: Sequence[Endpoint], samples: int, overflow: bool
    ) -> list[Candidate]:
        """Estimate the engines that come into question, the best first."""
        if not candidates:
            return []
        lane = self._allocator(call.service).select(
            call.route, call.metadata.prompt_tokens, candidates, overflow=overflow
        )
        if len(candidates) <= MAX_SCANNED_ENGINES:
            allowed = dict.fromkeys(prefer_healthy(candidates, self._rng)).keys()
            lane = [endpoint for endpoint in lane if endpoint in allowed] or list(allowed)
        else:
            allowed = dict.fromkeys(candidates).keys()
        considered = (
            self._consider_shared(call, lane, allowed, samples)
            if is_shared(call)
            else self._consider_short(call, lane, allowed, samples)
        )
        limit_ms = self._time_left_ms(call)
        if not is_shared(call):
            limit_ms *= COMFORTABLE_SHARE
        if considered[0].estimate.ready_ms > limit_ms and not overflow:
            # The lane is late for this request; engines of longer prompts may be ready. A shared
            # part goes there only when it would be late at all of its homes.
            wider = self._allocator(call.service).select(
                call.route, call.metadata.prompt_tokens, candidates, overflow=True
            )
            others = wider
            if len(candidates) <= MAX_SCANNED_ENGINES:
                others = [endpoint for endpoint in wider if endpoint not in lane]
            if others and others is not lane:
                known = {candidate.endpoint for candidate in considered}
                considered += [
                    self._candidate(call, endpoint, -1)
                    for endpoint in prefer_healthy(
                        self._sample(others, max(_SAMPLES, samples), allowed), self._rng
                    )
                    if endpoint not in known
                ]
                if not is_shared(call):
                    considered.sort(key=lambda candidate: candidate.cost_ms)
        return considered

    def _consider_shared(
        self,
        call: RoutedCall,
        lane: Sequence[Endpoint],
        allowed: Set[Endpoint],
        samples: int,
    ) -> list[Candidate]:
        """List the homes of the prefix: the first that is ready in time, then by cost."""
        homes = self._homes(call.shared_prefix_id, call.service, lane)
        if len(lane) > MAX_SCANNED_ENGINES:
            homes = list(prefer_healthy([h for h in homes if h in allowed], self._rng))
        considered = [
            self._candidate(call, endpoint, position) for position, endpoint in enumerate(homes)
        ]
        left_ms = self._time_left_ms(call)
        comfortable_ms = left_ms * COMFORTABLE_SHARE
        first = next(
            (item for item in considered if item.estimate.ready_ms <= comfortable_ms), None
        )
        holder = self._prefix_engines.get(call.shared_prefix_id)
        if first is None and holder is not None and holder in allowed and holder not in homes:
            considered.append(self._candidate(call, holder, -1))
        if len(considered) < samples or all(
            item.estimate.ready_ms > left_ms for item in considered
        ):
            # Copies at random engines would be found by no other gateway, so they are the last
            # resort.
            known = {item.endpoint for item in considered}
            considered += [
                self._candidate(call, endpoint, -1)
                for endpoint in self._sample(lane, max(1, samples), allowed)
                if endpoint not in known
            ]
        considered.sort(key=lambda candidate: candidate.cost_ms)
        if first is not None:
            considered.remove(first)
            considered.insert(0, first)
        return considered

    def _consider_short(
        self,
        call: RoutedCall,
        lane: Sequence[Endpoint],
        allowed: Set[Endpoint],
        samples: int,
    ) -> list[Candidate]:
        """List random engines and the best known one by their readiness."""
        endpoints = self._sample(lane, samples, allowed)
        key = (call.service, call.route.name)
        best_known = self._best_known.get(key)
        if best_known is not None and best_known not in endpoints and best_known in allowed:
            endpoints.append(best_known)
        if len(lane) > MAX_SCANNED_ENGINES:
            endpoints = list(prefer_healthy(endpoints, self._rng))
        considered = sorted(
            (self._candidate(call, endpoint, -1) for endpoint in endpoints),
            key=lambda candidate: candidate.cost_ms,
        )
        # The chosen one gets busier by this request, so the second is the best known afterwards if
        # it is ready sooner then.
        best = considered[0]
        after_ms = best.estimate.ready_ms + best.estimate.prefill_ms
        if len(considered) > 1 and considered[1].estimate.ready_ms < after_ms:
            self._best_known[key] = considered[1].endpoint
        else:
            self._best_known[key] = best.endpoint
        return considered

    def _sample(
        self, lane: Sequence[Endpoint], count: int, allowed: Set[Endpoint]
    ) -> list[Endpoint]:
        """Return random engines of a lane that may get the request; at least one, if any may."""
        drawn = self._rng.sample(lane, min(count + _SPARE_SAMPLES, len(lane)))
        sampled = [endpoint for endpoint in drawn if endpoint in allowed][:count]
        return sampled or list(allowed)[:count]

    def _candidate(self, call: RoutedCall, endpoint: Endpoint, position: int) -> Candidate:
        is_home = position == 0
        estimate = self._readiness.estimate_at(call, endpoint, is_home=is_home)
        cost_ms = estimate.ready_ms
        if is_shared(call):
            # Prefilling the part again also delays the requests behind this one.
            speed = self._readiness.paces(call.service).tokens_per_s(endpoint.entry.identity)
            per_ms = speed / clock.MILLISECONDS_PER_SECOND
            cost_ms += self._readiness.missing_ms(call, endpoint, per_ms, is_home)
        return Candidate(endpoint, estimate, cost_ms, position)

    def _decide(
        self, call: RoutedCall, candidate: Candidate, considered: Sequence[Candidate]
    ) -> PlacementDecision:
        home = next((item.endpoint for item in considered if item.position == 0), None)
        return PlacementDecision(
            candidate.endpoint,
            self._fetch_source(call, candidate.endpoint, home),
            candidate.estimate,
        )

    def _fetch_source(
        self, call: RoutedCall, chosen: Endpoint, home: Endpoint | None
    ) -> Endpoint | None:
        """Find the engine from which the shared prefix can be copied, if that is worth it."""
        if not is_shared(call):
            return None
        source = self._prefix_engines.get(call.shared_prefix_id, home)
        if (
            source is None
            or source is chosen
            or not source.accepting
            or source.is_ejected(clock.now())
            or StreamOrigin.of(source.entry) != StreamOrigin.of(chosen.entry)
        ):
            return None
        if self._readiness.reuse.chance(call.shared_prefix_id, run_of(chosen), is_home=False) > 0.5:
            return None
        copy_ms = self._readiness.copy_cost(call.service).copy_ms(call.shared_prefix_tokens)
        speed = self._readiness.paces(call.service).tokens_per_s(chosen.entry.identity)
        prefill_ms = call.shared_prefix_tokens / speed * clock.MILLISECONDS_PER_SECOND
        return source if copy_ms is None or copy_ms < prefill_ms else None

    def _time_left_ms(self, call: RoutedCall) -> float:
        elapsed_s = clock.now() - call.request.received_at
        return max(0.0, call.route.target_ms - elapsed_s * clock.MILLISECONDS_PER_SECOND)

    def _homes(self, prefix_id: str, service: str, lane: Sequence[Endpoint]) -> list[Endpoint]:
        """Return the first engines in the prefix's order, which all gateways compute alike.

        Engines of half the speed are the home of half as many prefixes.
        """
        members = lane
        if len(lane) > MAX_SCANNED_ENGINES:
            members = self._nearest_groups(prefix_id, lane)
        ordered = sorted(
            members,
            key=lambda endpoint: self._distance(prefix_id, service, endpoint.entry.identity),
        )
        return ordered[:_MAX_HOMES]

    def _nearest_groups(self, prefix_id: str, lane: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """Return the engines of the groups that come first for a prefix.

        The number of groups is a power of two, so that it changes rarely while engines come and go.
        """
        cached = self._groups.get(id(lane))
        if cached is None or cached[0] is not lane:
            count = 2 ** int(math.log2(max(1, len(lane) // _GROUP_SIZE)))
            groups: dict[str, list[Endpoint]] = {str(index): [] for index in range(count)}
            for endpoint in lane:
                group = zlib.crc32(endpoint.entry.identity.encode()) & (count - 1)
                groups[str(group)].append(endpoint)
            if len(self._groups) >= _MAX_GROUPED_LANES:
                self._groups.clear()
            cached = self._groups[id(lane)] = (lane, groups)
        _, groups = cached
        first, second = (rendezvous.ranked(prefix_id, groups) * 2)[:2]
        return [*groups[first], *groups[second]] or lane[:MAX_SCANNED_ENGINES]

    def _distance(self, prefix_id: str, service: str, identity: str) -> float:
        """Return the sort key of weighted rendezvous hashing, the smallest first."""
        share = (rendezvous.score(prefix_id, identity) + 0.5) / 2.0**_SCORE_BITS
        return -math.log(share) / self._weight(service, identity)

    def _weight(self, service: str, identity: str) -> int:
        """Return an engine's weight: its relative speed in steps, which changes rarely."""
        exact = self._readiness.paces(service).relative_speed(identity) * _WEIGHT_STEPS
        weight = self._weights.get(identity)
        if weight is None or abs(exact - weight) > _WEIGHT_HYSTERESIS:
            weight = self._weights[identity] = max(1, round(exact))
        return weight


def _finite(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None
