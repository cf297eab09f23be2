"""Outcomes of requests and events of relayed responses."""

import enum
from dataclasses import dataclass


class Execution(enum.StrEnum):
    """What is known for certain about a request's execution at an endpoint."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class FailureCode(enum.StrEnum):
    """Why a request failed; callers see it as ``error.code``."""

    MALFORMED = "malformed_request"
    TOO_LARGE = "request_too_large"
    UNAUTHENTICATED = "unknown_api_key"
    FORBIDDEN_CLASS = "class_not_allowed"
    UNKNOWN_CLASS = "unknown_class"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    CUSTOMER_LIMIT = "customer_limit"
    OVERLOADED = "overloaded"
    DRAINING = "draining"
    NO_ENDPOINT = "no_endpoint"
    NOT_CONFIGURED = "not_configured"
    DEADLINE = "deadline_exceeded"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_UNREACHABLE = "endpoint_unreachable"
    KEY_IN_DOUBT = "idempotency_key_in_doubt"
    KEY_RUNNING = "idempotency_key_running"
    KEY_MISMATCH = "idempotency_key_reused"
    KEY_MALFORMED = "idempotency_key_malformed"
    CANCELLED = "cancelled"


_HTTP_STATUS = {
    FailureCode.MALFORMED: 400,
    FailureCode.TOO_LARGE: 413,
    FailureCode.UNAUTHENTICATED: 401,
    FailureCode.FORBIDDEN_CLASS: 403,
    FailureCode.UNKNOWN_CLASS: 400,
    FailureCode.UNKNOWN_MODEL: 404,
    FailureCode.UNKNOWN_SERVICE: 404,
    FailureCode.NOT_FOUND: 404,
    FailureCode.METHOD_NOT_ALLOWED: 405,
    FailureCode.CUSTOMER_LIMIT: 429,
    FailureCode.OVERLOADED: 503,
    FailureCode.DRAINING: 503,
    FailureCode.NO_ENDPOINT: 503,
    FailureCode.NOT_CONFIGURED: 503,
    FailureCode.DEADLINE: 504,
    FailureCode.ENDPOINT_FAILED: 502,
    FailureCode.ENDPOINT_UNREACHABLE: 502,
    FailureCode.KEY_IN_DOUBT: 409,
    FailureCode.KEY_RUNNING: 409,
    FailureCode.KEY_MISMATCH: 422,
    FailureCode.KEY_MALFORMED: 400,
    FailureCode.CANCELLED: 499,
}


@dataclass(frozen=True, slots=True)
class RequestFailure:
    """A request that ended without a complete response.

    :ivar message: one sentence for the caller.
    :ivar retry_after_s: time after which the caller may retry, seconds; 0 for none given.
    """

    code: FailureCode
    message: str
    execution: Execution = Execution.NOT_RUN
    retry_after_s: float = 0.0

    @property
    def status(self) -> int:
        """HTTP status of the error response."""
        return _HTTP_STATUS[self.code]


@dataclass(frozen=True, slots=True)
class RelayedHead:
    """Status and headers of an endpoint's response, or of a stored one that is replayed.

    :ivar until_close: the body has neither a length nor chunks and ends with the connection.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    replayed: bool = False
    until_close: bool = False


@dataclass(frozen=True, slots=True)
class RelayedChunk:
    """Next bytes of the response body."""

    content: bytes


@dataclass(frozen=True, slots=True)
class RelayedEnd:
    """End of a complete response."""


RelayedEvent = RelayedHead | RelayedChunk | RelayedEnd | RequestFailure
