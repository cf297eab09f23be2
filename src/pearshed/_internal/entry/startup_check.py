"""Decides when an entry that has started may use the configuration that it has read."""

from pearshed._internal.timers import clock

#: Time after the start from which half of the sides are enough, seconds: some may be down.
HALF_ENOUGH_AFTER_S = 1.0
#: Time after the start from which one side is enough, seconds: the entry may be cut off from most.
ONE_ENOUGH_AFTER_S = 5.0


class StartupCheck:
    """Waits for the sides after a start.

    The platform may answer with a state of the past, in which withdrawn API keys are still valid.
    Sides that have outlived the entry know the later state and send it once they are connected.
    """

    def __init__(self) -> None:
        self._started_at = clock.now()
        self._confirmed = False

    @property
    def confirmed(self) -> bool:
        """Whether the configuration may be used; once true, it stays so."""
        return self._confirmed

    def update(self, sides: int, compared: int) -> None:
        """Record how many sides have confirmed the configuration.

        :param sides: that the entry connects to.
        :param compared: those whose feeds are no newer than the entry's.
        """
        elapsed_s = clock.now() - self._started_at
        if elapsed_s >= ONE_ENOUGH_AFTER_S:
            needed = 1
        elif elapsed_s >= HALF_ENOUGH_AFTER_S:
            needed = max(1, -(-sides // 2))
        else:
            needed = max(1, sides)
        self._confirmed = self._confirmed or compared >= needed
