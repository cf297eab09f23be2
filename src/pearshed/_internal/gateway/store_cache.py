"""What this process knows of the platform's store, and how fresh that is."""

import abc
import asyncio
import hashlib
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from absl import logging
from returns.pipeline import is_successful
from returns.result import Result

from pearshed._internal.gateway.store import Store, StoreFailure, StoreItem, StoreResponse
from pearshed._internal.models.routing import (
    EndpointEntry,
    EndpointState,
    RoutingConfiguration,
)
from pearshed._internal.timers import clock
from pearshed._internal.utils.backoff import Backoff

#: Wait of one watch, seconds. Each answer confirms the configuration as of its question; others
#: are asked in time for their news when an answer is lost (``peer_sync``).
WATCH_WAIT_S = 1.5
#: Pause after an answer that brought changes, seconds: changes come in series, and each would end
#: the next watch at once. Changes must be known within seconds, and calls are priced.
CHANGES_PAUSE_S = 0.25
RETRY_FIRST_S = 0.1
#: A store that is back is noticed within this time; calls are priced, refused ones too.
RETRY_LONGEST_S = 0.6
#: Times that one page of entries is asked for; after that the store is taken as down.
MAX_PAGE_TRIES = 4
#: Outages shorter than this let no entry lapse: entries outlive three heartbeats of over 1 s.
EXPIRY_OUTAGE_S = 1.5
#: Entries that lapsed in an outage are back this long after it, if their endpoint lives.
EXPIRY_GRACE_S = 2.0
_DIGEST_BYTES = 8


class DocumentDecoder(abc.ABC):
    """Decodes the platform's documents."""

    @abc.abstractmethod
    def configuration(self, document: bytes) -> Result[RoutingConfiguration, str]:
        """Decode a configuration."""

    @abc.abstractmethod
    def endpoint(self, identity: str, document: bytes) -> Result[EndpointEntry, str]:
        """Decode an endpoint's entry."""


@dataclass(frozen=True, slots=True)
class StoreUpdate:
    """What a process knows of the store, as it tells others.

    :ivar revision: revision of the store up to which changes are known.
    :ivar version: version of the configuration in force.
    :ivar confirmed_ago_s: time since the store itself confirmed all this, seconds.
    :ivar configuration: the item that holds the configuration; nothing where it is known.
    :ivar endpoints: items of all endpoints; nothing where they are known.
    """

    revision: int
    version: int
    confirmed_ago_s: float
    configuration: StoreItem | None
    endpoints: tuple[StoreItem, ...] | None


