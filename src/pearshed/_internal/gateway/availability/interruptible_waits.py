"""Waits for something at an endpoint that end early when the endpoint can no longer be used."""

import asyncio
from collections.abc import Coroutine, Hashable
from typing import Any, Generic, TypeVar

_Key = TypeVar("_Key", bound=Hashable)
_Result = TypeVar("_Result")


class InterruptibleWaits(Generic[_Key]):
    """Waits in progress by what they wait at."""

    def __init__(self) -> None:
        self._scopes: dict[_Key, set[asyncio.Timeout]] = {}
        self._interrupted = 0

    @property
    def interrupted(self) -> int:
        """Number of waits that ended early."""
        return self._interrupted

    async def wait(self, key: _Key, operation: Coroutine[Any, Any, _Result]) -> _Result | None:
        """Wait for an operation; it is cancelled when waits at the key are interrupted.

        :returns: its result, or ``None`` if it was cancelled for that reason.
        """
        scope = asyncio.timeout(None)
        try:
            async with scope:
                self._scopes.setdefault(key, set()).add(scope)
                return await operation
        except TimeoutError:
            if not scope.expired():
                raise
            self._interrupted += 1
            return None
        finally:
            scopes = self._scopes.get(key)
            if scopes is not None:
                scopes.discard(scope)
                if not scopes:
                    del self._scopes[key]

    def interrupt(self, key: _Key) -> None:
        """End the waits at a key."""
        now = asyncio.get_running_loop().time() if key in self._scopes else 0.0
        for scope in self._scopes.pop(key, ()):
            scope.reschedule(now)
