"""Converts between the platform's headers and the gateway's metadata types."""

import orjson

from pearshed._internal.decisions.engine_pauses import PauseRequest, parse_pause
from pearshed._internal.gateway.header_codec import (
    EndpointLoadReport,
    ForwardingMetadata,
    HeaderCodec,
    RequestMetadata,
    ResponseMetadata,
)
from pearshed._internal.http import messages
from pearshed._internal.http.messages import Header, Headers, ResponseHead
from pearshed._internal.models.routing import EndpointEntry, PromptPart
from pearshed._internal.platform import names
from pearshed._internal.timers.clock import MILLISECONDS_PER_SECOND
from pearshed._internal.utils.foreign_values import parse_count, to_integer, to_number

#: The platform accepts ranks of one digit.
_MAX_RANK = 9


class PlatformHeaders(HeaderCodec):
    """Codec for the platform's headers."""

    def decode_request(self, headers: Headers) -> RequestMetadata:
        """Decode the headers of a caller's request."""
        values = dict(reversed(headers))
        prompt_tokens, max_output_tokens = _parse_token_limits(values.get(names.TOKEN_LIMITS, b""))
        return RequestMetadata(
            request_id=values.get(names.REQUEST_ID, b"").decode("latin-1"),
            deadline_ms=_parse_milliseconds(values.get(names.DEADLINE_MS, b"")),
            api_key=_parse_api_key(values.get(names.AUTHORIZATION, b"")),
            last_event_id=values.get(names.LAST_EVENT_ID, b"").decode("latin-1"),
            resumes=values.get(names.RESUMES, b"").decode("latin-1"),
            prompt=_parse_prompt_parts(values.get(names.PROMPT_PARTS, b"")),
            prompt_tokens=prompt_tokens,
            max_output_tokens=max_output_tokens,
            output_tokens_hint=_parse_count(values.get(names.LENGTH_HINT, b"")),
            forwarded_headers=tuple(
                header
                for header in messages.end_to_end(headers)
                if header[0] not in names.SYSTEM_HEADERS
            ),
        )

    def encode_forwarding(self, metadata: ForwardingMetadata) -> list[Header]:
        """Encode the headers that the gateway adds for an endpoint."""
        headers = [
            (names.DEADLINE_MS, b"%d" % metadata.remaining_ms),
            (names.EXPECT_IDENTITY, metadata.endpoint.identity.encode("latin-1")),
        ]
        if metadata.customer:
            headers.append((names.CUSTOMER, metadata.customer.encode("latin-1")))
        if metadata.rank is not None:
            headers.append((names.RANK, b"%d" % min(metadata.rank, _MAX_RANK)))
        if metadata.fetch_from is not None:
            headers.append((names.FETCH_FROM, str(metadata.fetch_from).encode()))
        if metadata.last_event_id:
            headers.append((names.LAST_EVENT_ID, metadata.last_event_id.encode("latin-1")))
        return headers

    def decode_response(self, head: ResponseHead) -> ResponseMetadata:
        """Decode the headers of an endpoint's response."""
        values = dict(reversed(head.headers))
        return ResponseMetadata(
            request_id=values.get(names.REQUEST_ID, b"").decode("latin-1"),
            signed=names.SIGNATURE in values,
            not_executed=names.NOT_EXECUTED in values or head.status == 421,
            load=_parse_load(values.get(names.LOAD, b"")),
            leaving=values.get(names.LEAVING) == b"1",
            rate_limit=_parse_rate(values.get(names.RATE_LIMIT, b"")),
            cold_s=_parse_seconds(values.get(names.COLD_MS, b"")),
            pause=_parse_pause(head.status, values.get(names.RETRY_AFTER, b"")),
        )

    def encode_refusal(self, request_id: str, retry_after_s: float) -> list[Header]:
        """Encode the headers of a response that the gateway itself generates."""
        headers = [(b"content-type", b"text/plain")]
        if request_id:
            headers.append((names.REQUEST_ID, request_id.encode("latin-1")))
        if retry_after_s > 0:
            headers.append((names.RETRY_AFTER, b"%.2f" % retry_after_s))
        return headers

    def encode_report_request(self, endpoint: EndpointEntry) -> bytes:
        """Encode a request for an engine's report."""
        start = b"GET %s HTTP/1.1" % names.REPORT_PATH.encode()
        return messages.encode_head(start, ((b"host", str(endpoint.address).encode()),))

    def decode_report_start(self, report: bytes) -> int:
        """Return when the engine started; 0 for an engine that doesn't say it."""
        try:
            raw = orjson.loads(report)
        except orjson.JSONDecodeError:
            return 0
        try:
            return to_integer(raw["born"])
        except (KeyError, TypeError, ValueError):
            return 0


def _parse_pause(status: int, value: bytes) -> PauseRequest | None:
    """Return the pause that an engine asks for; only a 503 asks the gateway, others the caller."""
    return parse_pause(value) if status == 503 and value else None


def _parse_milliseconds(value: bytes) -> float | None:
    """Return a time of at least 0; ``None`` if it is no time."""
    try:
        return max(0.0, to_number(float(value)))
    except ValueError:
        return None


def _parse_count(value: bytes) -> int:
    return parse_count(value) or 0


def _parse_api_key(value: bytes) -> str:
    text = value.decode("latin-1")
    if text[: len(names.AUTHORIZATION_SCHEME)].lower() != names.AUTHORIZATION_SCHEME:
        return ""
    return text[len(names.AUTHORIZATION_SCHEME) :].strip()


def _parse_token_limits(value: bytes) -> tuple[int, int]:
    first, _, second = value.partition(b",")
    prompt, output = parse_count(first.strip()), parse_count(second.strip())
    return (0, 0) if prompt is None or output is None else (prompt, output)


def _parse_prompt_parts(value: bytes) -> tuple[PromptPart, ...]:
    parts: list[PromptPart] = []
    for entry in value.decode("latin-1").split(","):
        part_id, _, text = entry.strip().rpartition(":")
        tokens = parse_count(text)
        if not part_id or tokens is None:
            return tuple(parts)
        parts.append(PromptPart(part_id, tokens))
    return tuple(parts)


def _parse_rate(value: bytes) -> float | None:
    try:
        rate = to_number(float(value))
    except ValueError:
        return None
    return rate if rate >= 0.0 else None


def _parse_seconds(value: bytes) -> float | None:
    """Return a time that is given in milliseconds; ``None`` if it is no time."""
    milliseconds = _parse_rate(value)
    return milliseconds / MILLISECONDS_PER_SECOND if milliseconds is not None else None


def _parse_load(value: bytes) -> EndpointLoadReport | None:
    numbers = [parse_count(number.strip()) for number in value.split(b",")]
    known = [number for number in numbers if number is not None]
    if len(numbers) not in (3, 4) or len(known) != len(numbers):
        return None
    running, waiting, slots, *busy_percent = known
    return EndpointLoadReport(running, waiting, slots, busy_percent[0] if busy_percent else None)
