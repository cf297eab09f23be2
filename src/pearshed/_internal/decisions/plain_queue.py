"""Which plain requests a gateway sends on, and which it holds back or refuses.

Addresses bursts in which all gateways together send more requests than the slots of a service's
endpoints take. Endpoints serve what they have in the order of its arrival, so urgent requests wait
behind others, and requests run whose deadline passes meanwhile.
"""

import collections
from collections.abc import Sequence
from dataclasses import dataclass

from pearshed._internal.timers import clock

#: Time after which a reported load says nothing of the present if it isn't known how long requests
#: take, seconds.
REPORT_TTL_S = 2.0
#: Gateways that use the same free slots at once, at most: others see the same report, but few of
#: them get a request before the next one.
_SIMULTANEOUS_GATEWAYS = 2
#: Quantile of the durations that counts as the time of work alone; longer ones include waiting.
_USUAL_QUANTILE = 0.25
#: Quantile of the durations within which a request must end that may not be repeated.
_SAFE_QUANTILE = 0.9
#: Time for which a duration is remembered, seconds.
WORK_MEMORY_S = 30.0
_MAX_DURATIONS = 64
_MAX_KINDS = 256


@dataclass(frozen=True, slots=True)
class SlotUse:
    """Use of one endpoint's slots.

    :ivar slots: requests that it runs at once, as it reports.
    :ivar busy: requests that ran or waited there by its last report.
    :ivar age_s: age of that report, seconds.
    :ivar own_at_report: this gateway's requests among these.
    :ivar own: this gateway's requests there now.
    """

    slots: int
    busy: int
    age_s: float
    own_at_report: int
    own: int

    def others(self, work_s: float) -> float:
        """Return the other gateways' requests that are likely still there.

        :param work_s: time that a request takes, seconds; 0 if not known.
        """
        others = max(0, self.busy - self.own_at_report)
        if work_s > 0.0:
            return max(0.0, others - self.age_s * self.slots / work_s)
        return others * max(0.0, 1.0 - self.age_s / REPORT_TTL_S)

    def may_send(self, gateways: int, work_s: float) -> bool:
        """Return whether this gateway may send one more request.

        :param gateways: number of gateways that use the endpoint.
        """
        free = self.slots - self.others(work_s) - self.own
        if free < 1.0:
            return False
        sharing = max(1, min(gateways, _SIMULTANEOUS_GATEWAYS))
        allowance = max(1.0, (free + max(0, self.own - self.own_at_report)) / sharing)
        return self.own - self.own_at_report < allowance

    def free_in_s(self, work_s: float) -> float:
        """Return the expected time until a slot is free, seconds."""
        excess = self.others(work_s) + self.own - self.slots + 1.0
        return max(0.0, excess * work_s / self.slots) if self.slots else 0.0


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that waits for a slot.

    :ivar rank: priority, 0 is the highest.
    :ivar deadline: clock reading at which it must have ended, seconds.
    :ivar work_s: time that it takes, seconds; 0 if not known.
    """

    rank: int
    deadline: float
    work_s: float

    @property
    def slack_s(self) -> float:
        """Time that it can still wait and then end before its deadline, seconds."""
        return self.deadline - clock.now() - self.work_s

    @property
    def sort_key(self) -> tuple[int, float]:
        """Orders requests: the most urgent first, then the one with the least slack."""
        return self.rank, self.deadline - self.work_s


def expected_wait_s(
    request: WaitingRequest, waiting: Sequence[WaitingRequest], uses: Sequence[SlotUse]
) -> float:
    """Return the expected time until a request gets a slot, seconds.

    Each endpoint serves at least one request of this gateway at a time.

    :param waiting: the requests that wait at this gateway.
    :param uses: of the endpoints that may take it.
    """
    if not uses:
        return 0.0
    ahead = sum(other.sort_key < request.sort_key for other in waiting)
    free_in_s = min(use.free_in_s(request.work_s) for use in uses)
    return free_in_s + ahead // len(uses) * request.work_s


class WorkTimes:
    """Durations of requests at endpoints that ended lately, by kind."""

    def __init__(self) -> None:
        self._kinds: collections.OrderedDict[str, collections.deque[tuple[float, float]]] = (
            collections.OrderedDict()
        )

    def record(self, kind: str, seconds: float) -> None:
        """Record the time from sending a request to its response."""
        durations = self._kinds.setdefault(kind, collections.deque(maxlen=_MAX_DURATIONS))
        self._kinds.move_to_end(kind)
        durations.append((clock.now(), seconds))
        if len(self._kinds) > _MAX_KINDS:
            self._kinds.popitem(last=False)

    def work_s(self, kind: str, *, repeatable: bool) -> float:
        """Return the time that a request takes, seconds; 0 if not known.

        :param repeatable: it may run once more; otherwise a time is returned within which nearly
            all requests end, since one that has begun must end.
        """
        oldest = clock.now() - WORK_MEMORY_S
        recent = sorted(
            seconds for ended_at, seconds in self._kinds.get(kind, ()) if ended_at >= oldest
        )
        if not recent:
            return 0.0
        quantile = _USUAL_QUANTILE if repeatable else _SAFE_QUANTILE
        return recent[int(quantile * (len(recent) - 1))]
