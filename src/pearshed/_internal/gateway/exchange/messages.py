"""Datagrams between gateways: JSON lists that begin with a kind that sides don't use."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import orjson
from returns.result import Failure, Result, Success

from pearshed._internal.utils.foreign_values import describe, to_integer, to_number

#: Larger datagrams are rejected, bytes.
MAX_DATAGRAM_BYTES = 4096
_KIND = "x"
_PREFIX = b'["x",'
#: Tokens of a retry budget are sent as thousandths.
_TOKEN_PARTS = 1000

#: A record of a kind: values that JSON can hold.
Row = Sequence[Any]


@dataclass(frozen=True, slots=True)
class News:
    """What the sender knows, or a part of it.

    :ivar rows: records by kind.
    :ivar asks: whether the receiver is to send what it knows.
    :ivar is_starting: whether the sender has just started, and needs all that fits.
    """

    rows: Mapping[str, Sequence[Row]]
    asks: bool
    is_starting: bool = False


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """A gateway asks another one for tokens of its retry budget.

    :ivar number: counts the requests of the sender.
    :ivar tokens: how many it needs.
    """

    number: int
    service: str
    tokens: float


@dataclass(frozen=True, slots=True)
class Loan:
    """The response to ``LoanRequest``.

    :ivar number: of the request.
    :ivar tokens: how many the sender has given up; 0 for none.
    """

    number: int
    tokens: float


ExchangeMessage = News | LoanRequest | Loan


def is_exchange_datagram(datagram: bytes) -> bool:
    """Return whether a datagram is one of these messages."""
    return datagram.startswith(_PREFIX)


def encode(message: ExchangeMessage) -> bytes:
    """Encode a message."""
    if isinstance(message, News):
        content: dict[str, object] = {
            "news": dict(message.rows),
            "asks": int(message.asks),
            "starting": int(message.is_starting),
        }
    elif isinstance(message, LoanRequest):
        content = {"loan": [message.number, message.service, _to_parts(message.tokens)]}
    else:
        content = {"lent": [message.number, _to_parts(message.tokens)]}
    return orjson.dumps([_KIND, content])


def decode(datagram: bytes) -> Result[ExchangeMessage, str]:
    """Decode a datagram.

    :returns: the message, or an error message.
    """
    if len(datagram) > MAX_DATAGRAM_BYTES:
        return Failure("the datagram is too large")
    try:
        _, content = orjson.loads(datagram)
        if "news" in content:
            rows = {str(kind): list(rows) for kind, rows in content["news"].items()}
            flags = (bool(content.get(name)) for name in ("asks", "starting"))
            return Success(News(rows, *flags))
        if "loan" in content:
            number, service, parts = content["loan"]
            if not isinstance(service, str):
                return Failure(f"expected a service, found {describe(service)}")
            return Success(LoanRequest(to_integer(number), service, _from_parts(parts)))
        if "lent" in content:
            number, parts = content["lent"]
            return Success(Loan(to_integer(number), _from_parts(parts)))
    except (AttributeError, TypeError, ValueError, RecursionError) as error:
        return Failure(f"malformed datagram: {describe(str(error))}")
    return Failure("unknown message of a gateway")


def _to_parts(tokens: float) -> int:
    """Round down: what is sent must not be more than what was given up."""
    return int(tokens * _TOKEN_PARTS)


def _from_parts(parts: Any) -> float:
    """Return a number of tokens.

    :raises ValueError: when it is none, or negative.
    """
    tokens = to_number(parts) / _TOKEN_PARTS
    if tokens < 0.0:
        raise ValueError(f"{tokens} tokens")
    return tokens