class StoreCache:
    """Follows the store: one full read, then watches.

    Versions of the configuration only rise. An entry that is deleted names an endpoint that
    leaves; one that lapsed while the store was away gets a grace to come back. While the store
    can't be reached, news of other processes takes its place; once it is back, all is read anew.
    """

    def __init__(self, store: Store, decode: DocumentDecoder, source: random.Random) -> None:
        self._store = store
        self._decode = decode
        self._random = source
        self._configuration: RoutingConfiguration | None = None
        self._configuration_item: StoreItem | None = None
        self._endpoints: dict[str, EndpointEntry] = {}
        self._items: dict[str, StoreItem] = {}
        self._digest = ""
        self._revisions: dict[str, int] = {}
        self._lapsed: dict[str, float] = {}
        self._revision = 0
        self._confirmed = float("-inf")
        self._heard = clock.now()
        self._grace_until = float("-inf")
        self._connected = False
        self._has_peer_state = False
        self._heard_changes = False
        self._configuration_callbacks: list[Callable[[RoutingConfiguration], None]] = []
        self._endpoint_callbacks: list[Callable[[Mapping[str, EndpointEntry]], None]] = []

    @property
    def configuration(self) -> RoutingConfiguration | None:
        """The configuration in force, or nothing before the first."""
        return self._configuration

    @property
    def endpoints(self) -> Mapping[str, EndpointEntry]:
        """Entries of endpoints by identity."""
        return self._endpoints

    @property
    def age_s(self) -> float:
        """Time since the store confirmed the configuration, seconds, suspension included."""
        return clock.now() - self._confirmed

    @property
    def revision(self) -> int:
        """Revision of the store up to which changes are known."""
        return self._revision

    @property
    def connected(self) -> bool:
        """Whether the last call to the store was answered."""
        return self._connected

    @property
    def has_peer_state(self) -> bool:
        """Whether some of this was told by other processes and not yet by the store."""
        return self._has_peer_state

    @property
    def endpoints_digest(self) -> str:
        """Names the entries of endpoints; equal in processes that know the same ones."""
        if not self._digest:
            digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
            for identity, item in sorted(self._items.items()):
                digest.update(f"{identity} {item.revision}\n".encode())
            self._digest = digest.hexdigest()
        return self._digest

    def on_configuration(self, callback: Callable[[RoutingConfiguration], None]) -> None:
        """Call ``callback`` with each new configuration."""
        self._configuration_callbacks.append(callback)

    def on_endpoints(self, callback: Callable[[Mapping[str, EndpointEntry]], None]) -> None:
        """Call ``callback`` with the entries after each change."""
        self._endpoint_callbacks.append(callback)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        backoff = Backoff(RETRY_FIRST_S, RETRY_LONGEST_S, self._random)
        while True:
            known = self._revision and not self._has_peer_state
            failure = await (self._watch() if known else self._read_all())
            if failure is None:
                backoff.reset()
                if self._heard_changes:
                    await asyncio.sleep(CHANGES_PAUSE_S)
                continue
            if failure.history_lost:
                self._revision = 0
            self._note_failure(failure)
            await asyncio.sleep(backoff.next_delay())

    def drop_expired(self) -> None:
        """Drop entries whose grace to come back is over."""
        moment = clock.now()
        over = [identity for identity, until in self._lapsed.items() if until <= moment]
        for identity in over:
            del self._lapsed[identity]
            self._drop_endpoint(identity)
            _log("endpoint.gone", identity=identity, cause="entry did not come back")
        if over:
            self._announce_endpoints()

    def build_update(self, version: int, endpoints_digest: str) -> StoreUpdate | None:
        """Tell another process what is known here.

        :param version: of the configuration that the other has.
        :param endpoints_digest: of the entries that the other has.
        :returns: nothing before the first configuration.
        """
        configuration = self._configuration
        if configuration is None:
            return None
        same = endpoints_digest == self.endpoints_digest
        return StoreUpdate(
            self._revision,
            configuration.version,
            self.age_s,
            self._configuration_item if configuration.version > version else None,
            None if same else tuple(self._items.values()),
        )

    def apply_update(self, update: StoreUpdate, requested_at: float) -> bool:
        """Take what another process knows, as far as it is newer.

        :param requested_at: clock reading at which the other was asked: the store's word is no
            younger than its age at that moment.
        :returns: whether it was newer.
        """
        confirmed = requested_at - update.confirmed_ago_s
        if confirmed <= self._confirmed:
            return False
        if update.configuration is not None:
            self._take_configuration(update.configuration)
        if self._configuration is None or self._configuration.version < update.version:
            return False
        if update.endpoints is not None and update.revision >= self._revision:
            self._replace_endpoints(update.endpoints)
        self._revision = max(self._revision, update.revision)
        self._confirmed = confirmed
        self._has_peer_state = True
        return True

    async def _read_all(self) -> StoreFailure | None:
        read = await self._store.read_configuration()
        if not is_successful(read):
            return read.failure()
        configuration = read.unwrap()
        entries = await self._read_endpoints()
        if isinstance(entries, StoreFailure):
            return entries
        self._note_answer()
        for item in configuration.items:
            self._take_configuration(item)
        self._replace_endpoints(entries.items)
        self._revision = min(configuration.revision, entries.revision)
        self._has_peer_state = False
        self._heard_changes = False
        self._confirm(configuration)
        return None

    async def _read_endpoints(self) -> StoreResponse | StoreFailure:
        """Read the entries of all endpoints, page by page.

        A page that fails is asked for again: when many processes start at once, the store turns
        calls away, and reading everything anew would only bring more.

        :returns: all entries, as of the first page: a watch from there covers later changes.
        """
        pages: list[StoreResponse] = []
        backoff = Backoff(RETRY_FIRST_S, RETRY_LONGEST_S, self._random)
        failed = 0
        while not pages or pages[-1].next_page_key:
            read = await self._store.read_endpoints(pages[-1].next_page_key if pages else "")
            if is_successful(read):
                pages.append(read.unwrap())
                failed = 0
                backoff.reset()
                continue
            failed += 1
            if failed >= MAX_PAGE_TRIES:
                return read.failure()
            await asyncio.sleep(backoff.next_delay())
        items = tuple(item for page in pages for item in page.items)
        return StoreResponse(items, pages[0].revision, pages[0].requested_at)

    async def _watch(self) -> StoreFailure | None:
        watched = await self._store.watch(self._revision, WATCH_WAIT_S)
        if not is_successful(watched):
            return watched.failure()
        answer = watched.unwrap()
        self._note_answer()
        self._heard_changes = bool(answer.items)
        touched = False
        for item in answer.items:
            if self._store.is_configuration(item.key):
                self._take_configuration(item)
            elif self._store.endpoint_identity(item.key):
                touched = self._take_endpoint(item) or touched
        if touched:
            self._announce_endpoints()
        self._revision = max(self._revision, answer.revision)
        self._confirm(answer)
        return None

    def _confirm(self, answer: StoreResponse) -> None:
        if self._configuration is not None:
            self._confirmed = max(self._confirmed, answer.requested_at)

    def _note_answer(self) -> None:
        moment = clock.now()
        if not self._connected:
            self._connected = True
            _log("store.connected", silent_s=round(moment - self._heard, 3))
            if moment - self._heard > EXPIRY_OUTAGE_S:
                self._grace_until = moment + EXPIRY_GRACE_S
        self._heard = moment

    def _note_failure(self, failure: StoreFailure) -> None:
        if self._connected and not failure.history_lost:
            self._connected = False
            _log("store.lost", reason=failure.reason, revision=self._revision)

    def _take_configuration(self, item: StoreItem) -> None:
        if item.value is None:
            _log("configuration.refused", reason="the item was deleted", revision=item.revision)
            return
        decoded = self._decode.configuration(item.value)
        if not is_successful(decoded):
            _log("configuration.refused", reason=decoded.failure(), revision=item.revision)
            return
        configuration = decoded.unwrap()
        held = self._configuration
        if held is not None and configuration.version <= held.version:
            return
        self._configuration = configuration
        self._configuration_item = item
        _log(
            "configuration.in_force",
            version=configuration.version,
            before=held.version if held is not None else 0,
            revision=item.revision,
        )
        for callback in self._configuration_callbacks:
            callback(configuration)

    def _replace_endpoints(self, items: Iterable[StoreItem]) -> None:
        listed = set()
        for item in items:
            identity = self._store.endpoint_identity(item.key)
            if identity:
                listed.add(identity)
                self._take_endpoint(item)
        for identity in self._endpoints.keys() - listed:
            self._lose_endpoint(identity)
        self._announce_endpoints()

    def _take_endpoint(self, item: StoreItem) -> bool:
        identity = self._store.endpoint_identity(item.key)
        if item.revision < self._revisions.get(identity, 0):
            return False
        self._revisions[identity] = item.revision
        if item.value is None:
            return self._lose_endpoint(identity)
        decoded = self._decode.endpoint(identity, item.value)
        if not is_successful(decoded):
            _log("endpoint.refused", identity=identity, reason=decoded.failure())
            return self._lose_endpoint(identity)
        entry = decoded.unwrap()
        held = self._endpoints.get(identity)
        self._endpoints[identity] = entry
        self._items[identity] = item
        self._digest = ""
        self._lapsed.pop(identity, None)
        if held is None or held.state is not entry.state:
            _log(
                "endpoint.listed",
                identity=identity,
                service=entry.service,
                address=str(entry.address),
                state=entry.state.value,
                revision=item.revision,
            )
        return held != entry

    def _lose_endpoint(self, identity: str) -> bool:
        entry = self._endpoints.get(identity)
        if entry is None or identity in self._lapsed:
            return False
        if clock.now() < self._grace_until and entry.state is EndpointState.READY:
            self._lapsed[identity] = self._grace_until
            _log("endpoint.lapsed", identity=identity, service=entry.service)
            return False
        self._drop_endpoint(identity)
        _log("endpoint.gone", identity=identity, cause="entry removed")
        return True

    def _drop_endpoint(self, identity: str) -> None:
        self._endpoints.pop(identity, None)
        self._items.pop(identity, None)
        self._digest = ""

    def _announce_endpoints(self) -> None:
        for callback in self._endpoint_callbacks:
            callback(self._endpoints)


def _log(event: str, **fields: object) -> None:
    logging.info(event, extra={"fields": fields})
