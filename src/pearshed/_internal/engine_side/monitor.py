"""Interface for reading the load and the cache changes of an engine."""

import abc
from dataclasses import dataclass

from returns.result import Result


@dataclass(frozen=True, slots=True)
class RunningRequest:
    """One request that runs on the engine.

    :ivar events: number of events that it has generated.
    """

    request_id: str
    tokens: int
    events: int


@dataclass(frozen=True, slots=True)
class EngineReport:
    """Load of the engine.

    :ivar running: number of requests that run.
    :ivar waiting: number of requests that the engine has accepted and not started.
    :ivar used_tokens: memory that can't be freed now, tokens.
    :ivar total_tokens: memory in all, tokens.
    :ivar runs: the requests that run.
    :ivar started_at_ms: Unix time of the engine's start, milliseconds; 0 if it doesn't say so.
    """

    running: int
    waiting: int
    used_tokens: int
    total_tokens: int
    runs: tuple[RunningRequest, ...]
    started_at_ms: int = 0


@dataclass(frozen=True, slots=True)
class CacheChange:
    """A change in how much of a prompt part the engine caches.

    :ivar tokens: cached tokens of the part after the change; 0 when all of it was evicted.
    :ivar evicted: whether tokens of the part were evicted; otherwise some were added.
    """

    part_id: str
    tokens: int
    evicted: bool = False


@dataclass(frozen=True, slots=True)
class CacheUpdate:
    """Changes of the engine's cache from a requested sequence number on.

    :ivar epoch: identifies the engine's incarnation; differs after a restart.
    :ivar next_number: sequence number from which to continue.
    :ivar lost: whether changes before these are missing.
    """

    epoch: str
    next_number: int
    lost: bool
    changes: tuple[CacheChange, ...]


class EngineMonitor(abc.ABC):
    """Reads the state of one engine."""

    @abc.abstractmethod
    async def report(self) -> Result[EngineReport, str]:
        """Read the engine's load."""

    @abc.abstractmethod
    async def next_cache_update(self, since: int, wait_s: float) -> Result[CacheUpdate, str]:
        """Wait for changes of the engine's cache.

        :param since: sequence number of the first change to return.
        :param wait_s: longest time to wait, seconds.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connections."""
