"""Writes log lines about requests, sampled under load."""

import zlib
from collections.abc import Callable, Mapping

from absl import logging

from pearshed._internal.timers import clock

#: Lines without a failure above this rate are sampled.
MAX_LINES_PER_S = 150
#: While sampling, all lines of one request in this many are kept.
SAMPLE_ONE_IN = 16


class RequestLogger:
    """Writes one line for each decision about a request.

    Lines about failures of routed requests are always written. Other lines are sampled under load
    by the request's id, so that all processes keep the lines of the same requests.

    :param context: returns the version and age of the configuration, added to each line.
    """

    def __init__(self, context: Callable[[], Mapping[str, object]]) -> None:
        self._context = context
        self._second = 0
        self._lines_this_second = 0
        self._sampled_out = 0

    @property
    def sampled_out(self) -> int:
        """Number of lines dropped by sampling."""
        return self._sampled_out

    def write(self, event: str, request_id: str, *, failed: bool, **fields: object) -> None:
        """Write a line.

        :param failed: the line reports a failure, so it is never dropped.
        """
        if not failed and not self._should_write(request_id):
            self._sampled_out += 1
            return
        logging.info(event, extra={"fields": {"request": request_id, **fields, **self._context()}})

    def _should_write(self, request_id: str) -> bool:
        second = int(clock.now())
        if second != self._second:
            self._second = second
            self._lines_this_second = 0
        self._lines_this_second += 1
        if self._lines_this_second <= MAX_LINES_PER_S:
            return True
        # Requests without an id have nothing in common.
        sampled_by = request_id or str(self._lines_this_second)
        return zlib.crc32(sampled_by.encode()) % SAMPLE_ONE_IN == 0
