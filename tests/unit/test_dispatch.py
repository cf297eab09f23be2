"""Tests of dispatching one request: attempts, grants, retries and responses."""

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
from tests.lib.entry_fakes import FakeLink, routed_request

SUCCESS = {"reserve": "grant", "body": "head part end"}


def queued_events(sink: ResponseSink) -> list[RelayedEvent]:
    """Return all queued events."""
    events = []
    while (event := sink.get_nowait()) is not None:
        events.append(event)
    return events


class DispatcherTest(unittest.TestCase):
    """Each case scripts the links of a request and checks what its caller gets.

    The cases guard against retrying a request that is not idempotent and may have run, and
    against failing one that can be retried.
    """

    def dispatch(
        self,
        links: list[FakeLink],
        fanout: int = 1,
        health: EndpointHealth | None = None,
        **fields: Any,
    ) -> tuple[list[RelayedEvent], ResponseSink]:
        key_router = SimpleNamespace(link_for=self._route_to_first(links))
        budget = RetryBudget()
        # The entry has run for a while.
        budget._credited_at -= 1.0
        usable = cast(list[SideLink], links)
        dispatcher = Dispatcher(
            Candidates(lambda: usable, EndpointHealth(), VMView()),
            cast(Any, SimpleNamespace(choose=lambda request, chosen, count: chosen[:count])),
            cast(KeyRouter, key_router),
            health or EndpointHealth(),
            budget,
            fanout,
            fanout,
        )
        sink = ResponseSink()
        asyncio.run(dispatcher.serve(routed_request(**fields), sink))
        return queued_events(sink), sink

    @staticmethod
    def _route_to_first(links: list[FakeLink]) -> Any:
        async def link_for(request: RoutedRequest) -> Any:
            del request
            return links[0]

        return link_for

    @parameterized.expand(
        [
            ("success", [SUCCESS], {}, None, None),
            ("full", [{"reserve": "full"}], {}, "overloaded", "not_run"),
            ("lost_before_grant", [{"reserve": "lost"}, SUCCESS], {}, None, None),
            ("draining_retried", [{"reserve": "draining"}, SUCCESS], {}, None, None),
            ("lease_expired", [{"reserve": "grant", "body": "expired"}, SUCCESS], {}, None, None),
            (
                "crashed_idempotent",
                [{"reserve": "grant", "body": "broken"}, SUCCESS],
                {},
                None,
                None,
            ),
            (
                "crashed_non_idempotent",
                [{"reserve": "grant", "body": "broken"}, SUCCESS],
                {"class_name": "order"},
                "endpoint_failed",
                "may_have_run",
            ),
            (
                "not_run_non_idempotent",
                [{"reserve": "grant", "body": "not_run"}, SUCCESS],
                {"class_name": "order"},
                None,
                None,
            ),
            (
                "lost_non_idempotent",
                [{"reserve": "grant", "body": "lost"}, SUCCESS],
                {"class_name": "order"},
                "endpoint_unreachable",
                "may_have_run",
            ),
            (
                "interrupted_while_streaming",
                [{"reserve": "grant", "body": "head part broken"}, SUCCESS],
                {},
                "endpoint_failed",
                "may_have_run",
            ),
            (
                "interrupted_while_buffered",
                [{"reserve": "grant", "body": "head part broken"}, SUCCESS],
                {"streaming": False},
                None,
                None,
            ),
            (
                "truncated",
                [{"reserve": "grant", "body": "head end"}],
                {},
                "endpoint_failed",
                "ran",
            ),
            (
                "key_in_doubt",
                [{"reserve": "doubt"}, SUCCESS],
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
                "server_error_retried",
                [{"reserve": "grant", "body": "sick part end"}, SUCCESS],
                {},
                None,
                None,
            ),
            (
                "invalid_status_retried",
                [{"reserve": "grant", "body": "odd part end"}, SUCCESS],
                {},
                None,
                None,
            ),
            (
                "status_zero_while_streaming",
                [{"reserve": "grant", "body": "zero part end"}, SUCCESS],
                {},
                None,
                None,
            ),
            (
                "invalid_status_of_what_may_not_be_repeated",
                [{"reserve": "grant", "body": "odd part end"}, SUCCESS],
                {"class_name": "order"},
                "endpoint_failed",
                "may_have_run",
            ),
            (
                "lease_expired_at_the_only_endpoint",
                [{"reserve": "grant", "body": "expired"}],
                {},
                "no_endpoint",
                "not_run",
            ),
            ("past_deadline", [{}], {"deadline": 1.0}, "deadline_exceeded", "not_run"),
        ]
    )
    def test_outcome_by_fault(
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
            chunks = [event.content for event in events if isinstance(event, RelayedChunk)]
            self.assertEqual(b"answer", b"".join(chunks))
            heads = [event.status for event in events if isinstance(event, RelayedHead)]
            self.assertEqual([200], heads)
        else:
            self.assertIsInstance(last, RequestFailure)
            assert isinstance(last, RequestFailure)
            self.assertEqual((code, execution), (last.code.value, last.execution.value))
            self.assertGreaterEqual(last.retry_after_s, 0)

    def test_server_error_without_retry_is_relayed(self) -> None:
        script = {"reserve": "grant", "body": "sick part end"}
        links = [FakeLink("engine-0", **script), FakeLink("engine-1", **SUCCESS)]
        events, _ = self.dispatch(links, class_name="order")
        heads = [event.status for event in events if isinstance(event, RelayedHead)]
        self.assertEqual(([503], RelayedEnd()), (heads, events[-1]))
        self.assertEqual([], links[1].sent)

    @parameterized.expand([("asks_for_a_pause", "pausing", []), ("fails", "sick", ["engine-0"])])
    def test_an_endpoint_that_asks_for_a_pause_is_not_ejected(
        self, _: str, response: str, ejected: list[str]
    ) -> None:
        health = EndpointHealth()
        for _number in range(3):
            links = [FakeLink("engine-0", reserve="grant", body=f"{response} part end")]
            self.dispatch([*links, FakeLink("engine-1", **SUCCESS)], health=health)
        self.assertEqual(ejected, health.ejected_endpoints())

    def test_first_grant_wins_and_other_reservations_are_withdrawn(self) -> None:
        links = [
            FakeLink("engine-0"),
            FakeLink("engine-1", **SUCCESS),
            FakeLink("engine-2", **SUCCESS),
        ]
        events, _ = self.dispatch(links, fanout=3)
        self.assertEqual(RelayedEnd(), events[-1])
        self.assertEqual(["reserve", "withdraw"], links[0].sent)
        self.assertEqual(["reserve", "body", "acknowledge"], links[1].sent)
        self.assertEqual(["reserve", "withdraw"], links[2].sent)


class AttemptTest(unittest.TestCase):
    def test_duplicate_out_of_order_and_unbound_frames_are_dropped(self) -> None:
        sink = ResponseSink()
        attempt = SideAttempt(1, routed_request(), sink)
        bound, unbound = (cast(SideLink, FakeLink(name)) for name in ("a", "b"))
        attempt.bind(bound)
        for link, frame in (
            (unbound, pb.Frame(head=pb.Head(status=500))),
            (bound, pb.Frame(head=pb.Head(status=200))),
            (bound, pb.Frame(head=pb.Head(status=200))),
            (bound, pb.Frame(delta=pb.Delta(offset=0, content=b"abc"))),
            (bound, pb.Frame(delta=pb.Delta(offset=0, content=b"abc"))),
            (bound, pb.Frame(delta=pb.Delta(offset=9, content=b"xyz"))),
            (unbound, pb.Frame(delta=pb.Delta(offset=3, content=b"bad"))),
            (bound, pb.Frame(delta=pb.Delta(offset=3, content=b"def"))),
        ):
            attempt.receive(link, frame)
        chunks = [event.content for event in queued_events(sink) if isinstance(event, RelayedChunk)]
        self.assertEqual((b"abcdef", 5), (b"".join(chunks), attempt.dropped_frames))


class ErrorResponseTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("retry", FailureCode.OVERLOADED, Execution.NOT_RUN, 0.7, "1", None),
            ("doubt", FailureCode.ENDPOINT_FAILED, Execution.MAY_HAVE_RUN, 1.0, "1", "false"),
            ("final", FailureCode.UNKNOWN_MODEL, Execution.NOT_RUN, 0.0, None, None),
        ]
    )
    def test_retry_headers(
        self, _: str, code: Any, execution: Any, after_s: float, retry: Any, should: Any
    ) -> None:
        failure = RequestFailure(code, "m", execution, after_s)
        _status, headers, _content = responses.error_response(failure, "req-1")
        headers_by_name = dict(headers)
        self.assertEqual(
            (retry, should),
            (headers_by_name.get("Retry-After"), headers_by_name.get("X-Should-Retry")),
        )


if __name__ == "__main__":
    unittest.main()
