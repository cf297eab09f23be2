"""Table of a side's runs and of the attempts that have ended."""

from collections.abc import Iterable
from dataclasses import dataclass

from pearshed._internal.side.endpoint_client import EndpointCall
from pearshed._internal.side.run import Run
from pearshed._internal.timers import clock

#: Time for which ended and invalidated attempts are recorded, seconds.
ATTEMPT_RETENTION_S = 600.0

#: The entry's incarnation and the entry's number for the attempt.
AttemptKey = tuple[str, int]


@dataclass(eq=False, slots=True)
class TrackedRun:
    """A run with its call and scheduling data.

    :ivar call: the call to the endpoint; None for a replayed response.
    :ivar idempotency_key: the key claimed for the run, or an empty string.
    :ivar rank: rank of the request's tier.
    :ivar deadline: clock reading at which its caller gives it up; 0 for a replayed response.
    :ivar finished_at: clock reading of its end; 0 while it is running.
    """

    run: Run
    call: EndpointCall | None = None
    idempotency_key: str = ""
    rank: int = 0
    deadline: float = 0.0
    finished_at: float = 0.0


class RunTable:
    """Holds runs until their responses are no longer needed, and ended attempts for longer.

    The record of ended attempts lets a side prove that a request was not run: an unknown attempt
    that is younger than the retention time has not run here. Such an attempt is invalidated
    before this is reported, so that a body still in transit can't run later.
    """

    def __init__(self) -> None:
        self._runs: dict[AttemptKey, TrackedRun] = {}
        self._ended: dict[AttemptKey, float] = {}
        self._invalidated: dict[AttemptKey, float] = {}

    def __len__(self) -> int:
        return len(self._runs)

    @property
    def running(self) -> int:
        """Number of requests that the endpoint is running."""
        return sum(1 for tracked in self._runs.values() if not tracked.run.finished)

    def get(self, key: AttemptKey) -> TrackedRun | None:
        """Return a run, or None if it is not in the table."""
        return self._runs.get(key)

    def add(self, key: AttemptKey, tracked: TrackedRun) -> None:
        """Add a run."""
        self._runs[key] = tracked

    def items(self) -> list[tuple[AttemptKey, TrackedRun]]:
        """List the runs by attempt."""
        return list(self._runs.items())

    def remove(self, key: AttemptKey) -> None:
        """Remove a run and record that the attempt has ended."""
        del self._runs[key]
        self._ended[key] = clock.now()

    def has_seen(self, key: AttemptKey) -> bool:
        """Return whether the attempt is running, has run or was invalidated; it must not start."""
        return key in self._runs or key in self._ended or key in self._invalidated

    def has_run(self, key: AttemptKey) -> bool:
        """Return whether the attempt is running or recorded as ended."""
        return key in self._runs or key in self._ended

    def invalidate(self, key: AttemptKey) -> None:
        """Prevent an attempt from ever running."""
        self._invalidated[key] = clock.now()

    def sweep(self) -> None:
        """Remove records older than the retention time."""
        cutoff = clock.now() - ATTEMPT_RETENTION_S
        _drop_older(self._ended, cutoff)
        _drop_older(self._invalidated, cutoff)


def detach_all(runs: Iterable[tuple[AttemptKey, TrackedRun]], entry_incarnation: str) -> None:
    """Detach all runs of an entry until it reconnects."""
    for key, tracked in runs:
        if key[0] == entry_incarnation:
            tracked.run.detach()


def _drop_older(times: dict[AttemptKey, float], cutoff: float) -> None:
    """Drop items older than ``cutoff`` from the front; dicts keep insertion order."""
    while times:
        key = next(iter(times))
        if times[key] >= cutoff:
            return
        del times[key]
