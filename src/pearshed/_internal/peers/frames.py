"""Builds and reads the frames that processes exchange."""

from collections.abc import Iterable

from pearshed._internal.configuration.feed import Feed, FeedChange, FeedName
from pearshed._internal.models.outcomes import Execution
from pearshed._internal.models.requests import ForwardedCall
from pearshed._internal.peers import peer_pb2 as pb

PROTOCOL_VERSION = 1
_MILLISECONDS_PER_SECOND = 1000
_MICROSECONDS_PER_SECOND = 1_000_000
_MAX_AGE_MS = 2**32 - 1

_FEED_TO_WIRE = {FeedName.RECORDS: pb.FEED_RECORDS, FeedName.VMS: pb.FEED_VMS}
_FEED_FROM_WIRE = {wire: name for name, wire in _FEED_TO_WIRE.items()}
_EXECUTION_TO_WIRE = {
    Execution.NOT_RUN: pb.EXECUTION_NOT_RUN,
    Execution.MAY_HAVE_RUN: pb.EXECUTION_MAY_HAVE_RUN,
    Execution.RAN: pb.EXECUTION_RAN,
}
_EXECUTION_FROM_WIRE = {wire: execution for execution, wire in _EXECUTION_TO_WIRE.items()}


def hello(process: str, incarnation: str, data_centre: str, batch_s: float = 0.0) -> pb.Frame:
    """Return the first frame that a process sends on a connection.

    :param batch_s: from an entry, how long response chunks may be delayed for batching, seconds.
    """
    return pb.Frame(
        hello=pb.Hello(
            process=process,
            incarnation=incarnation,
            protocol=PROTOCOL_VERSION,
            data_centre=data_centre,
            batch_us=round(batch_s * _MICROSECONDS_PER_SECOND),
        )
    )


def feed_state(feed: Feed) -> pb.Frame:
    """Return a frame with the revision and the age of this process's copy of a feed."""
    return pb.Frame(
        feed_state=pb.FeedState(
            feed=_FEED_TO_WIRE[feed.name],
            revision=feed.revision,
            confirmed_ago_ms=_age_ms(feed.confirmed_ago_s),
        )
    )


def feed_pull(feed: Feed) -> pb.Frame:
    """Return a frame that requests the documents newer than this process's revision."""
    return pb.Frame(feed_pull=pb.FeedPull(feed=_FEED_TO_WIRE[feed.name], after=feed.revision))


def feed_update(feed: Feed, after: int) -> pb.Frame:
    """Return a frame with the documents of a feed that are newer than a revision."""
    return pb.Frame(
        feed_update=pb.FeedUpdate(
            feed=_FEED_TO_WIRE[feed.name],
            revision=feed.revision,
            documents=feed.documents_after(after),
            confirmed_ago_ms=_age_ms(feed.confirmed_ago_s),
        )
    )


def feed_name(wire: pb.Feed) -> FeedName | None:
    """Return the feed's name, or None for a feed that this version doesn't know."""
    return _FEED_FROM_WIRE.get(wire)


def feed_change(update: pb.FeedUpdate) -> FeedChange:
    """Convert an update frame to a change."""
    return FeedChange(
        revision=update.revision,
        documents=tuple(update.documents),
        confirmed_ago_s=update.confirmed_ago_ms / _MILLISECONDS_PER_SECOND,
    )


def body(attempt: int, call: ForwardedCall) -> pb.Frame:
    """Return the frame that starts a granted request."""
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
    """Return the call of a body frame."""
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
    """Return the frame that ends an attempt without a run."""
    return pb.Frame(
        attempt=attempt,
        refuse=pb.Refuse(
            reason=reason,
            retry_after_ms=round(retry_after_s * _MILLISECONDS_PER_SECOND),
            may_have_run=may_have_run,
            detail=detail,
        ),
    )


def headers_to_wire(headers: Iterable[tuple[str, str]]) -> list[pb.Header]:
    """Convert headers to their wire form."""
    return [pb.Header(name=name, value=value) for name, value in headers]


def headers_from_wire(headers: Iterable[pb.Header]) -> tuple[tuple[str, str], ...]:
    """Convert headers from their wire form."""
    return tuple((header.name, header.value) for header in headers)


def execution_to_wire(execution: Execution) -> pb.Execution:
    """Convert an execution state to its wire form."""
    return _EXECUTION_TO_WIRE[execution]


def execution_from_wire(execution: pb.Execution) -> Execution:
    """Convert an execution state from its wire form; unknown values mean it may have run."""
    return _EXECUTION_FROM_WIRE.get(execution, Execution.MAY_HAVE_RUN)


def _age_ms(age_s: float) -> int:
    return min(_MAX_AGE_MS, round(min(age_s, _MAX_AGE_MS) * _MILLISECONDS_PER_SECOND))
