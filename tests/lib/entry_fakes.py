"""Fake requests and links for the tests of an entry."""

from typing import Any, cast

from pearshed._internal.entry.attempt import LinkLossReason
from pearshed._internal.entry.link import SideAttempt, SideLink, SideLoad
from pearshed._internal.models.records import Endpoint
from pearshed._internal.models.requests import ForwardedCall, RoutedRequest
from pearshed._internal.peers import peer_pb2 as pb
from pearshed._internal.timers import clock
from tests.lib import records
from tests.lib.fakes import catalogue

CATALOGUE = catalogue(
    [
        *records.base_records(),
        records.customer("small", "k1", ["chat"], max_in_flight=4),
        records.customer("heavy", "k2", ["chat"], weight=3.0),
    ]
)


def routed_request(
    class_name: str = "chat", deadline: float | None = None, **fields: Any
) -> RoutedRequest:
    """Create a routed request with default values."""
    request_class = CATALOGUE.classes[class_name]
    values: dict[str, Any] = {
        "request_id": "req-1",
        "customer": CATALOGUE.customers["demo"],
        "request_class": request_class,
        "tier": CATALOGUE.tier_of(request_class),
        "service": "writing",
        "call": ForwardedCall("POST", "/x", (), b"{}"),
        "idempotent": request_class.idempotent,
        "idempotency_key": "",
        "streaming": True,
        "deadline": clock.now() + 60 if deadline is None else deadline,
        "fingerprint": 1,
        "prefix_hash": 0,
    }
    return RoutedRequest(**{**values, **fields})


_RETRY_AFTER = pb.Header(name="Retry-After", value="2")


class FakeLink:
    """A link that responds to each frame of an attempt as scripted.

    :param script: space-separated response steps by kind of sent frame.
    """

    def __init__(self, name: str, data_centre: str = "olympia", **script: str) -> None:
        document = records.endpoint(name, "writing", 1, data_centre=data_centre)
        self.endpoint: Endpoint = catalogue([document]).endpoints[name]
        self.load = SideLoad(slots=8)
        self.connected = True
        self.attempt_count = 0
        self.sent: list[str] = []
        self._script = script

    def open_attempt(self, attempt: SideAttempt, frame: pb.Frame) -> None:
        attempt.add_link(cast(SideLink, self))
        self.send(attempt, frame)

    def close_attempt(self, attempt: SideAttempt, frame: pb.Frame | None = None) -> None:
        attempt.remove_link(cast(SideLink, self))
        if frame is not None:
            self.sent.append(str(frame.WhichOneof("kind")))

    def send(self, attempt: SideAttempt, frame: pb.Frame) -> None:
        kind = str(frame.WhichOneof("kind"))
        self.sent.append(kind)
        for step in self._script.get(kind, "").split():
            self._run_step(attempt, step)

    def _run_step(self, attempt: SideAttempt, step: str) -> None:
        link = cast(SideLink, self)
        complete_end = {"complete": True, "length": 6, "execution": pb.EXECUTION_RAN}
        if step == "lost":
            attempt.remove_link(link)
            attempt.handle_link_loss(link, LinkLossReason.BROKEN)
            return
        fields_by_step: dict[str, dict[str, Any]] = {
            "grant": {"grant": pb.Grant()},
            "head": {"head": pb.Head(status=200)},
            "sick": {"head": pb.Head(status=503)},
            "odd": {"head": pb.Head(status=600)},
            "zero": {"head": pb.Head(status=0)},
            "pausing": {"head": pb.Head(status=503, headers=[_RETRY_AFTER])},
            "part": {"delta": pb.Delta(offset=0, content=b"answer")},
            "end": {"end": pb.End(**complete_end)},  # type: ignore[arg-type]
            "not_run": {"end": pb.End(execution=pb.EXECUTION_NOT_RUN)},
            "broken": {"end": pb.End(execution=pb.EXECUTION_MAY_HAVE_RUN)},
            "full": {"refuse": pb.Refuse(reason=pb.REFUSAL_QUEUE_FULL, retry_after_ms=700)},
            "draining": {"refuse": pb.Refuse(reason=pb.REFUSAL_DRAINING)},
            "expired": {"refuse": pb.Refuse(reason=pb.REFUSAL_LEASE_EXPIRED)},
            "doubt": {"refuse": pb.Refuse(reason=pb.REFUSAL_KEY_IN_DOUBT, may_have_run=True)},
        }
        attempt.receive(link, pb.Frame(attempt=attempt.number, **fields_by_step[step]))
