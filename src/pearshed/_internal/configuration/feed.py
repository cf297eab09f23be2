"""Feeds of the platform: versioned documents that processes store and relay to peers."""

import abc
import enum
from collections.abc import Iterable
from dataclasses import dataclass

from returns.result import Result

from pearshed._internal.timers import clock


class FeedName(enum.StrEnum):
    """The feeds that the platform publishes."""

    RECORDS = "records"
    VMS = "vms"


@dataclass(frozen=True)
class FeedChange:
    """Documents published after one revision, up to and including another.

    :ivar revision: revision of the feed once the documents are applied.
    :ivar documents: JSON documents, each with a revision of its own.
    :ivar confirmed_ago_s: time since the platform confirmed the revision, seconds.
    """

    revision: int
    documents: tuple[bytes, ...]
    confirmed_ago_s: float = 0.0


class PlatformSource(abc.ABC):
    """Read-only client of the platform's publishing service."""

    @abc.abstractmethod
    async def changes(self, feed: FeedName, after: int, wait_s: float) -> Result[FeedChange, str]:
        """Read the documents published after a revision.

        :param after: the last revision that the caller has; 0 reads all documents.
        :param wait_s: how long to wait for a change, seconds; 0 returns at once.
        :returns: the change, empty if there was none in time, or why the read failed.
        """


class Feed(abc.ABC):
    """Stores the highest accepted revision of each document.

    The feed's revision never decreases: an older response is counted and ignored.
    """

    def __init__(self, name: FeedName) -> None:
        self._name = name
        self._revision = 0
        self._confirmed_at = float("-inf")
        self._stale_responses = 0

    @property
    def name(self) -> FeedName:
        """Name of the feed."""
        return self._name

    @property
    def revision(self) -> int:
        """Highest revision applied; 0 before the first."""
        return self._revision

    @property
    def stale_responses(self) -> int:
        """Number of responses of the platform or peers older than the revision in force."""
        return self._stale_responses

    @property
    def confirmed_ago_s(self) -> float:
        """Time since the platform confirmed the revision, seconds; infinite before the first."""
        return clock.now() - self._confirmed_at

    def apply(self, change: FeedChange) -> int:
        """Apply a change unless it is older than the revision in force.

        :returns: the number of documents that took effect.
        """
        if change.revision < self._revision:
            self._stale_responses += 1
            return 0
        self.confirm(self._revision, change.confirmed_ago_s)
        accepted = self._accept_all(change.documents)
        advanced = change.revision > self._revision
        self._revision = change.revision
        if accepted or advanced:
            self._changed(accepted)
        return accepted

    def confirm(self, revision: int, confirmed_ago_s: float) -> None:
        """Record that the platform confirmed a revision, if it is the one in force."""
        if revision == self._revision:
            self._confirmed_at = max(self._confirmed_at, clock.now() - confirmed_ago_s)

    @abc.abstractmethod
    def documents_after(self, revision: int) -> tuple[bytes, ...]:
        """List the accepted documents that are newer than a revision."""

    @abc.abstractmethod
    def _accept_all(self, documents: Iterable[bytes]) -> int:
        """Accept the valid documents that are newer than the stored ones and return their count."""

    @abc.abstractmethod
    def _changed(self, accepted: int) -> None:
        """Notify subscribers within the process of the new state."""
