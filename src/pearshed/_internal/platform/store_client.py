"""HTTP client of the platform's store: reads and watches over one keep-alive connection."""

import base64
import binascii
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from absl import logging
from returns.pipeline import is_successful
from returns.result import Failure, Success

from pearshed._internal.gateway.store import (
    Store,
    StoreFailure,
    StoreItem,
    StoreResponse,
    StoreResult,
)
from pearshed._internal.http import messages
from pearshed._internal.http.json_client import JsonClient
from pearshed._internal.models.revisions import REVISIONS_PER_ERA, compose, count_of, era_of
from pearshed._internal.platform import names
from pearshed._internal.timers import clock
from pearshed._internal.utils.addresses import Address
from pearshed._internal.utils.foreign_values import parse_count

#: Timeout of a response's start beyond the requested wait: it may take 100 times its usual 4 ms.
RESPONSE_TIMEOUT_S = 0.9
_GONE = 410
_OK = 200
_NOT_FOUND = 404


@dataclass(frozen=True, slots=True)
class _Reply:
    """A response of the store.

    :ivar transfer_s: time from its head to its end, seconds.
    :ivar era: of the store when it responded.
    :ivar copied_until: see ``StoreResponse``.
    """

    status: int
    raw: Mapping[str, Any]
    requested_at: float
    transfer_s: float
    era: int = 0
    copied_until: int = 0

    def revision(self, raw: int) -> int:
        """Return the revision that orders a raw one among those of all eras."""
        return compose(self.era, raw)


