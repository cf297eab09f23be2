"""Consistent hashing: the members that follow a key on a hash ring."""

import bisect
import functools
import hashlib
from collections.abc import Iterable, Iterator

_POINTS_PER_MEMBER = 64
_DIGEST_BYTES = 8


def _position(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


@functools.lru_cache(maxsize=4_096)
def _positions(member: str, count: int) -> tuple[int, ...]:
    return tuple(_position(f"{member}#{number}") for number in range(count))


class HashRing:
    """A hash ring with several points for each member; all processes build the same ring.

    Finding the successors of a key takes a binary search; rendezvous hashing would compute a score
    for every member and key.

    :param points_per_member: more of them spread keys more evenly, and cost memory and time.
    """

    def __init__(self, members: Iterable[str], points_per_member: int = _POINTS_PER_MEMBER) -> None:
        points = [
            (position, member)
            for member in members
            for position in _positions(member, points_per_member)
        ]
        points.sort()
        self._positions = [position for position, _ in points]
        self._members = [member for _, member in points]

    def successors(self, key: str) -> Iterator[str]:
        """Iterate over the distinct members that follow a key, the nearest first."""
        start = bisect.bisect_left(self._positions, _position(key))
        seen: set[str] = set()
        for offset in range(len(self._members)):
            member = self._members[(start + offset) % len(self._members)]
            if member not in seen:
                seen.add(member)
                yield member
