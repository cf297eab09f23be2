"""How long an engine gets no requests after it has turned one away and asked for a pause.

Addresses engines that are short of something for a moment: each request that arrives then costs
them work and is turned away. Other engines, or a time to come back, serve its caller better.
"""

import math
from dataclasses import dataclass

#: Longest pause, seconds: an engine whose value is nonsense is tried again within minutes.
MAX_PAUSE_S = 300.0
#: Pause of an engine whose value can't be read, seconds: it has asked for some time.
UNREADABLE_PAUSE_S = 1.0
_MAX_TEXT = 40


@dataclass(frozen=True, slots=True)
class PauseRequest:
    """What an engine asks for.

    :ivar seconds: as sent, finite or not; ``None`` if the value is no number.
    :ivar text: the value as sent, shortened, for logs.
    """

    seconds: float | None
    text: str

    @property
    def pause_s(self) -> float:
        """The pause to keep, seconds; 0 for none."""
        if self.seconds is None:
            return UNREADABLE_PAUSE_S
        return min(MAX_PAUSE_S, max(0.0, self.seconds))

    @property
    def odd(self) -> bool:
        """Whether the pause is another one than the value says."""
        return self.seconds != self.pause_s


def parse_pause(value: bytes) -> PauseRequest:
    """Parse the value of a header that states a time in seconds."""
    text = value.decode("latin-1")
    try:
        seconds: float | None = float(text)
    except ValueError:
        seconds = None
    if seconds is not None and math.isnan(seconds):
        seconds = None
    return PauseRequest(seconds, text[:_MAX_TEXT])
