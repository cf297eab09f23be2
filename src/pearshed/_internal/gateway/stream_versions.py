"""Finds out which software version began a stream, when a caller takes it up again."""

import abc
import enum
from collections import Counter
from collections.abc import Awaitable, Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from itertools import islice

from absl import logging

from pearshed._internal.decisions.version_history import VersionHistory
from pearshed._internal.engine_side.messages import Message, OriginReport, OriginRequest
from pearshed._internal.engine_side.stream_origins import (
    AMBIGUOUS,
    OriginTable,
    content_key,
    stream_key,
)
from pearshed._internal.gateway.routed_call import RoutedCall
from pearshed._internal.membership.ring import HashRing
from pearshed._internal.models.stream_origin import StreamOrigin
from pearshed._internal.telemetry.metrics import Metric, Sample, gauge
from pearshed._internal.timers import clock

#: Sides, and other gateways, that remember the origin of a stream for all gateways. A gateway that
#: ends together with one of each leaves two.
COPIES = 2
#: Sides, and other gateways, that are asked: not all know of the same ones.
ASKED_SIDES = 4
ASKED_GATEWAYS = 8
#: Longest wait for the store to confirm the list of engines, seconds; callers leave a stream that
#: has no first event after two seconds or more.
CONFIRMATION_TIMEOUT_S = 1.0
#: Interval at which the known hosts are read again, seconds: comparing thousands takes a while.
_REFRESH_INTERVAL_S = 1.0
#: One point for each host keeps the ring of thousands of sides small.
_RING_POINTS = 1


class Source(enum.StrEnum):
    """How the origin of a stream was found."""

    OWN = "own"
    ASKED = "asked"
    SOLE_VERSION = "sole version"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class OriginAnswers:
    """What those that were asked know of the origin of a stream.

    :ivar hosts: those that have answered, also that they don't know it.
    """

    origins: frozenset[StreamOrigin]
    hosts: frozenset[str]


class OriginClient(abc.ABC):
    """Sends messages to those that remember origins."""

    @abc.abstractmethod
    def send(self, message: Message, host: str) -> None:
        """Send a message to the gateway or side at a host."""

    @abc.abstractmethod
    async def ask_origins(
        self, request: OriginRequest, hosts: Sequence[str], *, first_only: bool
    ) -> OriginAnswers:
        """Ask several hosts which origin of a stream they know.

        :param first_only: return the first origin, without waiting for the other hosts.
        """


class _Holders:
    """The hosts that remember a stream, in the order in which all gateways choose them."""

    def __init__(self, hosts: Callable[[], Collection[str]]) -> None:
        self._hosts = hosts
        self._members: frozenset[str] = frozenset()
        self._refreshed_at = float("-inf")
        self._ring = HashRing(())

    def choose(self, stream: str, count: int) -> list[str]:
        if not self._members or clock.now() - self._refreshed_at > _REFRESH_INTERVAL_S:
            self._refresh()
        return list(islice(self._ring.successors(stream), count))

    def _refresh(self) -> None:
        self._refreshed_at = clock.now()
        members = frozenset(self._hosts())
        if members != self._members:
            self._members = members
            self._ring = HashRing(members, _RING_POINTS)


