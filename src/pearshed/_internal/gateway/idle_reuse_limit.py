"""Limits how long connections to a service's endpoints may be idle before they are reused.

Endpoints announce how long they keep an idle connection, but some drop it sooner without closing
it. The next request on it is reset, and its outcome is unknown, so it can't be retried if it must
not run twice. One such drop therefore limits the reuse of all connections to the service for a
while; a new connection costs a millisecond.
"""

from absl import logging

from pearshed._internal.timers import clock

#: A connection that was idle for less was not dropped for being idle, seconds.
MIN_DROP_IDLE_S = 0.1
#: Share of a dropped connection's idle time that still counts as safe.
SAFE_IDLE_SHARE = 0.5
#: Time after which longer idle times are tried again, seconds.
LIMIT_TTL_S = 30.0


class IdleReuseLimit:
    """The longest idle time after which a connection is reused, learned from dropped connections.

    :param service: for the log.
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self._limit_s = float("inf")
        self._expires_at = float("-inf")

    @property
    def max_idle_s(self) -> float:
        """Longest idle time, seconds; infinite without a recent drop."""
        return self._limit_s if clock.now() < self._expires_at else float("inf")

    def record_drop(self, idle_s: float) -> None:
        """Record a connection that ended with the first bytes sent after an idle time."""
        if idle_s < MIN_DROP_IDLE_S:
            return
        limit_s = min(self.max_idle_s, idle_s * SAFE_IDLE_SHARE)
        if limit_s < self.max_idle_s:
            fields = {"service": self._service, "idle_s": round(idle_s, 2)}
            logging.info(
                "connections.idle_bounded", extra={"fields": {**fields, "to_s": round(limit_s, 2)}}
            )
        self._limit_s = limit_s
        self._expires_at = clock.now() + LIMIT_TTL_S
