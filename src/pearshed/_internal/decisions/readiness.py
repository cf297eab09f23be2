"""When a request would have its first event at an engine: the estimate that all decisions share.

Placement, queueing and refusal compare engines by this one estimate, so that they agree on which
engine is late.
"""

import abc
from dataclasses import dataclass
from typing import Generic, TypeVar

_RequestT_contra = TypeVar("_RequestT_contra", contravariant=True)
_EngineT_contra = TypeVar("_EngineT_contra", contravariant=True)


@dataclass(frozen=True, slots=True)
class ReadinessEstimate:
    """Time until the first event of one request at one engine.

    :ivar wait_ms: until its prefill starts, milliseconds.
    :ivar prefill_ms: of the prompt tokens that the engine likely lacks, milliseconds.
    :ivar first_event_ms: from the end of the prefill to the first event, milliseconds; includes
        the way to another data centre.
    :ivar age_ms: age of the oldest input, milliseconds.
    """

    wait_ms: float
    prefill_ms: float
    first_event_ms: float
    age_ms: float

    @property
    def ready_ms(self) -> float:
        """Time until the first event, milliseconds from now."""
        return self.wait_ms + self.prefill_ms + self.first_event_ms


class ReadinessSource(abc.ABC, Generic[_RequestT_contra, _EngineT_contra]):
    """Estimates when a request would be ready at an engine."""

    @abc.abstractmethod
    def estimate(self, request: _RequestT_contra, engine: _EngineT_contra) -> ReadinessEstimate:
        """Estimate the time until the first event."""
