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
from pearshed._internal.http.header_block import Header, HeaderBlock
from pearshed._internal.http.messages import Headers, ResponseHead
from pearshed._internal.models.routing import EndpointEntry, PromptPart
from pearshed._internal.platform import names
from pearshed._internal.timers.clock import MILLISECONDS_PER_SECOND
from pearshed._internal.utils.bounded_ids import bounded_id
from pearshed._internal.utils.foreign_values import parse_count, to_integer, to_number

#: The platform accepts ranks of one digit.
_MAX_RANK = 9


class PlatformHeaders(HeaderCodec):
    """Codec for the platform's headers."""

    def decode_request(self, headers: Headers) -> RequestMetadata:
        """Decode the headers of a caller's request."""
        prompt_tokens, max_output_tokens = _parse_token_limits(_value(headers, names.TOKEN_LIMITS))
        return RequestMetadata(
            request_id=_value(headers, names.REQUEST_ID).decode("latin-1"),
            deadline_ms=_parse_milliseconds(_value(headers, names.DEADLINE_MS)),
            api_key=_parse_api_key(_value(headers, names.AUTHORIZATION)),
            last_event_id=_value(headers, names.LAST_EVENT_ID).decode("latin-1"),
            resumes=_value(headers, names.RESUMES).decode("latin-1"),
            prompt=_parse_prompt_parts(_value(headers, names.PROMPT_PARTS)),
            prompt_tokens=prompt_tokens,
            max_output_tokens=max_output_tokens,
            output_tokens_hint=_parse_count(_value(headers, names.LENGTH_HINT)),
            forwarded_headers=HeaderBlock.of(
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
        headers = head.headers
        return ResponseMetadata(
            request_id=_value(headers, names.REQUEST_ID).decode("latin-1"),
            signed=messages.header_value(headers, names.SIGNATURE) is not None,
            not_executed=messages.header_value(headers, names.NOT_EXECUTED) is not None
            or head.status == 421,
            load=_parse_load(_value(headers, names.LOAD)),
            leaving=_value(headers, names.LEAVING) == b"1",
            rate_limit=_parse_rate(_value(headers, names.RATE_LIMIT)),
            cold_s=_parse_seconds(_value(headers, names.COLD_MS)),
            pause=_parse_pause(head.status, _value(headers, names.RETRY_AFTER)),
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


def _value(headers: Headers, name: bytes) -> bytes:
    return messages.header_value(headers, name) or b""


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
        parts.append(PromptPart(bounded_id(part_id), tokens))
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
