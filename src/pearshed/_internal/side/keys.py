"""Memory of idempotency keys at the endpoint that is their home."""

import enum
import uuid
from collections import Counter
from dataclasses import dataclass

from pearshed._internal.peers import peer_pb2 as pb
from pearshed._internal.side.run import Run
from pearshed._internal.timers import clock

_UUID_TIME_VERSION = 7
_UUID_TIME_SHIFT = 80


class KeyState(enum.Enum):
    """What the home knows about a key."""

    CLAIMED = "claimed"
    RUNNING = "running"
    FINISHED = "finished"
    IN_DOUBT = "in doubt"


@dataclass(eq=False, slots=True)
class _Entry:
    """One key.

    :ivar entry_incarnation: start of the entry that claimed the key.
    :ivar attempt: the attempt that claimed it.
    """

    fingerprint: int
    entry_incarnation: str
    attempt: int
    state: KeyState
    touched_at: float
    run: Run | None = None


@dataclass(frozen=True, slots=True)
class KeyRefusal:
    """Why a request with a key is not run."""

    reason: pb.RefusalReason
    may_have_run: bool
    detail: str
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class KeyReplay:
    """The key's request has run; its answer is sent again."""

    run: Run


@dataclass(frozen=True, slots=True)
class KeyClaimed:
    """The key is claimed for the attempt and unknown before."""


KeyVerdict = KeyRefusal | KeyReplay | KeyClaimed


class KeyTable:
    """Runs each key at most once, as far as this process's memory reaches.

    The memory begins when the process starts and when it becomes a key's home. A key that may
    be older than the memory is in doubt: it is refused as possibly run, never run. Keys that are
    UUIDs of version 7 carry their creation time, so a fresh process serves new keys at once;
    other keys are in doubt until the memory is as old as keys are kept.

    :param retention_s: time that a key is kept, seconds.
    :param clock_skew_s: how far the clock that made a key may be off, seconds.
    """

    def __init__(self, retention_s: float, clock_skew_s: float) -> None:
        self._retention_s = retention_s
        self._clock_skew_s = clock_skew_s
        self._entries: dict[str, _Entry] = {}
        self._counts: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def counts(self) -> dict[str, int]:
        """Verdicts so far, by name."""
        return dict(self._counts)

    def claim(
        self, key: str, fingerprint: int, entry_incarnation: str, attempt: int, owned_since: float
    ) -> KeyVerdict:
        """Claim a key for an attempt, or say why it may not run.

        :param owned_since: clock reading from which this process remembers the key's requests.
        """
        verdict = self._verdict(key, fingerprint, owned_since)
        self._counts[type(verdict).__name__] += 1
        if isinstance(verdict, KeyClaimed):
            entry = _Entry(fingerprint, entry_incarnation, attempt, KeyState.CLAIMED, clock.now())
            self._entries[key] = entry
        return verdict

    def release(self, key: str, entry_incarnation: str, attempt: int) -> None:
        """Forget a claim whose request was truly not run."""
        entry = self._entries.get(key)
        if entry is not None and (entry.entry_incarnation, entry.attempt) == (
            entry_incarnation,
            attempt,
        ):
            del self._entries[key]

    def run_started(self, key: str, run: Run) -> None:
        """Note that the key's request runs."""
        entry = self._entries[key]
        entry.state = KeyState.RUNNING
        entry.run = run

    def run_finished(self, key: str) -> None:
        """Note that the key's request has ended."""
        entry = self._entries.get(key)
        if entry is None or entry.run is None:
            return
        entry.touched_at = clock.now()
        entry.state = KeyState.FINISHED if entry.run.complete else KeyState.IN_DOUBT

    def sweep(self) -> None:
        """Forget keys that were kept long enough."""
        oldest = clock.now() - self._retention_s
        done = (KeyState.FINISHED, KeyState.IN_DOUBT)
        for key, entry in list(self._entries.items()):
            if entry.state in done and entry.touched_at < oldest:
                del self._entries[key]

    def _verdict(self, key: str, fingerprint: int, owned_since: float) -> KeyVerdict:
        entry = self._entries.get(key)
        if entry is None:
            return self._verdict_of_unknown(key, owned_since)
        if entry.fingerprint != fingerprint:
            return KeyRefusal(
                pb.REFUSAL_KEY_MISMATCH, False, "the idempotency key was used for another request"
            )
        if entry.state is KeyState.FINISHED and entry.run is not None:
            return KeyReplay(entry.run)
        if entry.state is KeyState.IN_DOUBT:
            return KeyRefusal(
                pb.REFUSAL_KEY_IN_DOUBT, True, "the first request with this key broke off"
            )
        return KeyRefusal(
            pb.REFUSAL_KEY_RUNNING, True, "a request with this key is being served", 1.0
        )

    def _verdict_of_unknown(self, key: str, owned_since: float) -> KeyVerdict:
        remembered_s = clock.now() - owned_since
        age_s = key_age_s(key)
        if age_s is None:
            in_doubt = remembered_s < self._retention_s
        elif age_s < -self._clock_skew_s:
            return KeyRefusal(
                pb.REFUSAL_KEY_MISMATCH, False, "the idempotency key was made in the future"
            )
        else:
            in_doubt = age_s + self._clock_skew_s > min(remembered_s, self._retention_s)
        if in_doubt:
            return KeyRefusal(
                pb.REFUSAL_KEY_IN_DOUBT,
                True,
                "an earlier request with this key may have run where it is not remembered; "
                "keys that are UUIDs of version 7 are not in doubt when they are new",
            )
        return KeyClaimed()


def key_age_s(key: str) -> float | None:
    """Find how long ago a key was made, seconds, if it is a UUID of version 7."""
    try:
        parsed = uuid.UUID(key.rpartition("/")[2])
    except ValueError:
        return None
    if parsed.version != _UUID_TIME_VERSION:
        return None
    made_ms = parsed.int >> _UUID_TIME_SHIFT
    return (clock.unix_ms() - made_ms) / clock.MILLISECONDS_PER_SECOND
