"""Client for platforms that publish over HTTP, in the format of docs/interfaces.md."""

import urllib3
from returns.result import Failure, Result, Success

from pearshed._internal.configuration.feed import FeedChange, FeedName, PlatformSource
from pearshed._internal.utils.foreign_values import parse_count
from pearshed._internal.utils.json_split import split_elements, split_members
from pearshed._internal.utils.strict_http import StrictPoolManager
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
        self._pools = {feed: StrictPoolManager(num_pools=1, retries=False) for feed in FeedName}
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
            return parse_changes(path, feed.value, response.data)
        except urllib3.exceptions.HTTPError as error:
            return Failure(f"{path}: {error}")


def parse_changes(path: str, list_key: str, content: bytes) -> Result[FeedChange, str]:
    """Parse a response of the platform.

    Its documents are not decoded here, so one that can't be read leaves the others usable.

    :param path: of the request, for messages.
    :param list_key: name of the list of documents.
    """
    try:
        members = dict(split_members(content))
        documents = split_elements(members.get(list_key.encode(), b"[]"))
    except ValueError as error:
        return Failure(f"{path}: {error}")
    revision = parse_count(members.get(b"revision", b""))
    if revision is None:
        return Failure(f"{path}: expected an object with a whole number 'revision'")
    return Success(FeedChange(revision, tuple(documents)))
