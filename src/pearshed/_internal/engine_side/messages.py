"""Datagrams between gateways and the sides of engines.

A gateway resends an admission request until it gets a response. A side responds to a repeated
request with the current state of the reservation, so retries are harmless. Prefill is the engine's
processing of a prompt before its first output token.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import orjson
from returns.result import Failure, Result, Success

from pearshed._internal.decisions.engine_load import EngineLoad, Quote
from pearshed._internal.decisions.returns import RefusedCall
from pearshed._internal.decisions.terms import RequestTerms
from pearshed._internal.engine_side.crash_records import CrashRecord, SuspectChain
from pearshed._internal.engine_side.rate_limits import RateLimit
from pearshed._internal.engine_side.traffic_table import RouteTraffic
from pearshed._internal.models.routing import PromptPart
from pearshed._internal.models.stream_origin import StreamOrigin
from pearshed._internal.timers import clock
from pearshed._internal.utils.bounded_ids import bounded_id
from pearshed._internal.utils.foreign_values import describe, to_integer, to_number

#: Larger datagrams are rejected, bytes; prompts have a few parts, services a few routes.
MAX_DATAGRAM_BYTES = 4096
#: Limits in one report, those that were named last; an identity may have 30 characters.
MAX_REPORTED_LIMITS = 56
#: Datagrams of one report of crashes; they have room for about 500 suspects.
MAX_REPORT_DATAGRAMS = 8
_EMPTY_REPORT_BYTES = 64
#: Service and software version of an engine; many streams' origins are remembered.
_MAX_ORIGIN_CHARACTERS = 512
#: Added to the age of a success, which must not seem later with each exchange; more than the time
#: for which a side sends the same datagrams, and their way.
_SUCCESS_AGE_MARGIN_MS = 150


def reservation_id(request_id: str, attempt: int) -> str:
    """Create the id of an attempt's reservation."""
    return f"{request_id}/{attempt}"


def place_id(request_id: str, number: int) -> str:
    """Create the id of a request for a place.

    :param number: counts the gateway's requests for places, so that a late response isn't taken
        for that to another one.
    """
    return f"{request_id}/place-{number}"


