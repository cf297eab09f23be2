"""One request of an entry: attempts, grants, retries, answers."""

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any, cast

from parameterized import parameterized

from pearshed._internal.entry import responses
from pearshed._internal.entry.dispatcher import Dispatcher
from pearshed._internal.entry.health import EndpointHealth
from pearshed._internal.entry.key_router import KeyRouter
from pearshed._internal.entry.link import SideAttempt, SideLink
from pearshed._internal.entry.placement import Candidates
from pearshed._internal.entry.response_sink import ResponseSink
from pearshed._internal.entry.retry_budget import RetryBudget
from pearshed._internal.membership.vm_view import VMView
from pearshed._internal.models.outcomes import (
    Execution,
    FailureCode,
    RelayedChunk,
    RelayedEnd,
    RelayedEvent,
    RelayedHead,
    RequestFailure,
)
from pearshed._internal.models.requests import RoutedRequest
from pearshed._internal.peers import peer_pb2 as pb
from tests.lib.entry_fakes import FakeLink, routed

GOOD = {"reserve": "grant", "body": "head part end"}


def events_of(sink: ResponseSink) -> list[RelayedEvent]:
    """Take all events that are ready."""
    events = []
    while (event := sink.get_nowait()) is not None:
        events.append(event)
    return events


class DispatcherTest(unittest.TestCase):
    """Fault cases of one request: what its links do, and what the caller gets."""

    def dispatch(
        self, links: list[FakeLink], fanout: int = 1, **fields: Any
    ) -> tuple[list[RelayedEvent], ResponseSink]:
        key_router = SimpleNamespace(link_for=self._owner_link(links))
        usable = cast(list[SideLink], links)
        dispatcher = Dispatcher(
            Candidates(lambda: usable, EndpointHealth(), VMView()),
            cast(Any, SimpleNamespace(choose=lambda request, chosen, count: chosen[:count])),
            cast(KeyRouter, key_router),
            EndpointHealth(),
            RetryBudget(),
            fanout,
            fanout,
        )
        sink = ResponseSink()
        asyncio.run(dispatcher.serve(routed(**fields), sink))
        return events_of(sink), sink

    @staticmethod
    def _owner_link(links: list[FakeLink]) -> Any:
        async def link_for(request: RoutedRequest) -> Any:
            del request
            return links[0]

        return link_for

    @parameterized.expand(
        [
            ("good", [GOOD], {}, None, None),
            ("full", [{"reserve": "full"}], {}, "overloaded", "not_run"),
            ("lost_before_grant", [{"reserve": "lost"}, GOOD], {}, None, None),
            ("draining_elsewhere", [{"reserve": "draining"}, GOOD], {}, None, None),
            ("lease_expired", [{"reserve": "grant", "body": "expired"}, GOOD], {}, None, None),
            ("crashed_idempotent", [{"reserve": "grant", "body": "broken"}, GOOD], {}, None, None),
            (
                "crashed_once_only",
                [{"reserve": "grant", "body": "broken"}, GOOD],
                {"class_name": "order"},
                "endpoint_failed",
                "may_have_run",
            ),
            (
                "not_run_once_only",
                [{"reserve": "grant", "body": "not_run"}, GOOD],
                {"class_name": "order"},
                None,
                None,
            ),
            (
                "lost_once_only",
                [{"reserve": "grant", "body": "lost"}, GOOD],
                {"class_name": "order"},
                "endpoint_unreachable",
                "may_have_run",
            ),
            (
                "cut_in_the_middle",
                [{"reserve": "grant", "body": "head part broken"}, GOOD],
                {},
                "endpoint_failed",
                "may_have_run",
            ),
            (
                "cut_in_the_middle_but_held_back",
                [{"reserve": "grant", "body": "head part broken"}, GOOD],
                {"streaming": False},
                None,
                None,
            ),
            (
                "short_answer",
                [{"reserve": "grant", "body": "head end"}],
                {},
                "endpoint_failed",
                "ran",
            ),
            (
                "key_in_doubt",
                [{"reserve": "doubt"}, GOOD],
                {"class_name": "order", "idempotency_key": "demo/k"},
                "idempotency_key_in_doubt",
                "may_have_run",
            ),
            (
                "key_replayed",
                [{"reserve": "head part end"}],
                {"class_name": "order", "idempotency_key": "demo/k"},
                None,
                None,
            ),
            (
                "error_elsewhere",
                [{"reserve": "grant", "body": "sick part end"}, GOOD],
                {},
                None,
                None,
            ),
            (
                "lease_expired_at_the_only_one",
                [{"reserve": "grant", "body": "expired"}],
                {},
                "no_endpoint",
                "not_run",
            ),
            ("past_deadline", [{}], {"deadline": 1.0}, "deadline_exceeded", "not_run"),
        ]
    )
    def test_faults(
        self,
        _: str,
        scripts: list[dict[str, str]],
        fields: dict[str, Any],
        code: str | None,
        execution: str | None,
    ) -> None:
        links = [FakeLink(f"engine-{number}", **script) for number, script in enumerate(scripts)]
        events, _sink = self.dispatch(links, **fields)
        last = events[-1]
        if code is None:
            self.assertEqual(RelayedEnd(), last)
            parts = [event.content for event in events if isinstance(event, RelayedChunk)]
            self.assertEqual(b"answer", b"".join(parts))
            self.assertEqual(1, sum(isinstance(event, RelayedHead) for event in events))
        else:
            self.assertIsInstance(last, RequestFailure)
            assert isinstance(last, RequestFailure)
            self.assertEqual((code, execution), (last.code.value, last.execution.value))
            self.assertGreaterEqual(last.retry_after_s, 0)

    def test_an_error_that_may_not_be_repeated_is_the_endpoints_own(self) -> None:
        script = {"reserve": "grant", "body": "sick part end"}
        links = [FakeLink("engine-0", **script), FakeLink("engine-1", **GOOD)]
        events, _ = self.dispatch(links, class_name="order")
        heads = [event.status for event in events if isinstance(event, RelayedHead)]
        self.assertEqual(([503], RelayedEnd()), (heads, events[-1]))
        self.assertEqual([], links[1].sent)

    def test_the_first_grant_wins_and_the_others_are_withdrawn(self) -> None:
        links = [FakeLink("engine-0"), FakeLink("engine-1", **GOOD), FakeLink("engine-2", **GOOD)]
        events, _ = self.dispatch(links, fanout=3)
        self.assertEqual(RelayedEnd(), events[-1])
        self.assertEqual(["reserve", "withdraw"], links[0].sent)
        self.assertEqual(["reserve", "body", "acknowledge"], links[1].sent)
        self.assertEqual(["reserve", "withdraw"], links[2].sent)


