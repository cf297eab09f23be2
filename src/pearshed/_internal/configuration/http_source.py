"""Client for platforms that publish over HTTP, in the format of docs/interfaces.md."""

import json
from typing import Any

import urllib3
from returns.result import Failure, Result, Success

from pearshed._internal.configuration.feed import FeedChange, FeedName, PlatformSource
from pearshed._internal.configuration.parser import encode_record
from pearshed._internal.utils.threads import run_in_daemon_thread

_CONNECT_TIMEOUT_S = 2.0
_READ_TIMEOUT_MARGIN_S = 3.0


class HttpPlatform(PlatformSource):
    """Reads and watches the platform with long polls.

    :param url: base URL, such as ``http://127.0.0.1:9000``.
    """

    def __init__(self, url: str) -> None:
        self._url = url
        # A late second copy of a response on a kept connection is never taken for another feed's.
        self._pools = {feed: urllib3.PoolManager(num_pools=1, retries=False) for feed in FeedName}
        self._reads = 0

    @property
    def reads(self) -> int:
        """Number of requests sent to the platform; a long poll counts as one."""
        return self._reads

    async def changes(self, feed: FeedName, after: int, wait_s: float) -> Result[FeedChange, str]:
        """Read ``/v1/records`` or ``/v1/vms``."""
        self._reads += 1
        return await run_in_daemon_thread(
            lambda: self._read(feed, after, wait_s), f"platform-{feed.value}"
        )

    def close(self) -> None:
        """Close the idle connections."""
        for pool in self._pools.values():
            pool.clear()

    def _read(self, feed: FeedName, after: int, wait_s: float) -> Result[FeedChange, str]:
        path = f"/v1/{feed.value}"
        timeout = urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=wait_s + _READ_TIMEOUT_MARGIN_S)
        try:
            response = self._pools[feed].request(
                "GET",
                f"{self._url}{path}",
                fields={"after": str(after), "wait_s": f"{wait_s:.3f}"},
                timeout=timeout,
            )
            if response.status != 200:
                return Failure(f"{path} returned status {response.status}")
            return _parse_changes(path, feed.value, json.loads(response.data))
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return Failure(f"{path}: {error}")


def _parse_changes(path: str, list_key: str, raw: Any) -> Result[FeedChange, str]:
    if not isinstance(raw, dict) or not isinstance(raw.get("revision"), int):
        return Failure(f"{path}: expected an object with a whole number 'revision'")
    items = raw.get(list_key, [])
    if not isinstance(items, list):
        return Failure(f"{path}: expected a list '{list_key}'")
    return Success(FeedChange(raw["revision"], tuple(encode_record(item) for item in items)))