def request_id_of(reservation: str) -> str:
    """Return the request id in a reservation's id; it may contain slashes itself."""
    return reservation.rpartition("/")[0]


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A gateway requests admission of a request to the engine.

    :ivar reservation: request id and number of the attempt, separated by a slash.
    :ivar rank: priority, 0 is the highest.
    :ivar budget_ms: time for which the reservation may wait, milliseconds; 0 for an immediate
        decision.
    :ivar output_tokens: tokens that the request is expected to generate.
    :ivar slots: requests that the engine runs at once, from its entry; 0 when not known.
    :ivar gap_ms: longest gap between events that is on time, milliseconds; 0 for no limit.
    :ivar has_alternative: another engine may take it while this one is silent.
    :ivar terms: what its caller needs, if callers compete for the service; else ``None``.
    """

    reservation: str
    rank: int
    budget_ms: int
    prompt: tuple[PromptPart, ...]
    output_tokens: int
    slots: int = 0
    gap_ms: int = 0
    has_alternative: bool = False
    terms: RequestTerms | None = None


@dataclass(frozen=True, slots=True)
class PromptPrefilled:
    """The engine has prefilled the prompt of an admitted request."""

    reservation: str


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """The request has ended or was cancelled.

    :ivar longest_gap_ms: longest gap between its events, milliseconds; 0 for none.
    """

    reservation: str
    longest_gap_ms: int = 0


@dataclass(frozen=True, slots=True)
class AdmissionGranted:
    """The request may be sent now.

    :ivar admitted: requests that are admitted to the engine, this one included.
    :ivar started_at_ms: Unix time of the engine's start, milliseconds; 0 if not known.
    :ivar quote: of a request with terms; else ``None``.
    :ivar waited_ms: time from the arrival of a request for a place at a cold engine to the grant,
        milliseconds, so that the gateway knows how old the place is.
    """

    reservation: str
    admitted: int
    started_at_ms: int = 0
    quote: Quote | None = None
    waited_ms: int = 0


@dataclass(frozen=True, slots=True)
class AdmissionQueued:
    """The reservation is queued; it has not run.

    :ivar quote: of a request with terms; else ``None``.
    """

    reservation: str
    quote: Quote | None = None


@dataclass(frozen=True, slots=True)
class AdmissionRefused:
    """The request can't start within its budget.

    :ivar wait_ms: expected time until it could start, milliseconds.
    :ivar engine_silent: refused because the engine is silent; another one may take it.
    :ivar quote: of a request with terms; else ``None``.
    """

    reservation: str
    wait_ms: int
    engine_silent: bool = False
    quote: Quote | None = None


@dataclass(frozen=True, slots=True)
class TrafficReport:
    """A gateway reports its traffic to a side."""

    reservation: str
    routes: tuple[RouteTraffic, ...]


@dataclass(frozen=True, slots=True)
class FleetTraffic:
    """A side reports the traffic of all gateways to a gateway.

    :ivar gateways: number of gateways that report to this side.
    :ivar hosts: addresses of some of them, from which gateways discover each other.
    """

    reservation: str
    gateways: int
    routes: tuple[RouteTraffic, ...]
    hosts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Crashes of engines that the sender knows of.

    A side responds to each report with its own. It is sent as the end of no request, which older
    builds ignore.

    :ivar records: ages are sent, so the clocks of sender and receiver need not agree.
    :ivar successes: clock readings of the latest successes of the records' suspects, seconds.
    """

    reservation: str
    records: tuple[CrashRecord, ...]
    successes: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """A gateway asks whether it may send a request to an engine that has a limit.

    The response is the same as to a request for admission. Like the messages below, it is sent as
    the end of no request, which older builds ignore.

    :ivar reservation: see ``place_id``.
    :ivar run: id of the engine's run.
    :ivar per_s: limit that the engine has named, requests per second; ``None`` without one.
    :ivar named_ms: time since the engine named it, milliseconds.
    :ivar rank: priority, 0 is the highest.
    :ivar budget_ms: time for which it may wait, milliseconds; 0 for an immediate decision.
    :ivar cold_per_s: limit while the engine is cold, requests per second; ``None`` if it is warm.
        It is no statement of the engine. Older builds ignore a request that has it.
    :ivar cold_left_ms: time until the engine is warm, milliseconds.
    """

    reservation: str
    run: str
    per_s: float | None
    named_ms: int
    rank: int
    budget_ms: int
    cold_per_s: float | None = None
    cold_left_ms: int = 0


@dataclass(frozen=True, slots=True)
class PlaceReleased:
    """A gateway no longer asks for a place at an engine, or doesn't use the one that it got."""

    reservation: str
    run: str


@dataclass(frozen=True, slots=True)
class LimitReport:
    """Limits of engines that the sender knows of.

    A side responds to each report with its own.

    :ivar limits: the latest first; ages are sent, so clocks need not agree.
    """

    reservation: str
    limits: tuple[RateLimit, ...]


@dataclass(frozen=True, slots=True)
class ReturnReport:
    """Refused requests whose callers may come back, to this gateway or another.

    A side responds with those that it knows. Like the reports above, it is sent as the end of no
    request, which older builds ignore.

    :ivar records: times are sent relative to the present, so clocks need not agree.
    """

    reservation: str
    records: tuple[RefusedCall, ...]


@dataclass(frozen=True, slots=True)
class OriginReport:
    """A gateway reports which software version began a stream.

    Like the messages below, it is sent as a prefilled prompt of no request, which older builds
    ignore.

    :ivar stream: key of the stream.
    """

    reservation: str
    stream: str
    origin: StreamOrigin


