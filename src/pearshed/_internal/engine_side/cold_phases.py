"""The cold phases of engines for whose runs a side counts, as gateways state them."""

from dataclasses import dataclass

from pearshed._internal.timers import clock

#: Runs whose phases are remembered, those that end last.
MAX_RUNS = 8192


@dataclass(frozen=True, slots=True)
class _Phase:
    per_s: float
    until: float


class ColdPhases:
    """Rates at which runs take requests until their cold phases end.

    They are no statements of engines: nothing of them is reported to others, and each ends by
    itself.
    """

    def __init__(self) -> None:
        self._phases: dict[str, _Phase] = {}

    @property
    def count(self) -> int:
        """Number of runs that are cold now."""
        now = clock.now()
        return sum(phase.until > now for phase in self._phases.values())

    def record(self, run: str, per_s: float, left_s: float) -> None:
        """Record what a gateway states of a run; of several ends, the latest counts.

        :param per_s: requests per second.
        :param left_s: time until the cold phase ends, seconds.
        """
        until = clock.now() + left_s
        current = self._phases.get(run)
        if current is not None:
            until = max(until, current.until)
        self._phases[run] = _Phase(per_s, until)
        if len(self._phases) > MAX_RUNS:
            latest = sorted(self._phases.items(), key=lambda item: item[1].until, reverse=True)
            self._phases = dict(latest[:MAX_RUNS])

    def per_s(self, run: str) -> float | None:
        """Return the requests per second that a cold run takes; ``None`` for one that is warm."""
        phase = self._phases.get(run)
        return phase.per_s if phase is not None and phase.until > clock.now() else None

    def drop_ended(self) -> None:
        """Forget the phases that have ended."""
        now = clock.now()
        self._phases = {run: phase for run, phase in self._phases.items() if phase.until > now}
