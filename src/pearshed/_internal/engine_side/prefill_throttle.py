"""How much of its time an engine may read prompts beside streams whose pauses must stay short."""

#: Part by which reading is cut back when a stream's pause was too long.
CUT_SHARE = 0.1
#: Part that each stream with good pauses gives back: one late stream in twenty holds the balance.
REGAINED_SHARE = 0.005
#: Least part of the time in which prompts are read.
LEAST_SHARE = 0.4
#: At this much there is no bound: prompts that come together are read at once.
MOST_SHARE = 1.5


class PrefillThrottle:
    """Learns from the pauses of finished streams.

    How long pauses get depends on the model, on how many tokens an event holds, and on the prompts
    that come together, none of which is published.
    """

    def __init__(self) -> None:
        self._share = MOST_SHARE

    @property
    def share(self) -> float:
        """Part of the time in which prompts may be read."""
        return self._share

    @property
    def bounded(self) -> bool:
        """Whether reading is bounded at all."""
        return self._share < MOST_SHARE

    def record_stream(self, longest_gap_ms: int, allowed_ms: int) -> None:
        """Note a stream that has ended.

        :param longest_gap_ms: its longest pause, milliseconds; 0 when it had none.
        :param allowed_ms: the longest pause that is on time.
        """
        if not longest_gap_ms:
            return
        if longest_gap_ms > allowed_ms:
            self._share = max(LEAST_SHARE, self._share * (1.0 - CUT_SHARE))
        else:
            self._share = min(MOST_SHARE, self._share + REGAINED_SHARE)
