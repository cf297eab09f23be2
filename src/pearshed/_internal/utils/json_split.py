"""Splits a JSON text without decoding its parts, one of which may be unreadable."""

import re
from collections.abc import Iterator

#: Strings, so that what they hold isn't taken for structure, and the characters of the structure.
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}:,]', re.DOTALL)
_OPENING = (b"[", b"{")
_CLOSING = (b"]", b"}")


def split_elements(text: bytes) -> list[bytes]:
    """Return the texts of a list's elements, or of an object's members.

    :raises ValueError: when the text is neither, or is cut off.
    """
    elements = []
    start = end = -1
    depth = 0
    for token in _TOKEN.finditer(text):
        symbol = token.group()
        if symbol in _OPENING:
            depth += 1
            if depth == 1:
                start = token.end()
        elif symbol in _CLOSING:
            depth -= 1
            end = token.start()
        if (depth == 1 and symbol == b",") or (depth == 0 and symbol in _CLOSING):
            elements.append(text[start : token.start()].strip())
            start = token.end()
        if depth <= 0:
            break
    if start < 0 or depth or end < 0:
        raise ValueError("expected a list or an object")
    return [element for element in elements if element]


def split_members(text: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Yield the names and values of an object's members, as texts.

    :raises ValueError: when the text is no object, or is cut off.
    """
    for member in split_elements(text):
        name, _, value = member.partition(b":")
        yield name.strip().strip(b'"'), value.strip()
