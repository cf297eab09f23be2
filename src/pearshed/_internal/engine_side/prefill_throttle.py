"""Limits an engine's prefill while its streams need short gaps between events.

Prefill is the engine's processing of a prompt before its first output token; it delays the events
of the streams that the engine is generating.
"""

#: Fraction by which the share of prefill is reduced when a stream had too long a gap.
DECREASE_RATIO = 0.1
#: Increase of the share for each stream without such a gap: with one late stream in twenty the
#: share stays as it is.
INCREASE_STEP = 0.005
#: Lowest share of the time for prefill.
MIN_SHARE = 0.4
#: Initial share, at which there is no limit: prompts that arrive together are granted together.
MAX_SHARE = 1.5


class PrefillThrottle:
    """Adapts the share of the time for prefill to the gaps that finished streams had.

    The gaps depend on the model, on the number of tokens in an event and on simultaneous prompts,
    none of which the engine publishes.
    """

    def __init__(self) -> None:
        self._share = MAX_SHARE

    @property
    def share(self) -> float:
        """Share of the time for prefill; no limit at ``MAX_SHARE``."""
        return self._share

    @property
    def is_active(self) -> bool:
        """Whether prefill is limited at all."""
        return self._share < MAX_SHARE

    def record_stream(self, longest_gap_ms: int, allowed_gap_ms: int) -> None:
        """Adjust the share after a stream has ended.

        :param longest_gap_ms: longest gap between its events, milliseconds; 0 when it had none.
        :param allowed_gap_ms: longest gap that is on time, milliseconds.
        """
        if not longest_gap_ms:
            return
        if longest_gap_ms > allowed_gap_ms:
            self._share = max(MIN_SHARE, self._share * (1.0 - DECREASE_RATIO))
        else:
            self._share = min(MAX_SHARE, self._share + INCREASE_STEP)
