"""Constructors of the frames that processes exchange."""

from collections.abc import Iterable

from pearshed._internal.configuration.feed import Feed, FeedChange, FeedName
from pearshed._internal.models.outcomes import Execution
from pearshed._internal.models.requests import ForwardedCall
from pearshed._internal.peers import peer_pb2 as pb

PROTOCOL_VERSION = 1
_MILLISECONDS = 1000
_MICROSECONDS = 1_000_000
_LARGEST_AGE_MS = 2**32 - 1

_FEED_TO_WIRE = {FeedName.RECORDS: pb.FEED_RECORDS, FeedName.VMS: pb.FEED_VMS}
_FEED_FROM_WIRE = {wire: name for name, wire in _FEED_TO_WIRE.items()}
_EXECUTION_TO_WIRE = {
    Execution.NOT_RUN: pb.EXECUTION_NOT_RUN,
    Execution.MAY_HAVE_RUN: pb.EXECUTION_MAY_HAVE_RUN,
    Execution.RAN: pb.EXECUTION_RAN,
}
_EXECUTION_FROM_WIRE = {wire: execution for execution, wire in _EXECUTION_TO_WIRE.items()}


def hello(process: str, incarnation: str, data_centre: str, batch_s: float = 0.0) -> pb.Frame:
    """Make the first frame of a direction.

    :param batch_s: from an entry, how long parts of answers may wait for company, seconds.
    """
    return pb.Frame(
        hello=pb.Hello(
            process=process,
            incarnation=incarnation,
            protocol=PROTOCOL_VERSION,
            data_centre=data_centre,
            batch_us=round(batch_s * _MICROSECONDS),
        )
    )


def feed_state(feed: Feed) -> pb.Frame:
    """Tell a peer what this process has of a feed."""
    return pb.Frame(
        feed_state=pb.FeedState(
            feed=_FEED_TO_WIRE[feed.name],
            revision=feed.revision,
            confirmed_ago_ms=_age_ms(feed.confirmed_ago_s),
        )
    )


def feed_pull(feed: Feed) -> pb.Frame:
    """Ask a peer for what this process lacks of a feed."""
    return pb.Frame(feed_pull=pb.FeedPull(feed=_FEED_TO_WIRE[feed.name], after=feed.revision))


def feed_update(feed: Feed, after: int) -> pb.Frame:
    """Send a peer what it lacks of a feed."""
    return pb.Frame(
        feed_update=pb.FeedUpdate(
            feed=_FEED_TO_WIRE[feed.name],
            revision=feed.revision,
            documents=feed.documents_after(after),
            confirmed_ago_ms=_age_ms(feed.confirmed_ago_s),
        )
    )


def feed_name(wire: pb.Feed) -> FeedName | None:
    """Name the feed of a frame; nothing for a feed that this version does not know."""
    return _FEED_FROM_WIRE.get(wire)


def feed_change(update: pb.FeedUpdate) -> FeedChange:
    """Read the change that a peer sent."""
    return FeedChange(
        revision=update.revision,
        documents=tuple(update.documents),
        confirmed_ago_s=update.confirmed_ago_ms / _MILLISECONDS,
    )


def body(attempt: int, call: ForwardedCall) -> pb.Frame:
    """Make the frame that lets a granted request run."""
    return pb.Frame(
        attempt=attempt,
        body=pb.Body(
            method=call.method,
            target=call.target,
            headers=headers_to_wire(call.headers),
            content=call.content,
        ),
    )


def call_of(frame: pb.Body) -> ForwardedCall:
    """Read the call of a body frame."""
    return ForwardedCall(
        frame.method, frame.target, headers_from_wire(frame.headers), frame.content
    )


def refuse(
    attempt: int,
    reason: pb.RefusalReason,
    *,
    retry_after_s: float = 0.0,
    may_have_run: bool = False,
    detail: str = "",
) -> pb.Frame:
    """Make the frame that ends a reservation without a run."""
    return pb.Frame(
        attempt=attempt,
        refuse=pb.Refuse(
            reason=reason,
            retry_after_ms=round(retry_after_s * _MILLISECONDS),
            may_have_run=may_have_run,
            detail=detail,
        ),
    )


def headers_to_wire(headers: Iterable[tuple[str, str]]) -> list[pb.Header]:
    """Convert headers to messages."""
    return [pb.Header(name=name, value=value) for name, value in headers]


def headers_from_wire(headers: Iterable[pb.Header]) -> tuple[tuple[str, str], ...]:
    """Convert messages to headers."""
    return tuple((header.name, header.value) for header in headers)


def execution_to_wire(execution: Execution) -> pb.Execution:
    """Convert what is known about a run to its wire form."""
    return _EXECUTION_TO_WIRE[execution]


def execution_from_wire(execution: pb.Execution) -> Execution:
    """Read what a peer knows about a run; an unknown value proves nothing."""
    return _EXECUTION_FROM_WIRE.get(execution, Execution.MAY_HAVE_RUN)


def _age_ms(age_s: float) -> int:
    return min(_LARGEST_AGE_MS, round(min(age_s, _LARGEST_AGE_MS) * _MILLISECONDS))
