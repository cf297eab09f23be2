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

from pearshed._internal.gateway.knowledge import WATCH_WAIT_S, Knowledge
from pearshed._internal.gateway.peer_directory import PeerDirectory
from pearshed._internal.gateway.peer_messages import (
    Question,
    decode_news,
    decode_question,
    encode_news,
)
from pearshed._internal.http.json_client import JsonClient
from pearshed._internal.telemetry.metrics import Metric, Sample
from pearshed._internal.timers import clock
from pearshed._internal.utils.addresses import Address
from pearshed._internal.utils.backoff import Backoff

NEWS_PAGE = "/peer-news"
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


class PeerNews:
    """Asks other gateways for news, and answers their questions."""

    def __init__(
        self, knowledge: Knowledge, directory: PeerDirectory, source: random.Random
    ) -> None:
        self._knowledge = knowledge
        self._directory = directory
        self._backoff = Backoff(CHECK_PERIOD_S, LONGEST_PAUSE_S, source)
        self._started = clock.now()
        self._not_before = float("-inf")
        self._round: asyncio.Task[None] | None = None
        self._outcomes: collections.Counter[Outcome] = collections.Counter()

    @property
    def asked(self) -> int:
        """Questions that were asked."""
        return self._outcomes.total()

    def check(self) -> None:
        """Start a round of questions when news is wanted and none is asked for now."""
        moment = clock.now()
        if self._round is not None or moment < self._not_before or not self._wanted(moment):
            return
        self._round = asyncio.get_running_loop().create_task(self._ask_some())
        self._round.add_done_callback(self._round_ended)

    def answer(self, target: str) -> tuple[int, bytes]:
        """Answer another gateway's question.

        :param target: of its request.
        :returns: status and body; 204 where it knows as much.
        """
        question = decode_question(urllib.parse.urlsplit(target).query)
        if not is_successful(question):
            return 400, question.failure().encode() + b"\n"
        asked = question.unwrap()
        news = self._knowledge.news(asked.version, asked.endpoints_digest)
        if news is None or news.confirmed_ago_s >= asked.confirmed_ago_s:
            return _NOTHING_NEWER, b""
        return _OK, encode_news(news)

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
        if self._knowledge.configuration is None:
            return moment - self._started > FIRST_ANSWER_S
        return self._knowledge.age_s > STALE_S

    def _round_ended(self, ended: "asyncio.Task[None]") -> None:
        self._round = None
        if not ended.cancelled() and ended.exception() is not None:
            logging.error("a round of questions to peers broke", exc_info=ended.exception())

    async def _ask_some(self) -> None:
        for peer in self._directory.draw(ASKED_IN_A_ROUND):
            outcome = await self._ask(peer)
            self._outcomes[outcome] += 1
            if outcome is Outcome.TAKEN:
                self._backoff.reset()
                return
        self._not_before = clock.now() + self._backoff.next_delay()

    async def _ask(self, peer: Address) -> Outcome:
        """Ask one gateway."""
        knowledge = self._knowledge
        known = knowledge.configuration
        question = Question(
            known.version if known is not None else 0,
            knowledge.endpoints_digest,
            knowledge.age_s,
        )
        caller = JsonClient(peer, ANSWER_TIMEOUT_S)
        asked = clock.now()
        try:
            answer = await caller.call(NEWS_PAGE, question.query(), ANSWER_TIMEOUT_S)
        finally:
            caller.close()
        if not is_successful(answer):
            return Outcome.UNREACHABLE
        status, raw = answer.unwrap()
        if status != _OK:
            return Outcome.NOTHING_NEWER if status == _NOTHING_NEWER else Outcome.REFUSED
        news = decode_news(raw)
        if not is_successful(news):
            logging.warning(
                "peer.news_malformed",
                extra={"fields": {"peer": str(peer), "reason": news.failure()}},
            )
            return Outcome.MALFORMED
        if not knowledge.take_news(news.unwrap(), asked):
            return Outcome.NOTHING_NEWER
        configuration = knowledge.configuration
        logging.info(
            "peer.news",
            extra={
                "fields": {
                    "peer": str(peer),
                    "version": configuration.version if configuration is not None else 0,
                    "revision": knowledge.revision,
                    "confirmed_ago_ms": round(knowledge.age_s * clock.MILLISECONDS_PER_SECOND),
                }
            },
        )
        return Outcome.TAKEN
