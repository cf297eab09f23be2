"""Confirms API keys through other gateways while a new configuration is being received.

Two gateways have the same keys if a digest of them is equal. So a gateway that has received the new
configuration says in a hundred bytes that the keys of the one before still hold.
"""

import asyncio
import hashlib
import urllib.parse

from absl import logging
from returns.pipeline import is_successful

from pearshed._internal.gateway.peer_directory import PeerDirectory
from pearshed._internal.gateway.store_cache import StoreCache
from pearshed._internal.http.json_client import JsonClient
from pearshed._internal.models.routing import RoutingConfiguration
from pearshed._internal.timers import clock
from pearshed._internal.utils.addresses import Address
from pearshed._internal.utils.foreign_values import to_integer

KEYS_PATH = "/keys"
#: Age of the keys' confirmation from which others are asked during a transfer, seconds. Two rounds
#: fit in before the keys are no longer trusted.
ASK_AGE_S = 2.0
#: Interval between rounds, seconds.
ROUND_INTERVAL_S = 0.25
#: Gateways asked in one round.
PEERS_PER_ROUND = 2
#: The response waits on the link behind what is being received, seconds.
RESPONSE_TIMEOUT_S = 1.0
#: Age of a gateway's own state from which it confirms nothing to others, seconds.
MAX_CONFIRMED_AGE_S = 10.0
_OK = 200
_NOT_CONFIRMED = 204
_DIGEST_BYTES = 16


class KeyConfirmation:
    """Asks other gateways whether they have the same keys, and answers such questions."""

    def __init__(self, store_cache: StoreCache, directory: PeerDirectory) -> None:
        self._store_cache = store_cache
        self._directory = directory
        self._digests: tuple[int, str] = (0, "")
        self._confirmed = ("", float("-inf"))
        self._next_round_at = float("-inf")
        self._round: asyncio.Task[None] | None = None

    @property
    def age_s(self) -> float:
        """Time since the store confirmed the keys, here or at another gateway, seconds."""
        digest, confirmed_at = self._confirmed
        if not digest or digest != self._digest():
            return self._store_cache.age_s
        return min(self._store_cache.age_s, clock.now() - confirmed_at)

    def start_if_due(self) -> None:
        """Start a round of questions if the keys' confirmation grows old during a transfer."""
        now = clock.now()
        if (
            self._round is None
            and now >= self._next_round_at
            and self._store_cache.is_receiving
            and self.age_s > ASK_AGE_S
            and self._digest()
        ):
            self._round = asyncio.get_running_loop().create_task(self._ask_some())
            self._round.add_done_callback(self._end_round)

    def respond(self, target: str) -> tuple[int, bytes]:
        """Respond to another gateway's question.

        :param target: of its request.
        :returns: status and body; 204 if the keys differ or this gateway's own are too old.
        """
        fields = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(target).query))
        digest, age_s = self._digest(), self._store_cache.age_s
        if not digest or fields.get("digest") != digest or age_s > MAX_CONFIRMED_AGE_S:
            return _NOT_CONFIRMED, b""
        # Rounded up: an age must not shrink in transit.
        return _OK, b'{"confirmed_ago_ms":%d}' % (int(age_s * clock.MILLISECONDS_PER_SECOND) + 1)

    def close(self) -> None:
        """Cancel a running round."""
        if self._round is not None:
            self._round.cancel()

    def _end_round(self, task: "asyncio.Task[None]") -> None:
        self._round = None
        self._next_round_at = clock.now() + ROUND_INTERVAL_S
        if not task.cancelled() and task.exception() is not None:
            logging.error("a round of questions for keys failed", exc_info=task.exception())

    async def _ask_some(self) -> None:
        for peer in self._directory.sample(PEERS_PER_ROUND):
            if await self._ask(peer):
                return

    async def _ask(self, peer: Address) -> bool:
        """Ask one gateway; return whether it confirmed the keys."""
        digest = self._digest()
        client = JsonClient(peer, RESPONSE_TIMEOUT_S)
        requested_at = clock.now()
        try:
            response = await client.call(KEYS_PATH, {"digest": digest}, RESPONSE_TIMEOUT_S)
        finally:
            client.close()
        if not is_successful(response):
            return False
        status, raw = response.unwrap()
        try:
            age_ms = to_integer(raw["confirmed_ago_ms"]) if status == _OK else -1
        except (KeyError, ValueError):
            age_ms = -1
        if age_ms < 0:
            return False
        confirmed_at = requested_at - age_ms / clock.MILLISECONDS_PER_SECOND
        known, known_at = self._confirmed
        self._confirmed = digest, max(confirmed_at, known_at) if known == digest else confirmed_at
        fields = {"peer": str(peer), "confirmed_ago_ms": age_ms}
        logging.info("keys.confirmed", extra={"fields": fields})
        return True

    def _digest(self) -> str:
        """Return the digest of the keys in force; empty before the first configuration."""
        configuration = self._store_cache.configuration
        if configuration is None:
            return ""
        if self._digests[0] != configuration.version:
            self._digests = configuration.version, _digest_of(configuration)
        return self._digests[1]


def _digest_of(configuration: RoutingConfiguration) -> str:
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    digest.update(b"%d" % configuration.keys_required)
    for key, holder in sorted(configuration.key_holders.items()):
        regions = sorted(holder.allowed_regions) if holder.allowed_regions is not None else None
        digest.update(repr((key, holder.name, holder.rank, regions)).encode())
    return digest.hexdigest()