@dataclass(frozen=True, slots=True)
class OriginRequest:
    """A gateway asks another one, or a side, which software version began a stream.

    :ivar reservation: id of the question.
    :ivar stream: key of the stream.
    """

    reservation: str
    stream: str


@dataclass(frozen=True, slots=True)
class OriginResponse:
    """The response to ``OriginRequest``.

    :ivar origin: ``None`` if the sender doesn't know it.
    :ivar host: of the sender; set by the receiver.
    """

    reservation: str
    origin: StreamOrigin | None
    host: str = ""


Message = (
    AdmissionRequest
    | PromptPrefilled
    | RequestFinished
    | AdmissionGranted
    | AdmissionQueued
    | AdmissionRefused
    | TrafficReport
    | FleetTraffic
    | CrashReport
    | PlaceRequest
    | PlaceReleased
    | LimitReport
    | ReturnReport
    | OriginReport
    | OriginRequest
    | OriginResponse
)

_KINDS: dict[str, type[PromptPrefilled]] = {"p": PromptPrefilled}


def encode_all(message: Message) -> tuple[bytes, ...]:
    """Encode a message in as many datagrams as it needs."""
    if isinstance(message, CrashReport):
        return _encode_crash_report(message)
    return (encode(message),)


def encode(message: Message) -> bytes:
    """Encode a message as a JSON list that begins with its kind; of a long report, the start."""
    if isinstance(message, AdmissionRequest):
        prompt = [[part.part_id, part.tokens] for part in message.prompt]
        return orjson.dumps(
            [
                "a",
                message.reservation,
                message.rank,
                message.budget_ms,
                prompt,
                message.output_tokens,
                message.slots,
                message.gap_ms,
                int(message.has_alternative),
                *_encode_terms(message.terms),
            ]
        )
    if isinstance(message, RequestFinished):
        return orjson.dumps(["d", message.reservation, message.longest_gap_ms])
    if isinstance(message, AdmissionRefused):
        fields = [message.wait_ms, int(message.engine_silent), *_encode_quote(message.quote)]
        return orjson.dumps(["r", message.reservation, *fields])
    if isinstance(message, AdmissionGranted):
        fields = [message.admitted, message.started_at_ms, *_encode_quote(message.quote)]
        if message.waited_ms:
            fields = [*fields[:2], None, message.waited_ms]
        return orjson.dumps(["g", message.reservation, *fields])
    if isinstance(message, AdmissionQueued):
        return orjson.dumps(["w", message.reservation, *_encode_quote(message.quote)])
    if isinstance(message, TrafficReport):
        return orjson.dumps(["t", message.reservation, _encode_routes(message.routes)])
    if isinstance(message, FleetTraffic):
        routes = _encode_routes(message.routes)
        return orjson.dumps(
            ["f", message.reservation, message.gateways, routes, list(message.hosts)]
        )
    if isinstance(message, CrashReport):
        return _encode_crash_report(message)[0]
    if isinstance(message, PlaceRequest | PlaceReleased | LimitReport | ReturnReport):
        return orjson.dumps(["d", message.reservation, 0, _encode_extension(message)])
    if isinstance(message, OriginReport | OriginRequest | OriginResponse):
        return orjson.dumps(["p", message.reservation, _encode_origin_message(message)])
    kind = next(kind for kind, cls in _KINDS.items() if isinstance(message, cls))
    return orjson.dumps([kind, message.reservation])


