"""The platform's headers, read into and written from the gateway's own types."""

from pearshed._internal.gateway.header_codec import (
    EndpointLoadReport,
    ForwardingMetadata,
    HeaderCodec,
    RequestMetadata,
    ResponseMetadata,
)
from pearshed._internal.http import messages
from pearshed._internal.http.messages import Header, Headers, ResponseHead
from pearshed._internal.models.routing import PromptPart
from pearshed._internal.platform import names

#: The platform takes ranks of one digit.
_LOWEST_RANK = 9


class PlatformHeaders(HeaderCodec):
    """Speaks the platform's headers."""

    def decode_request(self, headers: Headers) -> RequestMetadata:
        """Read the headers of a caller's request."""
        found = dict(reversed(headers))
        prompt_tokens, max_output_tokens = _token_bounds(found.get(names.TOKEN_BOUNDS, b""))
        return RequestMetadata(
            request_id=found.get(names.REQUEST_ID, b"").decode("latin-1"),
            deadline_ms=_milliseconds(found.get(names.DEADLINE_MS, b"")),
            api_key=_api_key(found.get(names.AUTHORIZATION, b"")),
            last_event_id=found.get(names.LAST_EVENT_ID, b"").decode("latin-1"),
            prompt=_prompt_parts(found.get(names.PROMPT_PARTS, b"")),
            prompt_tokens=prompt_tokens,
            max_output_tokens=max_output_tokens,
            output_tokens_hint=_whole(found.get(names.LENGTH_HINT, b"")),
            forwarded_headers=tuple(
                header
                for header in messages.end_to_end(headers)
                if header[0] not in names.SYSTEM_HEADERS
            ),
        )

    def encode_forwarding(self, metadata: ForwardingMetadata) -> list[Header]:
        """Write the headers that the gateway adds for an endpoint."""
        headers = [
            (names.DEADLINE_MS, b"%d" % metadata.remaining_ms),
            (names.EXPECT_IDENTITY, metadata.endpoint.identity.encode("latin-1")),
        ]
        if metadata.customer:
            headers.append((names.CUSTOMER, metadata.customer.encode("latin-1")))
        if metadata.rank is not None:
            headers.append((names.RANK, b"%d" % min(metadata.rank, _LOWEST_RANK)))
        if metadata.fetch_from is not None:
            headers.append((names.FETCH_FROM, str(metadata.fetch_from).encode()))
        if metadata.last_event_id:
            headers.append((names.LAST_EVENT_ID, metadata.last_event_id.encode("latin-1")))
        return headers

    def decode_response(self, head: ResponseHead) -> ResponseMetadata:
        """Read the headers of an endpoint's answer."""
        found = dict(reversed(head.headers))
        return ResponseMetadata(
            request_id=found.get(names.REQUEST_ID, b"").decode("latin-1"),
            signed=names.SIGNATURE in found,
            not_executed=names.NOT_EXECUTED in found or head.status == 421,
            load=_load(found.get(names.LOAD, b"")),
        )

    def encode_refusal(self, request_id: str, retry_after_s: float) -> list[Header]:
        """Write the headers of an answer of the gateway's own."""
        headers = [(b"content-type", b"text/plain")]
        if request_id:
            headers.append((names.REQUEST_ID, request_id.encode("latin-1")))
        if retry_after_s > 0:
            headers.append((names.RETRY_AFTER, b"%.2f" % retry_after_s))
        return headers


def _milliseconds(value: bytes) -> float | None:
    try:
        return float(value) if value else None
    except ValueError:
        return None


def _whole(value: bytes) -> int:
    return int(value) if value.isdigit() else 0


def _api_key(value: bytes) -> str:
    text = value.decode("latin-1")
    if text[: len(names.KEY_SCHEME)].lower() != names.KEY_SCHEME:
        return ""
    return text[len(names.KEY_SCHEME) :].strip()


def _token_bounds(value: bytes) -> tuple[int, int]:
    prompt, _, output = value.partition(b",")
    if prompt.strip().isdigit() and output.strip().isdigit():
        return int(prompt), int(output)
    return 0, 0


def _prompt_parts(value: bytes) -> tuple[PromptPart, ...]:
    parts: list[PromptPart] = []
    for entry in value.decode("latin-1").split(","):
        part_id, _, tokens = entry.strip().rpartition(":")
        if not part_id or not tokens.isdigit():
            return tuple(parts)
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def _load(value: bytes) -> EndpointLoadReport | None:
    numbers = value.split(b",")
    if len(numbers) != 3 or not all(number.strip().isdigit() for number in numbers):
        return None
    running, waiting, slots = (int(number) for number in numbers)
    return EndpointLoadReport(running, waiting, slots)
