"""Rendezvous hashing: stable choices that move little when members come and go."""

import hashlib
from collections.abc import Iterable

_DIGEST_BYTES = 8


def score(key: str, member: str) -> int:
    """Score a member for a key; every process computes the same score."""
    digest = hashlib.blake2b(f"{key}\x00{member}".encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def ranked(key: str, members: Iterable[str]) -> list[str]:
    """Order the members by their score for the key, the best first."""
    return sorted(members, key=lambda member: score(key, member), reverse=True)


def best(key: str, members: Iterable[str]) -> str | None:
    """Find the best member for the key, or nothing when there are no members."""
    return max(members, key=lambda member: score(key, member), default=None)
