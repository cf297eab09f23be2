"""Client of the platform's store: reads and watches over one kept connection."""

import base64
import binascii
from collections.abc import Mapping
from typing import Any

from returns.pipeline import is_successful
from returns.result import Failure, Success

from pearshed._internal.gateway.store import (
    Store,
    StoreFailure,
    StoreItem,
    StoreResponse,
    StoreResult,
)
from pearshed._internal.http.json_client import JsonClient
from pearshed._internal.platform import names
from pearshed._internal.timers import clock
from pearshed._internal.utils.addresses import Address

#: Time beyond the wait asked for: answers may take 100 times their usual 4 ms.
ANSWER_TIMEOUT_S = 0.9
_GONE = 410
_OK = 200
_NOT_FOUND = 404


class PlatformStore(Store):
    """Speaks to the platform's store.

    :param address: of the store, by IP number.
    """

    def __init__(self, address: Address) -> None:
        self._client = JsonClient(address)

    @property
    def calls(self) -> int:
        """Calls made, a watch counting as one."""
        return self._client.calls

    async def read_configuration(self) -> StoreResult:
        """Read the operator's configuration."""
        answer = await self._call(names.ITEM_CALL, {"key": names.CONFIGURATION_KEY})
        if isinstance(answer, StoreFailure):
            return Failure(answer)
        status, raw, requested_at = answer
        items = (_item(raw),) if status == _OK else ()
        return _answer(items, raw, requested_at)

    async def read_endpoints(self, after: str) -> StoreResult:
        """Read one page of the entries of endpoints."""
        query = {"pathPrefix": names.ENDPOINT_PREFIX}
        if after:
            # The name says revision, but here it holds a key.
            query["sinceRev"] = after
        answer = await self._call(names.RANGE_CALL, query)
        if isinstance(answer, StoreFailure):
            return Failure(answer)
        _, raw, requested_at = answer
        page = raw.get("items")
        if not isinstance(page, list):
            return Failure(StoreFailure("the page of entries has no items"))
        last = page[-1].get("key") if page and isinstance(page[-1], dict) else None
        more = raw.get("truncated") is True and isinstance(last, str)
        items = tuple(_item(entry) for entry in page)
        return _answer(items, raw, requested_at, str(last) if more else "")

    async def watch(self, after: int, wait_s: float) -> StoreResult:
        """Wait for changes of any key after a revision."""
        wait_ms = int(wait_s * clock.MILLISECONDS_PER_SECOND)
        query = {"pathPrefix": "", "sinceRev": str(after), "waitMs": str(wait_ms)}
        answer = await self._call(names.WATCH_CALL, query, wait_s)
        if isinstance(answer, StoreFailure):
            return Failure(answer)
        _, raw, requested_at = answer
        events = raw.get("events")
        if not isinstance(events, list):
            return Failure(StoreFailure("the watch brought no events"))
        return _answer(tuple(_item(event) for event in events), raw, requested_at)

    def is_configuration(self, key: str) -> bool:
        """Tell whether a key is the configuration's."""
        return key == names.CONFIGURATION_KEY

    def endpoint_identity(self, key: str) -> str:
        """Read the identity of an endpoint from the key of its entry."""
        if not key.startswith(names.ENDPOINT_PREFIX):
            return ""
        return key.removeprefix(names.ENDPOINT_PREFIX)

    def close(self) -> None:
        """Drop the connection."""
        self._client.close()

    async def _call(
        self, path: str, query: Mapping[str, str], wait_s: float = 0.0
    ) -> tuple[int, Mapping[str, Any], float] | StoreFailure:
        requested_at = clock.now()
        answer = await self._client.call(path, query, wait_s + ANSWER_TIMEOUT_S)
        if not is_successful(answer):
            return StoreFailure(answer.failure())
        status, raw = answer.unwrap()
        if status == _GONE:
            return StoreFailure(f"{path}: the history asked for is gone", history_lost=True)
        if status not in (_OK, _NOT_FOUND):
            return StoreFailure(f"{path} answered status {status}")
        return status, raw, requested_at


def _answer(
    items: tuple[StoreItem | None, ...],
    raw: Mapping[str, Any],
    requested_at: float,
    next_page_key: str = "",
) -> StoreResult:
    revision = raw.get("storeRevision")
    if not isinstance(revision, int):
        return Failure(StoreFailure("the answer names no revision of the store"))
    readable = tuple(item for item in items if item is not None)
    return Success(StoreResponse(readable, revision, requested_at, next_page_key))


def _item(raw: Any) -> StoreItem | None:
    """Decode an item; one that can't be decoded names nothing and is left out."""
    if not isinstance(raw, dict):
        return None
    key, revision, value = raw.get("key"), raw.get("revision"), raw.get("value")
    if not isinstance(key, str) or not isinstance(revision, int):
        return None
    if raw.get("deleted") is True:
        return StoreItem(key, revision, None)
    try:
        return StoreItem(key, revision, base64.b64decode(value or "", validate=True))
    except (binascii.Error, TypeError, ValueError):
        return StoreItem(key, revision, b"")