def decode(datagram: bytes) -> Result[Message, str]:
    """Decode a datagram.

    :returns: the message, or an error message.
    """
    if len(datagram) > MAX_DATAGRAM_BYTES:
        return Failure("the datagram is too large")
    try:
        kind, reservation, *fields = orjson.loads(datagram)
        if not isinstance(reservation, str):
            return Failure("the reservation is not a string")
        if kind == "a":
            rank, budget_ms, prompt, output_tokens, *optional = fields
            parts = tuple(PromptPart(str(part), to_integer(tokens)) for part, tokens in prompt)
            # Gateways of older versions send fewer fields.
            slots, gap_ms = (
                (to_integer(optional[0]), to_integer(optional[1])) if len(optional) > 1 else (0, 0)
            )
            has_alternative = len(optional) > 2 and bool(optional[2])
            terms = _decode_terms(optional[3]) if len(optional) > 3 else None
            numbers = (to_integer(output_tokens), slots, gap_ms)
            return Success(
                AdmissionRequest(
                    reservation,
                    to_integer(rank),
                    to_integer(budget_ms),
                    parts,
                    *numbers,
                    has_alternative,
                    terms,
                )
            )
        if kind == "d":
            return _decode_end(reservation, fields)
        if kind == "r":
            # Sides of older versions send no second field.
            engine_silent = len(fields) > 1 and bool(fields[1])
            quote = _decode_quote(fields[2]) if len(fields) > 2 else None
            return Success(
                AdmissionRefused(reservation, to_integer(fields[0]), engine_silent, quote)
            )
        if kind == "g":
            # Sides of older versions send no second field.
            started_at_ms = to_integer(fields[1]) if len(fields) > 1 else 0
            quote = _decode_quote(fields[2]) if len(fields) > 2 and fields[2] else None
            waited_ms = to_integer(fields[3]) if len(fields) > 3 else 0
            return Success(
                AdmissionGranted(
                    reservation, to_integer(fields[0]), started_at_ms, quote, waited_ms
                )
            )
        if kind == "w":
            return Success(
                AdmissionQueued(reservation, _decode_quote(fields[0]) if fields else None)
            )
        if kind == "t":
            return Success(TrafficReport(reservation, _decode_routes(fields[0])))
        if kind == "f":
            # Sides of older versions send no hosts.
            hosts = tuple(str(host) for host in fields[2]) if len(fields) > 2 else ()
            return Success(
                FleetTraffic(reservation, to_integer(fields[0]), _decode_routes(fields[1]), hosts)
            )
        if kind == "p" and fields:
            return _decode_origin_message(reservation, fields[0])
        if kind in _KINDS:
            return Success(_KINDS[kind](reservation))
    except (AttributeError, TypeError, ValueError, IndexError, RecursionError) as error:
        return Failure(f"malformed datagram: {describe(str(error))}")
    return Failure(f"unknown datagram kind {describe(kind)}")


def _encode_terms(terms: RequestTerms | None) -> list[object]:
    if terms is None:
        return []
    times = [terms.target_left_ms, terms.useful_left_ms]
    return [[*times, terms.customer, int(terms.returned)]]


def _decode_terms(fields: Sequence[Any]) -> RequestTerms:
    target_left_ms, useful_left_ms, customer, returned = fields[:4]
    return RequestTerms(
        to_integer(target_left_ms), to_integer(useful_left_ms), str(customer), bool(returned)
    )


def _encode_quote(quote: Quote | None) -> list[object]:
    if quote is None:
        return []
    load = quote.load
    return [
        [
            quote.ready_ms,
            quote.uncached_tokens,
            [
                load.tokens_per_s,
                load.pending_tokens,
                load.waiting_tokens,
                load.waiting_count,
                load.running,
                load.free_tokens,
                load.busy_percent,
            ],
        ]
    ]


def _decode_quote(fields: Sequence[Any]) -> Quote:
    ready_ms, uncached_tokens, load = fields[:3]
    return Quote(
        to_integer(ready_ms),
        to_integer(uncached_tokens),
        EngineLoad(*(to_integer(number) for number in load[:7])),
    )


def _decode_end(reservation: str, fields: Sequence[Any]) -> Result[Message, str]:
    """Decode the end of a request, or what is sent as the end of no request."""
    if len(fields) > 2:
        return Success(_decode_crash_report(reservation, fields[1], fields[2]))
    if len(fields) == 2:
        return _decode_extension(reservation, fields[1])
    return Success(RequestFinished(reservation, to_integer(fields[0]) if fields else 0))


