"""Which requests were refused and come back at the time that their callers were given.

Addresses bursts that last longer than the callers' patience: a caller that has kept to the time
that it was given goes before new ones of its rank and customer, since it has less time left.
Merging is harmless when datagrams are lost or repeated; a lost record costs a place in a queue.
"""

import collections
import dataclasses
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from pearshed._internal.timers import clock

#: Time after the given one until which a caller counts as returned in time, seconds: it opens a
#: new connection and may have to resend its first packet.
RETURN_MARGIN_S = 0.5
#: Time by which a caller may be early, seconds: the given time is rounded.
EARLY_TOLERANCE_S = 0.01
#: Refusals that are remembered; the oldest ones are dropped first. About 300 bytes each.
MAX_RECORDS = 4096
#: Refusals in one report; gateways and sides exchange several reports a second.
MAX_REPORTED = 16
#: Times given for one content that differ by less belong to the same refusal, seconds: ages are
#: sent in milliseconds and take some time on their way.
_SAME_REFUSAL_S = 0.1


@dataclass(frozen=True, slots=True)
class RefusedCall:
    """A request that was refused with a time to come back.

    :ivar content: id of what was asked and for which customer.
    :ivar rank: priority, 0 is the highest.
    :ivar due_at: clock reading of the time given, seconds.
    :ivar spent: the caller has come back; coming back once more has no effect.
    """

    content: str
    rank: int
    due_at: float
    spent: bool = False


class ReturnTable:
    """Refused requests whose callers may come back."""

    def __init__(self) -> None:
        self._records: collections.OrderedDict[str, RefusedCall] = collections.OrderedDict()
        self._news: dict[str, None] = {}

    @property
    def count(self) -> int:
        """Number of remembered refusals."""
        return len(self._records)

    @property
    def has_news(self) -> bool:
        """Whether something was recorded here since the last call of ``take_news``."""
        return bool(self._news)

    def record_refusal(self, content: str, rank: int, retry_after_s: float) -> None:
        """Record a refusal.

        :param retry_after_s: time given to the caller, seconds.
        """
        self._set(RefusedCall(content, rank, clock.now() + retry_after_s))
        self._news[content] = None

    def take_return(self, content: str) -> bool:
        """Return whether a request that has arrived comes back in time; it counts once.

        A caller that comes early loses its claim, so that trying often gains nothing.
        """
        record = self._records.get(content)
        if record is None or record.spent:
            return False
        self._records[content] = dataclasses.replace(record, spent=True)
        self._news[content] = None
        late_s = clock.now() - record.due_at
        return -EARLY_TOLERANCE_S <= late_s <= RETURN_MARGIN_S

    def merge(self, records: Iterable[RefusedCall]) -> None:
        """Merge what another process knows."""
        for record in records:
            current = self._records.get(record.content)
            if current is None or record.due_at > current.due_at + _SAME_REFUSAL_S:
                self._set(record)
            elif record.spent and record.due_at > current.due_at - _SAME_REFUSAL_S:
                self._records[record.content] = dataclasses.replace(current, spent=True)

    def take_news(self) -> Sequence[RefusedCall]:
        """Return what was recorded here since the last call, the most urgent ones of it."""
        records = [self._records[name] for name in self._news if name in self._records]
        self._news.clear()
        return _most_urgent(records)

    def report(self) -> Sequence[RefusedCall]:
        """Return the remembered refusals whose callers may still come, the most urgent ones."""
        self._drop_expired()
        return _most_urgent(self._records.values())

    def _set(self, record: RefusedCall) -> None:
        self._records[record.content] = record
        self._records.move_to_end(record.content)
        if len(self._records) > MAX_RECORDS:
            self._drop_expired()
        while len(self._records) > MAX_RECORDS:
            self._records.popitem(last=False)

    def _drop_expired(self) -> None:
        oldest = clock.now() - RETURN_MARGIN_S
        expired = [name for name, record in self._records.items() if record.due_at < oldest]
        for name in expired:
            del self._records[name]


def _most_urgent(records: Iterable[RefusedCall]) -> Sequence[RefusedCall]:
    return sorted(records, key=lambda record: (record.rank, record.due_at))[:MAX_REPORTED]
