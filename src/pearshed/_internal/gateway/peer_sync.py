"""Exchanges the store's state between gateways, for those whose calls the store rejects.

A gateway asks its peers only while it gets no responses from the store itself, or while it has been
receiving one for some time: peers send a changed configuration compressed. So this is idle in
normal operation. It also asks some once, after it has started: the store may just have come back
from a copy, and only who ran before knows what the copy lacks.

A response carries the age of the store's confirmation, counted from the request that the store
answered. The age only grows in transit, so gateways can't renew among themselves what the store has
not confirmed.
"""

import asyncio
import collections
import enum
import math
import random
import urllib.parse
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from absl import logging
from returns.pipeline import is_successful
from returns.result import Result

from pearshed._internal.gateway.peer_directory import PeerDirectory
from pearshed._internal.gateway.peer_messages import (
    SyncRequest,
    compress_configuration,
    decode_request,
    decode_update,
    encode_update,
)
from pearshed._internal.gateway.store import StoreItem
from pearshed._internal.gateway.store_cache import WATCH_WAIT_S, StoreCache, StoreUpdate
from pearshed._internal.http.json_client import JsonClient
from pearshed._internal.telemetry.metrics import Metric, Sample
from pearshed._internal.timers import clock
from pearshed._internal.utils.addresses import Address
from pearshed._internal.utils.backoff import Backoff

SYNC_PATH = "/peer-news"
#: Interval of the check for stale state and slow transfers.
CHECK_INTERVAL_S = 0.05
#: Shortest interval between rounds of requests.
MIN_ROUND_DELAY_S = 0.25
#: Age from which peers are asked: the store answers a watch after ``WATCH_WAIT_S``, so what it has
#: confirmed is up to twice as old in normal operation.
STALE_S = 2.0 * WATCH_WAIT_S + 0.3
#: A process that has just started gets a response from a reachable store within this time.
FIRST_RESPONSE_TIMEOUT_S = 0.5
#: Longest delay between rounds while no peer has newer state; the store is likely down for all.
MAX_ROUND_DELAY_S = 1.0
#: Peers asked in one round.
PEERS_PER_ROUND = 3
#: The same during a slow transfer: a gateway that has nothing newer responds at once.
PEERS_PER_TRANSFER = 6
#: Peers start to respond within milliseconds; one that is partitioned doesn't respond.
RESPONSE_TIMEOUT_S = 0.3
#: Peers asked at the start, all at once.
PEERS_AT_START = 4
#: The same while this gateway's link may still carry a part of the store's response.
BUSY_LINK_TIMEOUT_S = 1.0
_OK = 200
_NOTHING_NEWER = 204


class Outcome(enum.StrEnum):
    """How a request to a peer ended."""

    APPLIED = "taken"
    NOTHING_NEWER = "nothing newer"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    MALFORMED = "malformed"


