"""What gateways tell each other of the store, for those that it turns away.

A gateway asks only while it hears nothing from the store itself, so nothing of this runs in calm
times. An answer carries the age of the store's own word, counted from the question that the store
answered. The age only grows on its way, so no gateway can renew by hearsay what the store has not
confirmed.
"""

import asyncio
import base64
import binascii
import collections
import random
import urllib.parse
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

import orjson
from absl import logging
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from pearshed._internal.gateway.knowledge import WATCH_WAIT_S, Knowledge, News
from pearshed._internal.gateway.store import StoreItem
from pearshed._internal.http.json_call import JsonCaller
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
#: Gateways that are remembered; enough to find one that is well if most are not.
MOST_PEERS = 32
#: Longest age that is told, seconds: about a year.
_LONGEST_AGO_S = 3e7
_OK = 200
_NOTHING_NEWER = 204


class PeerDirectory:
    """Control addresses of other gateways: the seeds, and those that sides have named.

    :param own: control address of this gateway; all gateways use its port.
    """

    def __init__(self, own: Address, seeds: Iterable[Address], source: random.Random) -> None:
        self._own = own
        self._seeds = [seed for seed in seeds if seed != own]
        self._named: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._random = source

    def note_hosts(self, hosts: Iterable[str]) -> None:
        """Take hosts of gateways that a side has heard from."""
        for host in hosts:
            if host == self._own.host:
                continue
            self._named[host] = None
            self._named.move_to_end(host)
            if len(self._named) > MOST_PEERS:
                self._named.popitem(last=False)

    def draw(self, count: int) -> list[Address]:
        """Draw some gateways to ask."""
        named = [Address(host, self._own.port) for host in self._named]
        known = list(dict.fromkeys([*self._seeds, *named]))
        return self._random.sample(known, min(count, len(known)))


@dataclass(frozen=True, slots=True)
class Question:
    """What an asking gateway knows already.

    :ivar confirmed_ago_s: age of what it knows, seconds; infinite while it knows nothing.
    """

    version: int
    endpoints_digest: str
    confirmed_ago_s: float

    def query(self) -> Mapping[str, str]:
        """Encode the question."""
        ago_ms = min(self.confirmed_ago_s, _LONGEST_AGO_S) * clock.MILLISECONDS_PER_SECOND
        return {
            "version": str(self.version),
            "endpoints": self.endpoints_digest,
            "confirmed_ago_ms": str(int(ago_ms)),
        }


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
        self._outcomes: collections.Counter[str] = collections.Counter()

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
        question = _read_question(urllib.parse.urlsplit(target).query)
        if not is_successful(question):
            return 400, question.failure().encode() + b"\n"
        asked = question.unwrap()
        news = self._knowledge.news(asked.version, asked.endpoints_digest)
        if news is None or news.confirmed_ago_s >= asked.confirmed_ago_s:
            return _NOTHING_NEWER, b""
        return _OK, _encode(news)

    def close(self) -> None:
        """Stop asking."""
        if self._round is not None:
            self._round.cancel()

    def collect(self) -> Iterable[Metric]:
        """Report the metrics."""
        yield Metric(
            "pearshed_gateway_peer_news_total",
            "Questions to other gateways for what the store says, by outcome",
            tuple(Sample(count, {"outcome": word}) for word, count in self._outcomes.items()),
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
            if outcome == "taken":
                self._backoff.reset()
                return
        self._not_before = clock.now() + self._backoff.next_delay()

    async def _ask(self, peer: Address) -> str:
        """Ask one gateway.

        :returns: the outcome, in a word.
        """
        knowledge = self._knowledge
        known = knowledge.configuration
        question = Question(
            known.version if known is not None else 0,
            knowledge.endpoints_digest,
            knowledge.age_s,
        )
        caller = JsonCaller(peer, ANSWER_TIMEOUT_S)
        asked = clock.now()
        try:
            answer = await caller.call(NEWS_PAGE, question.query(), ANSWER_TIMEOUT_S)
        finally:
            caller.close()
        if not is_successful(answer):
            return "unreachable"
        status, raw = answer.unwrap()
        if status != _OK:
            return "nothing newer" if status == _NOTHING_NEWER else "refused"
        news = _decode(raw)
        if not is_successful(news):
            logging.warning(
                "peer.news_malformed",
                extra={"fields": {"peer": str(peer), "reason": news.failure()}},
            )
            return "malformed"
        if not knowledge.take_news(news.unwrap(), asked):
            return "nothing newer"
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
        return "taken"


def _read_question(query: str) -> Result[Question, str]:
    fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
    try:
        ago_ms = int(fields["confirmed_ago_ms"])
        version = int(fields["version"])
    except (KeyError, ValueError) as error:
        return Failure(f"the question is malformed: {error}")
    ago_s = ago_ms / clock.MILLISECONDS_PER_SECOND
    return Success(Question(version, fields.get("endpoints", ""), ago_s))


def _encode(news: News) -> bytes:
    configuration = news.configuration
    return orjson.dumps(
        {
            "revision": news.revision,
            "version": news.version,
            # Rounded up: an age must not get smaller on its way.
            "confirmed_ago_ms": int(news.confirmed_ago_s * clock.MILLISECONDS_PER_SECOND) + 1,
            "configuration": _plain(configuration) if configuration is not None else None,
            "endpoints": (
                [_plain(item) for item in news.endpoints] if news.endpoints is not None else None
            ),
        }
    )


def _decode(raw: Mapping[str, Any]) -> Result[News, str]:
    try:
        configuration, endpoints = raw["configuration"], raw["endpoints"]
        return Success(
            News(
                int(raw["revision"]),
                int(raw["version"]),
                int(raw["confirmed_ago_ms"]) / clock.MILLISECONDS_PER_SECOND,
                _item(configuration) if configuration is not None else None,
                tuple(_item(entry) for entry in endpoints) if endpoints is not None else None,
            )
        )
    except (KeyError, TypeError, ValueError, binascii.Error) as error:
        return Failure(f"{type(error).__name__}: {error}")


def _plain(item: StoreItem) -> list[object]:
    return [item.key, item.revision, base64.b64encode(item.value or b"").decode()]


def _item(raw: Any) -> StoreItem:
    key, revision, value = raw
    return StoreItem(str(key), int(revision), base64.b64decode(value, validate=True))
