"""What this process knows of the platform's store, and how fresh that is."""

import abc
import asyncio
import random
from collections.abc import Callable, Mapping

from absl import logging
from returns.pipeline import is_successful
from returns.result import Result

from pearshed._internal.gateway.store import Store, StoreAnswer, StoreFailure, StoreItem
from pearshed._internal.models.routing import (
    EndpointEntry,
    EndpointState,
    RoutingConfiguration,
)
from pearshed._internal.timers import clock
from pearshed._internal.utils.backoff import Backoff

#: Wait of one watch, seconds. Each answer confirms the configuration, which must be confirmed
#: several times within the few seconds after which keys are refused.
WATCH_WAIT_S = 1.2
RETRY_FIRST_S = 0.1
#: A store that is back is noticed within this time; calls are priced, refused ones too.
RETRY_LONGEST_S = 0.6
#: Outages shorter than this let no entry lapse: entries outlive three heartbeats of over 1 s.
LAPSE_OUTAGE_S = 1.5
#: Entries that lapsed in an outage are back this long after it, if their endpoint lives.
LAPSE_GRACE_S = 2.0


class DecodeDocuments(abc.ABC):
    """Decodes the platform's documents."""

    @abc.abstractmethod
    def configuration(self, document: bytes) -> Result[RoutingConfiguration, str]:
        """Decode a configuration."""

    @abc.abstractmethod
    def endpoint(self, identity: str, document: bytes) -> Result[EndpointEntry, str]:
        """Decode an endpoint's entry."""


class Knowledge:
    """Follows the store: one full read, then watches.

    Versions of the configuration only rise. An entry that is deleted names an endpoint that
    leaves; one that lapsed while the store was away gets a grace to come back.
    """

    def __init__(self, store: Store, decode: DecodeDocuments, source: random.Random) -> None:
        self._store = store
        self._decode = decode
        self._random = source
        self._configuration: RoutingConfiguration | None = None
        self._endpoints: dict[str, EndpointEntry] = {}
        self._revisions: dict[str, int] = {}
        self._lapsed: dict[str, float] = {}
        self._revision = 0
        self._confirmed = float("-inf")
        self._heard = clock.now()
        self._grace_until = float("-inf")
        self._connected = False
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
            failure = await (self._watch() if self._revision else self._read_all())
            if failure is None:
                backoff.reset()
                continue
            if failure.history_lost:
                self._revision = 0
            self._note_failure(failure)
            await asyncio.sleep(backoff.next_delay())

    def sweep(self) -> None:
        """Drop entries whose grace to come back is over."""
        moment = clock.now()
        over = [identity for identity, until in self._lapsed.items() if until <= moment]
        for identity in over:
            del self._lapsed[identity]
            self._endpoints.pop(identity, None)
            _log("endpoint.gone", identity=identity, cause="entry did not come back")
        if over:
            self._announce_endpoints()

    async def _read_all(self) -> StoreFailure | None:
        read = await self._store.read_configuration()
        if not is_successful(read):
            return read.failure()
        configuration = read.unwrap()
        listed = await self._store.read_endpoints()
        if not is_successful(listed):
            return listed.failure()
        entries = listed.unwrap()
        self._note_answer()
        for item in configuration.items:
            self._take_configuration(item)
        self._replace_endpoints(entries)
        self._revision = min(configuration.revision, entries.revision)
        self._confirm(configuration)
        return None

    async def _watch(self) -> StoreFailure | None:
        watched = await self._store.watch(self._revision, WATCH_WAIT_S)
        if not is_successful(watched):
            return watched.failure()
        answer = watched.unwrap()
        self._note_answer()
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

    def _confirm(self, answer: StoreAnswer) -> None:
        if self._configuration is not None:
            self._confirmed = max(self._confirmed, answer.asked)

    def _note_answer(self) -> None:
        moment = clock.now()
        if not self._connected:
            self._connected = True
            _log("store.connected", silent_s=round(moment - self._heard, 3))
            if moment - self._heard > LAPSE_OUTAGE_S:
                self._grace_until = moment + LAPSE_GRACE_S
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
        _log(
            "configuration.in_force",
            version=configuration.version,
            before=held.version if held is not None else 0,
            revision=item.revision,
        )
        for callback in self._configuration_callbacks:
            callback(configuration)

    def _replace_endpoints(self, answer: StoreAnswer) -> None:
        listed = set()
        for item in answer.items:
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
        del self._endpoints[identity]
        _log("endpoint.gone", identity=identity, cause="entry removed")
        return True

    def _announce_endpoints(self) -> None:
        for callback in self._endpoint_callbacks:
            callback(self._endpoints)


def _log(event: str, **fields: object) -> None:
    logging.info(event, extra={"fields": fields})
