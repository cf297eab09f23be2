"""Variants of a JSON document in which each field has a value that it should not have."""

import copy
import json
from collections.abc import Iterator
from typing import Any

_DEPTH = 1000
_HOLE = "@@hole@@"

#: JSON texts that are put in the place of a field.
VALUES = {
    "null": "null",
    "true": "true",
    "zero": "0",
    "negative": "-5",
    "fraction": "1.5",
    "2_to_64": str(2**64),
    "huge": "9" * 400,
    "huge_negative": "-" + "9" * 400,
    "largest_float": "1e308",
    "infinite": "1e999",
    "nan": "NaN",
    "text": '"x"',
    "empty_text": '""',
    "long_text": json.dumps("x" * 100_000),
    "lone_surrogate": '"\\ud800"',
    "control_characters": '"a\\u0000\\r\\nb: c"',
    "superscript_digit": '"\\u00b2"',
    "list": "[]",
    "list_of_null": "[null]",
    "object": "{}",
    "deep": "[" * 900 + "]" * 900,
    "deeper": "[" * _DEPTH + "]" * _DEPTH,
    "deep_object": '{"a":' * 900 + "1" + "}" * 900,
    "too_deep": "[" * 100_000 + "]" * 100_000,
}


def variants(document: Any) -> Iterator[tuple[str, bytes]]:
    """Yield each variant with a description, also without the field and as a whole document."""
    for name, text in VALUES.items():
        yield f"document is {name}", text.encode()
    for path in _paths(document, ()):
        yield f"{path} is absent", json.dumps(_without(document, path)).encode()
        with_hole = json.dumps(_with_hole(document, path))
        for name, text in VALUES.items():
            yield f"{path} is {name}", with_hole.replace(f'"{_HOLE}"', text).encode()


def _paths(node: Any, path: tuple[Any, ...]) -> Iterator[tuple[Any, ...]]:
    items = node.items() if isinstance(node, dict) else enumerate(node)
    for key, value in items:
        yield (*path, key)
        if isinstance(value, dict | list):
            yield from _paths(value, (*path, key))


def _parent(document: Any, path: tuple[Any, ...]) -> Any:
    for key in path[:-1]:
        document = document[key]
    return document


def _without(document: Any, path: tuple[Any, ...]) -> Any:
    changed = copy.deepcopy(document)
    del _parent(changed, path)[path[-1]]
    return changed


def _with_hole(document: Any, path: tuple[Any, ...]) -> Any:
    changed = copy.deepcopy(document)
    _parent(changed, path)[path[-1]] = _HOLE
    return changed
