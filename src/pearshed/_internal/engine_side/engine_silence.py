"""Detects that an engine is silent for a moment: it has stopped to report its load."""

from pearshed._internal.timers import clock

#: Time without a sign of life after which an engine is silent, seconds; it reports ten times a
#: second.
SILENT_AFTER_S = 0.5
#: A sound engine goes on within a second or so. One without a report for longer has ended, or its
#: reports don't work, seconds.
MAX_SILENCE_S = 3.0


class EngineSilence:
    """Whether an engine is silent.

    An engine that has never reported isn't known to report its load, and doesn't count as silent.
    """

    def __init__(self) -> None:
        self._last_report_at = float("-inf")
        self._last_sign_at = float("inf")

    @property
    def is_silent(self) -> bool:
        """Whether the engine has been silent, for no longer than a sound one may be."""
        return self.has_paused and clock.now() - self._last_report_at <= MAX_SILENCE_S

    @property
    def has_paused(self) -> bool:
        """Whether the engine has given no sign of life for longer than usual."""
        return self.quiet_s > SILENT_AFTER_S

    @property
    def quiet_s(self) -> float:
        """Time since the last sign of life, seconds; 0 before the first report."""
        return max(0.0, clock.now() - self._last_sign_at)

    def record_report(self) -> None:
        """Record that the engine has reported its load."""
        self._last_report_at = self._last_sign_at = clock.now()

    def record_response(self) -> None:
        """Record that the engine has responded to a request."""
        if self._last_sign_at < float("inf"):
            self._last_sign_at = clock.now()
