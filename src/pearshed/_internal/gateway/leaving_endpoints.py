"""Remembers which endpoints have announced that they leave."""

import collections

from pearshed._internal.models.routing import EndpointEntry, EndpointRun

#: Runs of endpoints that are remembered; a restart or a new address begins another run.
MAX_RUNS = 4096


class LeavingEndpoints:
    """Runs of endpoints that have announced in a response that they leave.

    An announcement is final for its run: the platform's list may still show the endpoint as ready,
    or show it again after it was gone. It doesn't concern another endpoint at the same address, nor
    the same one after a restart.
    """

    def __init__(self) -> None:
        self._runs: collections.OrderedDict[EndpointRun, None] = collections.OrderedDict()
        self._announcements = 0

    @property
    def announcements(self) -> int:
        """Number of runs that have announced that they leave."""
        return self._announcements

    def is_leaving(self, entry: EndpointEntry) -> bool:
        """Return whether an endpoint's run has announced that it leaves."""
        return entry.run in self._runs

    def add(self, entry: EndpointEntry) -> bool:
        """Record an announcement.

        :returns: whether it is the first of its run.
        """
        if self.is_leaving(entry):
            return False
        self._announcements += 1
        self._runs[entry.run] = None
        if len(self._runs) > MAX_RUNS:
            self._runs.popitem(last=False)
        return True
