"""The engine as its side watches it."""

import abc
from dataclasses import dataclass

from returns.result import Result


@dataclass(frozen=True, slots=True)
class RunningRequest:
    """One request that runs on the engine.

    :ivar events: events that it has generated.
    """

    request_id: str
    tokens: int
    events: int


@dataclass(frozen=True, slots=True)
class EngineReport:
    """State of the engine.

    :ivar waiting: requests that it has accepted and not begun.
    :ivar used_tokens: tokens of memory that can't be freed now.
    :ivar total_tokens: tokens of memory in all.
    """

    running: int
    waiting: int
    used_tokens: int
    total_tokens: int
    runs: tuple[RunningRequest, ...]


@dataclass(frozen=True, slots=True)
class CacheChange:
    """A part of prompts that the engine keeps now.

    :ivar tokens: kept of the part; 0 when it was dropped.
    """

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CacheUpdate:
    """Changes of the engine's cache since a number.

    :ivar epoch: changes when the engine starts anew.
    :ivar next_number: where to go on.
    :ivar lost: changes before these are missing.
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

        :param since: number of the first change wanted.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Drop the connections."""