def _encode_extension(
    message: PlaceRequest | PlaceReleased | LimitReport | ReturnReport,
) -> dict[str, object]:
    if isinstance(message, PlaceRequest):
        fields = [message.run, message.per_s, message.named_ms, message.rank, message.budget_ms]
        if message.cold_per_s is not None:
            return {"cold_place": [*fields, message.cold_per_s, message.cold_left_ms]}
        return {"place": fields}
    if isinstance(message, PlaceReleased):
        return {"unused": message.run}
    if isinstance(message, ReturnReport):
        return {
            "returns": [
                [record.content, record.rank, -_age_ms(record.due_at), int(record.spent)]
                for record in message.records
            ]
        }
    return {
        "limits": [
            [limit.run, limit.per_s, _age_ms(limit.named_at)]
            for limit in message.limits[:MAX_REPORTED_LIMITS]
        ]
    }


def _decode_extension(reservation: str, extension: Mapping[str, Any]) -> Result[Message, str]:
    if "place" in extension:
        run, per_s, named_ms, rank, budget_ms = extension["place"]
        numbers = (to_integer(named_ms), to_integer(rank), to_integer(budget_ms))
        return Success(PlaceRequest(reservation, str(run), _rate_of(per_s), *numbers))
    if "cold_place" in extension:
        run, per_s, named_ms, rank, budget_ms, cold_per_s, cold_left_ms = extension["cold_place"][
            :7
        ]
        return Success(
            PlaceRequest(
                reservation,
                str(run),
                _rate_of(per_s) if per_s is not None else None,
                to_integer(named_ms),
                to_integer(rank),
                to_integer(budget_ms),
                _rate_of(cold_per_s),
                to_integer(cold_left_ms),
            )
        )
    if "unused" in extension:
        return Success(PlaceReleased(reservation, str(extension["unused"])))
    if "limits" in extension:
        limits = tuple(
            RateLimit(str(run), _rate_of(per_s) if per_s is not None else None, _time_of(age_ms))
            for run, per_s, age_ms in extension["limits"]
        )
        return Success(LimitReport(reservation, limits))
    if "returns" in extension:
        records = tuple(
            RefusedCall(str(content), to_integer(rank), _time_of(-to_integer(due_ms)), bool(spent))
            for content, rank, due_ms, spent in extension["returns"]
        )
        return Success(ReturnReport(reservation, records))
    return Failure(f"unknown extension {describe(next(iter(extension), ''))}")


def _encode_origin_message(
    message: OriginReport | OriginRequest | OriginResponse,
) -> dict[str, object]:
    if isinstance(message, OriginReport):
        return {"began": [message.stream, message.origin.service, message.origin.version]}
    if isinstance(message, OriginRequest):
        return {"origin_of": message.stream}
    origin = message.origin
    return {"origin": [origin.service, origin.version] if origin is not None else None}


def _decode_origin_message(reservation: str, extension: Mapping[str, Any]) -> Result[Message, str]:
    if "began" in extension:
        stream, service, version = extension["began"]
        key = bounded_id(str(stream))
        return Success(OriginReport(reservation, key, _origin_of(service, version)))
    if "origin_of" in extension:
        return Success(OriginRequest(reservation, str(extension["origin_of"])))
    if "origin" in extension:
        origin = extension["origin"]
        if origin is None:
            return Success(OriginResponse(reservation, None))
        if not isinstance(origin, list):
            return Failure("the origin of a stream is not a list")
        return Success(OriginResponse(reservation, _origin_of(*origin)))
    return Failure(f"unknown extension {describe(next(iter(extension), ''))}")


def _origin_of(service: Any, version: Any) -> StreamOrigin:
    """Return an origin.

    :raises ValueError: when a field is no text.
    """
    if not isinstance(service, str) or not isinstance(version, str):
        raise ValueError("the origin of a stream is not text")
    if len(service) + len(version) > _MAX_ORIGIN_CHARACTERS:
        raise ValueError("the origin of a stream is too long")
    return StreamOrigin(service, version)


