"""Remembers which endpoints have left, so that a copy of the store doesn't bring them back."""

import collections

from pearshed._internal.decisions.restored_items import is_written_since
from pearshed._internal.models.routing import EndpointEntry, EndpointRun

#: Runs that are remembered; the oldest are forgotten first.
MAX_RUNS = 4096


class Departures:
    """Runs of endpoints that were listed as leaving, or are no longer listed.

    :ivar copied_until: revision up to which entries may come from a copy of an earlier state of
        the store; 0 if the store has never come back from one.
    """

    def __init__(self) -> None:
        self.copied_until = 0
        self._runs: collections.OrderedDict[EndpointRun, int] = collections.OrderedDict()

    def record(self, entry: EndpointEntry, revision: int) -> None:
        """Record that an endpoint leaves, or has left.

        :param revision: of the store, as of which that is known.
        """
        self._runs[entry.run] = max(revision, self._runs.get(entry.run, 0))
        self._runs.move_to_end(entry.run)
        if len(self._runs) > MAX_RUNS:
            self._runs.popitem(last=False)

    def take_back(self, entry: EndpointEntry) -> bool:
        """Forget that an endpoint has left; return whether that was known."""
        return self._runs.pop(entry.run, None) is not None

    def has_left(self, entry: EndpointEntry, revision: int) -> bool:
        """Return whether an entry may be that of an endpoint that has left, as a copy lists it.

        An entry that was written after the endpoint had left is the endpoint's own word.

        :param revision: of the entry.
        """
        left_at = self._runs.get(entry.run)
        return left_at is not None and not is_written_since(revision, left_at, self.copied_until)
