"""Table of the idempotency keys that an endpoint owns."""

import enum
import uuid
from collections import Counter
from dataclasses import dataclass

from pearshed._internal.peers import peer_pb2 as pb
from pearshed._internal.side.run import Run
from pearshed._internal.timers import clock

_UUID_TIMESTAMP_VERSION = 7
_UUID_TIMESTAMP_SHIFT_BITS = 80


class KeyState(enum.Enum):
    """State of a key at its owner."""

    CLAIMED = "claimed"
    RUNNING = "running"
    FINISHED = "finished"
    IN_DOUBT = "in doubt"


@dataclass(eq=False, slots=True)
class _KeyClaim:
    """The claim on one key.

    :ivar entry_incarnation: incarnation of the entry that claimed the key.
    :ivar attempt: the attempt that claimed it.
    :ivar updated_at: clock reading of the claim or of the end of its run, seconds.
    :ivar run: the key's run, once it has started.
    """

    fingerprint: int
    entry_incarnation: str
    attempt: int
    state: KeyState
    updated_at: float
    run: Run | None = None


@dataclass(frozen=True, slots=True)
class KeyRefusal:
    """The request must not run; holds the reason."""

    reason: pb.RefusalReason
    may_have_run: bool
    detail: str
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class KeyReplay:
    """The key's request has already run; its response is replayed."""

    run: Run


@dataclass(frozen=True, slots=True)
class KeyClaimed:
    """The key was unknown and is now claimed for the attempt."""


KeyVerdict = KeyRefusal | KeyReplay | KeyClaimed


class KeyTable:
    """Ensures that each key's request runs at most once within this process's history.

    The history starts when the process starts or when it becomes a key's owner. A key that may
    be older than the history is in doubt: its request is refused as possibly run. Keys that are
    UUIDv7 contain their creation time, so a new process can accept new keys at once; other keys
    are in doubt until the history covers the retention time.

    :param retention_s: time for which a key is kept after its run, seconds.
    :param clock_skew_s: maximum error of the clock that created a key, seconds.
    """

    def __init__(self, retention_s: float, clock_skew_s: float) -> None:
        self._retention_s = retention_s
        self._clock_skew_s = clock_skew_s
        self._claims: dict[str, _KeyClaim] = {}
        self._counts: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._claims)

    @property
    def counts(self) -> dict[str, int]:
        """Verdict counts, by class name."""
        return dict(self._counts)

    def claim(
        self, key: str, fingerprint: int, entry_incarnation: str, attempt: int, owned_since: float
    ) -> KeyVerdict:
        """Claim a key for an attempt, or return why its request must not run.

        :param owned_since: clock reading since which this process knows all requests of the key.
        """
        verdict = self._decide(key, fingerprint, owned_since)
        self._counts[type(verdict).__name__] += 1
        if isinstance(verdict, KeyClaimed):
            claim = _KeyClaim(
                fingerprint, entry_incarnation, attempt, KeyState.CLAIMED, clock.now()
            )
            self._claims[key] = claim
        return verdict

    def release(self, key: str, entry_incarnation: str, attempt: int) -> None:
        """Remove the claim of an attempt that provably did not run."""
        claim = self._claims.get(key)
        if claim is not None and (claim.entry_incarnation, claim.attempt) == (
            entry_incarnation,
            attempt,
        ):
            del self._claims[key]

    def mark_running(self, key: str, run: Run) -> None:
        """Record that the key's request is running."""
        claim = self._claims[key]
        claim.state = KeyState.RUNNING
        claim.run = run

    def mark_finished(self, key: str) -> None:
        """Record that the key's request has finished."""
        claim = self._claims.get(key)
        if claim is None or claim.run is None:
            return
        claim.updated_at = clock.now()
        claim.state = KeyState.FINISHED if claim.run.complete else KeyState.IN_DOUBT

    def sweep(self) -> None:
        """Remove finished keys whose retention time has passed."""
        cutoff = clock.now() - self._retention_s
        final_states = (KeyState.FINISHED, KeyState.IN_DOUBT)
        for key, claim in list(self._claims.items()):
            if claim.state in final_states and claim.updated_at < cutoff:
                del self._claims[key]

    def _decide(self, key: str, fingerprint: int, owned_since: float) -> KeyVerdict:
        claim = self._claims.get(key)
        if claim is None:
            return self._decide_unknown(key, owned_since)
        if claim.fingerprint != fingerprint:
            return KeyRefusal(
                pb.REFUSAL_KEY_MISMATCH, False, "the idempotency key was used for another request"
            )
        if claim.state is KeyState.FINISHED and claim.run is not None:
            return KeyReplay(claim.run)
        if claim.state is KeyState.IN_DOUBT:
            return KeyRefusal(
                pb.REFUSAL_KEY_IN_DOUBT, True, "the first request with this key broke off"
            )
        return KeyRefusal(
            pb.REFUSAL_KEY_RUNNING, True, "a request with this key is being served", 1.0
        )

    def _decide_unknown(self, key: str, owned_since: float) -> KeyVerdict:
        owned_s = clock.now() - owned_since
        age_s = key_age_s(key)
        if age_s is None:
            in_doubt = owned_s < self._retention_s
        elif age_s < -self._clock_skew_s:
            return KeyRefusal(
                pb.REFUSAL_KEY_MISMATCH, False, "the idempotency key was made in the future"
            )
        else:
            in_doubt = age_s + self._clock_skew_s > min(owned_s, self._retention_s)
        if in_doubt:
            return KeyRefusal(
                pb.REFUSAL_KEY_IN_DOUBT,
                True,
                "an earlier request with this key may have run where it is not remembered; "
                "keys that are UUIDs of version 7 are not in doubt when they are new",
            )
        return KeyClaimed()


def key_age_s(key: str) -> float | None:
    """Return a key's age in seconds if it is a UUIDv7, else None."""
    try:
        parsed = uuid.UUID(key.rpartition("/")[2])
    except ValueError:
        return None
    if parsed.version != _UUID_TIMESTAMP_VERSION:
        return None
    created_ms = parsed.int >> _UUID_TIMESTAMP_SHIFT_BITS
    return (clock.unix_ms() - created_ms) / clock.MILLISECONDS_PER_SECOND
