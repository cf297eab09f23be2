"""Caches the state of the platform's store, with the time when the store confirmed it."""

import asyncio
import math
import random
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass

from absl import logging
from returns.pipeline import is_successful

from pearshed._internal.decisions.restored_items import DEFAULT_LEASE_S
from pearshed._internal.gateway.availability.entry_table import EntryTable
from pearshed._internal.gateway.availability.evacuations import (
    EvacuationTable,
    EvacuationUpdate,
    Source,
)
from pearshed._internal.gateway.store import (
    DocumentDecoder,
    Store,
    StoreFailure,
    StoreItem,
    StoreResponse,
    StoreResult,
)
from pearshed._internal.models.routing import EndpointEntry, RoutingConfiguration
from pearshed._internal.timers import clock
from pearshed._internal.utils.backoff import Backoff

#: Wait of one watch, seconds. Each response confirms the configuration as of its request; when one
#: is lost, there is still time to ask other gateways (``peer_sync``).
WATCH_WAIT_S = 1.5
#: Shortest wait of a watch for changes, where transfers of the configuration are slow, seconds.
MIN_WATCH_WAIT_S = 0.4
#: Wait of a watch that is to confirm the state at once, seconds.
CONFIRMING_WAIT_S = 0.01
#: Age that the state should not exceed while a changed configuration is received, seconds. API
#: keys are trusted a little longer.
MAX_AGE_IN_TRANSFER_S = 4.0
#: Age in excess of a watch's wait from which the state is confirmed at once, seconds.
MAX_CONFIRMATION_LAG_S = 0.3
#: Time after which a transfer is slow if it will take as long again, seconds: gateways with faster
#: links have the configuration by then, and their copies are smaller.
SLOW_TRANSFER_S = 0.3
#: Time for which a transfer is paused at most, seconds.
MAX_TRANSFER_PAUSE_S = 1.5
#: Delay after a response with changes: changes come in bursts, and each would end the next watch at
#: once. Changes must be known within seconds, and calls are billed.
CHANGES_DELAY_S = 0.25
INITIAL_RETRY_DELAY_S = 0.1
#: A store's recovery is noticed within this time; calls are billed, rejected ones too.
MAX_RETRY_DELAY_S = 0.6
#: Tries to read one page of entries before the store counts as down.
MAX_PAGE_TRIES = 4
#: No entry expires in a shorter outage: an entry lasts for three heartbeat intervals of over 1 s.
EXPIRY_OUTAGE_S = 1.5


@dataclass(frozen=True, slots=True)
class StoreUpdate:
    """The store's state as one process sends it to another.

    :ivar revision: revision of the store up to which changes are known.
    :ivar version: version of the current configuration.
    :ivar confirmed_ago_s: time since the store itself confirmed this state, seconds.
    :ivar configuration: item of the configuration; ``None`` if the receiver has it.
    :ivar endpoints: items of all endpoints; ``None`` if the receiver has them.
    :ivar evacuations: all evacuations; ``None`` if the sender doesn't follow them.
    """

    revision: int
    version: int
    confirmed_ago_s: float
    configuration: StoreItem | None
    endpoints: tuple[StoreItem, ...] | None
    evacuations: EvacuationUpdate | None = None

    def is_newer_than(self, version: int, confirmed_ago_s: float) -> bool:
        """Return whether it has a newer configuration or a later confirmation than other state."""
        return self.version > version or self.confirmed_ago_s < confirmed_ago_s


