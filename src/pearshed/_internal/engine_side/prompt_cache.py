"""Tracks which prompt parts an engine caches, from its cache events and admitted requests."""

import collections
from collections.abc import Sequence

from pearshed._internal.engine_side.monitor import CacheUpdate
from pearshed._internal.models.routing import PromptPart

#: Parts that are tracked; more than any engine's memory holds.
_MAX_PARTS = 4096


class PromptCache:
    """Prompt parts that the engine has likely cached.

    Cache events come late and a few are lost, so the shared parts of a prompt count as cached once
    it is prefilled, until an event reports their eviction.
    """

    def __init__(self) -> None:
        self._tokens_by_part: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._epoch = ""

    def uncached_tokens(self, prompt: Sequence[PromptPart]) -> int:
        """Count the tokens of a prompt that the engine would have to prefill.

        A cached part can be used only if all parts before it are cached too.
        """
        total = sum(part.tokens for part in prompt)
        cached_tokens = 0
        for part in prompt:
            cached = min(part.tokens, self._tokens_by_part.get(part.part_id, 0))
            cached_tokens += cached
            if cached < part.tokens:
                break
        return total - cached_tokens

    def record_prefill(self, prompt: Sequence[PromptPart]) -> None:
        """Add the shared parts of a prompt that the engine has prefilled."""
        for part in prompt[:-1]:
            self._add(part.part_id, part.tokens)

    def apply_update(self, update: CacheUpdate) -> None:
        """Apply changes that the engine reports.

        After a restart the cache is empty. After missed changes its contents are unknown, so no
        part counts as cached until it is reported or prefilled again.
        """
        if update.epoch != self._epoch or update.lost:
            self._epoch = update.epoch
            self._tokens_by_part.clear()
        for change in update.changes:
            if not change.tokens:
                self._tokens_by_part.pop(change.part_id, None)
            elif change.evicted and change.part_id in self._tokens_by_part:
                self._tokens_by_part[change.part_id] = change.tokens
            else:
                self._add(change.part_id, change.tokens)

    def clear(self) -> None:
        """Drop all parts, as the engine has restarted."""
        self._tokens_by_part.clear()

    def _add(self, part_id: str, tokens: int) -> None:
        self._tokens_by_part[part_id] = max(tokens, self._tokens_by_part.get(part_id, 0))
        self._tokens_by_part.move_to_end(part_id)
        if len(self._tokens_by_part) > _MAX_PARTS:
            self._tokens_by_part.popitem(last=False)