class PeerSync:
    """Requests state from other gateways, and responds to their requests."""

    def __init__(
        self, store_cache: StoreCache, directory: PeerDirectory, rng: random.Random
    ) -> None:
        self._store_cache = store_cache
        self._directory = directory
        self._backoff = Backoff(MIN_ROUND_DELAY_S, MAX_ROUND_DELAY_S, rng)
        self._started_at = clock.now()
        self._next_round_at = float("-inf")
        self._version_without_copy: int | None = None
        self._asked_at_start = False
        self._round_task: asyncio.Task[None] | None = None
        self._outcomes: collections.Counter[Outcome] = collections.Counter()
        self._compressed: StoreItem | None = None

    @property
    def requests(self) -> int:
        """Number of requests sent to peers."""
        return self._outcomes.total()

    @property
    def asked_at_start(self) -> bool:
        """Whether peers were asked for what they know beyond the store's first response."""
        return self._asked_at_start

    def start_if_stale(self) -> None:
        """Start a round of requests if the state is stale and no round is running."""
        now = clock.now()
        if not self._asked_at_start and self._store_cache.configuration is not None:
            if self._round_task is None:
                self._round_task = asyncio.get_running_loop().create_task(self._ask_at_start())
                self._round_task.add_done_callback(self._on_round_end)
            return
        if self._round_task is not None or now < self._next_round_at or not self._is_stale(now):
            return
        self._round_task = asyncio.get_running_loop().create_task(self._run_round())
        self._round_task.add_done_callback(self._on_round_end)

    def respond(self, target: str) -> tuple[int, bytes]:
        """Respond to another gateway's request.

        :param target: of its request.
        :returns: status and body; 204 if this gateway knows nothing newer.
        """
        decoded = decode_request(urllib.parse.urlsplit(target).query)
        if not is_successful(decoded):
            return 400, decoded.failure().encode() + b"\n"
        request = decoded.unwrap()
        update = self._store_cache.build_update(
            request.version,
            request.endpoints_digest,
            with_endpoints=not request.only_newer_version,
        )
        if update is None or not _is_wanted(update, request):
            return _NOTHING_NEWER, b""
        if update.configuration is None or not request.accepts_compressed:
            return _OK, encode_update(update)
        return _OK, encode_update(update, self._compress(update.configuration))

    def _compress(self, configuration: StoreItem) -> StoreItem:
        """Compress a configuration once for all peers that ask for it."""
        if self._compressed is None or self._compressed.revision != configuration.revision:
            self._compressed = compress_configuration(configuration)
        return self._compressed

    def close(self) -> None:
        """Cancel a running round."""
        if self._round_task is not None:
            self._round_task.cancel()

    def collect(self) -> Iterable[Metric]:
        """Report the metrics."""
        yield Metric(
            "pearshed_gateway_peer_news_total",
            "Questions to other gateways for what the store says, by outcome",
            tuple(Sample(count, {"outcome": one.value}) for one, count in self._outcomes.items()),
            counter=True,
        )

    def _is_stale(self, now: float) -> bool:
        if self._store_cache.configuration is None:
            return now - self._started_at > FIRST_RESPONSE_TIMEOUT_S
        return self._store_cache.staleness_s > STALE_S or self._wants_copy()

    def _wants_copy(self) -> bool:
        """Return whether to pause the store's transfer for a copy, which is tried once."""
        return (
            self._store_cache.is_transfer_slow
            and self._store_cache.version != self._version_without_copy
            and bool(self._directory.hosts)
        )

    def _on_round_end(self, task: "asyncio.Task[None]") -> None:
        self._round_task = None
        if not task.cancelled() and task.exception() is not None:
            logging.error("a round of requests to peers failed", exc_info=task.exception())

    async def _ask_at_start(self) -> None:
        """Request the state of some gateways, whether or not the store has confirmed it later."""
        peers = self._directory.sample(PEERS_AT_START)
        try:
            answers = await asyncio.gather(*(self._request_any_state(peer) for peer in peers))
        finally:
            self._asked_at_start = True
        answered = 0
        for received in answers:
            if isinstance(received, Outcome):
                self._outcomes[received] += 1
                answered += received is Outcome.NOTHING_NEWER
            else:
                answered += 1
                self._apply(received)
        fields = {"peers": len(peers), "answered": answered, "version": self._store_cache.version}
        logging.info("peers.asked_at_start", extra={"fields": fields})

    async def _request_any_state(self, peer: Address) -> "_News | Outcome":
        store_cache = self._store_cache
        digest = store_cache.endpoints_digest
        return await self._send(peer, SyncRequest(store_cache.version, digest, math.inf))

    async def _run_round(self) -> None:
        if self._wants_copy():
            await self._request_copy()
            return
        applied = await self._sync_with_any(PEERS_PER_ROUND, only_newer_version=False)
        # A gateway of an older build confirms no evacuations, so its state may leave this stale.
        if not applied or self._store_cache.age_s < STALE_S < self._store_cache.staleness_s:
            self._next_round_at = clock.now() + self._backoff.next_delay()

    async def _request_copy(self) -> None:
        """Request a copy of the configuration that the store sends slowly.

        The store's transfer is paused meanwhile, since it would fill the link.
        """
        self._store_cache.pause_transfer()
        try:
            if not await self._sync_with_any(PEERS_PER_TRANSFER, only_newer_version=True):
                self._version_without_copy = self._store_cache.version
        finally:
            self._store_cache.resume_transfer()

    async def _sync_with_any(self, count: int, *, only_newer_version: bool) -> bool:
        """Request state from some gateways in turn; return whether one of them had newer state.

        At the start, state that is itself stale is applied only if no gateway has fresher state: it
        may list endpoints that have left. Later it can only be fresher than this gateway's own.
        """
        stale: list[_News] = []
        starting = self._store_cache.configuration is None
        for peer in self._directory.sample(count):
            received = await self._request(peer, only_newer_version)
            if isinstance(received, Outcome):
                self._outcomes[received] += 1
            elif starting and received.age_s > STALE_S:
                stale.append(received)
            elif self._apply(received):
                return True
        return any(self._apply(news) for news in sorted(stale, key=lambda news: news.age_s))

    async def _request(self, peer: Address, only_newer_version: bool) -> "_News | Outcome":
        """Request state from one gateway.

        :param only_newer_version: request it only if its configuration is newer.
        """
        store_cache = self._store_cache
        request = SyncRequest(
            store_cache.version,
            store_cache.endpoints_digest,
            store_cache.staleness_s,
            only_newer_version=only_newer_version,
        )
        return await self._send(peer, request)

    async def _send(self, peer: Address, request: SyncRequest) -> "_News | Outcome":
        timeout_s = BUSY_LINK_TIMEOUT_S if request.only_newer_version else RESPONSE_TIMEOUT_S
        client = JsonClient(peer, timeout_s)
        requested_at = clock.now()
        try:
            response = await client.call(SYNC_PATH, request.query(), timeout_s)
        finally:
            client.close()
        return _decode_response(peer, response, requested_at)

    def _apply(self, news: "_News") -> bool:
        """Apply the state of another gateway; return whether it was newer."""
        store_cache = self._store_cache
        applied = store_cache.apply_update(news.update, news.requested_at)
        self._outcomes[Outcome.APPLIED if applied else Outcome.NOTHING_NEWER] += 1
        if not applied:
            return False
        self._backoff.reset()
        logging.info(
            "peer.news",
            extra={
                "fields": {
                    "peer": str(news.peer),
                    "version": store_cache.version,
                    "revision": store_cache.revision,
                    "confirmed_ago_ms": round(store_cache.age_s * clock.MILLISECONDS_PER_SECOND),
                }
            },
        )
        return True


