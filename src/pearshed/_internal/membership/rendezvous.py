"""Rendezvous hashing: choices that change little when members join or leave."""

import hashlib
from collections.abc import Iterable

_DIGEST_BYTES = 8


def score(key: str, member: str) -> int:
    """Compute the score of a member for a key; it is the same in every process."""
    digest = hashlib.blake2b(f"{key}\x00{member}".encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def ranked(key: str, members: Iterable[str]) -> list[str]:
    """Sort the members by their score for the key, the highest first."""
    return sorted(members, key=lambda member: score(key, member), reverse=True)


def best(key: str, members: Iterable[str]) -> str | None:
    """Return the member with the highest score for the key; ``None`` without members."""
    return max(members, key=lambda member: score(key, member), default=None)
