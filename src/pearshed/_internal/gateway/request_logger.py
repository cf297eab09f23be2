"""Log lines about requests: bounded in volume, and whole for each request that is logged."""

import zlib
from collections.abc import Callable, Mapping

from absl import logging

from pearshed._internal.timers import clock

#: Lines of requests that went well that are written in a second; above it they are sampled.
MAX_LINES_PER_S = 150
#: One request in this many is logged whole while sampling.
SAMPLED_ONE_IN = 16


class RequestLogger:
    """Writes one line for each decision about a request.

    Lines about failures are always written. Lines about requests that go well are sampled by the
    request's id under load, so that all processes keep the same requests.

    :param context: version and age of what the process believes, added to each line.
    """

    def __init__(self, context: Callable[[], Mapping[str, object]]) -> None:
        self._context = context
        self._second = 0
        self._written = 0
        self._sampled_out = 0

    @property
    def sampled_out(self) -> int:
        """Lines that were left out by sampling."""
        return self._sampled_out

    def write(self, event: str, request_id: str, *, failed: bool, **fields: object) -> None:
        """Write a line.

        :param failed: the line tells of a failure.
        """
        if not failed and not self._has_room(request_id):
            self._sampled_out += 1
            return
        logging.info(event, extra={"fields": {"request": request_id, **fields, **self._context()}})

    def _has_room(self, request_id: str) -> bool:
        second = int(clock.now())
        if second != self._second:
            self._second = second
            self._written = 0
        self._written += 1
        if self._written <= MAX_LINES_PER_S:
            return True
        return zlib.crc32(request_id.encode()) % SAMPLED_ONE_IN == 0
