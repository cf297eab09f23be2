"""A load generator that checks every response, and an audit of responses against runs."""

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
NON_STREAMED = "non-streamed"
ORDER = "order"
KEYED_ORDER = "keyed order"
ALL_KINDS = (STREAM, NON_STREAMED, ORDER, KEYED_ORDER)
_KEYED_ATTEMPTS = 3


@dataclass
class Outcome:
    """The result of one call.

    :ivar content: unique text that identifies the call in the endpoints' journals.
    :ivar complete: the response was complete and, for a model call, the expected one.
    :ivar mismatched: bytes arrived that are not part of this call's response.
    :ivar broken_off: a streamed response that had begun broke off.
    :ivar no_response: the connection failed before the end of any other response.
    :ivar unreachable: the entry refused the connection; a load balancer would use another one.
    :ivar executions: the ``execution`` field of each error response.
    :ivar codes: the ``code`` field of each error response.
    """

    kind: str
    content: str
    complete: bool = False
    mismatched: bool = False
    broken_off: bool = False
    no_response: bool = False
    unreachable: bool = False
    executions: list[str] = field(default_factory=list)
    codes: list[str] = field(default_factory=list)


def uuid7() -> str:
    """Create an idempotency key that contains the current time."""
    created_ms = time.time_ns() // 1_000_000
    return str(uuid.UUID(int=created_ms << 80 | 7 << 76 | 2 << 62 | random.getrandbits(60)))


class Load:
    """Makes calls from several threads until it is stopped.

    :param entries: called in turn.
    :param tokens: length of model responses.
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
        """Start the threads."""
        for thread in self._threads:
            thread.start()
        return self

    def stop(self) -> None:
        """Make no new calls."""
        self._stop.set()

    def finish(self) -> list[Outcome]:
        """Make no new calls, wait for those in flight and return all outcomes."""
        self.stop()
        for thread in self._threads:
            thread.join()
        return self.outcomes

    def complete_count(self) -> int:
        """Count the complete responses so far."""
        return sum(outcome.complete for outcome in self.outcomes)

    def _run(self) -> None:
        while not self._stop.is_set():
            number = next(self._numbers)
            outcome = Outcome(self._kinds[number % len(self._kinds)], f"call-{number:06d}")
            self._call(number, outcome)
            self.outcomes.append(outcome)

    def _call(self, number: int, outcome: Outcome) -> None:
        entry = self._entries[number % len(self._entries)]
        if outcome.kind in (STREAM, NON_STREAMED):
            self._call_model(entry, outcome)
            return
        key = uuid7() if outcome.kind == KEYED_ORDER else ""
        attempts = _KEYED_ATTEMPTS if key else 1
        for attempt in range(attempts):
            self._call_order(self._entries[(number + attempt) % len(self._entries)], outcome, key)
            if outcome.complete:
                return
            self._stop.wait(0.2)

    def _call_model(self, entry: Node, outcome: Outcome) -> None:
        stream = outcome.kind == STREAM
        body = chat_body(outcome.content, stream, max_tokens=self._tokens)
        expected = b"".join(stream_chunks(body)) if stream else response_body(body)
        received = b""
        try:
            response = self._fleet.call(entry, body=body, preload_content=False)
            for piece in response.stream():
                received += piece
        except urllib3.exceptions.HTTPError as error:
            # What a stream that breaks off has brought is a part of the response, without an error.
            outcome.mismatched = not expected.startswith(received)
            outcome.broken_off = stream and bool(received)
            if not outcome.broken_off:
                _record_no_response(outcome, error)
            return
        if response.status != 200:
            _record_error(outcome, received)
            return
        outcome.complete = received == expected
        outcome.mismatched = not outcome.complete

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
            _record_no_response(outcome, error)
            return
        if response.status == 200:
            outcome.no_response = False
            outcome.unreachable = False
            outcome.complete = True
            outcome.mismatched = json.loads(response.data)["got"] != outcome.content
        else:
            _record_error(outcome, response.data)


def _record_no_response(outcome: Outcome, error: Exception) -> None:
    if isinstance(error, urllib3.exceptions.NewConnectionError):
        outcome.unreachable = True
    else:
        outcome.no_response = True


def _record_error(outcome: Outcome, content: bytes) -> None:
    error = json.loads(content)["error"]
    outcome.executions.append(error["execution"])
    outcome.codes.append(error["code"])


@dataclass(frozen=True)
class Audit:
    """Numbers of calls, by their outcome and by the invariant that they violate.

    :ivar duplicates: non-idempotent calls that ran more than once.
    :ivar mismatched: responses with bytes of another call, or truncated without an error.
    :ivar no_response: calls whose connection failed before the end of a response.
    :ivar unreachable: calls whose connection the entry refused.
    :ivar false_not_run: calls that ran although every error said that they did not.
    :ivar complete_not_run: orders with a complete response that no endpoint ran.
    """

    calls: int
    complete: int
    duplicates: int
    mismatched: int
    no_response: int
    unreachable: int
    false_not_run: int
    complete_not_run: int

    @property
    def violations(self) -> int:
        """Violations under any fault; only some faults allow a call without a response."""
        return self.duplicates + self.mismatched + self.false_not_run + self.complete_not_run


def audit(outcomes: Sequence[Outcome], runs: Sequence[Document]) -> Audit:
    """Compare the callers' responses with the endpoints' runs."""
    run_counts: Counter[str] = Counter()
    for run in runs:
        for call_id in _call_ids(run["content"]):
            run_counts[call_id] += 1
    orders = [item for item in outcomes if item.kind in (ORDER, KEYED_ORDER)]
    return Audit(
        calls=len(outcomes),
        complete=sum(item.complete for item in outcomes),
        duplicates=sum(run_counts[item.content] > 1 for item in orders),
        mismatched=sum(item.mismatched for item in outcomes),
        no_response=sum(item.no_response for item in outcomes),
        unreachable=sum(item.unreachable for item in outcomes),
        false_not_run=sum(_is_false_not_run(item, run_counts[item.content]) for item in outcomes),
        complete_not_run=sum(item.complete and not run_counts[item.content] for item in orders),
    )


def _is_false_not_run(outcome: Outcome, runs: int) -> bool:
    if outcome.complete or outcome.no_response or not outcome.executions:
        return False
    return runs > 0 and all(execution == "not_run" for execution in outcome.executions)


def _call_ids(content: str) -> list[str]:
    start = content.find("call-")
    return [content[start : start + 11]] if start >= 0 else []
