"""Formats responses and errors for callers."""

import json
import math
from collections.abc import Iterable, Mapping
from http import HTTPStatus

from pearshed._internal.models.outcomes import Execution, FailureCode, RequestFailure
from pearshed._internal.models.requests import REQUEST_ID_HEADER, RoutedRequest

Headers = list[tuple[str, str]]

SHOULD_RETRY_HEADER = "X-Should-Retry"

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "date",
        "server",
        REQUEST_ID_HEADER.lower(),
    )
)
_ERROR_TYPES = {4: "invalid_request_error", 5: "server_error"}
_CLIENT_CLOSED_REQUEST = 499
_MILLISECONDS_PER_SECOND = 1000


def status_line(status: int) -> str:
    """Format a status for WSGI."""
    if status == _CLIENT_CLOSED_REQUEST:
        return "499 Client Closed Request"
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


def relayed_headers(
    status: int, headers: Iterable[tuple[str, str]], request: RoutedRequest
) -> Headers:
    """Return the end-to-end headers of an endpoint's response, with the request id.

    Client libraries of the OpenAI interface retry errors by themselves; an error of a call that
    has run and must not run again says that they may not.
    """
    forwarded = [(name, value) for name, value in headers if name.lower() not in _HOP_BY_HOP]
    forwarded.append((REQUEST_ID_HEADER, request.request_id))
    if status >= HTTPStatus.BAD_REQUEST and not request.idempotent:
        forwarded = [item for item in forwarded if item[0].lower() != SHOULD_RETRY_HEADER.lower()]
        forwarded.append((SHOULD_RETRY_HEADER, "false"))
    return forwarded


def error_document(failure: RequestFailure, request_id: str) -> Mapping[str, object]:
    """Return the error object of the OpenAI interface, with the state of the execution."""
    error_type = _ERROR_TYPES.get(failure.status // 100, "server_error")
    if failure.status == HTTPStatus.TOO_MANY_REQUESTS:
        error_type = "rate_limit_error"
    return {
        "error": {
            "message": failure.message,
            "type": error_type,
            "param": None,
            "code": failure.code.value,
            "execution": failure.execution.value,
            "request_id": request_id,
            "retry_after_s": failure.retry_after_s,
        }
    }


def error_response(failure: RequestFailure, request_id: str) -> tuple[str, Headers, bytes]:
    """Return the HTTP response for a failure: status line, headers and body."""
    content = json.dumps(error_document(failure, request_id)).encode()
    headers: Headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(content))),
        (REQUEST_ID_HEADER, request_id),
    ]
    if failure.retry_after_s:
        headers.append(("Retry-After", str(math.ceil(failure.retry_after_s))))
        headers.append(
            ("Retry-After-Ms", str(math.ceil(failure.retry_after_s * _MILLISECONDS_PER_SECOND)))
        )
    if failure.execution is not Execution.NOT_RUN or failure.code is FailureCode.MALFORMED:
        # Client libraries of the OpenAI interface honour this header. Without it, they would
        # retry a request that may have run.
        headers.append((SHOULD_RETRY_HEADER, "false"))
    return status_line(failure.status), headers, content
