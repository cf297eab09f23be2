"""Reads and validates the fields of mappings parsed from YAML or JSON."""

import sys
from collections.abc import Mapping, Sequence
from typing import Any, TypeVar

from pearshed._internal.errors import FieldProblem
from pearshed._internal.utils.foreign_values import MAX_INTEGER, describe, is_encodable, shorten

_Default = TypeVar("_Default")


class _Required:
    """Marker for a field without a default."""


REQUIRED = _Required()


class FieldReader:
    """Reads typed fields of a mapping and collects every problem.

    An invalid field is read as a placeholder such as its type's zero value, so that one pass
    reports all problems. The caller must discard the result when ``problems`` is not empty.

    :param raw: the parsed mapping.
    :param problems: list to append problems to, shared with nested sections.
    :param path: names of the enclosing sections, outermost first.
    """

    def __init__(
        self,
        raw: Any,
        problems: list[FieldProblem],
        path: tuple[str, ...] = (),
    ) -> None:
        self._problems = problems
        self._path = path
        self._known: set[str] = set()
        self._raw: Mapping[str, Any] = {}
        if isinstance(raw, Mapping):
            self._raw = raw
        else:
            problems.append(FieldProblem(path, f"expected a mapping, found {_describe_type(raw)}"))

    @property
    def problems(self) -> list[FieldProblem]:
        """Problems found so far, in the order in which fields were read."""
        return self._problems

    def text(
        self, name: str, default: str | _Required = REQUIRED, choices: Sequence[str] = ()
    ) -> str:
        """Read a non-empty string, one of ``choices`` if given.

        Strings are interned: thousands of records name the same few services and data centres.
        """
        value = self._get(name, default, "")
        if not isinstance(value, str):
            self.report(name, f"expected a string, found {_describe_type(value)}")
            return ""
        if value == "" and default is REQUIRED and name in self._raw:
            self.report(name, "must not be empty")
        if choices and name in self._raw and value not in choices:
            self.report(name, f"must be one of {', '.join(choices)}, found {describe(value)}")
        if not is_encodable(value):
            self.report(name, "has characters that can't be encoded")
        return sys.intern(value)

    def integer(
        self,
        name: str,
        default: int | _Required = REQUIRED,
        *,
        minimum: int | None = None,
        maximum: int | None = None,
    ) -> int:
        """Read an integer within bounds."""
        value = self._get(name, default, minimum or 0)
        if not isinstance(value, int) or isinstance(value, bool):
            self.report(name, f"expected a whole number, found {_describe_type(value)}")
            return minimum or 0
        if not self._check_bounds(name, value, minimum, maximum):
            return minimum or 0
        return value

    def number(
        self,
        name: str,
        default: float | _Required = REQUIRED,
        *,
        minimum: float | None = None,
        maximum: float | None = None,
    ) -> float:
        """Read a number within bounds."""
        value = self._get(name, default, minimum or 0.0)
        if not isinstance(value, int | float) or isinstance(value, bool):
            self.report(name, f"expected a number, found {_describe_type(value)}")
            return minimum or 0.0
        if not self._check_bounds(name, value, minimum, maximum):
            return minimum or 0.0
        return float(value)

    def flag(self, name: str, default: bool | _Required = REQUIRED) -> bool:
        """Read a boolean."""
        value = self._get(name, default, False)
        if not isinstance(value, bool):
            self.report(name, f"expected true or false, found {_describe_type(value)}")
            return False
        return value

    def texts(self, name: str, default: Sequence[str] | _Required = REQUIRED) -> tuple[str, ...]:
        """Read a list of strings."""
        value = self._get(name, default, ())
        if isinstance(value, str) or not isinstance(value, Sequence):
            self.report(name, f"expected a list of strings, found {_describe_type(value)}")
            return ()
        if not all(isinstance(item, str) for item in value):
            self.report(name, "expected a list of strings, found an item of another type")
            return ()
        if not all(map(is_encodable, value)):
            self.report(name, "has characters that can't be encoded")
            return ()
        return tuple(sys.intern(item) for item in value)

    def section(self, name: str, *, required: bool = False) -> "FieldReader":
        """Read a nested mapping; an optional one that is missing is read as empty."""
        value = self._get(name, REQUIRED if required else {}, {})
        return FieldReader(value, self._problems, (*self._path, name))

    def has(self, name: str) -> bool:
        """Return whether the field is present."""
        return name in self._raw

    def finish(self) -> None:
        """Report an unknown field for every name that was not read."""
        for name in self._raw:
            if name not in self._known:
                known = ", ".join(sorted(self._known))
                self.report(shorten(str(name)), f"unknown field; known fields: {known}")

    def _get(self, name: str, default: _Default | _Required, fallback: _Default) -> Any:
        self._known.add(name)
        if name in self._raw:
            return self._raw[name]
        if isinstance(default, _Required):
            self.report(name, "is missing")
            return fallback
        return default

    def _check_bounds(
        self, name: str, value: float, minimum: float | None, maximum: float | None
    ) -> bool:
        """Report a number out of bounds; return whether it is within them."""
        # Only a comparison that is true accepts a value: none is for NaN.
        if minimum is not None and not value >= minimum:
            self.report(name, f"must be at least {minimum}, found {describe(value)}")
            return False
        largest = MAX_INTEGER if maximum is None else maximum
        if not abs(value) <= MAX_INTEGER or not value <= largest:
            self.report(name, f"must be at most {largest}, found {describe(value)}")
            return False
        return True

    def report(self, name: str, message: str) -> None:
        """Append a problem with a field of this section."""
        self._problems.append(FieldProblem((*self._path, name), message))


def _describe_type(value: Any) -> str:
    type_names = {bool: "true or false", int: "a whole number", float: "a number", str: "a string"}
    if value is None:
        return "nothing"
    if isinstance(value, Mapping):
        return "a mapping"
    if isinstance(value, list | tuple):
        return "a list"
    return type_names.get(type(value), type(value).__name__)
