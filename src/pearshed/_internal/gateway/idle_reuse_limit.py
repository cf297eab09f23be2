"""How long connections to a service's endpoints may rest before a request is sent on them.

Endpoints say how long they keep an idle connection, and some drop it sooner without a word. What is
sent next on it is reset, and a request that must not run twice then ends in doubt. So one such end
bounds the reuse of all connections to the service for a while; a new one costs a millisecond.
"""

from absl import logging

from pearshed._internal.timers import clock

#: A connection that rested for less was not dropped for being idle, seconds.
LEAST_SUSPECT_S = 0.1
#: Part of the rest after which a connection was dropped that is still taken as safe.
SAFE_SHARE = 0.5
#: Time after which longer rests are tried again, seconds.
MEMORY_S = 30.0


class IdleReuseLimit:
    """The longest rest after which a connection is reused, as learned from those that were dropped.

    :param service: for the log.
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self._bound_s = float("inf")
        self._until = float("-inf")

    @property
    def max_idle_s(self) -> float:
        """Longest rest, seconds; infinite where nothing was learned of late."""
        return self._bound_s if clock.now() < self._until else float("inf")

    def record_drop(self, idle_s: float) -> None:
        """Note a connection that ended with the first bytes that were sent after a rest."""
        if idle_s < LEAST_SUSPECT_S:
            return
        bound_s = min(self.max_idle_s, idle_s * SAFE_SHARE)
        if bound_s < self.max_idle_s:
            fields = {"service": self._service, "idle_s": round(idle_s, 2)}
            logging.info(
                "connections.idle_bounded", extra={"fields": {**fields, "to_s": round(bound_s, 2)}}
            )
        self._bound_s = bound_s
        self._until = clock.now() + MEMORY_S
