"""Revisions of the store that only rise, also when it comes back from a copy.

Each return from a copy begins an era, in which the store counts on from the copy's revision. The
era goes before the store's own count, so that every revision of an era exceeds all earlier ones.
"""

#: Revisions of one era; the store's own count stays below.
REVISIONS_PER_ERA = 2**40


def compose(era: int, count: int) -> int:
    """Return the revision of the store's own count in an era."""
    return era * REVISIONS_PER_ERA + count


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision // REVISIONS_PER_ERA


def count_of(revision: int) -> int:
    """Return the store's own count of a revision."""
    return revision % REVISIONS_PER_ERA
