"""What a cached prompt part is worth, in milliseconds to the first event.

Addresses long shared parts that thousands of requests have in common: prefilling one again costs
its engine more than many short prompts, and waiting for the engine that has it may cost its caller
more than prefilling it elsewhere.
"""

import collections
from dataclasses import dataclass, field

from pearshed._internal.timers import clock

#: Shared parts whose engines are remembered.
MAX_PARTS = 4_000
#: Engines remembered for one part.
MAX_ENGINES_PER_PART = 8
#: Time in which half of the unused parts are gone, until it is learned, seconds.
FIRST_HALF_LIFE_S = 20.0
#: Bounds of the learned half-life, seconds.
_MIN_HALF_LIFE_S = 1.0
_MAX_HALF_LIFE_S = 600.0
#: Weight of the latest observation in the half-life.
_HALF_LIFE_WEIGHT = 0.2
#: Chance that the home of a part has it, without own knowledge: the requests of all other gateways
#: go there too.
_HOME_CHANCE = 0.8
#: Share of a part's tokens that must be cached for the part to count as there: the engine caches in
#: blocks, so that the end of a part is missing.
_PRESENT_SHARE = 0.8
_BITS_PER_BYTE = 8
_MEGABITS = 1e6


@dataclass(frozen=True, slots=True)
class CopyCost:
    """Cost of copying cached tokens between engines.

    :ivar kv_token_bytes: size of a cached token, bytes; 0 if not known.
    :ivar link_mbps: speed of the link, megabits a second; 0 if not known.
    """

    kv_token_bytes: int = 0
    link_mbps: float = 0.0

    def copy_ms(self, tokens: float) -> float | None:
        """Return the time to copy tokens, milliseconds; ``None`` if it is not known."""
        if self.kv_token_bytes <= 0 or self.link_mbps <= 0:
            return None
        bits = tokens * self.kv_token_bytes * _BITS_PER_BYTE
        return bits / (self.link_mbps * _MEGABITS) * clock.MILLISECONDS_PER_SECOND


@dataclass(slots=True)
class _Sighting:
    at: float
    present: bool


@dataclass(slots=True)
class _Part:
    sightings: collections.OrderedDict[tuple[str, int], _Sighting] = field(
        default_factory=collections.OrderedDict
    )


class PromptReuse:
    """Remembers which engines prefilled which shared parts, and estimates what they still have.

    An engine is named together with its run, so that a restart discards what it had.
    """

    def __init__(self) -> None:
        self._parts: collections.OrderedDict[str, _Part] = collections.OrderedDict()
        self._half_life_s = FIRST_HALF_LIFE_S

    @property
    def half_life_s(self) -> float:
        """Time in which half of the unused parts are gone, seconds."""
        return self._half_life_s

    def record_prefill(self, part_id: str, engine: tuple[str, int]) -> None:
        """Record that an engine has prefilled a part."""
        self._record(part_id, engine, True)

    def record_uncached(
        self, part_id: str, engine: tuple[str, int], part_tokens: int, missing_tokens: int
    ) -> None:
        """Record how much of a part an engine has said it lacks.

        :param part_tokens: of the part and what precedes it.
        :param missing_tokens: of these.
        """
        present = missing_tokens <= part_tokens * (1.0 - _PRESENT_SHARE)
        sighting = self._find(part_id, engine)
        if sighting is not None and sighting.present:
            self._learn_half_life(clock.now() - sighting.at, present)
        self._record(part_id, engine, present)

    def chance(self, part_id: str, engine: tuple[str, int], *, is_home: bool) -> float:
        """Estimate the chance that an engine has a part, 0 to 1.

        :param is_home: all gateways send the part's requests to this engine first.
        """
        sighting = self._find(part_id, engine)
        prior = _HOME_CHANCE if is_home else 0.0
        if sighting is None:
            return prior
        decay = float(2.0 ** (-(clock.now() - sighting.at) / self._half_life_s))
        # What was seen loses weight with age, and the prior takes its place.
        return (1.0 if sighting.present else 0.0) * decay + prior * (1.0 - decay)

    def sighting_age_s(self, part_id: str, engine: tuple[str, int]) -> float:
        """Return the age of what is known of a part at an engine, seconds; infinite if nothing."""
        sighting = self._find(part_id, engine)
        return clock.now() - sighting.at if sighting is not None else float("inf")

    def last_engine(self, part_id: str) -> tuple[str, int] | None:
        """Return the engine that was last seen with a part; ``None`` if none is known."""
        part = self._parts.get(part_id)
        if part is None:
            return None
        return next(
            (name for name, sighting in reversed(part.sightings.items()) if sighting.present), None
        )

    def _find(self, part_id: str, engine: tuple[str, int]) -> _Sighting | None:
        part = self._parts.get(part_id)
        return part.sightings.get(engine) if part is not None else None

    def _record(self, part_id: str, engine: tuple[str, int], present: bool) -> None:
        part = self._parts.setdefault(part_id, _Part())
        self._parts.move_to_end(part_id)
        part.sightings[engine] = _Sighting(clock.now(), present)
        part.sightings.move_to_end(engine)
        if len(part.sightings) > MAX_ENGINES_PER_PART:
            part.sightings.popitem(last=False)
        if len(self._parts) > MAX_PARTS:
            self._parts.popitem(last=False)

    def _learn_half_life(self, age_s: float, present: bool) -> None:
        """Lengthen the half-life after a part outlived it, shorten it after one that didn't."""
        if present == (age_s > self._half_life_s):
            self._half_life_s += (age_s - self._half_life_s) * _HALF_LIFE_WEIGHT
            self._half_life_s = min(_MAX_HALF_LIFE_S, max(_MIN_HALF_LIFE_S, self._half_life_s))


def missing_ms(prefill_ms: float, copy_ms: float | None, chance: float) -> float:
    """Return the expected time to get a shared part at an engine, milliseconds.

    :param prefill_ms: time to prefill it there.
    :param copy_ms: time to copy it from an engine that has it; ``None`` if it can't be copied.
    :param chance: that the engine has it already.
    """
    cost_ms = prefill_ms if copy_ms is None else min(prefill_ms, copy_ms)
    return cost_ms * (1.0 - chance)
