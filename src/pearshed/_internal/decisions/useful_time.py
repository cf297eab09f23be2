"""How long a request can wait until its first event is of no more use to its caller.

Addresses bursts in which callers with short and with long targets wait for the same engines for
seconds. A wait of half of the target refuses requests whose callers would still have waited, while
engines become free again within the callers' patience.
"""

import collections
import statistics
from dataclasses import dataclass

from pearshed._internal.decisions.terms import RequestTerms
from pearshed._internal.timers import clock

#: A caller leaves after the longest of these without an event: a time in milliseconds, and
#: multiples of its targets for the first event and for the gap between events.
MIN_PATIENCE_MS = 2000.0
PATIENCE_TARGETS = 4.0
PATIENCE_GAPS = 8.0
#: Time for which an ended stream counts for the pace of its kind, seconds.
PACE_MEMORY_S = 30.0
#: Streams of one kind that are remembered.
_MAX_STREAMS = 64
#: Kinds of streams that are remembered.
_MAX_KINDS = 256


@dataclass(frozen=True, slots=True)
class CallerNeeds:
    """What a caller needs, as readings of this process's clock.

    :ivar target_at: clock reading until which the first event is on time, seconds.
    :ivar useful_until: clock reading after which a first event is of no more use, seconds.
    :ivar returned: the caller has come back at the time that it was given with a refusal.
    """

    target_at: float
    useful_until: float
    customer: str = ""
    returned: bool = False

    @property
    def target_left_s(self) -> float:
        """Time until the first event is late, seconds; negative if it is late already."""
        return self.target_at - clock.now()

    @property
    def useful_left_s(self) -> float:
        """Time until a first event is of no more use, seconds."""
        return self.useful_until - clock.now()

    def terms(self) -> RequestTerms:
        """Return the needs relative to the present time, for a message that is sent now."""
        return RequestTerms(
            int(self.target_left_s * clock.MILLISECONDS_PER_SECOND),
            max(0, int(self.useful_left_s * clock.MILLISECONDS_PER_SECOND)),
            self.customer,
            self.returned,
        )


def patience_ms(target_ms: float, gap_ms: float) -> float:
    """Return the time without an event after which a caller leaves, milliseconds."""
    return max(MIN_PATIENCE_MS, PATIENCE_TARGETS * target_ms, PATIENCE_GAPS * gap_ms)


def useful_until(
    waiting_since: float, target_ms: float, gap_ms: float, deadline: float, generation_s: float
) -> float:
    """Return the clock reading after which a first event is of no more use, seconds.

    :param waiting_since: clock reading of the arrival, or of the last event of a stream, seconds.
    :param deadline: clock reading until which the response must be complete, seconds.
    :param generation_s: expected time from the first event to the last one, seconds.
    """
    patience_s = patience_ms(target_ms, gap_ms) / clock.MILLISECONDS_PER_SECOND
    return min(waiting_since + patience_s, deadline - generation_s)


class GenerationPace:
    """Time per expected output token of streams that ended lately, by kind.

    The pace is that of the callers' own estimates of output, so errors of a kind's estimates cancel
    out. The median is used: a single stream that was interrupted or held up doesn't change it.
    """

    def __init__(self) -> None:
        self._kinds: collections.OrderedDict[str, collections.deque[tuple[float, float]]] = (
            collections.OrderedDict()
        )

    def record_stream(self, kind: str, output_tokens: int, generation_s: float) -> None:
        """Record a complete stream.

        :param kind: name of what the streams of one pace have in common.
        :param output_tokens: number of tokens that it was expected to have.
        :param generation_s: time from its first event to its last one, seconds.
        """
        if output_tokens <= 0:
            return
        streams = self._kinds.setdefault(kind, collections.deque(maxlen=_MAX_STREAMS))
        self._kinds.move_to_end(kind)
        streams.append((clock.now(), generation_s / output_tokens))
        if len(self._kinds) > _MAX_KINDS:
            self._kinds.popitem(last=False)

    def generation_s(self, kind: str, output_tokens: int) -> float:
        """Return the expected time from the first event to the last, seconds.

        :returns: 0 without a recent stream of the kind, so that nothing is given up too early.
        """
        oldest = clock.now() - PACE_MEMORY_S
        paces = [pace for ended_at, pace in self._kinds.get(kind, ()) if ended_at >= oldest]
        return statistics.median(paces) * output_tokens if paces else 0.0
