"""Ejects endpoints after repeated failures and probes them for recovery."""

from dataclasses import dataclass

from pearshed._internal.timers import clock

_FAILURES_TO_EJECT = 3
_INITIAL_EJECTION_S = 1.0
_MAX_EJECTION_S = 30.0


@dataclass(slots=True)
class _FailureState:
    """Failures and ejections of one endpoint since its last success."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    trial_running: bool = False


class EndpointHealth:
    """Tracks which endpoints are ejected.

    An endpoint is ejected after consecutive failures, for a time that doubles with each
    ejection up to a maximum. After that time it gets one trial request at a time, until one
    succeeds.
    """

    def __init__(self) -> None:
        self._states: dict[str, _FailureState] = {}

    def is_available(self, endpoint: str) -> bool:
        """Return whether the endpoint may get a request now."""
        state = self._states.get(endpoint)
        if state is None or state.ejections == 0:
            return True
        return clock.now() >= state.ejected_until and not state.trial_running

    def record_start(self, endpoint: str) -> None:
        """Record that a request was sent to the endpoint."""
        state = self._states.get(endpoint)
        if state is not None and state.ejections:
            state.trial_running = True

    def record_success(self, endpoint: str) -> None:
        """Record a complete response, which clears all failures."""
        self._states.pop(endpoint, None)

    def record_inconclusive(self, endpoint: str) -> None:
        """Record an end that shows neither health nor failure, such as a cancelled request."""
        state = self._states.get(endpoint)
        if state is not None:
            state.trial_running = False

    def record_failure(self, endpoint: str) -> None:
        """Record a server error, a truncated response or a lost connection."""
        state = self._states.setdefault(endpoint, _FailureState())
        state.failures += 1
        state.trial_running = False
        if state.failures < _FAILURES_TO_EJECT:
            return
        ejection_s = _INITIAL_EJECTION_S * 2.0**state.ejections
        state.ejections += 1
        state.ejected_until = clock.now() + min(_MAX_EJECTION_S, ejection_s)

    def remove(self, endpoint: str) -> None:
        """Remove the state of an endpoint whose record was withdrawn."""
        self._states.pop(endpoint, None)

    def ejected_endpoints(self) -> list[str]:
        """Return the names of the endpoints that get no requests now."""
        return [name for name in self._states if not self.is_available(name)]
