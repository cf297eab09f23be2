"""Evacuated data centres, as the store or another gateway has said, and how recent that is."""

import asyncio
import dataclasses
import enum
import math
from collections.abc import Callable, Collection, Coroutine, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar

from absl import logging

from pearshed._internal.decisions.restored_items import (
    DELETION_REPEATED_S,
    is_hold_over,
    is_written_since,
)
from pearshed._internal.gateway.availability.interruptible_waits import InterruptibleWaits
from pearshed._internal.models.revisions import era_of
from pearshed._internal.telemetry.metrics import Metric, Sample, counter
from pearshed._internal.timers import clock

#: Evacuations stop being trusted this long before the bound: a request takes time to arrive, and
#: checks and clocks are not exact.
TRUST_MARGIN_S = 0.5
#: Time for which requests wait for a confirmation once the last one is too old, seconds. After a
#: freeze of the process, the store confirms the state within one short watch.
CONFIRMATION_WAIT_S = 0.5

_Result = TypeVar("_Result")


class Source(enum.StrEnum):
    """From whom an evacuation was learned."""

    STORE = "store"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class Evacuation:
    """An evacuation of a data centre that has not been withdrawn.

    :ivar revision: revision of the store at which it was set.
    :ivar learned_at: clock reading when this process learned of it, seconds.
    :ivar source: from whom this process learned of it first.
    """

    data_centre: str
    revision: int
    learned_at: float
    source: Source


@dataclass(frozen=True, slots=True)
class DoubtedEvacuation:
    """An evacuation of which a restored store says something else than was known before.

    :ivar revision: of the store, as of which a list first did so.
    :ivar set_at: revision at which the list says that it was set; ``None`` if it lacks it.
    :ivar since: clock reading at that time, seconds.
    :ivar source: whose list it was.
    """

    revision: int
    set_at: int | None
    since: float
    source: Source


@dataclass(frozen=True, slots=True)
class EvacuationUpdate:
    """All evacuations, as one process sends them to another.

    :ivar revisions: revision at which each was set, by data centre.
    :ivar revision: revision of the store up to which all changes are known.
    :ivar confirmed_ago_s: time since the store itself confirmed this, seconds.
    """

    revisions: Mapping[str, int]
    revision: int
    confirmed_ago_s: float


@dataclass(frozen=True, slots=True)
class EvacuationSettings:
    """What the settings say of evacuations.

    :ivar bound_s: time after which an evacuation must be in force everywhere, seconds; ``None``
        if evacuations aren't used.
    :ivar data_centres: data centres that can be evacuated; empty if the settings name none, then
        all can.
    :ivar fail_closed: send nothing while the evacuations can't be confirmed within the bound.
    """

    bound_s: float | None = None
    data_centres: frozenset[str] = field(default=frozenset())
    fail_closed: bool = False


