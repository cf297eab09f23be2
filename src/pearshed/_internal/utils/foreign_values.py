"""Checks values of documents that others write, which may hold anything."""

import math
import reprlib
from typing import Any

#: Integers up to this have exact counterparts in all encodings in use: JSON, protobuf and floats.
MAX_INTEGER = 2**53
_MAX_DIGITS = 15
_MAX_TEXT = 60

_short_repr = reprlib.Repr()
_short_repr.maxstring = _short_repr.maxother = _MAX_TEXT
_short_repr.maxlong = 40


def describe(value: object) -> str:
    """Return a short representation of a value of any size and depth."""
    return _short_repr.repr(value)


def to_integer(value: Any) -> int:
    """Return a number as an integer, rounded down.

    :raises ValueError: when it is no number of at most ``MAX_INTEGER``.
    """
    return int(to_number(value))


def to_number(value: Any) -> float:
    """Return a number.

    :raises ValueError: when it is none, or its size exceeds ``MAX_INTEGER``.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"expected a number, found {describe(value)}")
    if not abs(value) <= MAX_INTEGER or not math.isfinite(value):
        raise ValueError(f"{describe(value)} is out of range")
    return value


def parse_count(text: bytes | str) -> int | None:
    """Parse a whole number in ASCII digits; ``None`` if it is none, or is out of range."""
    if len(text) > _MAX_DIGITS or not text.isascii() or not text.isdigit():
        return None
    return int(text)


def shorten(text: str) -> str:
    """Return a text that fits into a message."""
    return text if len(text) <= _MAX_TEXT and is_encodable(text) else describe(text)


def is_encodable(text: str) -> bool:
    """Return whether a text has no lone surrogates, which JSON allows and UTF-8 doesn't."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