class AttemptTest(unittest.TestCase):
    def test_late_foreign_and_crossed_frames_are_dropped_and_counted(self) -> None:
        sink = ResponseSink()
        attempt = SideAttempt(1, routed(), sink)
        own, foreign = (cast(SideLink, FakeLink(name)) for name in ("a", "b"))
        attempt.bind(own)
        for link, frame in (
            (foreign, pb.Frame(head=pb.Head(status=500))),
            (own, pb.Frame(head=pb.Head(status=200))),
            (own, pb.Frame(head=pb.Head(status=200))),
            (own, pb.Frame(delta=pb.Delta(offset=0, content=b"abc"))),
            (own, pb.Frame(delta=pb.Delta(offset=0, content=b"abc"))),
            (own, pb.Frame(delta=pb.Delta(offset=9, content=b"xyz"))),
            (foreign, pb.Frame(delta=pb.Delta(offset=3, content=b"bad"))),
            (own, pb.Frame(delta=pb.Delta(offset=3, content=b"def"))),
        ):
            attempt.receive(link, frame)
        parts = [event.content for event in events_of(sink) if isinstance(event, RelayedChunk)]
        self.assertEqual((b"abcdef", 5), (b"".join(parts), attempt.dropped_frames))


class AnswerFormTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("retry", FailureCode.OVERLOADED, Execution.NOT_RUN, 0.7, "1", None),
            ("doubt", FailureCode.ENDPOINT_FAILED, Execution.MAY_HAVE_RUN, 1.0, "1", "false"),
            ("final", FailureCode.UNKNOWN_MODEL, Execution.NOT_RUN, 0.0, None, None),
        ]
    )
    def test_headers_say_when_to_come_back(
        self, _: str, code: Any, execution: Any, after_s: float, retry: Any, should: Any
    ) -> None:
        failure = RequestFailure(code, "m", execution, after_s)
        _status, headers, _content = responses.error_response(failure, "req-1")
        found = dict(headers)
        self.assertEqual((retry, should), (found.get("Retry-After"), found.get("X-Should-Retry")))

    def test_a_broken_event_is_closed_before_the_error(self) -> None:
        failure = RequestFailure(FailureCode.ENDPOINT_FAILED, "m")
        self.assertTrue(responses.error_event(failure, "r", b'{"').startswith(b"\n\ndata: "))
        self.assertTrue(responses.error_event(failure, "r", b"\n\n").startswith(b"data: "))


if __name__ == "__main__":
    unittest.main()