class PlatformStore(Store):
    """Client of the platform's store.

    :param address: IP address and port of the store.
    """

    def __init__(self, address: Address) -> None:
        self._client = JsonClient(address)
        self._era: int | None = None
        self._copied_until = 0

    @property
    def calls(self) -> int:
        """Number of calls made; a watch counts as one."""
        return self._client.calls

    @property
    def failures(self) -> Mapping[str, int]:
        """Number of calls without a complete response, by the phase in which they failed."""
        return self._client.failures

    @property
    def receiving_s(self) -> float:
        """Time for which the current response is being received, seconds; 0 without one."""
        return self._client.receiving_s

    @property
    def remaining_s(self) -> float:
        """Time until the current response is received, seconds; 0 if it isn't known."""
        return self._client.remaining_s

    async def read_configuration(self) -> StoreResult:
        """Read the operator's configuration."""
        reply = await self._call(names.ITEM_PATH, {"key": names.CONFIGURATION_KEY})
        if isinstance(reply, StoreFailure):
            return Failure(reply)
        items = (_parse_item(reply.raw, reply),) if reply.status == _OK else ()
        return _build_response(items, reply)

    async def read_endpoints(self, after: str) -> StoreResult:
        """Read one page of the entries of endpoints."""
        return await self._read_page(names.ENDPOINT_PREFIX, after)

    async def read_evacuations(self, after: str) -> StoreResult:
        """Read one page of the items that name evacuated data centres."""
        return await self._read_page(names.EVACUATION_PREFIX, after)

    async def _read_page(self, prefix: str, after: str) -> StoreResult:
        query = {"pathPrefix": prefix}
        if after:
            # Despite its name, this parameter takes a key here, not a revision.
            query["sinceRev"] = after
        reply = await self._call(names.RANGE_PATH, query)
        if isinstance(reply, StoreFailure):
            return Failure(reply)
        page = reply.raw.get("items")
        if not isinstance(page, list):
            return Failure(StoreFailure("the page of entries has no list of items"))
        last_key = page[-1].get("key") if page and isinstance(page[-1], dict) else None
        more = reply.raw.get("truncated") is True and isinstance(last_key, str)
        items = tuple(_parse_item(entry, reply) for entry in page)
        return _build_response(items, reply, str(last_key) if more else "")

    async def watch(self, after: int, wait_s: float) -> StoreResult:
        """Wait for changes after a revision, of any key."""
        era, revision = era_of(after), count_of(after)
        if era < (self._era or 0):
            return Failure(StoreFailure("the store has come back from a copy", history_lost=True))
        wait_ms = int(wait_s * clock.MILLISECONDS_PER_SECOND)
        query = {"pathPrefix": "", "sinceRev": str(revision), "waitMs": str(wait_ms)}
        reply = await self._call(names.WATCH_PATH, query, wait_s)
        if isinstance(reply, StoreFailure):
            return Failure(reply)
        if reply.era != era:
            # The revision that was asked for is of another era than the changes.
            return Failure(StoreFailure("the store has come back from a copy", history_lost=True))
        events = reply.raw.get("events")
        if not isinstance(events, list):
            return Failure(StoreFailure("the response to the watch has no list of events"))
        return _build_response(tuple(_parse_item(event, reply) for event in events), reply)

    def is_configuration(self, key: str) -> bool:
        """Return whether a key is the configuration's."""
        return key == names.CONFIGURATION_KEY

    def endpoint_identity(self, key: str) -> str:
        """Return the identity of an endpoint from the key of its entry; empty for other keys."""
        if not key.startswith(names.ENDPOINT_PREFIX):
            return ""
        return key.removeprefix(names.ENDPOINT_PREFIX)

    def evacuated_data_centre(self, key: str) -> str:
        """Return the data centre that an item evacuates, from its key; empty for other keys."""
        if not key.startswith(names.EVACUATION_PREFIX):
            return ""
        return key.removeprefix(names.EVACUATION_PREFIX)

    def close(self) -> None:
        """Close the connection."""
        self._client.close()

    async def _call(
        self, path: str, query: Mapping[str, str], wait_s: float = 0.0
    ) -> _Reply | StoreFailure:
        requested_at = clock.now()
        response = await self._client.call(path, query, wait_s + RESPONSE_TIMEOUT_S)
        if not is_successful(response):
            return StoreFailure(response.failure())
        status, raw = response.unwrap()
        if status == _GONE:
            return StoreFailure(
                f"{path}: the requested revision is no longer available", history_lost=True
            )
        if status not in (_OK, _NOT_FOUND):
            return StoreFailure(f"{path} answered status {status}")
        era = messages.header_value(self._client.response_headers, names.STORE_ERA)
        if not self._enter_era(parse_count(era or b""), raw):
            return StoreFailure(f"{path}: the response is of an earlier era of the store")
        return _Reply(
            status,
            raw,
            requested_at,
            self._client.transfer_s,
            self._era or 0,
            self._copied_until,
        )

    def _enter_era(self, era: int | None, raw: Mapping[str, Any]) -> bool:
        """Follow the store into a later era; return whether a response is of the latest one.

        :param era: of the response; ``None`` if it names none.
        """
        if era is None or era == self._era:
            return True
        if self._era is not None and era < self._era:
            return False
        if self._era is not None:
            # What the first response of an era covers may come from the copy.
            revision = raw.get("storeRevision")
            covered = revision if isinstance(revision, int) else 0
            self._copied_until = compose(era, covered)
            fields = {"era": era, "before": self._era, "revision": covered}
            logging.info("store.restored", extra={"fields": fields})
        self._era = era
        return True


def _build_response(
    items: tuple[StoreItem | None, ...], reply: _Reply, next_page_key: str = ""
) -> StoreResult:
    revision = reply.raw.get("storeRevision")
    if not isinstance(revision, int) or revision >= REVISIONS_PER_ERA:
        return Failure(StoreFailure("the response has no store revision"))
    return Success(
        StoreResponse(
            tuple(item for item in items if item is not None),
            reply.revision(revision),
            reply.requested_at,
            next_page_key,
            reply.transfer_s,
            reply.copied_until,
        )
    )


def _parse_item(raw: Any, reply: _Reply) -> StoreItem | None:
    """Decode an item; ``None`` without a valid key and revision, an invalid value becomes empty."""
    if not isinstance(raw, dict):
        return None
    key, revision, value = raw.get("key"), raw.get("revision"), raw.get("value")
    if not isinstance(key, str) or not isinstance(revision, int) or revision >= REVISIONS_PER_ERA:
        return None
    revision = reply.revision(revision)
    if raw.get("deleted") is True:
        return StoreItem(key, revision, None)
    try:
        return StoreItem(key, revision, base64.b64decode(value or "", validate=True))
    except (binascii.Error, TypeError, ValueError):
        return StoreItem(key, revision, b"")
