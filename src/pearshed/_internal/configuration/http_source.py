"""Adapter for platforms that publish over HTTP; docs/interfaces.md gives the form."""

import asyncio
import concurrent.futures
import json
from typing import Any

import urllib3
from returns.result import Failure, Result, Success

from pearshed._internal.configuration.feed import FeedChange, FeedName, PlatformSource
from pearshed._internal.configuration.parser import encode_record

_CONNECT_TIMEOUT_S = 2.0
_READ_MARGIN_S = 3.0
_THREADS = 3


class HttpPlatform(PlatformSource):
    """Reads and watches the platform with long polls.

    :param url: base address, such as ``http://127.0.0.1:9000``.
    """

    def __init__(self, url: str) -> None:
        self._url = url
        self._pool = urllib3.PoolManager(num_pools=1, maxsize=_THREADS, retries=False)
        self._threads = concurrent.futures.ThreadPoolExecutor(
            _THREADS, thread_name_prefix="platform"
        )
        self._reads = 0

    @property
    def reads(self) -> int:
        """Calls made to the platform, a watch counting as one."""
        return self._reads

    async def changes(self, feed: FeedName, after: int, wait_s: float) -> Result[FeedChange, str]:
        """Read ``/v1/records`` or ``/v1/vms``."""
        self._reads += 1
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._threads, self._read, feed, after, wait_s)

    def close(self) -> None:
        """Drop the connections; watches that wait end with a failure."""
        self._pool.clear()
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _read(self, feed: FeedName, after: int, wait_s: float) -> Result[FeedChange, str]:
        path = f"/v1/{feed.value}"
        timeout = urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=wait_s + _READ_MARGIN_S)
        try:
            response = self._pool.request(
                "GET",
                f"{self._url}{path}",
                fields={"after": str(after), "wait_s": f"{wait_s:.3f}"},
                timeout=timeout,
            )
            if response.status != 200:
                return Failure(f"{path} answered status {response.status}")
            return _parse_changes(path, feed.value, json.loads(response.data))
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return Failure(f"{path}: {error}")


def _parse_changes(path: str, member: str, raw: Any) -> Result[FeedChange, str]:
    if not isinstance(raw, dict) or not isinstance(raw.get("revision"), int):
        return Failure(f"{path}: expected an object with a whole number 'revision'")
    items = raw.get(member, [])
    if not isinstance(items, list):
        return Failure(f"{path}: expected a list '{member}'")
    return Success(FeedChange(raw["revision"], tuple(encode_record(item) for item in items)))