class EvacuationTable:
    """The evacuated data centres.

    Changes are merged by the store's revisions, whoever sends them: a stale read or a slower
    gateway neither withdraws a later evacuation nor brings back one that was withdrawn. Nor does a
    store that comes back from a copy, until the operator has had the time to repeat what it lacks:
    an evacuation that the copy lacks stays for the bound, and one that had ended stays ended for
    ``DELETION_REPEATED_S``.

    :param settings: returns the current settings.
    """

    def __init__(self, settings: Callable[[], EvacuationSettings] = EvacuationSettings) -> None:
        self._settings = settings
        self._evacuations: dict[str, Evacuation] = {}
        self._revisions: dict[str, int] = {}
        self._ends: dict[str, int] = {}
        self._doubted: dict[str, DoubtedEvacuation] = {}
        self._copied_until = 0
        self._in_force: frozenset[str] = frozenset()
        self._unknown_logged: set[str] = set()
        self._revision = 0
        self._confirmed_at = -math.inf
        self._untrusted_since: float | None = None
        self._confirmed = asyncio.Event()
        self._waits: InterruptibleWaits[str] = InterruptibleWaits()
        self._callbacks: list[Callable[[frozenset[str]], None]] = []
        self._withheld = 0

    @property
    def followed(self) -> bool:
        """Whether the settings use evacuations."""
        return self._settings().bound_s is not None

    @property
    def in_force(self) -> frozenset[str]:
        """The evacuated data centres."""
        return self._in_force

    @property
    def evacuations(self) -> Collection[Evacuation]:
        """The evacuations in force."""
        return [
            evacuation
            for data_centre, evacuation in sorted(self._evacuations.items())
            if data_centre in self._in_force
        ]

    @property
    def age_s(self) -> float:
        """Time since the store confirmed the evacuations, seconds; 0 if they aren't used."""
        return clock.now() - self._confirmed_at if self.followed else 0.0

    @property
    def trusted(self) -> bool:
        """Whether the confirmation is recent enough to send requests."""
        settings = self._settings()
        if settings.bound_s is None or not settings.fail_closed:
            return True
        if clock.now() - self._confirmed_at < settings.bound_s - TRUST_MARGIN_S:
            return True
        if self._untrusted_since is None:
            self._untrusted_since = clock.now()
        return False

    def on_change(self, callback: Callable[[frozenset[str]], None]) -> None:
        """Call ``callback`` with the evacuated data centres after each change."""
        self._callbacks.append(callback)

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether nothing may be sent to the endpoints of a data centre."""
        return data_centre in self._in_force

    def record_withheld(self) -> None:
        """Count a request that was withheld right before it would have been sent."""
        self._withheld += 1

    def note_copy(self, copied_until: int) -> None:
        """Record up to which revision evacuations may come from a copy of the store."""
        self._copied_until = copied_until

    def apply(self, data_centre: str, revision: int, evacuated: bool, source: Source) -> None:
        """Apply one change, unless a later one of the data centre is known.

        :param revision: revision of the store at which it was made.
        """
        if revision >= self._revisions.get(data_centre, 0):
            self._doubted.pop(data_centre, None)
        if self._record(data_centre, revision, evacuated, source):
            self.refresh()

    def apply_all(self, revisions: Mapping[str, int], revision: int, source: Source) -> None:
        """Apply a list of all evacuations; those that it lacks have been withdrawn.

        What a restored store says against the knowledge of an earlier era is doubted for a while.

        :param revisions: revision at which each was set, by data centre.
        :param revision: revision of the store that the list covers.
        """
        changed = False
        latest = max(revision, self._revision)
        for data_centre, set_at in revisions.items():
            doubted = self._doubted.get(data_centre)
            if doubted is not None and era_of(set_at) < era_of(doubted.revision):
                # Another gateway keeps it in doubt too.
                continue
            if self._is_copied(data_centre, set_at):
                self._doubt(data_centre, DoubtedEvacuation(revision, set_at, clock.now(), source))
                continue
            self._doubted.pop(data_centre, None)
            changed = self._record(data_centre, set_at, True, source) or changed
            known = self._evacuations.get(data_centre)
            if known is not None and era_of(known.revision) < era_of(latest):
                # Another gateway keeps it although the store lacks it, or has not read on yet.
                self._doubt(data_centre, DoubtedEvacuation(latest, None, clock.now(), source))
        for data_centre in self._evacuations.keys() - revisions.keys():
            if era_of(self._revisions[data_centre]) < era_of(revision):
                self._doubt(data_centre, DoubtedEvacuation(revision, None, clock.now(), source))
                continue
            changed = self._record(data_centre, revision, False, source) or changed
        if source is Source.STORE:
            # A list has agreed that these have ended; another gateway lists none that it doubts.
            for data_centre in self._doubted.keys() - self._evacuations.keys() - revisions.keys():
                del self._doubted[data_centre]
        if changed:
            self.refresh()

    def confirm(self, revision: int, requested_at: float) -> None:
        """Record that all changes up to a revision are known.

        A response that is older than what is known is a stale read and confirms nothing.

        :param requested_at: clock reading when the store was asked, seconds.
        """
        self._confirm(revision, requested_at, self._doubted)

    def _confirm(self, revision: int, requested_at: float, doubted: Iterable[str]) -> None:
        """Record that changes are known, and end those of some doubts that are old enough."""
        if revision < self._revision:
            return
        self._revision = revision
        self._confirmed_at = max(self._confirmed_at, requested_at)
        self._end_doubts(doubted, requested_at)
        if self.trusted:
            self._untrusted_since = None
            self._confirmed.set()
            self._confirmed = asyncio.Event()

    def build_update(self) -> EvacuationUpdate | None:
        """Build an update for another process; ``None`` if nothing was confirmed yet."""
        if not self.followed or self._confirmed_at == -math.inf:
            return None
        revisions = {name: one.revision for name, one in self._evacuations.items()}
        return EvacuationUpdate(revisions, self._revision, self.age_s)

    def apply_update(self, update: EvacuationUpdate, requested_at: float) -> bool:
        """Apply the evacuations that another process knows.

        :param requested_at: clock reading when they were requested, seconds.
        :returns: whether the store has confirmed them later than those known before.
        """
        if not self.followed:
            return False
        confirmed_before = self._confirmed_at
        self.apply_all(update.revisions, update.revision, Source.PEER)
        # It lists no evacuation that it doubts itself, so one that is missing may still be set.
        settled = [
            data_centre
            for data_centre, doubted in self._doubted.items()
            if doubted.set_at is None or data_centre in update.revisions
        ]
        self._confirm(update.revision, requested_at - update.confirmed_ago_s, settled)
        return self._confirmed_at > confirmed_before

    def refresh(self) -> None:
        """Put into force what is known, by the current settings."""
        settings = self._settings()
        known = frozenset(self._evacuations) if settings.bound_s is not None else frozenset()
        named = settings.data_centres
        in_force = known & named if named else known
        for data_centre in sorted(known - in_force - self._unknown_logged):
            self._unknown_logged.add(data_centre)
            _log("evacuation.unknown", data_centre=data_centre)
        before, self._in_force = self._in_force, in_force
        for data_centre in sorted(in_force - before):
            evacuation = self._evacuations[data_centre]
            _log(
                "evacuation.in_force",
                data_centre=data_centre,
                revision=evacuation.revision,
                learned_from=evacuation.source.value,
            )
        for data_centre in sorted(before - in_force):
            revision = self._revisions.get(data_centre, 0)
            _log("evacuation.withdrawn", data_centre=data_centre, revision=revision)
        if in_force == before:
            return
        for data_centre in in_force - before:
            self._waits.interrupt(data_centre)
        for callback in self._callbacks:
            callback(in_force)

    async def wait_unless_evacuated(
        self, data_centre: str, operation: Coroutine[Any, Any, _Result]
    ) -> _Result | None:
        """Wait for an operation at an endpoint, and cancel it when its data centre is evacuated.

        :returns: its result, or ``None`` if it was cancelled for that reason.
        """
        if not self.followed:
            return await operation
        if self.is_evacuated(data_centre):
            operation.close()
            return None
        return await self._waits.wait(data_centre, operation)

    async def wait_until_trusted(self) -> bool:
        """Wait for a confirmation of the store for a moment, if the last one is too old.

        :returns: whether requests may be sent.
        """
        if self.trusted:
            return True
        assert self._untrusted_since is not None
        wait_s = self._untrusted_since + CONFIRMATION_WAIT_S - clock.now()
        if wait_s > 0.0:
            try:
                async with asyncio.timeout(wait_s):
                    await self._confirmed.wait()
            except TimeoutError:
                pass
        return self.trusted

    def dump(self) -> list[Mapping[str, Any]]:
        """Return the evacuations in force, for the state dump."""
        now = clock.now()
        return [
            {
                "data_centre": evacuation.data_centre,
                "since_s": round(now - evacuation.learned_at, 3),
                "revision": evacuation.revision,
                "learned_from": evacuation.source.value,
            }
            for evacuation in self.evacuations
        ]

    def dump_doubted(self) -> list[Mapping[str, Any]]:
        """Return where the store's list isn't followed yet, for the state dump."""
        now = clock.now()
        return [
            {
                "data_centre": data_centre,
                "evacuated": data_centre in self._evacuations,
                "listed": doubted.set_at is not None,
                "since_s": round(now - doubted.since, 3),
            }
            for data_centre, doubted in sorted(self._doubted.items())
        ]

    def collect(self) -> Iterable[Metric]:
        """Report the metrics."""
        if not self.followed:
            return
        now = clock.now()
        yield Metric(
            "pearshed_gateway_evacuated_seconds",
            "Time since this gateway learned that a data centre is evacuated, by data centre",
            tuple(
                Sample(
                    now - evacuation.learned_at,
                    {
                        "data_centre": evacuation.data_centre,
                        "learned_from": evacuation.source.value,
                    },
                )
                for evacuation in self.evacuations
            ),
        )
        yield counter(
            "pearshed_gateway_evacuation_moved_total",
            "Waits for an endpoint that ended since its data centre was evacuated",
            self._waits.interrupted,
        )
        yield counter(
            "pearshed_gateway_evacuation_withheld_total",
            "Requests that were withheld right before they would have been sent",
            self._withheld,
        )

    def _is_copied(self, data_centre: str, set_at: int) -> bool:
        """Return whether a listed evacuation may be one that had ended before a copy was used."""
        ended_at = self._ends.get(data_centre)
        return (
            ended_at is not None
            and data_centre not in self._evacuations
            and era_of(set_at) > era_of(ended_at)
            and not is_written_since(set_at, ended_at, self._copied_until)
        )

    def _doubt(self, data_centre: str, doubted: DoubtedEvacuation) -> None:
        """Keep what is known of an evacuation, against a list of a restored store."""
        before = self._doubted.get(data_centre)
        if before is not None and era_of(before.revision) == era_of(doubted.revision):
            self._doubted[data_centre] = dataclasses.replace(before, set_at=doubted.set_at)
            return
        self._doubted[data_centre] = doubted
        evacuated = data_centre in self._evacuations
        fields = {"data_centre": data_centre, "evacuated": evacuated}
        _log("evacuation.doubted", revision=doubted.revision, source=doubted.source.value, **fields)

    def _end_doubts(self, data_centres: Iterable[str], confirmed_at: float) -> None:
        """Follow the store where the operator has had the time to repeat what a copy lacks."""
        bound_s = self._settings().bound_s or 0.0
        changed = False
        for data_centre in tuple(data_centres):
            doubted = self._doubted[data_centre]
            hold_s = bound_s if doubted.set_at is None else DELETION_REPEATED_S
            if not is_hold_over(doubted.since, confirmed_at, hold_s):
                continue
            del self._doubted[data_centre]
            revision = doubted.revision if doubted.set_at is None else doubted.set_at
            listed = doubted.set_at is not None
            changed = self._record(data_centre, revision, listed, doubted.source) or changed
        if changed:
            self.refresh()

    def _record(self, data_centre: str, revision: int, evacuated: bool, source: Source) -> bool:
        if revision < self._revisions.get(data_centre, 0):
            return False
        self._revisions[data_centre] = revision
        current = self._evacuations.get(data_centre)
        if not evacuated:
            self._ends[data_centre] = revision
            return self._evacuations.pop(data_centre, None) is not None
        if current is not None:
            # Set again while it was in force.
            self._evacuations[data_centre] = dataclasses.replace(current, revision=revision)
            return False
        self._evacuations[data_centre] = Evacuation(data_centre, revision, clock.now(), source)
        return True


def _log(event: str, **fields: object) -> None:
    logging.info(event, extra={"fields": fields})
