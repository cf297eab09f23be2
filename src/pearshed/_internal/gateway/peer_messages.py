"""Encodes requests and updates between gateways, as query strings and JSON."""

import base64
import binascii
import urllib.parse
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson
from returns.result import Failure, Result, Success

from pearshed._internal.gateway.store import StoreItem
from pearshed._internal.gateway.store_cache import StoreUpdate
from pearshed._internal.timers import clock

#: Longest age that is sent, seconds: about a year.
_MAX_AGE_S = 3e7


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """A request for newer state, with the state that the requesting gateway has.

    :ivar confirmed_ago_s: age of that state, seconds; infinite without any.
    """

    version: int
    endpoints_digest: str
    confirmed_ago_s: float

    def query(self) -> Mapping[str, str]:
        """Encode the request as a query."""
        age_ms = min(self.confirmed_ago_s, _MAX_AGE_S) * clock.MILLISECONDS_PER_SECOND
        return {
            "version": str(self.version),
            "endpoints": self.endpoints_digest,
            "confirmed_ago_ms": str(int(age_ms)),
        }


def decode_request(query: str) -> Result[SyncRequest, str]:
    """Decode the query of a request.

    :returns: the request, or an error message.
    """
    fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
    try:
        age_ms = int(fields["confirmed_ago_ms"])
        version = int(fields["version"])
    except (KeyError, ValueError) as error:
        return Failure(f"the question is malformed: {error}")
    age_s = age_ms / clock.MILLISECONDS_PER_SECOND
    return Success(SyncRequest(version, fields.get("endpoints", ""), age_s))


def encode_update(update: StoreUpdate) -> bytes:
    """Encode an update as JSON."""
    configuration = update.configuration
    return orjson.dumps(
        {
            "revision": update.revision,
            "version": update.version,
            # Rounded up: an age must not shrink in transit.
            "confirmed_ago_ms": int(update.confirmed_ago_s * clock.MILLISECONDS_PER_SECOND) + 1,
            "configuration": _encode_item(configuration) if configuration is not None else None,
            "endpoints": (
                [_encode_item(item) for item in update.endpoints]
                if update.endpoints is not None
                else None
            ),
        }
    )


def decode_update(raw: Mapping[str, Any]) -> Result[StoreUpdate, str]:
    """Decode an update.

    :returns: the update, or an error message.
    """
    try:
        configuration, endpoints = raw["configuration"], raw["endpoints"]
        return Success(
            StoreUpdate(
                int(raw["revision"]),
                int(raw["version"]),
                int(raw["confirmed_ago_ms"]) / clock.MILLISECONDS_PER_SECOND,
                _decode_item(configuration) if configuration is not None else None,
                (
                    tuple(_decode_item(entry) for entry in endpoints)
                    if endpoints is not None
                    else None
                ),
            )
        )
    except (KeyError, TypeError, ValueError, binascii.Error) as error:
        return Failure(f"{type(error).__name__}: {error}")


def _encode_item(item: StoreItem) -> list[object]:
    return [item.key, item.revision, base64.b64encode(item.value or b"").decode()]


def _decode_item(raw: Any) -> StoreItem:
    key, revision, value = raw
    return StoreItem(str(key), int(revision), base64.b64decode(value, validate=True))
