"""The decisions of an entry: limits, placement, health, retries, attempts, answers."""

import asyncio
import random
import unittest
from types import SimpleNamespace
from typing import Any, cast

from parameterized import parameterized
from returns.pipeline import is_successful

from pearshed._internal.entry import answers
from pearshed._internal.entry.admission import Admission
from pearshed._internal.entry.attempt import Attempt, LinkLoss
from pearshed._internal.entry.dispatcher import Dispatcher
from pearshed._internal.entry.health import EndpointHealth
from pearshed._internal.entry.homes import KeyHomes
from pearshed._internal.entry.link import SideLink, SideLoad
from pearshed._internal.entry.placement import Candidates, SampledPlacement
from pearshed._internal.entry.retry_budget import RetryBudget
from pearshed._internal.entry.sink import AnswerSink
from pearshed._internal.membership.subset import SubsetChooser, endpoints_without_list
from pearshed._internal.membership.vm_view import VMView
from pearshed._internal.models.outcomes import (
    AnswerEnd,
    AnswerEvent,
    AnswerHead,
    AnswerPart,
    Execution,
    FailureCode,
    RequestFailure,
)
from pearshed._internal.models.records import Endpoint
from pearshed._internal.models.requests import Call, RoutedRequest
from pearshed._internal.peers import peer_pb2 as pb
from pearshed._internal.timers import clock
from tests.lib import records
from tests.lib.fakes import FakeClock, catalogue, change

CATALOGUE = catalogue(
    [
        *records.base_records(),
        records.customer("small", "k1", ["chat"], max_in_flight=4),
        records.customer("heavy", "k2", ["chat"], weight=3.0),
    ]
)


def routed(class_name: str = "chat", deadline: float | None = None, **fields: Any) -> RoutedRequest:
    """Make a routed request."""
    request_class = CATALOGUE.classes[class_name]
    values: dict[str, Any] = {
        "request_id": "req-1",
        "customer": CATALOGUE.customers["demo"],
        "request_class": request_class,
        "tier": CATALOGUE.tier_of(request_class),
        "service": "writing",
        "call": Call("POST", "/x", (), b"{}"),
        "idempotent": request_class.idempotent,
        "idempotency_key": "",
        "streaming": True,
        "deadline": clock.now() + 60 if deadline is None else deadline,
        "fingerprint": 1,
        "prefix": 0,
    }
    return RoutedRequest(**{**values, **fields})


def events_of(sink: AnswerSink) -> list[AnswerEvent]:
    """Take all events that are ready."""
    events = []
    while (event := sink.take_ready()) is not None:
        events.append(event)
    return events


class FakeLink:
    """Answers each frame of an attempt from a script.

    :ivar script: what becomes of reservations and bodies, by kind of frame.
    """

    def __init__(self, name: str, data_centre: str = "olympia", **script: str) -> None:
        document = records.endpoint(name, "writing", 1, data_centre=data_centre)
        self.endpoint: Endpoint = catalogue([document]).endpoints[name]
        self.load = SideLoad(slots=8)
        self.connected = True
        self.attempts = 0
        self.sent: list[str] = []
        self._script = script

    def open_attempt(self, attempt: Attempt, frame: pb.Frame) -> None:
        attempt.opened(cast(SideLink, self))
        self.send(attempt, frame)

    def close_attempt(self, attempt: Attempt, frame: pb.Frame | None = None) -> None:
        attempt.closed(cast(SideLink, self))
        if frame is not None:
            self.sent.append(str(frame.WhichOneof("kind")))

    def send(self, attempt: Attempt, frame: pb.Frame) -> None:
        kind = str(frame.WhichOneof("kind"))
        self.sent.append(kind)
        for step in self._script.get(kind, "").split():
            self._play(attempt, step)

    def _play(self, attempt: Attempt, step: str) -> None:
        link = cast(SideLink, self)
        ended = {"complete": True, "length": 6, "execution": pb.EXECUTION_RAN}
        if step == "lost":
            attempt.closed(link)
            attempt.lose(link, LinkLoss.BROKEN)
            return
        kinds: dict[str, dict[str, Any]] = {
            "grant": {"grant": pb.Grant()},
            "head": {"head": pb.Head(status=200)},
            "sick": {"head": pb.Head(status=503)},
            "part": {"delta": pb.Delta(offset=0, content=b"answer")},
            "end": {"end": pb.End(**ended)},  # type: ignore[arg-type]
            "not_run": {"end": pb.End(execution=pb.EXECUTION_NOT_RUN)},
            "broken": {"end": pb.End(execution=pb.EXECUTION_MAY_HAVE_RUN)},
            "full": {"refuse": pb.Refuse(reason=pb.REFUSAL_QUEUE_FULL, retry_after_ms=700)},
            "draining": {"refuse": pb.Refuse(reason=pb.REFUSAL_DRAINING)},
            "expired": {"refuse": pb.Refuse(reason=pb.REFUSAL_LEASE_EXPIRED)},
            "doubt": {"refuse": pb.Refuse(reason=pb.REFUSAL_KEY_IN_DOUBT, may_have_run=True)},
        }
        attempt.receive(link, pb.Frame(attempt=attempt.number, **kinds[step]))


