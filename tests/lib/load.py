"""Callers that know which answer they must get, and the audit of what they got."""

import itertools
import json
import random
import threading
import time
import uuid
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import urllib3

from tests.lib.engine import response_body, stream_chunks
from tests.lib.fleet import Fleet, Node, chat_body
from tests.lib.records import Document

STREAM = "stream"
WHOLE = "whole"
ORDER = "order"
KEYED_ORDER = "keyed order"
ALL_KINDS = (STREAM, WHOLE, ORDER, KEYED_ORDER)
_KEYED_TRIES = 3


@dataclass
class Outcome:
    """What one call came to.

    :ivar content: unique text that the endpoint's journal shows for the call.
    :ivar whole: the answer is whole and the call's own.
    :ivar foreign: bytes came that are not of the call's own answer.
    :ivar claims: what each error said of the execution.
    :ivar lost: the call ended without any answer.
    :ivar unreached: no connection to the entry was to be had; a balancer would go elsewhere.
    """

    kind: str
    content: str
    whole: bool = False
    foreign: bool = False
    lost: bool = False
    unreached: bool = False
    claims: list[str] = field(default_factory=list)
    codes: list[str] = field(default_factory=list)


def uuid7() -> str:
    """Make an idempotency key that carries its time."""
    made = time.time_ns() // 1_000_000
    return str(uuid.UUID(int=made << 80 | 7 << 76 | 2 << 62 | random.getrandbits(60)))


class Load:
    """Makes calls from several threads until it is told to stop.

    :param entries: calls go to them in turn.
    :param tokens: length of model answers.
    """

    def __init__(
        self,
        fleet: Fleet,
        entries: Sequence[Node],
        kinds: Sequence[str] = ALL_KINDS,
        tokens: int = 40,
        callers: int = 8,
    ) -> None:
        self._fleet = fleet
        self._entries = entries
        self._kinds = kinds
        self._tokens = tokens
        self._numbers = itertools.count()
        self._stop = threading.Event()
        self._threads = [threading.Thread(target=self._run, daemon=True) for _ in range(callers)]
        self.outcomes: list[Outcome] = []

    def start(self) -> "Load":
        """Start the callers."""
        for thread in self._threads:
            thread.start()
        return self

    def stop(self) -> None:
        """Let the callers end their calls."""
        self._stop.set()

    def finish(self) -> list[Outcome]:
        """Let the callers end their calls and return all outcomes."""
        self.stop()
        for thread in self._threads:
            thread.join()
        return self.outcomes

    def answered(self) -> int:
        """Count whole answers so far."""
        return sum(outcome.whole for outcome in self.outcomes)

    def _run(self) -> None:
        while not self._stop.is_set():
            number = next(self._numbers)
            outcome = Outcome(self._kinds[number % len(self._kinds)], f"call-{number:06d}")
            self._call(number, outcome)
            self.outcomes.append(outcome)

    def _call(self, number: int, outcome: Outcome) -> None:
        entry = self._entries[number % len(self._entries)]
        if outcome.kind in (STREAM, WHOLE):
            self._call_model(entry, outcome)
            return
        key = uuid7() if outcome.kind == KEYED_ORDER else ""
        tries = _KEYED_TRIES if key else 1
        for step in range(tries):
            self._call_order(self._entries[(number + step) % len(self._entries)], outcome, key)
            if outcome.whole:
                return
            self._stop.wait(0.2)

    def _call_model(self, entry: Node, outcome: Outcome) -> None:
        stream = outcome.kind == STREAM
        body = chat_body(outcome.content, stream, max_tokens=self._tokens)
        expected = b"".join(stream_chunks(body)) if stream else response_body(body)
        try:
            response = self._fleet.call(entry, body=body)
        except urllib3.exceptions.HTTPError as error:
            _note_no_answer(outcome, error)
            return
        if response.status == 200 and response.data == expected:
            outcome.whole = True
        elif response.status == 200:
            self._note_broken(outcome, response.data, expected)
        else:
            _note_error(outcome, response.data)

    def _note_broken(self, outcome: Outcome, got: bytes, expected: bytes) -> None:
        """Judge a stream that is not the whole answer: a true start and then an error event."""
        start, separator, error = got.rpartition(b'data: {"error"')
        if not separator:
            outcome.foreign = True
            return
        outcome.foreign = not expected.startswith(start.rstrip(b"\n"))
        _note_error(outcome, b'{"error"' + error)

    def _call_order(self, entry: Node, outcome: Outcome, key: str) -> None:
        headers: dict[str, Any] = {"Idempotency_Key": key} if key else {}
        try:
            response = self._fleet.call(
                entry,
                "/services/writing/orders",
                outcome.content.encode(),
                X_Request_Class="order",
                **headers,
            )
        except urllib3.exceptions.HTTPError as error:
            _note_no_answer(outcome, error)
            return
        if response.status == 200:
            outcome.lost = False
            outcome.unreached = False
            outcome.whole = True
            outcome.foreign = json.loads(response.data)["got"] != outcome.content
        else:
            _note_error(outcome, response.data)


def _note_no_answer(outcome: Outcome, error: Exception) -> None:
    if isinstance(error, urllib3.exceptions.NewConnectionError):
        outcome.unreached = True
    else:
        outcome.lost = True


def _note_error(outcome: Outcome, content: bytes) -> None:
    error = json.loads(content)["error"]
    outcome.claims.append(error["execution"])
    outcome.codes.append(error["code"])


@dataclass(frozen=True)
class Audit:
    """Violations of what must always hold.

    :ivar duplicates: non-idempotent calls that ran more than once.
    :ivar foreign: answers that were not the caller's own, or quietly short.
    :ivar lost: calls without any answer.
    :ivar false_not_run: calls that ran although every answer said that they had not.
    :ivar unanswered_runs: orders answered whole that no endpoint has run.
    """

    calls: int
    whole: int
    duplicates: int
    foreign: int
    lost: int
    unreached: int
    false_not_run: int
    unanswered_runs: int

    @property
    def violations(self) -> int:
        """Violations whatever the fault; lost calls are for the case to judge."""
        return self.duplicates + self.foreign + self.false_not_run + self.unanswered_runs


def audit(outcomes: Sequence[Outcome], runs: Sequence[Document]) -> Audit:
    """Compare what callers were told with what the endpoints ran."""
    ran: Counter[str] = Counter()
    for run in runs:
        for outcome_id in _ids_in(run["content"]):
            ran[outcome_id] += 1
    orders = [item for item in outcomes if item.kind in (ORDER, KEYED_ORDER)]
    return Audit(
        calls=len(outcomes),
        whole=sum(item.whole for item in outcomes),
        duplicates=sum(ran[item.content] > 1 for item in orders),
        foreign=sum(item.foreign for item in outcomes),
        lost=sum(item.lost for item in outcomes),
        unreached=sum(item.unreached for item in outcomes),
        false_not_run=sum(_falsely_not_run(item, ran[item.content]) for item in outcomes),
        unanswered_runs=sum(item.whole and not ran[item.content] for item in orders),
    )


def _falsely_not_run(outcome: Outcome, runs: int) -> bool:
    if outcome.whole or outcome.lost or not outcome.claims:
        return False
    return runs > 0 and all(claim == "not_run" for claim in outcome.claims)


def _ids_in(content: str) -> list[str]:
    start = content.find("call-")
    return [content[start : start + 11]] if start >= 0 else []
