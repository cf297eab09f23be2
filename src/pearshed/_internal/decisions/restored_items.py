"""Tells what was written to the store from what a copy of an earlier state brings back.

Addresses a store that comes back from a copy some seconds old: it lists items that had ended, and
lacks some that hold. Whoever wrote them writes again, or lets them expire. So each belief against
the store's list ends with evidence of a later write, or once the writer has had the time for one.
"""

from pearshed._internal.models.revisions import era_of

#: Heartbeats that an endpoint misses until the store removes its entry.
HEARTBEATS_OF_A_LEASE = 3
#: Lease of an entry where the settings don't name the interval of heartbeats, seconds.
DEFAULT_LEASE_S = 3.6
#: Time beyond a lease within which the store removes an entry that has expired, seconds.
EXPIRY_MARGIN_S = 1.0
#: Time within which the operator deletes again what a copy brings back, seconds. Shorter than the
#: bound for evacuations, since the operator may also have set it once more.
DELETION_REPEATED_S = 2.0


def is_written_since(revision: int, ended_at: int, copied_until: int) -> bool:
    """Return whether an item was surely written after its end was known.

    Counts of a store that came back go back by seconds, which may be several eras. So of what its
    first response covers, nothing is certain.

    :param revision: of the item.
    :param ended_at: revision of the store, as of which the item had ended.
    :param copied_until: revision up to which items may come from a copy; 0 if it isn't known.
    """
    if era_of(revision) <= era_of(ended_at):
        return revision > ended_at
    return era_of(copied_until) == era_of(revision) and revision > copied_until


def is_lease_over(listed_since: float, confirmed_at: float, lease_s: float) -> bool:
    """Return whether an entry has been listed for so long that its endpoint must be alive.

    :param listed_since: clock reading when the entry was first listed in this era, seconds.
    :param confirmed_at: clock reading as of which the store still listed it, seconds.
    :param lease_s: silence of an endpoint after which the store removes its entry, seconds.
    """
    return is_hold_over(listed_since, confirmed_at, lease_s + EXPIRY_MARGIN_S)


def is_hold_over(since: float, confirmed_at: float, hold_s: float) -> bool:
    """Return whether the writer of an item has had the time to write it again.

    :param since: clock reading when a restored store first contradicted what was known, seconds.
    :param confirmed_at: clock reading as of which it still did, seconds.
    :param hold_s: time that the writer has, seconds.
    """
    return confirmed_at - since >= hold_s
