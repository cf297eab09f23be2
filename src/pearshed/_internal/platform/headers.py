"""The platform's headers, read into and written from the gateway's own types."""

from pearshed._internal.gateway.header_codec import (
    CallerFields,
    EndpointFields,
    EndpointLoadReport,
    EndpointOrder,
    HeaderCodec,
)
from pearshed._internal.http import messages
from pearshed._internal.http.messages import Header, Headers, ResponseHead
from pearshed._internal.models.routing import PromptPart
from pearshed._internal.platform import names

#: The platform takes ranks of one digit.
_LOWEST_RANK = 9


class PlatformHeaders(HeaderCodec):
    """Speaks the platform's headers."""

    def read_caller(self, headers: Headers) -> CallerFields:
        """Read the headers of a caller's request."""
        found = dict(reversed(headers))
        prompt_tokens, output_tokens = _token_bounds(found.get(names.TOKEN_BOUNDS, b""))
        return CallerFields(
            request_id=found.get(names.REQUEST_ID, b"").decode("latin-1"),
            deadline_ms=_milliseconds(found.get(names.DEADLINE_MS, b"")),
            api_key=_api_key(found.get(names.AUTHORIZATION, b"")),
            last_event=found.get(names.LAST_EVENT_ID, b"").decode("latin-1"),
            prompt=_prompt_parts(found.get(names.PROMPT_PARTS, b"")),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            output_hint=_whole(found.get(names.LENGTH_HINT, b"")),
            passed_on=tuple(
                header
                for header in messages.end_to_end(headers)
                if header[0] not in names.SYSTEM_HEADERS
            ),
        )

    def write_order(self, order: EndpointOrder) -> list[Header]:
        """Write the headers that the gateway adds for an endpoint."""
        headers = [
            (names.DEADLINE_MS, b"%d" % order.remaining_ms),
            (names.EXPECT_IDENTITY, order.endpoint.identity.encode("latin-1")),
        ]
        if order.customer:
            headers.append((names.CUSTOMER, order.customer.encode("latin-1")))
        if order.rank is not None:
            headers.append((names.RANK, b"%d" % min(order.rank, _LOWEST_RANK)))
        if order.fetch_from is not None:
            headers.append((names.FETCH_FROM, str(order.fetch_from).encode()))
        if order.last_event:
            headers.append((names.LAST_EVENT_ID, order.last_event.encode("latin-1")))
        return headers

    def read_endpoint(self, head: ResponseHead) -> EndpointFields:
        """Read the headers of an endpoint's answer."""
        found = dict(reversed(head.headers))
        return EndpointFields(
            request_id=found.get(names.REQUEST_ID, b"").decode("latin-1"),
            signed=names.SIGNATURE in found,
            not_executed=names.NOT_EXECUTED in found or head.status == 421,
            load=_load(found.get(names.LOAD, b"")),
        )

    def write_refusal(self, request_id: str, retry_after_s: float) -> list[Header]:
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