class StoreCache:
    """Follows the store: one full read, then watches.

    Versions of the configuration only rise. A deleted entry means that its endpoint has left; an
    entry that expired in an outage of the store gets a grace period to come back. While the store
    can't be reached, updates from other processes replace it; afterwards the entries are read
    again.

    A large configuration takes seconds over a slow link, in which nothing else confirms the state.
    So where it is slow, watches are shorter, and a confirmation follows each slow transfer.

    :param evacuations: gets the evacuations of data centres; ``None`` if they aren't used.
    :param lease_s: returns the silence of an endpoint after which the store removes its entry,
        seconds.
    """

    def __init__(
        self,
        store: Store,
        decoder: DocumentDecoder,
        rng: random.Random,
        evacuations: EvacuationTable | None = None,
        lease_s: Callable[[], float] = lambda: DEFAULT_LEASE_S,
    ) -> None:
        self._evacuations = evacuations if evacuations is not None else EvacuationTable()
        self._evacuations_read = False
        self._store = store
        self._decoder = decoder
        self._rng = rng
        self._configuration: RoutingConfiguration | None = None
        self._configuration_item: StoreItem | None = None
        self._entries = EntryTable(store, decoder, lease_s)
        self._revision = 0
        self._history_lost = False
        self._confirmed_at = float("-inf")
        self._last_response_at = clock.now()
        self._connected = False
        self._has_peer_configuration = False
        self._has_peer_endpoints = False
        self._last_watch_had_changes = False
        self._configuration_transfer_s = 0.0
        self._reading: asyncio.Task[StoreFailure | None] | None = None
        self._transfer_paused: asyncio.Event | None = None
        self._paused_transfer_began_at = 0.0
        self._configuration_callbacks: list[Callable[[RoutingConfiguration], None]] = []
        self._endpoint_callbacks: list[Callable[[Mapping[str, EndpointEntry]], None]] = []
        self._gap_callbacks: list[Callable[[], None]] = []
        self._confirmed = asyncio.Event()
        self._confirmation_wanted_at = float("-inf")
        self._watch_began_at: float | None = None
        self._watch_ended = False

    @property
    def configuration(self) -> RoutingConfiguration | None:
        """The current configuration, or ``None`` before the first."""
        return self._configuration

    @property
    def version(self) -> int:
        """Version of the current configuration; 0 before the first."""
        return self._configuration.version if self._configuration is not None else 0

    @property
    def endpoints(self) -> Mapping[str, EndpointEntry]:
        """Entries of endpoints by identity."""
        return self._entries.entries

    @property
    def age_s(self) -> float:
        """Time since the store confirmed the configuration, seconds; includes time suspended."""
        return clock.now() - self._confirmed_at

    @property
    def staleness_s(self) -> float:
        """Age of the oldest part of the state that gateways exchange, seconds."""
        return max(self.age_s, self._evacuations.age_s)

    @property
    def revision(self) -> int:
        """Revision of the store up to which changes are known."""
        return self._revision

    @property
    def connected(self) -> bool:
        """Whether the last call to the store succeeded."""
        return self._connected

    @property
    def receiving_s(self) -> float:
        """Time for which a response of the store is being received, seconds; 0 without one."""
        return self._store.receiving_s

    @property
    def is_receiving(self) -> bool:
        """Whether a response of the store is being received, or paused for another copy."""
        return self._store.receiving_s > 0.0 or self._transfer_paused is not None

    @property
    def failed_calls(self) -> Mapping[str, int]:
        """Number of calls to the store that failed, by phase."""
        return self._store.failures

    @property
    def has_peer_state(self) -> bool:
        """Whether some state came from other processes and the store hasn't confirmed it yet."""
        return self._has_peer_configuration or self._has_peer_endpoints

    @property
    def endpoints_digest(self) -> str:
        """Digest of the endpoints' entries; equal in processes with the same entries."""
        return self._entries.digest

    @property
    def entries(self) -> EntryTable:
        """The entries, and which of those that are listed aren't used."""
        return self._entries

    def received(self, identity: str) -> tuple[int, float]:
        """Return the revision of an entry, and the clock reading when it was first received."""
        return self._entries.received(identity)

    def on_configuration(self, callback: Callable[[RoutingConfiguration], None]) -> None:
        """Call ``callback`` with each new configuration."""
        self._configuration_callbacks.append(callback)

    def on_endpoints(self, callback: Callable[[Mapping[str, EndpointEntry]], None]) -> None:
        """Call ``callback`` with the entries after each change."""
        self._endpoint_callbacks.append(callback)

    def on_entry(self, callback: Callable[[EndpointEntry], None]) -> None:
        """Call ``callback`` with each entry that is listed, before ``on_endpoints``.

        An entry that is gone by the end of the same response is in no call of ``on_endpoints``.
        """
        self._entries.on_entry(callback)

    def on_gap(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` when entries may have come and gone without a call of ``on_entry``."""
        self._gap_callbacks.append(callback)

    async def wait_confirmed(self, after: float, timeout_s: float) -> bool:
        """Wait until the store has confirmed the state by a call that began after a clock reading.

        A watch that began before is ended for it.

        :param after: clock reading, seconds.
        :returns: whether it has, within the timeout.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while self._confirmed_at < after:
                    self._confirmation_wanted_at = max(self._confirmation_wanted_at, after)
                    if self._watch_began_at is not None and self._watch_began_at < after:
                        self._end_watch()
                    await self._confirmed.wait()
        except TimeoutError:
            _log("store.not_confirmed", waited_s=timeout_s, confirmed_ago_ms=self._age_ms())
        return self._confirmed_at >= after

    async def run(self) -> None:
        """Follow the store until cancelled."""
        backoff = Backoff(INITIAL_RETRY_DELAY_S, MAX_RETRY_DELAY_S, self._rng)
        while True:
            self._reading = asyncio.get_running_loop().create_task(self._read_next())
            try:
                failure = await self._reading
            except asyncio.CancelledError:
                task = asyncio.current_task()
                interrupted = self._watch_ended or self._transfer_paused is not None
                if not interrupted or (task is not None and task.cancelling()):
                    raise
                if self._transfer_paused is not None:
                    await self._wait_for_resumption(self._transfer_paused)
                failure = None
            finally:
                self._transfer_paused = None
                self._watch_ended = False
                self._reading = None
            if failure is None:
                backoff.reset()
                if self._last_watch_had_changes:
                    await asyncio.sleep(CHANGES_DELAY_S)
                continue
            self._record_failure(failure)
            await asyncio.sleep(backoff.next_delay())

    async def _read_next(self) -> StoreFailure | None:
        if not self._revision or self._history_lost or self._configuration is None:
            return await self._read_all()
        if self._has_peer_endpoints:
            return await self._read_endpoints_again()
        if self._evacuations.followed and not self._evacuations_read:
            # The settings have not used evacuations before.
            return await self._read_evacuations()
        return await self._watch()

    def drop_expired(self) -> None:
        """Drop entries that did not come back within the grace period."""
        if self._entries.drop_expired():
            self._notify_endpoints()

    @property
    def is_transfer_slow(self) -> bool:
        """Whether a response of the store takes long, so that another gateway's copy is faster."""
        return self.receiving_s > SLOW_TRANSFER_S and self._store.remaining_s > SLOW_TRANSFER_S

    def pause_transfer(self) -> None:
        """End the transfer from the store, which leaves the link to another gateway's copy."""
        receiving_s = self.receiving_s
        if self._reading is None or not receiving_s or self._transfer_paused is not None:
            return
        self._configuration_transfer_s = max(self._configuration_transfer_s, receiving_s)
        self._paused_transfer_began_at = clock.now() - receiving_s
        self._transfer_paused = asyncio.Event()
        self._reading.cancel()
        receiving_ms = round(receiving_s * clock.MILLISECONDS_PER_SECOND)
        _log("store.transfer_paused", receiving_ms=receiving_ms)

    def resume_transfer(self) -> None:
        """Read from the store again."""
        if self._transfer_paused is not None:
            self._transfer_paused.set()

    def build_update(
        self, version: int, endpoints_digest: str, *, with_endpoints: bool = True
    ) -> StoreUpdate | None:
        """Build an update for another process.

        :param version: of the configuration that the other process has.
        :param endpoints_digest: of the entries that the other process has.
        :param with_endpoints: whether the other process asks for entries.
        :returns: ``None`` before the first configuration.
        """
        configuration = self._configuration
        if configuration is None:
            return None
        same_endpoints = endpoints_digest == self.endpoints_digest
        return StoreUpdate(
            self._revision,
            configuration.version,
            self.age_s,
            self._configuration_item if configuration.version > version else None,
            self._entries.items if with_endpoints and not same_endpoints else None,
            self._evacuations.build_update(),
        )

    def apply_update(self, update: StoreUpdate, requested_at: float) -> bool:
        """Apply the state of another process if it is newer.

        A newer configuration is applied whenever it was confirmed; only a later confirmation renews
        the trust in API keys.

        :param requested_at: clock reading when the update was requested; its age counts from
            then, so that it never seems newer than it is.
        :returns: whether it was newer.
        """
        confirmed_at = requested_at - update.confirmed_ago_s
        version = self.version
        renewed = update.evacuations is not None and self._evacuations.apply_update(
            update.evacuations, requested_at
        )
        if not update.is_newer_than(version, clock.now() - self._confirmed_at):
            return renewed
        if update.configuration is not None:
            self._apply_configuration(update.configuration)
        if self._configuration is None or self._configuration.version < update.version:
            return False
        if self._transfer_paused is not None and self._configuration.version > version:
            self._configuration_transfer_s = clock.now() - self._paused_transfer_began_at
        if update.endpoints is not None and update.revision >= self._revision:
            self._entries.merge(update.endpoints, update.revision)
            self._notify_endpoints()
        self._notify_gap()
        self._revision = max(self._revision, update.revision)
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        self._has_peer_configuration = True
        self._has_peer_endpoints = True
        return True

    async def _wait_for_resumption(self, resumed: asyncio.Event) -> None:
        try:
            async with asyncio.timeout(MAX_TRANSFER_PAUSE_S):
                await resumed.wait()
        except TimeoutError:
            _log("store.transfer_resumed", reason="another gateway's copy takes too long")

    async def _read_all(self) -> StoreFailure | None:
        result = await self._store.read_configuration()
        if not is_successful(result):
            return result.failure()
        configuration = result.unwrap()
        entries = await self._read_pages(self._store.read_endpoints)
        if isinstance(entries, StoreFailure):
            return entries
        # Read and applied before any endpoint is: no request may go to an evacuated one.
        failure = await self._read_evacuations()
        if failure is not None:
            return failure
        self._record_response()
        for item in configuration.items:
            self._apply_configuration(item)
        self._replace_endpoints(entries.items, entries.revision)
        self._history_lost = False
        # Changes of evacuations after this revision come again; the table ignores repetitions.
        self._revision = min(configuration.revision, entries.revision)
        self._has_peer_configuration = False
        self._has_peer_endpoints = False
        self._last_watch_had_changes = False
        self._record_transfer(configuration)
        self._confirm(configuration)
        return None

    async def _read_endpoints_again(self) -> StoreFailure | None:
        """Replace the entries of another process; the next watch confirms its configuration."""
        entries = await self._read_pages(self._store.read_endpoints)
        if isinstance(entries, StoreFailure):
            return entries
        failure = await self._read_evacuations()
        if failure is not None:
            return failure
        self._record_response()
        self._replace_endpoints(entries.items, entries.revision)
        self._revision = min(self._revision, entries.revision)
        self._has_peer_endpoints = False
        self._last_watch_had_changes = False
        return None

    async def _read_evacuations(self) -> StoreFailure | None:
        """Read all evacuations and apply them; do nothing if the settings don't use them."""
        if not self._evacuations.followed:
            return None
        read = await self._read_pages(self._store.read_evacuations)
        if isinstance(read, StoreFailure):
            return read
        revisions = {
            self._store.evacuated_data_centre(item.key): item.revision for item in read.items
        }
        revisions.pop("", None)
        self._evacuations.apply_all(revisions, read.revision, Source.STORE)
        self._evacuations.confirm(read.revision, read.requested_at)
        self._evacuations_read = True
        return None

    async def _read_pages(
        self, read_page: Callable[[str], Awaitable[StoreResult]]
    ) -> StoreResponse | StoreFailure:
        """Read all items of one kind, page by page.

        A failed page is requested again: when many processes start at once, the store rejects
        calls, and reading all pages again would only cause more of them.

        :param read_page: reads the page after a key.
        :returns: all items, as of the first page: a watch from there covers later changes.
        """
        pages: list[StoreResponse] = []
        backoff = Backoff(INITIAL_RETRY_DELAY_S, MAX_RETRY_DELAY_S, self._rng)
        failures = 0
        while not pages or pages[-1].next_page_key:
            result = await read_page(pages[-1].next_page_key if pages else "")
            if is_successful(result):
                pages.append(result.unwrap())
                failures = 0
                backoff.reset()
                continue
            failures += 1
            if failures >= MAX_PAGE_TRIES:
                return result.failure()
            await asyncio.sleep(backoff.next_delay())
        items = tuple(item for page in pages for item in page.items)
        copied_until = pages[-1].copied_until
        self._entries.note_copy(copied_until)
        self._evacuations.note_copy(copied_until)
        return StoreResponse(
            items, pages[0].revision, pages[0].requested_at, copied_until=copied_until
        )

    def _end_watch(self) -> None:
        """End a watch that waits for changes, unless its response has begun to arrive."""
        if self._reading is not None and not self._store.receiving_s:
            self._watch_ended = True
            self._reading.cancel()

    async def _watch(self) -> StoreFailure | None:
        self._watch_began_at = clock.now()
        try:
            result = await self._store.watch(self._revision, self._watch_wait_s())
        finally:
            self._watch_began_at = None
        if not is_successful(result):
            return result.failure()
        response = result.unwrap()
        self._record_response()
        self._last_watch_had_changes = bool(response.items)
        changed = False
        self._apply_evacuations(response)
        for item in response.items:
            if self._store.is_configuration(item.key):
                self._record_transfer(response)
                self._apply_configuration(item)
            elif self._store.endpoint_identity(item.key):
                changed = self._entries.apply(item) or changed
        if changed:
            self._notify_endpoints()
        self._revision = max(self._revision, response.revision)
        self._has_peer_configuration = False
        self._confirm(response)
        return None

    def _apply_evacuations(self, response: StoreResponse) -> None:
        """Apply what a watch has brought, before endpoints that come with it."""
        for item in response.items:
            data_centre = self._store.evacuated_data_centre(item.key)
            if data_centre:
                evacuated = item.value is not None
                self._evacuations.apply(data_centre, item.revision, evacuated, Source.STORE)
        self._evacuations.confirm(response.revision, response.requested_at)

    def _watch_wait_s(self) -> float:
        """Return the wait for changes that leaves time to receive a changed configuration."""
        wait_s = (MAX_AGE_IN_TRANSFER_S - self._configuration_transfer_s) / 2.0
        wait_s = min(WATCH_WAIT_S, max(MIN_WATCH_WAIT_S, wait_s))
        is_wanted = self._confirmation_wanted_at > self._confirmed_at
        is_late = self.age_s > wait_s + MAX_CONFIRMATION_LAG_S
        return CONFIRMING_WAIT_S if is_wanted or is_late else wait_s

    def _record_transfer(self, response: StoreResponse) -> None:
        self._configuration_transfer_s = response.transfer_s

    def _confirm(self, response: StoreResponse) -> None:
        if self._configuration is not None:
            self._confirmed_at = max(self._confirmed_at, response.requested_at)
            self._confirmed.set()
            self._confirmed = asyncio.Event()
        if self._entries.confirm(response.requested_at):
            self._notify_endpoints()

    def _record_response(self) -> None:
        now = clock.now()
        if not self._connected:
            self._connected = True
            _log("store.connected", silent_s=round(now - self._last_response_at, 3))
            if now - self._last_response_at > EXPIRY_OUTAGE_S:
                self._entries.begin_grace()
        self._last_response_at = now

    def _record_failure(self, failure: StoreFailure) -> None:
        self._history_lost = self._history_lost or failure.history_lost
        if self._connected and not failure.history_lost:
            self._connected = False
            _log("store.lost", reason=failure.reason, revision=self._revision)

    def _apply_configuration(self, item: StoreItem) -> None:
        if item.value is None:
            _log("configuration.refused", reason="the item was deleted", revision=item.revision)
            return
        started_at = clock.now()
        decoded = self._decoder.configuration(item.value)
        decoding_s = clock.now() - started_at
        if not is_successful(decoded):
            _log("configuration.refused", reason=decoded.failure(), revision=item.revision)
            return
        configuration = decoded.unwrap()
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return
        self._configuration = configuration
        self._configuration_item = item
        _log(
            "configuration.in_force",
            version=configuration.version,
            before=current.version if current is not None else 0,
            revision=item.revision,
            bytes=len(item.value),
            confirmed_ago_ms=self._age_ms(),
            decoding_ms=round(decoding_s * clock.MILLISECONDS_PER_SECOND),
        )
        for callback in self._configuration_callbacks:
            callback(configuration)

    def _age_ms(self) -> int | None:
        """Return the age of the store's confirmation, milliseconds; ``None`` before the first."""
        return round(self.age_s * clock.MILLISECONDS_PER_SECOND) if self.age_s < math.inf else None

    def _replace_endpoints(self, items: Iterable[StoreItem], revision: int) -> None:
        self._entries.replace(items, revision)
        self._notify_gap()
        self._notify_endpoints()

    def _notify_gap(self) -> None:
        for callback in self._gap_callbacks:
            callback()

    def _notify_endpoints(self) -> None:
        for callback in self._endpoint_callbacks:
            callback(self._entries.entries)


def _log(event: str, **fields: object) -> None:
    logging.info(event, extra={"fields": fields})
