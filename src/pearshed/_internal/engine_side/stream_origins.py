"""Records which software version of an engine began each stream.

What two versions write doesn't fit together, so a stream goes on only at the version that began it.
Gateways and sides remember it for each other.
"""

import collections
import hashlib

from pearshed._internal.models.stream_origin import StreamOrigin
from pearshed._internal.timers import clock

#: Time for which the origin of a stream is remembered after it began or went on, seconds; callers
#: take up a stream within their deadline.
ORIGIN_TTL_S = 120.0
#: Streams that are remembered, those that began or went on last; about 300 bytes each.
MAX_ORIGINS = 20_000
KEY_BYTES = 8
#: Precedes the key of a request's content.
_CONTENT_PREFIX = "content:"


#: Origin of the streams of a content that engines of several versions have answered.
AMBIGUOUS = StreamOrigin("", "")


def stream_key(request_id: str) -> str:
    """Return the key of the stream that a request began; ids of callers may have any length."""
    return hashlib.blake2b(request_id.encode(), digest_size=KEY_BYTES).hexdigest()


def content_key(content_id: str) -> str:
    """Return the key of the streams that requests with some content began.

    It stands for a stream that a caller takes up without the id of the request that began it.
    """
    return _CONTENT_PREFIX + content_id


class OriginTable:
    """Origins of recent streams by key.

    The first one that is recorded holds for a stream. The streams of a content may have several.
    """

    def __init__(self) -> None:
        self._origins: collections.OrderedDict[str, tuple[StreamOrigin, float]] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._origins)

    def record(self, stream: str, origin: StreamOrigin) -> None:
        """Record the origin of a stream, or that the stream goes on."""
        known = self.find(stream)
        if known is not None and known != origin:
            is_content = stream.startswith(_CONTENT_PREFIX)
            origin = AMBIGUOUS if is_content else known
        self._origins[stream] = (origin, clock.now())
        self._origins.move_to_end(stream)
        oldest = clock.now() - ORIGIN_TTL_S
        while len(self._origins) > MAX_ORIGINS or next(iter(self._origins.values()))[1] < oldest:
            self._origins.popitem(last=False)

    def find(self, stream: str) -> StreamOrigin | None:
        """Return the origin of a stream, or ``AMBIGUOUS``; ``None`` if it isn't known."""
        known = self._origins.get(stream)
        if known is None or known[1] < clock.now() - ORIGIN_TTL_S:
            return None
        return known[0]
