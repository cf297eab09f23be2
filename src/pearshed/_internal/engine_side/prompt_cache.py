"""What an engine keeps of prompts, as its events tell and as admitted requests imply."""

import collections
from collections.abc import Sequence

from pearshed._internal.engine_side.monitor import CacheUpdate
from pearshed._internal.models.routing import PromptPart

#: Parts that are remembered; more than any engine's memory holds.
_MOST_PARTS = 4096


class PromptCache:
    """Parts of prompts that the engine likely keeps.

    Events come late and a few never come, so the parts of a prompt that was just read count as
    kept until an event says that they were dropped.
    """

    def __init__(self) -> None:
        self._kept: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._epoch = ""

    def uncached_tokens(self, prompt: Sequence[PromptPart]) -> int:
        """Count the tokens of a prompt that the engine would read.

        A part is of use only if all parts before it are kept too.
        """
        total = sum(part.tokens for part in prompt)
        kept = 0
        for part in prompt:
            known = min(part.tokens, self._kept.get(part.part_id, 0))
            kept += known
            if known < part.tokens:
                break
        return total - kept

    def record_prefill(self, prompt: Sequence[PromptPart]) -> None:
        """Note that the engine reads a prompt."""
        for part in prompt[:-1]:
            self._keep(part.part_id, part.tokens)

    def apply_update(self, update: CacheUpdate) -> None:
        """Take the engine's own word."""
        if update.epoch != self._epoch:
            self._epoch = update.epoch
            self._kept.clear()
        for change in update.changes:
            if change.tokens > 0:
                self._keep(change.part_id, change.tokens)
            else:
                self._kept.pop(change.part_id, None)

    def clear(self) -> None:
        """Drop everything: the engine has started anew."""
        self._kept.clear()

    def _keep(self, part_id: str, tokens: int) -> None:
        self._kept[part_id] = max(tokens, self._kept.get(part_id, 0))
        self._kept.move_to_end(part_id)
        if len(self._kept) > _MOST_PARTS:
            self._kept.popitem(last=False)
