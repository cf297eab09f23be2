"""Ejection of endpoints that fail, and their return."""

from dataclasses import dataclass

from pearshed._internal.timers import clock

_FAILURES_TO_EJECT = 3
_FIRST_EJECTION_S = 1.0
_LONGEST_EJECTION_S = 30.0


@dataclass(slots=True)
class _Record:
    """Failures of one endpoint since its last success."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    trial_running: bool = False


class EndpointHealth:
    """Tells which endpoints to leave alone for a while.

    An endpoint is ejected after consecutive failures, for a time that doubles with each
    ejection. Then one request at a time tries it, until one succeeds.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def is_available(self, endpoint: str) -> bool:
        """Tell whether the endpoint may get a request now."""
        record = self._records.get(endpoint)
        if record is None or record.ejections == 0:
            return True
        return clock.now() >= record.ejected_until and not record.trial_running

    def record_start(self, endpoint: str) -> None:
        """Note that a request was sent to the endpoint."""
        record = self._records.get(endpoint)
        if record is not None and record.ejections:
            record.trial_running = True

    def record_success(self, endpoint: str) -> None:
        """Note a whole answer."""
        self._records.pop(endpoint, None)

    def record_inconclusive(self, endpoint: str) -> None:
        """Note an end that says nothing about the endpoint, such as a cancelled request."""
        record = self._records.get(endpoint)
        if record is not None:
            record.trial_running = False

    def record_failure(self, endpoint: str) -> None:
        """Note a crash, a timeout or a connection that failed."""
        record = self._records.setdefault(endpoint, _Record())
        record.failures += 1
        record.trial_running = False
        if record.failures < _FAILURES_TO_EJECT:
            return
        step_s = _FIRST_EJECTION_S * 2.0**record.ejections
        record.ejections += 1
        record.ejected_until = clock.now() + min(_LONGEST_EJECTION_S, step_s)

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that was withdrawn."""
        self._records.pop(endpoint, None)

    def ejected(self) -> list[str]:
        """Name the endpoints that are ejected now."""
        return [name for name in self._records if not self.is_available(name)]
