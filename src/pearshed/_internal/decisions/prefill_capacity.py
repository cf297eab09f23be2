"""An engine's sustained prefill speed and pending prefill, by rank.

Prefill is the engine's processing of a prompt before its first output token. Addresses the load of
engines with short prompts that are not busy: tokens confirmed per second then say how much was
asked of the engine, not how much it can do. A side that took that number for the speed admitted
less, and then measured still less.
"""

import collections
import statistics
from dataclasses import dataclass

from pearshed._internal.timers import clock

#: Speed that is assumed until it is measured, tokens a second.
ASSUMED_TOKENS_PER_S = 50_000.0
#: Time from the end of a prompt's prefill to its first event until it is measured, seconds: 16 to
#: 90 ms before the first token, and the steps of one event.
ASSUMED_FIRST_EVENT_S = 0.1
#: An engine interleaves prefill with running requests in chunks of this many tokens; it finishes a
#: chunk before it turns to a more urgent prompt.
CHUNK_TOKENS = 2_048
#: Time for which samples count, seconds. They are only dropped when another one comes, so the
#: speed doesn't change while the engine is idle.
SAMPLE_RETENTION_S = 30.0
#: Samples that are kept however old they are.
MIN_KEPT_SAMPLES = 5
#: Samples from which the speed is estimated; one may have come late by chance.
MIN_SAMPLES = 3
#: The speed is this quantile of the samples: work that isn't known (other prompts, steps of running
#: requests) only makes samples too low.
SPEED_QUANTILE = 0.8
#: Least time of prefill in a sample, seconds: the time to the first event varies by some 40 ms,
#: which must be a small part of it.
MIN_SAMPLE_S = 0.12
#: Least work in a sample, tokens. Smaller prompts take long only when their event is late.
MIN_SAMPLE_TOKENS = 3 * CHUNK_TOKENS
#: Time for which prefilled prompts are kept to count what went before others, seconds; a prompt
#: that took longer gives no sample.
HISTORY_S = 3.0
#: Most work of a prompt from which the usual time to the first event is learned, tokens.
MAX_FIRST_EVENT_TOKENS = 2 * CHUNK_TOKENS
#: Prompts from which the usual time to the first event is learned.
FIRST_EVENT_SAMPLES = 50


@dataclass(slots=True)
class _Prompt:
    """A prompt that was sent to the engine and not confirmed.

    :ivar remaining_tokens: estimate of what is left to prefill.
    :ivar ahead_tokens: of what the engine prefills before it, at most.
    :ivar measurable: the time until its first event says something about the speed.
    """

    rank: int
    tokens: int
    remaining_tokens: float
    ahead_tokens: float
    sent_at: float
    measurable: bool = True


@dataclass(frozen=True, slots=True)
class _Prefill:
    """A prefill that has ended.

    :ivar started_at: when the engine had nothing before it at the latest, seconds.
    """

    started_at: float
    ended_at: float
    tokens: int

    def tokens_since(self, start: float) -> float:
        """Return the tokens that were prefilled after a clock reading, seconds."""
        if self.started_at >= start:
            return float(self.tokens)
        span_s = self.ended_at - self.started_at
        return self.tokens * max(0.0, self.ended_at - start) / span_s if span_s > 0.0 else 0.0


