"""Finds out which software version began a stream, when a caller takes it up again."""

import abc
import enum
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Sequence
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
from pearshed._internal.models.routing import EndpointEntry
from pearshed._internal.models.stream_origin import StreamOrigin
from pearshed._internal.telemetry.metrics import Metric, Sample, gauge
from pearshed._internal.timers import clock

#: Sides, and other gateways, that remember the origin of a stream for all gateways. A gateway that
#: ends together with one of each leaves two.
COPIES = 2
#: Sides, and other gateways, that are asked: not all know of the same ones.
ASKED_SIDES = 4
ASKED_GATEWAYS = 8
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


class OriginClient(abc.ABC):
    """Sends messages to those that remember origins."""

    @abc.abstractmethod
    def send(self, message: Message, host: str) -> None:
        """Send a message to the gateway or side at a host."""

    @abc.abstractmethod
    async def ask_origins(
        self, request: OriginRequest, hosts: Sequence[str], *, first_only: bool
    ) -> set[StreamOrigin]:
        """Ask several hosts which origin of a stream they know.

        :param first_only: return the first origin, without waiting for the other hosts.
        :returns: the origins that they know.
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
    """

    def __init__(
        self,
        client: OriginClient,
        side_hosts: Callable[[], Collection[str]],
        gateway_hosts: Callable[[], Collection[str]],
    ) -> None:
        self._client = client
        self._sides = _Holders(side_hosts)
        self._gateways = _Holders(gateway_hosts)
        self._table = OriginTable()
        self._history = VersionHistory()
        self._sources: Counter[Source] = Counter()
        self._asked = 0

    @property
    def table(self) -> OriginTable:
        """The origins that this gateway remembers, its own streams' and others'."""
        return self._table

    def observe(self, entries: Iterable[EndpointEntry], state_age_s: float) -> None:
        """Record the engines that are listed now; see ``VersionHistory``."""
        self._history.observe(entries, state_age_s)

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
        self._asked += 1
        hosts = dict.fromkeys(
            (
                *self._sides.choose(stream, ASKED_SIDES),
                *self._gateways.choose(stream, ASKED_GATEWAYS),
            )
        )
        request = OriginRequest(f"{call.request_id}/origin-{self._asked}", stream)
        origins = await self._client.ask_origins(request, list(hosts), first_only=bool(resumes))
        if own is not None:
            origins.add(own)
        if len(origins) == 1 and AMBIGUOUS not in origins:
            return origins.pop(), Source.ASKED
        origin = self._history.sole_origin(call.service)
        return origin, Source.SOLE_VERSION if origin is not None else Source.UNKNOWN
