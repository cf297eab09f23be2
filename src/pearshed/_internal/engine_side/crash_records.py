"""Records of engine crashes, which gateways and sides exchange by merging them.

Merging is commutative and idempotent, so lost and repeated datagrams are harmless.
"""

import collections
import dataclasses
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from pearshed._internal.timers import clock

#: Time for which a crash is remembered, seconds; longer than any block, see ``crash_blame``.
CRASH_MEMORY_S = 5400.0
#: Crashes that are remembered; refuted ones are dropped first, then the oldest.
MAX_RECORDS = 64
#: Requests that are listed for one crash; an engine runs fewer at once.
MAX_SUSPECTS = 256
#: Parts whose latest success is remembered.
MAX_SUCCESSES = 20_000

#: Ids of what may crash an engine in one request: the shared parts of its prompt in order, each of
#: which other requests may have, then its content, which only the same request has again.
SuspectChain = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """The end of an engine's run while it processed requests.

    :ivar run: id of the engine's run.
    :ivar crashed_at: clock reading of the end, seconds.
    :ivar suspects: the requests that the engine processed or had just begun to respond to.
    :ivar refuted: the same run of the engine has responded to a later request.
    """

    run: str
    crashed_at: float
    suspects: frozenset[SuspectChain]
    refuted: bool = False


class CrashTable:
    """Crashes, and the latest success of each suspect."""

    def __init__(self) -> None:
        self._records: dict[str, CrashRecord] = {}
        self._changes = 0
        self._successes: collections.OrderedDict[str, float] = collections.OrderedDict()

    @property
    def records(self) -> tuple[CrashRecord, ...]:
        """The remembered crashes, the latest first."""
        self._drop_expired()
        return tuple(
            sorted(self._records.values(), key=lambda record: record.crashed_at, reverse=True)
        )

    @property
    def changes(self) -> int:
        """Number of changes so far that may change what is blamed."""
        return self._changes

    @property
    def successes(self) -> Mapping[str, float]:
        """Clock readings of the latest success by part, seconds."""
        return self._successes

    def record_crash(self, run: str, suspects: Iterable[SuspectChain]) -> None:
        """Record that a run ended while it processed requests."""
        key = self._latest_key(run)
        if key in self._records and self._records[key].refuted:
            # The run continued after the earlier record.
            key += "+"
        self._merge_record(CrashRecord(key, clock.now(), frozenset(suspects)))

    def refute(self, run: str, requested_at: float) -> bool:
        """Record that a run has responded.

        :param requested_at: clock reading when the request was sent, seconds.
        :returns: whether this refutes a crash.
        """
        key = self._latest_key(run)
        record = self._records.get(key)
        if record is None or record.refuted or record.crashed_at >= requested_at:
            return False
        self._records[key] = dataclasses.replace(record, refuted=True)
        self._changes += 1
        return True

    def record_success(self, parts: Iterable[str]) -> None:
        """Record that an engine has responded completely to a request with these parts."""
        now = clock.now()
        for part in parts:
            self._set_success(part, now)

    def merge(self, records: Iterable[CrashRecord], successes: Mapping[str, float]) -> None:
        """Merge the records of another process.

        :param successes: clock readings of successes by part, seconds.
        """
        for record in records:
            self._merge_record(record)
        for part, succeeded_at in successes.items():
            if succeeded_at > self._successes.get(part, float("-inf")):
                self._changes += 1
                self._set_success(part, succeeded_at)

    def suspect_successes(self, records: Sequence[CrashRecord]) -> Mapping[str, float]:
        """Return the latest successes of the parts that are suspects in some records."""
        parts = {part for record in records for chain in record.suspects for part in chain}
        return {part: self._successes[part] for part in parts if part in self._successes}

    def _latest_key(self, run: str) -> str:
        """Return the key of a run's latest record, or of its first."""
        key = run
        while f"{key}+" in self._records:
            key += "+"
        return key

    def _merge_record(self, record: CrashRecord) -> None:
        current = self._records.get(record.run)
        if current is not None:
            record = CrashRecord(
                record.run,
                min(record.crashed_at, current.crashed_at),
                current.suspects | record.suspects,
                current.refuted or record.refuted,
            )
        if len(record.suspects) > MAX_SUSPECTS:
            suspects = frozenset(sorted(record.suspects)[:MAX_SUSPECTS])
            record = dataclasses.replace(record, suspects=suspects)
        if record == current:
            return
        self._changes += 1
        self._records[record.run] = record
        if len(self._records) > MAX_RECORDS:
            oldest = min(
                self._records.values(), key=lambda item: (not item.refuted, item.crashed_at)
            )
            del self._records[oldest.run]

    def _set_success(self, part: str, succeeded_at: float) -> None:
        self._successes[part] = succeeded_at
        self._successes.move_to_end(part)
        if len(self._successes) > MAX_SUCCESSES:
            self._successes.popitem(last=False)

    def _drop_expired(self) -> None:
        oldest = clock.now() - CRASH_MEMORY_S
        expired = [run for run, record in self._records.items() if record.crashed_at < oldest]
        for run in expired:
            del self._records[run]
