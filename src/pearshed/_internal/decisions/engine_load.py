"""What the side of an engine says about its load, in each response to a request with terms."""

from dataclasses import dataclass

#: ``EngineLoad.busy_percent`` of an engine whose work takes as long as usual.
USUAL_BUSY_PERCENT = 100


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load of one engine as its side knows it.

    :ivar tokens_per_s: lasting prefill speed, tokens per second.
    :ivar pending_tokens: prompt tokens that the engine has been sent and not yet prefilled.
    :ivar waiting_tokens: uncached prompt tokens of the requests that wait at the side.
    :ivar waiting_count: number of these requests.
    :ivar running: number of admitted requests.
    :ivar free_tokens: memory that requests may still use, tokens; -1 if not known.
    :ivar busy_percent: how long work takes now on the engine's VM, in percent of the usual.
    """

    tokens_per_s: int
    pending_tokens: int
    waiting_tokens: int
    waiting_count: int
    running: int
    free_tokens: int = -1
    busy_percent: int = USUAL_BUSY_PERCENT


@dataclass(frozen=True, slots=True)
class Quote:
    """A side's estimate for one request.

    :ivar ready_ms: time until the request would have its first event, milliseconds from now.
    :ivar uncached_tokens: prompt tokens that the engine would have to prefill for it.
    """

    ready_ms: int
    uncached_tokens: int
    load: EngineLoad
