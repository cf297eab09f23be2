"""Classifies HTTP calls into routed requests, or refuses them."""

import hashlib
import json
import uuid
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from returns.result import Failure, Result, Success

from pearshed._internal.configuration.catalogue import Catalogue
from pearshed._internal.models.outcomes import FailureCode, RequestFailure
from pearshed._internal.models.records import Customer, RequestClass
from pearshed._internal.models.requests import REQUEST_ID_HEADER, ForwardedCall, RoutedRequest
from pearshed._internal.timers import clock

MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")
MODELS_PATH = "/v1/models"
SERVICES_PREFIX = "/services/"
CLASS_HEADER = "x-request-class"
KEY_HEADER = "idempotency-key"
PRIORITY_HEADER = "X-Request-Priority"

_SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))
_ROUTED_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"))
_MAX_KEY_CHARACTERS = 255
_PREFIX_CHARACTERS = 512
_HASH_BYTES = 8
_FORWARDED_HEADERS = ("content-type", "accept", "accept-language", "user-agent")
#: Headers of calls that anything is done with, in lower case.
READ_HEADERS = frozenset(("authorization", CLASS_HEADER, KEY_HEADER, *_FORWARDED_HEADERS))


@dataclass(frozen=True, slots=True)
class HttpCall:
    """An HTTP call as received.

    :ivar headers: values by lower-case name.
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    content: bytes = field(repr=False)

    @property
    def target(self) -> str:
        """Path with query string."""
        return f"{self.path}?{self.query}" if self.query else self.path


@dataclass(frozen=True, slots=True)
class _Destination:
    """Service and properties of a call, from its method, path and body."""

    service: str
    target: str
    streaming: bool
    safe_method: bool
    prefix_hash: int


class Classifier:
    """Determines customer, class, tier and service of a call."""

    def __init__(self, catalogue: Callable[[], Catalogue]) -> None:
        self._catalogue = catalogue

    def authenticate(self, call: HttpCall) -> Result[Customer, RequestFailure]:
        """Return the customer to whom the call's API key belongs."""
        catalogue = self._catalogue()
        if not catalogue.revision:
            return Failure(
                RequestFailure(
                    FailureCode.NOT_CONFIGURED,
                    "this entry has no configuration yet",
                    retry_after_s=1.0,
                )
            )
        scheme, _, key = call.headers.get("authorization", "").partition(" ")
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        customer = catalogue.customers_by_key.get(digest)
        if scheme.lower() != "bearer" or customer is None:
            return Failure(RequestFailure(FailureCode.UNAUTHENTICATED, "the API key is not known"))
        return Success(customer)

    def classify(
        self, call: HttpCall, customer: Customer, request_id: str
    ) -> Result[RoutedRequest, RequestFailure]:
        """Classify an authenticated call."""
        return self._find_class(call, customer).bind(
            lambda request_class: self._find_destination(call).bind(
                lambda destination: self._build_request(
                    call, customer, request_class, destination, request_id
                )
            )
        )

    def _find_class(
        self, call: HttpCall, customer: Customer
    ) -> Result[RequestClass, RequestFailure]:
        name = call.headers.get(CLASS_HEADER, customer.classes[0])
        request_class = self._catalogue().classes.get(name)
        if request_class is None:
            return _refuse(FailureCode.UNKNOWN_CLASS, f"there is no request class {name!r}")
        if name not in customer.classes:
            return _refuse(
                FailureCode.FORBIDDEN_CLASS,
                f"customer {customer.name} may not use request class {name!r}",
            )
        return Success(request_class)

    def _find_destination(self, call: HttpCall) -> Result[_Destination, RequestFailure]:
        if call.path in MODEL_PATHS:
            return self._model_destination(call)
        if call.path.startswith(SERVICES_PREFIX):
            return self._service_destination(call)
        return _refuse(FailureCode.NOT_FOUND, f"there is nothing at {call.path}")

    def _model_destination(self, call: HttpCall) -> Result[_Destination, RequestFailure]:
        if call.method != "POST":
            return _refuse(FailureCode.METHOD_NOT_ALLOWED, f"{call.path} takes POST")
        try:
            body = json.loads(call.content)
        except (ValueError, RecursionError) as error:
            return _refuse(FailureCode.MALFORMED, f"the body is not JSON: {error}")
        if not isinstance(body, dict):
            return _refuse(FailureCode.MALFORMED, "the body must be a JSON object")
        name = body.get("model")
        streaming = body.get("stream", False)
        if not isinstance(name, str):
            return _refuse(FailureCode.MALFORMED, "'model' must be a string")
        if not isinstance(streaming, bool | None):
            return _refuse(FailureCode.MALFORMED, "'stream' must be true or false")
        if call.path.endswith("/chat/completions") and not isinstance(body.get("messages"), list):
            return _refuse(FailureCode.MALFORMED, "'messages' must be a list")
        model = self._catalogue().models.get(name)
        if model is None:
            return _refuse(FailureCode.UNKNOWN_MODEL, f"there is no model {name!r}")
        return Success(
            _Destination(model.service, call.target, bool(streaming), False, _prefix_hash(body))
        )

    def _service_destination(self, call: HttpCall) -> Result[_Destination, RequestFailure]:
        name, _, remainder = call.path.removeprefix(SERVICES_PREFIX).partition("/")
        if name not in self._catalogue().endpoints_by_service:
            return _refuse(FailureCode.UNKNOWN_SERVICE, f"there is no service {name!r}")
        if call.method not in _ROUTED_METHODS:
            return _refuse(FailureCode.METHOD_NOT_ALLOWED, f"{call.method} is not routed")
        target = f"/{remainder}?{call.query}" if call.query else f"/{remainder}"
        return Success(_Destination(name, target, False, call.method in _SAFE_METHODS, 0))

    def _build_request(
        self,
        call: HttpCall,
        customer: Customer,
        request_class: RequestClass,
        destination: _Destination,
        request_id: str,
    ) -> Result[RoutedRequest, RequestFailure]:
        tier = self._catalogue().tier_of(request_class)
        idempotent = destination.safe_method or request_class.idempotent
        key = call.headers.get(KEY_HEADER, "")
        if len(key) > _MAX_KEY_CHARACTERS:
            return _refuse(
                FailureCode.KEY_MALFORMED,
                f"Idempotency-Key is longer than {_MAX_KEY_CHARACTERS} characters",
            )
        headers = [
            (name, call.headers[name]) for name in _FORWARDED_HEADERS if name in call.headers
        ]
        headers += [(REQUEST_ID_HEADER, request_id), (PRIORITY_HEADER, str(tier.rank))]
        return Success(
            RoutedRequest(
                request_id=request_id,
                customer=customer,
                request_class=request_class,
                tier=tier,
                service=destination.service,
                call=ForwardedCall(call.method, destination.target, tuple(headers), call.content),
                idempotent=idempotent,
                idempotency_key="" if idempotent or not key else _scoped_key(customer, key),
                streaming=destination.streaming,
                deadline=clock.now() + request_class.total_ms / clock.MILLISECONDS_PER_SECOND,
                fingerprint=_fingerprint(call),
                prefix_hash=destination.prefix_hash,
            )
        )


def _refuse(code: FailureCode, message: str) -> Result[Any, RequestFailure]:
    return Failure(RequestFailure(code, message))


def new_request_id() -> str:
    """Return a new unique request id."""
    return f"req-{uuid.uuid4().hex}"


def _scoped_key(customer: Customer, key: str) -> str:
    """Prefix the key with the customer, so that customers' keys can't collide."""
    return f"{customer.name}/{key}"


def _fingerprint(call: HttpCall) -> int:
    text = f"{call.method}\x00{call.target}\x00".encode()
    return _hash(text + call.content)


def _prefix_hash(body: Mapping[str, Any]) -> int:
    """Hash the start of the prompt, which prefix caches share between requests."""
    prompt = body.get("messages") or body.get("prompt") or ""
    text = json.dumps(prompt)[:_PREFIX_CHARACTERS]
    return _hash(f"{body.get('model')}\x00{text}".encode())


def _hash(content: bytes) -> int:
    digest = hashlib.blake2b(content, digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big")