GOOD = {"reserve": "grant", "body": "head part end"}


class DispatcherTest(unittest.TestCase):
    """Fault cases of one request: what its links do, and what the caller gets."""

    def dispatch(
        self, links: list[FakeLink], fanout: int = 1, **fields: Any
    ) -> tuple[list[AnswerEvent], AnswerSink]:
        homes = SimpleNamespace(link_for=self._home(links))
        usable = cast(list[SideLink], links)
        dispatcher = Dispatcher(
            Candidates(lambda: usable, EndpointHealth(), VMView()),
            cast(Any, SimpleNamespace(choose=lambda request, chosen, count: chosen[:count])),
            cast(KeyHomes, homes),
            EndpointHealth(),
            RetryBudget(),
            fanout,
            fanout,
        )
        sink = AnswerSink()
        asyncio.run(dispatcher.serve(routed(**fields), sink))
        return events_of(sink), sink

    @staticmethod
    def _home(links: list[FakeLink]) -> Any:
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
            self.assertEqual(AnswerEnd(), last)
            parts = [event.content for event in events if isinstance(event, AnswerPart)]
            self.assertEqual(b"answer", b"".join(parts))
            self.assertEqual(1, sum(isinstance(event, AnswerHead) for event in events))
        else:
            self.assertIsInstance(last, RequestFailure)
            assert isinstance(last, RequestFailure)
            self.assertEqual((code, execution), (last.code.value, last.execution.value))
            self.assertGreaterEqual(last.retry_after_s, 0)

    def test_an_error_that_may_not_be_repeated_is_the_endpoints_own(self) -> None:
        script = {"reserve": "grant", "body": "sick part end"}
        links = [FakeLink("engine-0", **script), FakeLink("engine-1", **GOOD)]
        events, _ = self.dispatch(links, class_name="order")
        heads = [event.status for event in events if isinstance(event, AnswerHead)]
        self.assertEqual(([503], AnswerEnd()), (heads, events[-1]))
        self.assertEqual([], links[1].sent)

    def test_the_first_grant_wins_and_the_others_are_withdrawn(self) -> None:
        links = [FakeLink("engine-0"), FakeLink("engine-1", **GOOD), FakeLink("engine-2", **GOOD)]
        events, _ = self.dispatch(links, fanout=3)
        self.assertEqual(AnswerEnd(), events[-1])
        self.assertEqual(["reserve", "withdraw"], links[0].sent)
        self.assertEqual(["reserve", "body", "acknowledge"], links[1].sent)
        self.assertEqual(["reserve", "withdraw"], links[2].sent)


class AttemptTest(unittest.TestCase):
    def test_late_foreign_and_crossed_frames_are_dropped_and_counted(self) -> None:
        sink = AnswerSink()
        attempt = Attempt(1, routed(), sink)
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
        parts = [event.content for event in events_of(sink) if isinstance(event, AnswerPart)]
        self.assertEqual((b"abcdef", 5), (b"".join(parts), attempt.dropped))