class PrefillCapacity:
    """Sustained speed and pending prefill of an engine that prefills the more urgent first.

    The speed is learned from single prompts: the tokens of a prompt and of those that were
    prefilled between its grant and the end of its prefill, over that time. In this time the engine
    was busy, as the prompt itself was pending. The end of the prefill is the first event less the
    usual time to it.
    """

    def __init__(self) -> None:
        self._prompts: dict[str, _Prompt] = {}
        self._prefills: collections.deque[_Prefill] = collections.deque()
        self._samples: collections.deque[tuple[float, float]] = collections.deque()
        self._first_events: collections.deque[float] = collections.deque(maxlen=FIRST_EVENT_SAMPLES)
        self._tokens_per_s = ASSUMED_TOKENS_PER_S
        self._first_event_s = ASSUMED_FIRST_EVENT_S
        self._updated_at = clock.now()

    @property
    def tokens_per_s(self) -> float:
        """Sustained speed, tokens per second; an assumed one until it is measured."""
        return self._tokens_per_s

    @property
    def sample_count(self) -> int:
        """Number of prompts from which the speed is estimated."""
        return len(self._samples)

    @property
    def first_event_s(self) -> float:
        """Usual time from the end of a prompt's prefill to its first event, seconds."""
        return self._first_event_s

    def pending_tokens(self, rank: int | None = None) -> float:
        """Estimate the pending tokens that the engine prefills before a new prompt.

        :param rank: of the new prompt; all pending tokens if it is ``None``.
        """
        self._advance()
        if rank is None:
            return sum(prompt.remaining_tokens for prompt in self._prompts.values())
        before = behind = 0.0
        for prompt in self._prompts.values():
            if prompt.rank <= rank:
                before += prompt.remaining_tokens
            else:
                behind += prompt.remaining_tokens
        return before + min(CHUNK_TOKENS, behind)

    def pending_tokens_from(self, rank: int) -> float:
        """Estimate the pending tokens of prompts of a rank and less urgent ones."""
        self._advance()
        return sum(
            prompt.remaining_tokens for prompt in self._prompts.values() if prompt.rank >= rank
        )

    def start(self, key: str, rank: int, tokens: int) -> None:
        """Add a prompt that is sent to the engine now.

        :param tokens: of the prompt that the engine's cache lacks.
        """
        self._advance()
        before = sum(other.tokens for other in self._prompts.values() if other.rank <= rank)
        behind = sum(other.tokens for other in self._prompts.values() if other.rank > rank)
        ahead = float(before + min(CHUNK_TOKENS, behind))
        self._prompts[key] = _Prompt(rank, tokens, float(tokens), ahead, clock.now())

    def confirm(self, key: str) -> None:
        """Record the first event of a prompt, and measure from it."""
        self._advance()
        prompt = self._prompts.pop(key, None)
        if prompt is None:
            return
        now = clock.now()
        if prompt.measurable and prompt.ahead_tokens + prompt.tokens <= MAX_FIRST_EVENT_TOKENS:
            own_s = prompt.tokens / self._tokens_per_s
            self._first_events.append(max(0.0, now - prompt.sent_at - own_s))
            self._first_event_s = statistics.median(self._first_events)
        ended_at = max(prompt.sent_at, now - self._first_event_s)
        while self._prefills and now - self._prefills[0].ended_at > HISTORY_S:
            self._prefills.popleft()
        prefill_s = ended_at - prompt.sent_at
        if prompt.measurable and MIN_SAMPLE_S <= prefill_s < HISTORY_S:
            work = prompt.tokens + sum(
                prefill.tokens_since(prompt.sent_at) for prefill in self._prefills
            )
            if work >= MIN_SAMPLE_TOKENS:
                self._add_sample(work / prefill_s)
        previous_end = self._prefills[-1].ended_at if self._prefills else float("-inf")
        started_at = min(max(prompt.sent_at, previous_end), ended_at)
        self._prefills.append(_Prefill(started_at, ended_at, prompt.tokens))

    def discard(self, key: str) -> None:
        """Drop a prompt that has ended without an event."""
        self._advance()
        self._prompts.pop(key, None)

    def skip_measurements(self) -> None:
        """Don't measure from the prompts that are pending, as the engine has paused."""
        for prompt in self._prompts.values():
            prompt.measurable = False

    def restart(self) -> None:
        """Discard what was measured, as the engine has started again."""
        self._prefills.clear()
        self._samples.clear()
        self._first_events.clear()
        self._tokens_per_s = ASSUMED_TOKENS_PER_S
        self._first_event_s = ASSUMED_FIRST_EVENT_S
        self.skip_measurements()

    def _add_sample(self, tokens_per_s: float) -> None:
        now = clock.now()
        self._samples.append((now, tokens_per_s))
        while (
            len(self._samples) > MIN_KEPT_SAMPLES and now - self._samples[0][0] > SAMPLE_RETENTION_S
        ):
            self._samples.popleft()
        if len(self._samples) >= MIN_SAMPLES:
            speeds = sorted(speed for _, speed in self._samples)
            self._tokens_per_s = speeds[round(SPEED_QUANTILE * (len(speeds) - 1))]

    def _advance(self) -> None:
        """Subtract what the engine has prefilled since, the more urgent first."""
        now = clock.now()
        tokens = (now - self._updated_at) * self._tokens_per_s
        self._updated_at = now
        if tokens <= 0.0:
            return
        # Sorting is stable, so prompts of one rank are prefilled in the order of their grants.
        for prompt in sorted(self._prompts.values(), key=lambda prompt: prompt.rank):
            done = min(tokens, prompt.remaining_tokens)
            prompt.remaining_tokens -= done
            tokens -= done
            if tokens <= 0.0:
                return
