"""Remembers which software versions the engines of a service had lately."""

from collections.abc import Iterable

from pearshed._internal.models.routing import EndpointEntry
from pearshed._internal.models.stream_origin import StreamOrigin
from pearshed._internal.timers import clock

#: Longer than a caller goes on to take up a stream, seconds.
HISTORY_S = 30.0
#: State of the store that is older may lack an engine that has begun streams, seconds.
MAX_STATE_AGE_S = 4.0


class VersionHistory:
    """Versions that engines have had within ``HISTORY_S``.

    If there was only one, it began all streams that callers can take up. That holds only for a
    gateway that has known all engines throughout that time.
    """

    def __init__(self) -> None:
        self._seen: dict[StreamOrigin, float] = {}
        self._complete_since: float | None = None

    def observe(self, entries: Iterable[EndpointEntry], state_age_s: float) -> None:
        """Record the engines that are listed now.

        :param state_age_s: time since the store confirmed this state, seconds.
        """
        now = clock.now()
        if state_age_s > MAX_STATE_AGE_S:
            self._complete_since = None
        elif self._complete_since is None:
            self._complete_since = now
        for entry in entries:
            self._seen[StreamOrigin.of(entry)] = now
        expired = [origin for origin, seen_at in self._seen.items() if now - seen_at > HISTORY_S]
        for origin in expired:
            del self._seen[origin]

    def sole_origin(self, service: str) -> StreamOrigin | None:
        """Return the only origin of a service's recent streams; ``None`` if it isn't certain."""
        if self._complete_since is None or clock.now() - self._complete_since < HISTORY_S:
            return None
        origins = [origin for origin in self._seen if origin.service == service]
        return origins[0] if len(origins) == 1 else None
