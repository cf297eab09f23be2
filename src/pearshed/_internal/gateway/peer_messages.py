"""Encodes requests and updates between gateways, as query strings and JSON."""

import base64
import binascii
import dataclasses
import urllib.parse
import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson
from returns.result import Failure, Result, Success

from pearshed._internal.gateway.availability.evacuations import EvacuationUpdate
from pearshed._internal.gateway.store import StoreItem
from pearshed._internal.gateway.store_cache import StoreUpdate
from pearshed._internal.timers import clock
from pearshed._internal.utils.foreign_values import describe, parse_count, to_integer

#: Level of compression: the fastest, since it blocks the event loop.
_COMPRESSION_LEVEL = 1
#: Larger configurations are refused when they are decompressed, bytes.
_MAX_CONFIGURATION_BYTES = 32 * 1024 * 1024
#: Longest age that is sent, seconds: about a year.
_MAX_AGE_S = 3e7


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """A request for newer state, with the state that the requesting gateway has.

    :ivar confirmed_ago_s: age of that state, seconds; infinite without any.
    :ivar accepts_compressed: whether it can read a compressed configuration; older builds can't.
    :ivar only_newer_version: whether it asks only for a newer configuration; older builds respond
        with entries of endpoints too.
    """

    version: int
    endpoints_digest: str
    confirmed_ago_s: float
    accepts_compressed: bool = True
    only_newer_version: bool = False

    def query(self) -> Mapping[str, str]:
        """Encode the request as a query."""
        age_ms = min(self.confirmed_ago_s, _MAX_AGE_S) * clock.MILLISECONDS_PER_SECOND
        return {
            "version": str(self.version),
            "endpoints": self.endpoints_digest,
            "confirmed_ago_ms": str(int(age_ms)),
            "compressed": "1" if self.accepts_compressed else "0",
            "only_newer_version": "1" if self.only_newer_version else "0",
        }


def decode_request(query: str) -> Result[SyncRequest, str]:
    """Decode the query of a request.

    :returns: the request, or an error message.
    """
    fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
    try:
        age_ms = _parse_count(fields["confirmed_ago_ms"])
        version = _parse_count(fields["version"])
    except (KeyError, ValueError) as error:
        return Failure(f"the question is malformed: {describe(str(error))}")
    age_s = age_ms / clock.MILLISECONDS_PER_SECOND
    return Success(
        SyncRequest(
            version,
            fields.get("endpoints", ""),
            age_s,
            fields.get("compressed") == "1",
            fields.get("only_newer_version") == "1",
        )
    )


def compress_configuration(item: StoreItem) -> StoreItem:
    """Compress the value of a configuration's item: routes are alike, and links may be slow."""
    return dataclasses.replace(item, value=zlib.compress(item.value or b"", _COMPRESSION_LEVEL))


def encode_update(update: StoreUpdate, compressed: StoreItem | None = None) -> bytes:
    """Encode an update as JSON.

    :param compressed: the update's configuration, compressed; ``None`` to send it as it is.
    """
    configuration = update.configuration if compressed is None else None
    return orjson.dumps(
        {
            "revision": update.revision,
            "version": update.version,
            # Rounded up: an age must not shrink in transit.
            "confirmed_ago_ms": int(update.confirmed_ago_s * clock.MILLISECONDS_PER_SECOND) + 1,
            "configuration": _encode_item(configuration) if configuration is not None else None,
            "compressed_configuration": _encode_item(compressed) if compressed else None,
            "endpoints": (
                [_encode_item(item) for item in update.endpoints]
                if update.endpoints is not None
                else None
            ),
            # Older builds neither send nor read it.
            "evacuations": _encode_evacuations(update.evacuations),
        }
    )


def decode_update(raw: Mapping[str, Any]) -> Result[StoreUpdate, str]:
    """Decode an update.

    :returns: the update, or an error message.
    """
    try:
        configuration, endpoints = raw["configuration"], raw["endpoints"]
        compressed = raw.get("compressed_configuration")
        return Success(
            StoreUpdate(
                to_integer(raw["revision"]),
                to_integer(raw["version"]),
                _age_ms(raw["confirmed_ago_ms"]) / clock.MILLISECONDS_PER_SECOND,
                (
                    _decompress(_decode_item(compressed))
                    if compressed is not None
                    else _decode_item(configuration) if configuration is not None else None
                ),
                (
                    tuple(_decode_item(entry) for entry in endpoints)
                    if endpoints is not None
                    else None
                ),
                _decode_evacuations(raw.get("evacuations")),
            )
        )
    except (AttributeError, KeyError, TypeError, ValueError, binascii.Error, zlib.error) as error:
        return Failure(f"{type(error).__name__}: {describe(str(error))}")


def _encode_evacuations(update: EvacuationUpdate | None) -> Mapping[str, Any] | None:
    if update is None:
        return None
    return {
        "data_centres": dict(update.revisions),
        "revision": update.revision,
        "confirmed_ago_ms": int(update.confirmed_ago_s * clock.MILLISECONDS_PER_SECOND) + 1,
    }


def _decode_evacuations(raw: Any) -> EvacuationUpdate | None:
    if raw is None:
        return None
    return EvacuationUpdate(
        {str(name): to_integer(revision) for name, revision in raw["data_centres"].items()},
        to_integer(raw["revision"]),
        _age_ms(raw["confirmed_ago_ms"]) / clock.MILLISECONDS_PER_SECOND,
    )


def _age_ms(raw: Any) -> int:
    """Return an age.

    :raises ValueError: when it is none: a negative age would seem newer than the present.
    """
    age_ms = to_integer(raw)
    if age_ms < 0:
        raise ValueError(f"the age {age_ms} ms is negative")
    return age_ms


def _parse_count(text: str) -> int:
    """Return a whole number of a query.

    :raises ValueError: when it is none.
    """
    count = parse_count(text)
    if count is None:
        raise ValueError(f"expected a whole number, found {describe(text)}")
    return count


def _decompress(item: StoreItem) -> StoreItem:
    """Decompress a configuration.

    :raises ValueError: when it is incomplete or too large.
    """
    decompressor = zlib.decompressobj()
    value = decompressor.decompress(item.value or b"", _MAX_CONFIGURATION_BYTES)
    if not decompressor.eof:
        raise ValueError("the compressed configuration is incomplete or too large")
    return dataclasses.replace(item, value=value)


def _encode_item(item: StoreItem) -> list[object]:
    return [item.key, item.revision, base64.b64encode(item.value or b"").decode()]


def _decode_item(raw: Any) -> StoreItem:
    key, revision, value = raw
    if not isinstance(key, str):
        raise ValueError(f"expected a key, found {describe(key)}")
    return StoreItem(key, to_integer(revision), base64.b64decode(value, validate=True))
