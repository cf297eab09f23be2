"""Counts what connections make a process hold, and ends some when that exceeds their room."""

import abc
from collections import Counter
from collections.abc import Callable, Iterable

from absl import logging

from pearshed._internal.decisions.ending_order import (
    LARGE_SHARE,
    SMALL_BYTES,
    Holding,
    Room,
    choose_ended,
)
from pearshed._internal.telemetry.metrics import Metric, Sample
from pearshed._internal.timers import clock

#: Shortest time between two log lines on ended connections, seconds.
_LOG_INTERVAL_S = 1.0


class Holder(abc.ABC):
    """A connection that makes the process hold memory and a descriptor."""

    @abc.abstractmethod
    def holding(self) -> "Holding[Holder]":
        """Return what it makes the process hold now."""

    @abc.abstractmethod
    def end_for_lack_of_room(self) -> None:
        """Free what is held; the client gets a refusal if it waits for a response."""


class ResourceAccount:
    """The connections of one kind, with what they hold.

    :param name: kind of the connections, for metrics and log lines.
    :param room: returns what they may hold together; called for each check, as it may change.
    """

    def __init__(self, name: str, room: Callable[[], Room]) -> None:
        self._name = name
        self._room = room
        self._held: dict[Holder, int] = {}
        self._held_bytes = 0
        self._large_bytes = 0
        self._most_held_bytes = 0
        self._most_connections = 0
        self._ended: Counter[str] = Counter()
        self._unlogged: Counter[str] = Counter()
        self._logged_at = float("-inf")
        self._making_room = False

    @property
    def held_bytes(self) -> int:
        """Memory that is held, bytes."""
        return self._held_bytes

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._held)

    def open(self, holder: Holder) -> None:
        """Add a connection; this may end it or others."""
        self._charge(holder, holder.holding().held_bytes)
        self._most_connections = max(self._most_connections, len(self._held))
        self._make_room_after_growth(holder)

    def close(self, holder: Holder) -> None:
        """Remove a connection that is closed."""
        self._charge(holder, 0)
        self._held.pop(holder, None)

    def update(self, holder: Holder) -> None:
        """Charge what a connection holds now; this may end it or others."""
        if holder not in self._held:
            return
        held_bytes = holder.holding().held_bytes
        if self._charge(holder, held_bytes) > 0:
            self._make_room_after_growth(holder)

    def has_room_for(self, holder: Holder) -> bool:
        """Return whether what is held fits, with what a connection holds now."""
        room = self._room()
        is_large = _large_bytes(self._held.get(holder, 0)) > 0
        return self._held_bytes <= room.held_bytes and (
            not is_large or self._large_bytes <= LARGE_SHARE * room.held_bytes
        )

    def collect(self) -> Iterable[Metric]:
        """Return the metrics with their current values."""
        labels = {"connections": self._name}
        yield Metric(
            "pearshed_held_bytes",
            "Memory that connections make the process hold",
            (Sample(self._held_bytes, labels),),
        )
        yield Metric(
            "pearshed_held_bytes_limit",
            "Memory at which connections are ended",
            (Sample(self._room().held_bytes, labels),),
        )
        yield Metric(
            "pearshed_connections_open", "Open connections", (Sample(len(self._held), labels),)
        )
        yield Metric(
            "pearshed_connections_limit",
            "Number of connections at which some are ended",
            (Sample(self._room().connections, labels),),
        )
        yield Metric(
            "pearshed_connections_ended_total",
            "Connections ended for lack of room, by what they were waiting for",
            tuple(
                Sample(count, {**labels, "stage": stage}) for stage, count in self._ended.items()
            ),
            counter=True,
        )

    def dump(self) -> dict[str, object]:
        """Return the state for operators."""
        room = self._room()
        return {
            "held_bytes": self._held_bytes,
            "held_bytes_limit": room.held_bytes,
            "most_held_bytes": self._most_held_bytes,
            "connections": len(self._held),
            "connections_limit": room.connections,
            "most_connections": self._most_connections,
            "ended": dict(self._ended),
        }

    def _charge(self, holder: Holder, held_bytes: int) -> int:
        """Record what a connection holds; return by how much that has grown, bytes."""
        before = self._held.get(holder, 0)
        self._held_bytes += held_bytes - before
        self._large_bytes += _large_bytes(held_bytes) - _large_bytes(before)
        self._held[holder] = held_bytes
        return held_bytes - before

    def _make_room_after_growth(self, grown: Holder) -> None:
        self._most_held_bytes = max(self._most_held_bytes, self._held_bytes)
        # A refusal is held too, so each connection that is ended grows first.
        if not self._making_room and self._exceeds_room(self._held[grown]):
            self._making_room = True
            try:
                self._make_room()
            finally:
                self._making_room = False

    def _exceeds_room(self, grown_bytes: int) -> bool:
        """Return whether connections are to be ended.

        :param grown_bytes: held by the connection that has grown; a small one ends no larger ones.
        """
        room = self._room()
        return (
            self._held_bytes > room.held_bytes
            or len(self._held) > room.connections
            or (_large_bytes(grown_bytes) > 0 and self._large_bytes > LARGE_SHARE * room.held_bytes)
        )

    def _make_room(self) -> None:
        holdings = [holder.holding() for holder in self._held]
        for holder in choose_ended(holdings, self._room(), clock.now()):
            stage = holder.holding().stage.value
            self._ended[stage] += 1
            self._unlogged[stage] += 1
            holder.end_for_lack_of_room()
        self._log_ended()

    def _log_ended(self) -> None:
        now = clock.now()
        if not self._unlogged or now - self._logged_at < _LOG_INTERVAL_S:
            return
        self._logged_at = now
        fields = {
            "of": self._name,
            "held_bytes": self._held_bytes,
            "connections": len(self._held),
            **self._unlogged,
        }
        self._unlogged.clear()
        logging.warning("connections.ended", extra={"fields": fields})


def _large_bytes(held_bytes: int) -> int:
    return held_bytes if held_bytes > SMALL_BYTES else 0