class AdmissionTest(unittest.TestCase):
    def admission(self, entries: int = 1, max_requests: int = 20) -> Admission:
        return Admission(max_requests, lambda: CATALOGUE, lambda: entries)

    def admit(self, admission: Admission, customer: str, class_name: str = "chat") -> Any:
        request_class = CATALOGUE.classes[class_name]
        result = admission.admit(CATALOGUE.customers[customer], CATALOGUE.tier_of(request_class))
        return None if is_successful(result) else result.failure().code

    def test_lower_tiers_leave_room_for_the_urgent(self) -> None:
        admission = self.admission()
        counts = {}
        for class_name in ("draft", "chat", "notice"):
            while self.admit(admission, "demo", class_name) is None:
                counts[class_name] = admission.in_flight
        self.assertEqual({"draft": 14, "chat": 17, "notice": 20}, counts)

    @parameterized.expand([("alone", 1, 4), ("one_of_four", 4, 2), ("one_of_many", 100, 1)])
    def test_a_customers_limit_is_divided_among_entries(
        self, _: str, entries: int, expected: int
    ) -> None:
        admission = self.admission(entries)
        while self.admit(admission, "small") is None:
            pass
        self.assertEqual(expected, admission.in_flight)

    def test_a_flooding_customer_leaves_the_others_their_share(self) -> None:
        admission = self.admission(max_requests=100)
        while self.admit(admission, "demo") is None:
            pass
        flooded = admission.in_flight
        heavy = 0
        while self.admit(admission, "heavy") is None:
            heavy += 1
        self.assertLess(flooded, 86)
        self.assertIsNone(self.admit(admission, "demo", "notice"))
        for _ in range(flooded):
            admission.release(CATALOGUE.customers["demo"])
        self.assertEqual(heavy + 1, admission.in_flight)

    def test_a_closed_entry_refuses(self) -> None:
        admission = self.admission()
        admission.close()
        self.assertEqual(FailureCode.DRAINING, self.admit(admission, "demo"))


class PlacementTest(unittest.TestCase):
    def test_the_least_pressed_of_a_sample_and_the_warm_one(self) -> None:
        links = [FakeLink(f"engine-{number}") for number in range(8)]
        for number, link in enumerate(links):
            link.load = SideLoad(slots=8, running=number)
        policy = SampledPlacement("olympia", random.Random(1))
        usable = cast(list[SideLink], links)
        best = policy.choose(routed(), usable, 4)
        self.assertEqual(
            [link.endpoint.name for link in usable[:4]], [b.endpoint.name for b in best]
        )
        warm = [policy.choose(routed(prefix=5), usable, 2)[0] for _ in range(5)]
        self.assertEqual(1, len(set(warm)))
        cast(FakeLink, warm[0]).load = SideLoad(slots=8, running=8, queued=8)
        self.assertNotIn(warm[0], policy.choose(routed(prefix=5), usable, 2))

    @parameterized.expand(
        ["leaving", "draining", "disconnected", "unconfigured", "record", "ejected"]
    )
    def test_endpoints_that_get_no_work(self, how: str) -> None:
        links = [FakeLink("engine-0"), FakeLink("engine-1")]
        view, health = VMView(), EndpointHealth()
        if how == "leaving":
            view.apply(change(1, [records.vm("engine-0", "side", state="leaving")]))
        elif how == "draining":
            links[0].load = SideLoad(slots=8, draining=True)
        elif how == "unconfigured":
            links[0].load = SideLoad()
        elif how == "disconnected":
            links[0].connected = False
        elif how == "record":
            document = records.endpoint("engine-0", "writing", 1, draining=True)
            links[0].endpoint = catalogue([document]).endpoints["engine-0"]
        else:
            for _ in range(3):
                health.note_failure("engine-0")
        candidates = Candidates(lambda: cast(list[SideLink], links), health, view)
        usable = candidates.for_service("writing", frozenset())
        self.assertEqual(["engine-1"], [link.endpoint.name for link in usable])

    def test_an_ejected_endpoint_is_tried_again_by_one_request(self) -> None:
        time, health = FakeClock(self), EndpointHealth()
        for _ in range(3):
            health.note_failure("a")
        self.assertFalse(health.is_available("a"))
        time.advance(1.1)
        self.assertTrue(health.is_available("a"))
        health.note_start("a")
        self.assertFalse(health.is_available("a"))
        health.note_failure("a")
        time.advance(1.1)
        self.assertFalse(health.is_available("a"), "the second ejection is longer")
        time.advance(1.0)
        health.note_start("a")
        health.note_success("a")
        self.assertTrue(health.is_available("a"))

    def test_retries_stay_a_share_of_the_traffic(self) -> None:
        FakeClock(self)
        budget = RetryBudget()
        allowed = 0
        for _ in range(1000):
            budget.note_request()
            allowed += budget.try_spend()
        self.assertLessEqual(allowed, 0.1 * 1000 + 2)
        self.assertGreater(allowed, 90)


