"""Label values made from texts with figures, of which a metric keeps a bounded number."""

import re

_NUMBER = re.compile(r"\d+(?:\.\d+)?")
#: Label of the texts that came after the bound was reached.
OTHER = "other"
_MAX_CHARACTERS = 100


class BoundedLabels:
    """Turns texts into label values.

    :param limit: largest number of values.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._known: set[str] = set()

    def label(self, text: str) -> str:
        """Return a text's label: the text without its figures, or ``OTHER``."""
        label = _NUMBER.sub("N", text[:_MAX_CHARACTERS])
        if label in self._known:
            return label
        if len(self._known) >= self._limit:
            return OTHER
        self._known.add(label)
        return label