def _rate_of(raw: Any) -> float:
    """Return a rate, requests per second.

    :raises ValueError: when it is no rate.
    """
    rate = to_number(raw)
    if rate < 0.0:
        raise ValueError(f"{rate} requests per second")
    return rate


def _age_ms(time: float) -> int:
    """Return the age of a clock reading, milliseconds."""
    return round((clock.now() - time) * clock.MILLISECONDS_PER_SECOND)


def _time_of(age_ms: Any) -> float:
    """Return the clock reading that has an age, seconds.

    :raises ValueError: when the age is not a number.
    """
    return clock.now() - to_integer(age_ms) / clock.MILLISECONDS_PER_SECOND


def _encode_crash_report(message: CrashReport) -> tuple[bytes, ...]:
    """Encode a report in as many datagrams as it needs, the latest crashes first."""
    datagrams: list[bytes] = []
    records: list[object] = []
    success_ages: dict[str, int] = {}
    size = _EMPTY_REPORT_BYTES

    def flush() -> None:
        content = ["d", message.reservation, 0, records, list(success_ages.items())]
        datagrams.append(orjson.dumps(content))

    for record in message.records:
        for row, ages, row_size in _rows(record, message.successes):
            if size + row_size > MAX_DATAGRAM_BYTES:
                flush()
                records, success_ages, size = [], {}, _EMPTY_REPORT_BYTES
            records.append(row)
            success_ages.update(ages)
            size += row_size
    flush()
    return tuple(datagrams[:MAX_REPORT_DATAGRAMS])


def _rows(
    record: CrashRecord, successes: Mapping[str, float]
) -> Iterable[tuple[list[object], dict[str, int], int]]:
    """Return a record as rows that each fit into a datagram; the receiver merges them.

    :returns: rows, the ages of the latest successes of their suspects, and their size, bytes.
    """
    head = [record.run, _age_ms(record.crashed_at), int(record.refuted)]
    head_size = len(orjson.dumps(head)) + 4
    suspects: list[SuspectChain] = []
    ages: dict[str, int] = {}
    size = head_size
    for chain in sorted(record.suspects):
        chain_ages = {
            part: _age_ms(successes[part]) + _SUCCESS_AGE_MARGIN_MS
            for part in chain
            if part in successes and part not in ages
        }
        added = len(orjson.dumps([chain, list(chain_ages.items())]))
        if suspects and _EMPTY_REPORT_BYTES + size + added > MAX_DATAGRAM_BYTES:
            yield [*head, suspects], ages, size
            suspects, ages, size = [], {}, head_size
        suspects.append(chain)
        ages.update(chain_ages)
        size += added
    yield [*head, suspects], ages, size


def _decode_crash_report(
    reservation: str, raw_records: Sequence[Any], raw_successes: Sequence[Any]
) -> CrashReport:
    return CrashReport(
        reservation,
        tuple(
            CrashRecord(
                str(run),
                _time_of(age_ms),
                frozenset(tuple(bounded_id(str(part)) for part in chain) for chain in suspects),
                bool(refuted),
            )
            for run, age_ms, refuted, suspects in raw_records
        ),
        {bounded_id(str(part)): _time_of(age_ms) for part, age_ms in raw_successes},
    )


def _encode_routes(routes: tuple[RouteTraffic, ...]) -> list[list[object]]:
    return [
        [
            traffic.route,
            round(traffic.request_weight, 2),
            round(traffic.mean_prompt_tokens),
            round(traffic.mean_work_tokens),
        ]
        for traffic in routes
    ]


def _decode_routes(raw: Sequence[Sequence[Any]]) -> tuple[RouteTraffic, ...]:
    return tuple(
        RouteTraffic(str(route), to_number(weight), to_number(tokens), to_number(work))
        for route, weight, tokens, work in raw
    )
