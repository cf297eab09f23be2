"""Remembers which endpoints have left, so that a copy of the store doesn't bring them back."""

import collections

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
        self._runs: collections.OrderedDict[EndpointRun, None] = collections.OrderedDict()

    def record(self, entry: EndpointEntry) -> None:
        """Record that an endpoint leaves, or has left."""
        self._runs[entry.run] = None
        self._runs.move_to_end(entry.run)
        if len(self._runs) > MAX_RUNS:
            self._runs.popitem(last=False)

    def has_left(self, entry: EndpointEntry, revision: int) -> bool:
        """Return whether an entry is that of an endpoint that has left, as a copy lists it.

        An entry that was written since the store came back is the endpoint's own word.

        :param revision: of the entry.
        """
        return revision <= self.copied_until and entry.run in self._runs
