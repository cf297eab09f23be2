"""What gateways tell each other of the store, for those that it turns away.

A gateway asks only while it hears nothing from the store itself, so nothing of this runs in calm
times. An answer carries the age of the store's own word, counted from the question that the store
answered. The age only grows on its way, so no gateway can renew by hearsay what the store has not
confirmed.
"""

import asyncio
import collections
import enum
import random
import urllib.parse
from collections.abc import Iterable

from absl import logging
from returns.pipeline import is_successful

from pearshed._internal.gateway.peer_directory import PeerDirectory
from pearshed._internal.gateway.peer_messages import (
    SyncRequest,
    decode_request,
    decode_update,
    encode_update,
)
from pearshed._internal.gateway.store_cache import WATCH_WAIT_S, StoreCache
from pearshed._internal.http.json_client import JsonClient
from pearshed._internal.telemetry.metrics import Metric, Sample
from pearshed._internal.timers import clock
from pearshed._internal.utils.addresses import Address
from pearshed._internal.utils.backoff import Backoff

SYNC_PATH = "/peer-news"
#: Period of the check whether news is wanted; an asking gateway asks this often at most.
CHECK_PERIOD_S = 0.25
#: Age from which others are asked: the store answers a watch after ``WATCH_WAIT_S``, so what it
#: has confirmed is up to twice as old while all is well.
STALE_S = 2.0 * WATCH_WAIT_S + 0.3
#: A process that has just started hears from the store within this time if it can be reached.
FIRST_ANSWER_S = 0.5
#: Pause between rounds of questions while nobody knows more; the store is likely down for all.
LONGEST_PAUSE_S = 1.0
#: Gateways asked in one round.
ASKED_IN_A_ROUND = 3
#: Other gateways are some milliseconds away; one that is cut off doesn't answer.
ANSWER_TIMEOUT_S = 0.3
_OK = 200
_NOTHING_NEWER = 204


class Outcome(enum.StrEnum):
    """How a question ended."""

    TAKEN = "taken"
    NOTHING_NEWER = "nothing newer"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    MALFORMED = "malformed"


class PeerSync:
    """Asks other gateways for news, and answers their questions."""

    def __init__(
        self, store_cache: StoreCache, directory: PeerDirectory, source: random.Random
    ) -> None:
        self._store_cache = store_cache
        self._directory = directory
        self._backoff = Backoff(CHECK_PERIOD_S, LONGEST_PAUSE_S, source)
        self._started = clock.now()
        self._not_before = float("-inf")
        self._round: asyncio.Task[None] | None = None
        self._outcomes: collections.Counter[Outcome] = collections.Counter()

    @property
    def requests(self) -> int:
        """Questions that were asked."""
        return self._outcomes.total()

    def start_if_stale(self) -> None:
        """Start a round of questions when news is wanted and none is asked for now."""
        moment = clock.now()
        if self._round is not None or moment < self._not_before or not self._wanted(moment):
            return
        self._round = asyncio.get_running_loop().create_task(self._ask_some())
        self._round.add_done_callback(self._round_ended)

    def respond(self, target: str) -> tuple[int, bytes]:
        """Answer another gateway's question.

        :param target: of its request.
        :returns: status and body; 204 where it knows as much.
        """
        decoded = decode_request(urllib.parse.urlsplit(target).query)
        if not is_successful(decoded):
            return 400, decoded.failure().encode() + b"\n"
        request = decoded.unwrap()
        update = self._store_cache.build_update(request.version, request.endpoints_digest)
        if update is None or update.confirmed_ago_s >= request.confirmed_ago_s:
            return _NOTHING_NEWER, b""
        return _OK, encode_update(update)

    def close(self) -> None:
        """Stop asking."""
        if self._round is not None:
            self._round.cancel()

    def collect(self) -> Iterable[Metric]:
        """Report the metrics."""
        yield Metric(
            "pearshed_gateway_peer_news_total",
            "Questions to other gateways for what the store says, by outcome",
            tuple(Sample(count, {"outcome": one.value}) for one, count in self._outcomes.items()),
            counter=True,
        )

    def _wanted(self, moment: float) -> bool:
        if self._store_cache.configuration is None:
            return moment - self._started > FIRST_ANSWER_S
        return self._store_cache.age_s > STALE_S

    def _round_ended(self, ended: "asyncio.Task[None]") -> None:
        self._round = None
        if not ended.cancelled() and ended.exception() is not None:
            logging.error("a round of questions to peers broke", exc_info=ended.exception())

    async def _ask_some(self) -> None:
        for peer in self._directory.sample(ASKED_IN_A_ROUND):
            outcome = await self._ask(peer)
            self._outcomes[outcome] += 1
            if outcome is Outcome.TAKEN:
                self._backoff.reset()
                return
        self._not_before = clock.now() + self._backoff.next_delay()

    async def _ask(self, peer: Address) -> Outcome:
        """Ask one gateway."""
        store_cache = self._store_cache
        known = store_cache.configuration
        request = SyncRequest(
            known.version if known is not None else 0,
            store_cache.endpoints_digest,
            store_cache.age_s,
        )
        client = JsonClient(peer, ANSWER_TIMEOUT_S)
        requested_at = clock.now()
        try:
            answer = await client.call(SYNC_PATH, request.query(), ANSWER_TIMEOUT_S)
        finally:
            client.close()
        if not is_successful(answer):
            return Outcome.UNREACHABLE
        status, raw = answer.unwrap()
        if status != _OK:
            return Outcome.NOTHING_NEWER if status == _NOTHING_NEWER else Outcome.REFUSED
        update = decode_update(raw)
        if not is_successful(update):
            logging.warning(
                "peer.news_malformed",
                extra={"fields": {"peer": str(peer), "reason": update.failure()}},
            )
            return Outcome.MALFORMED
        if not store_cache.apply_update(update.unwrap(), requested_at):
            return Outcome.NOTHING_NEWER
        configuration = store_cache.configuration
        logging.info(
            "peer.news",
            extra={
                "fields": {
                    "peer": str(peer),
                    "version": configuration.version if configuration is not None else 0,
                    "revision": store_cache.revision,
                    "confirmed_ago_ms": round(store_cache.age_s * clock.MILLISECONDS_PER_SECOND),
                }
            },
        )
        return Outcome.TAKEN
