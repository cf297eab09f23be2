"""Decides what crashes engines, from records of crashes: a prompt part, or a request's content.

What crashes engines is a suspect in each crash that it causes, and no request with it ever
succeeds. Others are suspects too, since an engine processes many requests at once; most of these
succeed elsewhere. Of the remaining suspects the one with most crashes is blamed for all of them,
then the next for those that are left. A request's content counts as the last part of its prompt.
"""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field

from pearshed._internal.engine_side.crash_records import CrashRecord, SuspectChain

#: Crashes after which a part is blocked.
MIN_CRASHES = 3
#: Crashes after which requests with a part are not sent to a second engine.
MIN_CRASHES_TO_DENY_RETRIES = 2
#: A part is blocked until this long after its latest crash, seconds. One more crash blocks it
#: again, while the earlier ones are remembered, for this many times as long.
BLOCK_S = 120.0
BLOCK_GROWTH = 3.0
MAX_BLOCK_S = 3600.0
#: A success this long before the crashes still clears a part, seconds.
SUCCESS_LOOKBACK_S = 5.0
#: All crashes of a part are crashes of those before it in a prompt. One of these is blamed instead
#: if it has at least this many crashes more.
MIN_EXCESS_OF_EARLIER_PART = 2


@dataclass(frozen=True, slots=True)
class BlockedPart:
    """A part whose requests no engine gets.

    :ivar crashes: number of crashes that it is blamed for.
    :ivar blocked_until: clock reading, seconds.
    """

    part_id: str
    crashes: int
    blocked_until: float


@dataclass(frozen=True, slots=True)
class Assessment:
    """What recent crashes say of prompt parts.

    :ivar blocked: the parts to block, by id.
    :ivar not_retried: parts whose requests must not be sent to a second engine.
    """

    blocked: Mapping[str, BlockedPart] = field(default_factory=dict)
    not_retried: frozenset[str] = frozenset()


def assess(
    records: Sequence[CrashRecord], successes: Mapping[str, float], now: float
) -> Assessment:
    """Assess the parts that are suspects in crashes.

    :param successes: clock reading of the latest success by part, seconds.
    """
    crashes = _crashes_by_part(records)
    candidates = {
        part: times
        for part, times in crashes.items()
        if not _is_cleared(times.values(), MIN_CRASHES, successes.get(part))
    }
    later_parts = _later_parts(records, candidates)
    blocked: dict[str, BlockedPart] = {}
    explained: set[str] = set()
    while True:
        unexplained = {
            part: [run for run in times if run not in explained]
            for part, times in candidates.items()
        }
        part = _pick(unexplained, later_parts)
        if part is None:
            break
        explained.update(candidates[part])
        blocked_until = _blocked_until(candidates[part].values())
        if blocked_until > now:
            for indistinct in _indistinct(part, candidates, records):
                blocked[indistinct] = BlockedPart(indistinct, len(candidates[part]), blocked_until)
    not_retried = {
        part
        for part, runs in unexplained.items()
        if len(runs) >= MIN_CRASHES_TO_DENY_RETRIES
        and not _is_cleared(
            [candidates[part][run] for run in runs],
            MIN_CRASHES_TO_DENY_RETRIES,
            successes.get(part),
        )
    }
    return Assessment(blocked, frozenset(not_retried | blocked.keys()))


def _indistinct(
    part: str, candidates: Mapping[str, Mapping[str, float]], records: Sequence[CrashRecord]
) -> set[str]:
    """Return the part, and for a request's content those that were in just the same crashes.

    Requests that a crash breaks off are sent to the next engine together. Until one of them crashes
    another engine nothing tells them apart.
    """
    chains = {chain for record in records for chain in record.suspects}
    contents = {chain[-1] for chain in chains} - {item for chain in chains for item in chain[:-1]}
    if part not in contents:
        return {part}
    runs = candidates[part].keys()
    return {item for item in contents & candidates.keys() if candidates[item].keys() == runs}


def _blocked_until(times: Collection[float]) -> float:
    """Return until when a part is blocked, from the times of its crashes.

    Crashes within a block come from requests that were on their way; only one after the end of a
    block makes the next longer.
    """
    first, *others = sorted(times)[MIN_CRASHES - 1 :]
    block_s = BLOCK_S
    until = first + block_s
    for crashed_at in others:
        if crashed_at >= until:
            block_s = min(MAX_BLOCK_S, block_s * BLOCK_GROWTH)
        until = crashed_at + block_s
    return until


def _crashes_by_part(records: Sequence[CrashRecord]) -> dict[str, dict[str, float]]:
    """Return the times of crashes by part and run."""
    crashes: dict[str, dict[str, float]] = {}
    for record in records:
        if record.refuted:
            continue
        for part in {part for chain in record.suspects for part in chain}:
            crashes.setdefault(part, {})[record.run] = record.crashed_at
    return crashes


def _is_cleared(times: Collection[float], count: int, succeeded_at: float | None) -> bool:
    """Return whether a part has succeeded since shortly before its latest crashes.

    :param count: number of crashes that count as the latest.
    """
    if succeeded_at is None or len(times) < count:
        return False
    first_of_latest = sorted(times, reverse=True)[count - 1]
    return succeeded_at > first_of_latest - SUCCESS_LOOKBACK_S


def _later_parts(
    records: Sequence[CrashRecord], candidates: Collection[str]
) -> dict[str, set[str]]:
    """Return the candidates that follow each candidate in some prompt."""
    later: dict[str, set[str]] = {part: set() for part in candidates}
    chains: set[SuspectChain] = set()
    for record in records:
        chains |= record.suspects
    for chain in chains:
        for index, part in enumerate(chain):
            if part in later:
                later[part].update(other for other in chain[index + 1 :] if other in later)
    return later


def _pick(
    unexplained: Mapping[str, Sequence[str]], later_parts: Mapping[str, set[str]]
) -> str | None:
    """Pick the part with most unexplained crashes, or one that follows it in its prompts."""
    eligible = {part: len(runs) for part, runs in unexplained.items() if len(runs) >= MIN_CRASHES}
    if not eligible:
        return None
    part = max(eligible, key=lambda item: (eligible[item], item))
    seen = {part}
    while True:
        later = [
            other
            for other in later_parts[part] - seen
            if eligible.get(other, 0) > eligible[part] - MIN_EXCESS_OF_EARLIER_PART
        ]
        if not later:
            return part
        part = max(later, key=lambda item: (eligible[item], item))
        seen.add(part)
