"""The runs of a side, and the memory of attempts that have ended."""

from collections.abc import Iterable
from dataclasses import dataclass

from pearshed._internal.side.endpoint_client import EndpointCall
from pearshed._internal.side.run import Run
from pearshed._internal.timers import clock

#: Time for which an ended attempt is remembered, seconds.
MEMORY_S = 600.0

#: The start of an entry and its number for the attempt.
AttemptKey = tuple[str, int]


@dataclass(eq=False, slots=True)
class ActiveRun:
    """A run with what belongs to it.

    :ivar call: the call to the endpoint; nothing for a replayed answer.
    :ivar idempotency_key: the key that the run was claimed for, or an empty string.
    :ivar rank: rank of the request's tier.
    :ivar finished_at: clock reading of its end; 0 while it runs.
    """

    run: Run
    call: EndpointCall | None = None
    idempotency_key: str = ""
    rank: int = 0
    finished_at: float = 0.0


class RunTable:
    """Keeps runs until their answers are not needed, and remembers for longer that they were.

    The memory is what lets a side prove that a request was not run: an attempt that it does not
    know and can't have forgotten has not run here. Such an attempt is voided before that is said,
    so that its body, which may still be under way, can't run later.
    """

    def __init__(self) -> None:
        self._runs: dict[AttemptKey, ActiveRun] = {}
        self._ended: dict[AttemptKey, float] = {}
        self._void: dict[AttemptKey, float] = {}

    def __len__(self) -> int:
        return len(self._runs)

    @property
    def active(self) -> int:
        """Number of requests that the endpoint is running."""
        return sum(1 for active in self._runs.values() if not active.run.finished)

    def get(self, key: AttemptKey) -> ActiveRun | None:
        """Find a run that is kept."""
        return self._runs.get(key)

    def add(self, key: AttemptKey, active: ActiveRun) -> None:
        """Keep a run."""
        self._runs[key] = active

    def items(self) -> list[tuple[AttemptKey, ActiveRun]]:
        """List the runs that are kept."""
        return list(self._runs.items())

    def forget(self, key: AttemptKey) -> None:
        """Drop a run, and remember that there was one."""
        del self._runs[key]
        self._ended[key] = clock.now()

    def has_seen(self, key: AttemptKey) -> bool:
        """Tell whether the attempt runs, has run or was voided; it must not begin again."""
        return key in self._runs or key in self._ended or key in self._void

    def has_run(self, key: AttemptKey) -> bool:
        """Tell whether the attempt runs or is remembered to have run."""
        return key in self._runs or key in self._ended

    def void(self, key: AttemptKey) -> None:
        """Make sure that an attempt never runs."""
        self._void[key] = clock.now()

    def sweep(self) -> None:
        """Forget what has been remembered for long enough."""
        oldest = clock.now() - MEMORY_S
        _drop_older(self._ended, oldest)
        _drop_older(self._void, oldest)


def detach_all(runs: Iterable[tuple[AttemptKey, ActiveRun]], entry_incarnation: str) -> None:
    """Let the answers of an entry wait for its next connection."""
    for key, active in runs:
        if key[0] == entry_incarnation:
            active.run.detach()


def _drop_older(moments: dict[AttemptKey, float], oldest: float) -> None:
    """Drop the entries at the front that are older; dicts keep the order of insertion."""
    while moments:
        key = next(iter(moments))
        if moments[key] >= oldest:
            return
        del moments[key]