class StreamVersions:
    """Remembers the origins of streams at this gateway, some sides and other gateways.

    :param side_hosts: returns the hosts of all known sides.
    :param gateway_hosts: returns the hosts of all other known gateways.
    :param history: the versions of the engines that were listed lately.
    :param confirm_state: waits until the store has confirmed the list of engines as of a clock
        reading, for some seconds at most; returns whether it has.
    """

    def __init__(
        self,
        client: OriginClient,
        side_hosts: Callable[[], Collection[str]],
        gateway_hosts: Callable[[], Collection[str]],
        history: VersionHistory,
        confirm_state: Callable[[float, float], Awaitable[bool]],
    ) -> None:
        self._history = history
        self._confirm_state = confirm_state
        self._client = client
        self._sides = _Holders(side_hosts)
        self._gateways = _Holders(gateway_hosts)
        self._table = OriginTable()
        self._sources: Counter[Source] = Counter()
        self._asked = 0

    @property
    def table(self) -> OriginTable:
        """The origins that this gateway remembers, its own streams' and others'."""
        return self._table

    def record(self, call: RoutedCall, origin: StreamOrigin) -> None:
        """Record that a stream begins, or goes on, before its caller gets an event of it."""
        began = call.metadata.resumes or call.request_id
        streams = {stream_key(call.request_id), stream_key(began), content_key(call.content_id)}
        for stream in streams:
            self._table.record(stream, origin)
            report = OriginReport("", stream, origin)
            for holder in (
                *self._sides.choose(stream, COPIES),
                *self._gateways.choose(stream, COPIES),
            ):
                self._client.send(report, holder)

    async def find(self, call: RoutedCall) -> StreamOrigin | None:
        """Return the origin of the stream that a request takes up; ``None`` if it isn't known."""
        started_at = clock.now()
        origin, source = await self._find(call)
        self._sources[source] += 1
        logging.info(
            "stream.taken_up",
            extra={
                "fields": {
                    "request": call.request_id,
                    "resumes": call.metadata.resumes,
                    "resumes_after": call.metadata.last_event_id,
                    "source": source.value,
                    "software_version": origin.version if origin is not None else "",
                    "waited_ms": round((clock.now() - started_at) * clock.MILLISECONDS_PER_SECOND),
                }
            },
        )
        return origin

    def collect(self) -> Iterable[Metric]:
        """Report the metrics."""
        yield gauge(
            "pearshed_gateway_stream_origins",
            "Streams whose software version this gateway remembers",
            len(self._table),
        )
        yield Metric(
            "pearshed_gateway_streams_taken_up_total",
            "Streams that callers took up, by how their software version was found",
            tuple(
                Sample(count, {"source": source.value}) for source, count in self._sources.items()
            ),
            counter=True,
        )

    async def _find(self, call: RoutedCall) -> tuple[StreamOrigin | None, Source]:
        resumes = call.metadata.resumes
        stream = stream_key(resumes) if resumes else content_key(call.content_id)
        own = self._table.find(stream)
        if own is not None and resumes:
            return own, Source.OWN
        answers = await self._ask(call, stream)
        origins = answers.origins if own is None else answers.origins | {own}
        is_known = bool(resumes) or self._have_holders_answered(stream, answers.hosts)
        if is_known and len(origins) == 1 and AMBIGUOUS not in origins:
            return next(iter(origins)), Source.ASKED
        origin = await self._find_sole_origin(call)
        return origin, Source.SOLE_VERSION if origin is not None else Source.UNKNOWN

    async def _ask(self, call: RoutedCall, stream: str) -> OriginAnswers:
        self._asked += 1
        hosts = dict.fromkeys(
            (
                *self._sides.choose(stream, ASKED_SIDES),
                *self._gateways.choose(stream, ASKED_GATEWAYS),
            )
        )
        request = OriginRequest(f"{call.request_id}/origin-{self._asked}", stream)
        first_only = bool(call.metadata.resumes)
        return await self._client.ask_origins(request, list(hosts), first_only=first_only)

    def _have_holders_answered(self, stream: str, answered: Collection[str]) -> bool:
        """Return whether enough of those that remember the streams of a content have answered.

        Another version may have answered the same content meanwhile, which not all need to know.
        """
        holders = {*self._sides.choose(stream, COPIES), *self._gateways.choose(stream, COPIES)}
        return len(holders.intersection(answered)) >= min(COPIES, len(holders))

    async def _find_sole_origin(self, call: RoutedCall) -> StreamOrigin | None:
        """Return the only origin that the stream can have; ``None`` if it isn't certain.

        Engines may have joined that this gateway doesn't know yet, if it is slow or cut off, so the
        store confirms their list first.
        """
        arrived_at = call.request.received_at
        if self._history.sole_origin(call.route, arrived_at) is None:
            return None
        timeout_s = min(CONFIRMATION_TIMEOUT_S, call.remaining_s)
        if not await self._confirm_state(arrived_at, timeout_s):
            return None
        return self._history.sole_origin(call.route, arrived_at)
