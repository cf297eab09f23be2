"""Estimates when a request has its first event at an engine, from what sides say and own requests.

The figures of a side are as old as the last response from it. Other gateways have sent requests
since, so an old figure is drawn towards the mean of the earlier ones.
"""

import collections
import math
import weakref
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from absl import logging

from pearshed._internal.decisions.engine_load import Quote
from pearshed._internal.decisions.engine_pace import EnginePaces
from pearshed._internal.decisions.prompt_reuse import CopyCost, PromptReuse, missing_ms
from pearshed._internal.decisions.readiness import ReadinessEstimate, ReadinessSource
from pearshed._internal.gateway.endpoints import LOAD_REPORT_TTL_S, Endpoint
from pearshed._internal.gateway.routed_call import RoutedCall
from pearshed._internal.models.routing import RoutedService
from pearshed._internal.timers import clock

#: Age of a quote from which requests are counted instead, seconds.
QUOTE_TTL_S = 10.0
#: Time in which an old figure of a wait moves most of the way to the mean of the earlier ones,
#: seconds: a burst builds up and drains within about a second.
_REVERSION_S = 1.0
#: Weight of the latest figure in the means.
_MEAN_WEIGHT = 0.2
#: Weight of the latest request in the share of cached tokens.
_REUSE_WEIGHT = 0.05
#: Time after which an own request counts as prefilled, seconds, although nothing has confirmed it.
_OWN_TTL_S = 2.0
#: Own requests per engine that are remembered.
_MAX_OWN = 256
#: Time from the prefill to the first event until quotes show it, milliseconds.
_FIRST_EVENT_MS = 50.0
_MAX_FIRST_EVENT_MS = 500.0
#: Cost of an engine in another data centre for a prompt without a long shared prefix, milliseconds;
#: the way takes less, but traffic between data centres is billed.
REMOTE_MS = 20.0
#: Shorter shared prefixes bind a request to no engine.
MIN_SHARED_TOKENS = 1024


@dataclass(slots=True)
class _OwnRequest:
    at: float
    tokens: float


@dataclass(slots=True)
class _EngineState:
    """What this gateway knows of one run of an engine.

    :ivar ahead_tokens: tokens to prefill before a new request, at the latest quote.
    :ivar rank_ahead: the same by rank, with the clock reading, from quotes for such requests.
    """

    quote: Quote | None = None
    report_age_origin: float = float("-inf")
    ahead_tokens: float = 0.0
    mean_ahead_tokens: float | None = None
    rank_ahead: dict[int, tuple[float, float]] = field(default_factory=dict)
    first_event_ms: float = _FIRST_EVENT_MS
    own: collections.OrderedDict[str, _OwnRequest] = field(default_factory=collections.OrderedDict)
    own_tokens_total: float = 0.0


@dataclass(frozen=True, slots=True)
class ReadinessInputs:
    """Inputs of an estimate, for explanations.

    :ivar quote_age_s: age of the latest quote, seconds; infinite without one.
    :ivar counted: requests were counted, as the quote is too old.
    :ivar cached_chance: chance that the engine has the shared prefix.
    :ivar cached_age_s: age of what is known of the prefix there, seconds; infinite if nothing.
    :ivar work_factor: momentary work time, relative to the usual.
    """

    tokens_per_s: float
    work_factor: float
    busy_age_s: float
    quote_age_s: float
    counted: bool
    own_tokens: float
    cached_chance: float
    cached_age_s: float