@dataclass(frozen=True, slots=True)
class _News:
    """The state of another gateway.

    :ivar requested_at: clock reading when it was requested, seconds.
    """

    peer: Address
    update: StoreUpdate
    requested_at: float

    @property
    def age_s(self) -> float:
        """Time since the store confirmed it, seconds."""
        return clock.now() - self.requested_at + self.update.confirmed_ago_s


def _decode_response(
    peer: Address, response: Result[tuple[int, Mapping[str, Any]], str], requested_at: float
) -> _News | Outcome:
    if not is_successful(response):
        logging.info(
            "peer.unreachable",
            extra={"fields": {"peer": str(peer), "reason": response.failure()}},
        )
        return Outcome.UNREACHABLE
    status, raw = response.unwrap()
    if status != _OK:
        return Outcome.NOTHING_NEWER if status == _NOTHING_NEWER else Outcome.REFUSED
    update = decode_update(raw)
    if not is_successful(update):
        logging.warning(
            "peer.news_malformed",
            extra={"fields": {"peer": str(peer), "reason": update.failure()}},
        )
        return Outcome.MALFORMED
    return _News(peer, update.unwrap(), requested_at)


def _is_wanted(update: StoreUpdate, request: SyncRequest) -> bool:
    if request.only_newer_version:
        return update.version > request.version
    return update.is_newer_than(request.version, request.confirmed_ago_s)