class SubsetTest(unittest.TestCase):
    """Forty entries and four hundred endpoints in four data centres, of two services."""

    ENTRIES = {f"entry-{number}": f"dc-{number % 4}" for number in range(40)}

    def setUp(self) -> None:
        documents = [
            records.endpoint(f"{service}-{number}", service, 1, data_centre=f"dc-{number % 4}")
            for service, count in (("large", 399), ("lone", 1))
            for number in range(count)
        ]
        self.groups = catalogue(documents).endpoints_by_service

    def choose(self, entries: dict[str, str]) -> dict[str, set[str]]:
        chooser = SubsetChooser(entries, 30)
        return {entry: set(chooser.endpoints_of(entry, self.groups)) for entry in entries}

    def test_every_endpoint_is_served_and_every_entry_has_its_part(self) -> None:
        links = self.choose(self.ENTRIES)
        served = [sum(name in chosen for chosen in links.values()) for name in self.names()]
        self.assertGreaterEqual(min(served), 3)
        sizes = [len(chosen) for chosen in links.values()]
        self.assertAlmostEqual(30, sum(sizes) / len(sizes), delta=2)
        self.assertLess(max(sizes), 60)
        self.assertTrue(all("lone-0" in chosen for chosen in links.values()))

    def test_half_of_an_endpoints_entries_are_near(self) -> None:
        links = self.choose(self.ENTRIES)
        near = far = 0
        for entry, chosen in links.items():
            for endpoint in self.groups["large"]:
                if endpoint.name in chosen:
                    near += endpoint.data_centre == self.ENTRIES[entry]
                    far += endpoint.data_centre != self.ENTRIES[entry]
        self.assertGreater(near, far)
        self.assertGreater(far, near / 3)

    def test_the_loss_of_a_data_centre_leaves_every_endpoint_served(self) -> None:
        left = {name: place for name, place in self.ENTRIES.items() if place != "dc-0"}
        links = self.choose(left)
        served = [sum(name in chosen for chosen in links.values()) for name in self.names()]
        self.assertGreaterEqual(min(served), 2)

    def test_an_entry_that_goes_moves_few_links(self) -> None:
        before = self.choose(self.ENTRIES)
        fewer = {name: place for name, place in self.ENTRIES.items() if name != "entry-7"}
        after = self.choose(fewer)
        new = sum(len(after[entry] - before[entry]) for entry in fewer)
        self.assertLessEqual(new, 2 * len(before["entry-7"]))

    def test_an_entry_that_knows_no_list_keeps_to_its_size(self) -> None:
        chosen = endpoints_without_list("entry-1", self.groups, 30)
        self.assertLessEqual(len(chosen), 31)
        self.assertIn("lone-0", chosen)

    def test_a_small_site_is_linked_fully(self) -> None:
        few = {"large": self.groups["large"][:20]}
        self.assertEqual(20, len(SubsetChooser({"e": "dc-0"}, 30).endpoints_of("e", few)))

    def names(self) -> list[str]:
        return [endpoint.name for group in self.groups.values() for endpoint in group]


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
        _status, headers, _content = answers.error_answer(failure, "req-1")
        found = dict(headers)
        self.assertEqual((retry, should), (found.get("Retry-After"), found.get("X-Should-Retry")))

    def test_a_broken_event_is_closed_before_the_error(self) -> None:
        failure = RequestFailure(FailureCode.ENDPOINT_FAILED, "m")
        self.assertTrue(answers.error_event(failure, "r", b'{"').startswith(b"\n\ndata: "))
        self.assertTrue(answers.error_event(failure, "r", b"\n\n").startswith(b"data: "))


if __name__ == "__main__":
    unittest.main()
