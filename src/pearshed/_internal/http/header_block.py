"""Headers of a message in one piece of memory."""

import sys
from collections.abc import Iterable, Iterator, Sequence
from typing import overload

Header = tuple[bytes, bytes]


class HeaderBlock(Sequence[Header]):
    """Headers in the order in which they were sent.

    A tuple of two byte strings takes about 40 times the bytes of the shortest header line.

    :param lines: ``name:value`` and a line feed for each header; names in lower case. Neither
        names nor values hold line feeds, and names hold no colon.
    """

    __slots__ = ("_lines",)

    def __init__(self, lines: bytes = b"") -> None:
        self._lines = lines

    @classmethod
    def of(cls, headers: Iterable[Header]) -> "HeaderBlock":
        """Create a block of headers."""
        return cls(b"".join(name + b":" + value + b"\n" for name, value in headers))

    @property
    def held_bytes(self) -> int:
        """Memory of the block, bytes."""
        return sys.getsizeof(self._lines)

    def first(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or ``None``.

        :param name: in lower case.
        """
        start = self._find(name, 0)
        return None if start < 0 else self._value_at(start)

    def all(self, name: bytes) -> list[bytes]:
        """Return all values of a header."""
        values = []
        start = self._find(name, 0)
        while start >= 0:
            values.append(self._value_at(start))
            start = self._find(name, start)
        return values

    def __iter__(self) -> Iterator[Header]:
        for line in self._lines.split(b"\n")[:-1]:
            name, _, value = line.partition(b":")
            yield name, value

    def __len__(self) -> int:
        return self._lines.count(b"\n")

    @overload
    def __getitem__(self, index: int) -> Header: ...

    @overload
    def __getitem__(self, index: slice) -> Sequence[Header]: ...

    def __getitem__(self, index: int | slice) -> Header | Sequence[Header]:
        return tuple(self)[index]

    def __eq__(self, other: object) -> bool:
        if isinstance(other, HeaderBlock):
            return self._lines == other._lines
        return NotImplemented

    def __hash__(self) -> int:
        return hash(self._lines)

    def __repr__(self) -> str:
        return f"HeaderBlock({self._lines!r})"

    def _find(self, name: bytes, start: int) -> int:
        """Return where the value of the next header of a name begins, or -1."""
        key = name + b":"
        if start == 0 and self._lines.startswith(key):
            return len(key)
        found = self._lines.find(b"\n" + key, start)
        return found + 1 + len(key) if found >= 0 else -1

    def _value_at(self, start: int) -> bytes:
        return self._lines[start : self._lines.index(b"\n", start)]