class EngineReadiness(ReadinessSource[RoutedCall, Endpoint]):
    """Estimates the time until the first event.

    :param data_centre: of this process.
    :param service: returns a service of the current configuration.
    """

    def __init__(
        self, data_centre: str, service: Callable[[str], RoutedService | None] = lambda _: None
    ) -> None:
        self._data_centre = data_centre
        self._service = service
        self._paces: dict[str, EnginePaces] = {}
        self._reuse = PromptReuse()
        self._states: weakref.WeakKeyDictionary[Endpoint, _EngineState] = (
            weakref.WeakKeyDictionary()
        )
        self._mean_request_tokens = 0.0
        self._reuse_shares: dict[str, float] = {}
        self._rank_shares: dict[int, float] = {}

    @property
    def reuse(self) -> PromptReuse:
        """What is known of cached prompt parts."""
        return self._reuse

    @property
    def all_paces(self) -> Mapping[str, EnginePaces]:
        """Speeds of engines by service."""
        return self._paces

    def paces(self, service: str) -> EnginePaces:
        """Return the speeds of a service's engines."""
        paces = self._paces.get(service)
        if paces is None:
            paces = self._paces[service] = EnginePaces()
        return paces

    def reuse_share(self, call: RoutedCall) -> float:
        """Return the share of the shared tokens of such requests that engines have cached."""
        return self._reuse_shares.get(call.route.name, 1.0 if is_shared(call) else 0.0)

    def own_tokens_total(self, endpoint: Endpoint) -> float:
        """Return the tokens to prefill of all requests that this gateway sent to an engine."""
        state = self._states.get(endpoint)
        return state.own_tokens_total if state is not None else 0.0

    def copy_cost(self, service: str) -> CopyCost:
        """Return what copying cached tokens costs in a service."""
        known = self._service(service)
        return CopyCost(known.kv_token_bytes, known.link_mbps) if known is not None else CopyCost()

    def observe(self, endpoint: Endpoint) -> None:
        """Take in the figures that the endpoint has got since the last time."""
        state = self._state(endpoint)
        now = clock.now()
        paces = self._paces.get(endpoint.entry.service) or self.paces(endpoint.entry.service)
        identity, run = endpoint.entry.identity, endpoint.entry.started_at_ms
        quote = endpoint.latest_quote
        if quote is not None and quote is not state.quote:
            state.quote = quote
            load = quote.load
            if paces.record_speed(identity, run, load.tokens_per_s):
                _log_false_figure(endpoint, "tokens_per_s", load.tokens_per_s)
            if paces.record_busy(identity, run, load.busy_percent, endpoint.quote_age_s(now)):
                _log_false_figure(endpoint, "busy_percent", load.busy_percent)
            state.ahead_tokens = float(max(0, load.pending_tokens) + max(0, load.waiting_tokens))
            if state.mean_ahead_tokens is None:
                state.mean_ahead_tokens = state.ahead_tokens
            else:
                state.mean_ahead_tokens += (
                    state.ahead_tokens - state.mean_ahead_tokens
                ) * _MEAN_WEIGHT
        report = endpoint.reported_load
        if report is not None and report.busy_percent is not None:
            age_s = endpoint.load_age_s(now)
            if now - age_s > state.report_age_origin:
                state.report_age_origin = now - age_s
                if paces.record_busy(identity, run, report.busy_percent, age_s):
                    _log_false_figure(endpoint, "busy_percent", report.busy_percent)

    def record_choice(self, call: RoutedCall, endpoint: Endpoint, tokens: float) -> None:
        """Record a request that is going to be sent to an engine.

        :param tokens: of its prompt that the engine likely has to prefill.
        """
        state = self._state(endpoint)
        state.own.pop(call.request_id, None)
        state.own[call.request_id] = _OwnRequest(clock.now(), tokens)
        state.own_tokens_total += tokens
        if len(state.own) > _MAX_OWN:
            state.own.popitem(last=False)
        weight = _MEAN_WEIGHT if self._mean_request_tokens else 1.0
        self._mean_request_tokens += (tokens - self._mean_request_tokens) * weight

    def record_prefill(self, call: RoutedCall, endpoint: Endpoint) -> None:
        """Record the first event of a request."""
        self._state(endpoint).own.pop(call.request_id, None)
        if call.shared_prefix_id:
            self._reuse.record_prefill(call.shared_prefix_id, run_of(endpoint))

    def record_quote(self, call: RoutedCall, endpoint: Endpoint, quote: Quote) -> None:
        """Record what a quote says of a request's rank and of its shared prefix."""
        self.observe(endpoint)
        state = self._state(endpoint)
        speed = self.paces(call.service).tokens_per_s(endpoint.entry.identity)
        per_ms = speed / clock.MILLISECONDS_PER_SECOND
        wait_ms = quote.ready_ms - quote.uncached_tokens / per_ms - state.first_event_ms
        rank_ahead = max(0.0, wait_ms) * per_ms
        state.rank_ahead[call.rank] = (clock.now(), rank_ahead)
        load = quote.load
        others_tokens = load.pending_tokens + load.waiting_tokens - quote.uncached_tokens
        if others_tokens > quote.uncached_tokens:
            rank_share = self._rank_shares.get(call.rank, 1.0)
            rank_share += (min(1.0, rank_ahead / others_tokens) - rank_share) * _REUSE_WEIGHT
            self._rank_shares[call.rank] = rank_share
        idle_ms = quote.ready_ms - quote.uncached_tokens / per_ms
        if not load.waiting_count and load.pending_tokens <= quote.uncached_tokens:
            bounded_ms = min(_MAX_FIRST_EVENT_MS, max(0.0, idle_ms))
            state.first_event_ms += (bounded_ms - state.first_event_ms) * _MEAN_WEIGHT
        shared_tokens = call.shared_prefix_tokens
        if is_shared(call):
            own_tokens = call.metadata.prompt_tokens - shared_tokens
            missing_tokens = max(0, quote.uncached_tokens - own_tokens)
            cached_share = 1.0 - min(1.0, missing_tokens / shared_tokens)
            share = self._reuse_shares.get(call.route.name, 1.0)
            share += (cached_share - share) * _REUSE_WEIGHT
            self._reuse_shares[call.route.name] = share
            self._reuse.record_uncached(
                call.shared_prefix_id, run_of(endpoint), shared_tokens, missing_tokens
            )

    def estimate(self, request: RoutedCall, engine: Endpoint) -> ReadinessEstimate:
        """Estimate the time until the first event at an engine that is no home of the prefix."""
        return self.estimate_at(request, engine, is_home=False)

    def estimate_at(
        self, call: RoutedCall, endpoint: Endpoint, *, is_home: bool
    ) -> ReadinessEstimate:
        """Estimate the time until the first event.

        :param is_home: all gateways send the requests of the shared prefix there first.
        """
        self.observe(endpoint)
        paces = self.paces(call.service)
        identity = endpoint.entry.identity
        factor = paces.work_factor(identity)
        per_ms = paces.tokens_per_s(identity) / clock.MILLISECONDS_PER_SECOND / factor
        state = self._state(endpoint)
        now = clock.now()
        age_s = endpoint.quote_age_s(now)
        if age_s > QUOTE_TTL_S:
            ahead = self._counted_tokens(endpoint, now)
            age_s = min(age_s, endpoint.load_age_s(now))
        else:
            ahead = self._ahead_tokens(state, call.rank, age_s, now)
            ahead += self._own_tokens(state, now - age_s, now, per_ms)
        shared_tokens = call.shared_prefix_tokens
        own_tokens = call.metadata.prompt_tokens - shared_tokens
        prefill_ms = own_tokens / per_ms
        if shared_tokens:
            prefill_ms += self.missing_ms(call, endpoint, per_ms, is_home)
        is_local = (
            endpoint.entry.data_centre == self._data_centre or shared_tokens >= MIN_SHARED_TOKENS
        )
        return ReadinessEstimate(
            ahead / per_ms,
            prefill_ms,
            state.first_event_ms * factor + (0.0 if is_local else REMOTE_MS),
            (age_s if math.isfinite(age_s) else QUOTE_TTL_S) * clock.MILLISECONDS_PER_SECOND,
        )

    def missing_ms(
        self, call: RoutedCall, endpoint: Endpoint, per_ms: float, is_home: bool
    ) -> float:
        """Return the expected time to get the shared prefix at an engine, milliseconds."""
        shared_tokens = call.shared_prefix_tokens
        if shared_tokens < MIN_SHARED_TOKENS:
            return shared_tokens / per_ms
        chance = self._reuse.chance(call.shared_prefix_id, run_of(endpoint), is_home=is_home)
        source = self._reuse.last_engine(call.shared_prefix_id)
        copy_ms = (
            self.copy_cost(call.service).copy_ms(shared_tokens)
            if source is not None and source != run_of(endpoint)
            else None
        )
        return missing_ms(shared_tokens / per_ms, copy_ms, chance)

    def inputs(self, call: RoutedCall, endpoint: Endpoint, *, is_home: bool) -> ReadinessInputs:
        """Return what an estimate is computed from."""
        now = clock.now()
        paces = self.paces(call.service)
        identity = endpoint.entry.identity
        state = self._state(endpoint)
        quote_age_s = endpoint.quote_age_s(now)
        run = run_of(endpoint)
        per_ms = paces.tokens_per_s(identity) / clock.MILLISECONDS_PER_SECOND
        return ReadinessInputs(
            paces.tokens_per_s(identity),
            paces.work_factor(identity),
            min(quote_age_s, endpoint.load_age_s(now)),
            quote_age_s,
            quote_age_s > QUOTE_TTL_S,
            self._own_tokens(state, now - quote_age_s, now, per_ms),
            self._reuse.chance(call.shared_prefix_id, run, is_home=is_home),
            self._reuse.sighting_age_s(call.shared_prefix_id, run),
        )

    def _ahead_tokens(self, state: _EngineState, rank: int, age_s: float, now: float) -> float:
        """Return the tokens that go before a request, drawn to their mean as they get older."""
        mean = state.mean_ahead_tokens or 0.0
        ahead = mean + (state.ahead_tokens - mean) * math.exp(-age_s / _REVERSION_S)
        ahead *= self._rank_shares.get(rank, 1.0)
        known = state.rank_ahead.get(rank)
        if known is not None:
            # The side's own estimate for a request of this rank also counts slots and memory, and
            # what the engine and its side put first.
            weight = math.exp(-(now - known[0]) / _REVERSION_S)
            ahead += (known[1] - ahead) * weight
        return ahead

    @staticmethod
    def _own_tokens(state: _EngineState, since: float, now: float, per_ms: float) -> float:
        """Return the tokens of own requests that the latest quote doesn't include."""
        while state.own:
            oldest = next(iter(state.own.values()))
            if now - oldest.at < _OWN_TTL_S:
                break
            state.own.popitem(last=False)
        total = 0.0
        first_at = now
        for own in reversed(state.own.values()):
            if own.at < since:
                break
            total += own.tokens
            first_at = own.at
        drained = (now - first_at) * clock.MILLISECONDS_PER_SECOND * per_ms
        return max(0.0, total - drained)

    def _counted_tokens(self, endpoint: Endpoint, now: float) -> float:
        """Estimate the tokens ahead from the number of requests, without a fresh quote."""
        count = endpoint.in_flight
        if endpoint.load_age_s(now) < LOAD_REPORT_TTL_S:
            count += round(endpoint.other_callers_load(now))
        return count * (self._mean_request_tokens or 1.0)

    def _state(self, endpoint: Endpoint) -> _EngineState:
        state = self._states.get(endpoint)
        if state is None:
            state = self._states[endpoint] = _EngineState()
            self.paces(endpoint.entry.service).start_run(
                endpoint.entry.identity, endpoint.entry.started_at_ms
            )
        return state


def is_shared(call: RoutedCall) -> bool:
    """Return whether a prompt has a shared prefix that is worth finding."""
    return call.shared_prefix_tokens >= MIN_SHARED_TOKENS


def run_of(endpoint: Endpoint) -> tuple[str, int]:
    """Return the identity of an engine and its run, to which its cache belongs."""
    return endpoint.entry.identity, endpoint.entry.started_at_ms


def _log_false_figure(endpoint: Endpoint, name: str, value: float) -> None:
    logging.warning(
        "endpoint.false_figure",
        extra={"fields": {"identity": endpoint.entry.identity, "figure": name, "value": value}},
    )
