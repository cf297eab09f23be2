"""Request rates that engines have named, which gateways and sides exchange by merging them.

Merging keeps the latest statement of each engine, so lost and repeated datagrams are harmless.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from pearshed._internal.timers import clock

#: Time for which a statement is remembered without another one, seconds.
LIMIT_MEMORY_S = 600.0
#: Runs of engines whose statements are remembered, those with the latest ones.
MAX_LIMITS = 8192


@dataclass(frozen=True, slots=True)
class RateLimit:
    """What one run of an engine has said last of the requests that it takes.

    :ivar run: id of the engine's run.
    :ivar per_s: requests per second from all gateways together; ``None`` after the engine has
        stopped naming a limit.
    :ivar named_at: clock reading of the response that said so, seconds.
    """

    run: str
    per_s: float | None
    named_at: float


class RateLimitTable:
    """The latest statement of each run of an engine that has named a limit."""

    def __init__(self) -> None:
        self._limits: dict[str, RateLimit] = {}

    @property
    def limits(self) -> tuple[RateLimit, ...]:
        """The remembered statements, the latest first."""
        self._drop_expired()
        return tuple(sorted(self._limits.values(), key=lambda limit: limit.named_at, reverse=True))

    def limit(self, run: str) -> RateLimit | None:
        """Return what a run has said last; ``None`` if it has never named a limit."""
        return self._limits.get(run)

    def per_s(self, run: str) -> float | None:
        """Return the requests per second that a run takes; ``None`` without a limit."""
        limit = self._limits.get(run)
        return limit.per_s if limit is not None else None

    def record(self, run: str, per_s: float | None) -> None:
        """Record what a run has said in a response now.

        :param per_s: requests per second; ``None`` if the response names no limit.
        """
        if per_s is not None or run in self._limits:
            self._limits[run] = RateLimit(run, per_s, clock.now())
            self._drop_excess()

    def merge(self, limits: Iterable[RateLimit]) -> None:
        """Merge the statements that another process knows."""
        for limit in limits:
            current = self._limits.get(limit.run)
            if current is None or limit.named_at > current.named_at:
                self._limits[limit.run] = limit
        self._drop_excess()

    def _drop_excess(self) -> None:
        if len(self._limits) > MAX_LIMITS:
            self._limits = {limit.run: limit for limit in self.limits[:MAX_LIMITS]}

    def _drop_expired(self) -> None:
        oldest = clock.now() - LIMIT_MEMORY_S
        self._limits = {
            run: limit for run, limit in self._limits.items() if limit.named_at > oldest
        }
