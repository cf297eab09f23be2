"""Interface to the platform's store: items by key, and changes since a revision."""

import abc
from collections.abc import Mapping
from dataclasses import dataclass, field

from returns.result import Result

from pearshed._internal.models.routing import EndpointEntry, RoutingConfiguration


@dataclass(frozen=True, slots=True)
class StoreItem:
    """One item of the store, or its deletion.

    :ivar revision: revision of its last change.
    :ivar value: ``None`` when the item was deleted.
    """

    key: str
    revision: int
    value: bytes | None = field(repr=False)


@dataclass(frozen=True, slots=True)
class StoreResponse:
    """Items that were read or changed.

    :ivar revision: revision of the whole store that the response covers.
    :ivar requested_at: clock reading when the request was sent: the response is no older.
    :ivar next_page_key: key after which more items follow; empty when all that match were read.
    :ivar transfer_s: time from the response's head to its end, seconds.
    :ivar copied_until: revision up to which items may come from a copy of an earlier state, from
        which the store has come back; 0 if it has not.
    """

    items: tuple[StoreItem, ...]
    revision: int
    requested_at: float
    next_page_key: str = ""
    transfer_s: float = 0.0
    copied_until: int = 0


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """A failed call to the store.

    :ivar history_lost: the requested revision is too old; everything must be read again.
    """

    reason: str
    history_lost: bool = False


StoreResult = Result[StoreResponse, StoreFailure]


class DocumentDecoder(abc.ABC):
    """Decodes the platform's documents."""

    @abc.abstractmethod
    def configuration(self, document: bytes) -> Result[RoutingConfiguration, str]:
        """Decode a configuration."""

    @abc.abstractmethod
    def endpoint(self, identity: str, document: bytes) -> Result[EndpointEntry, str]:
        """Decode an endpoint's entry."""


class Store(abc.ABC):
    """Reads and watches the platform's store.

    Revisions only rise, also when the store comes back from a copy of an earlier state.
    """

    @abc.abstractmethod
    async def read_configuration(self) -> StoreResult:
        """Read the item that holds the configuration."""

    @abc.abstractmethod
    async def read_endpoints(self, after: str) -> StoreResult:
        """Read one page of the entries of endpoints; several pages are not one snapshot.

        :param after: key after which the page starts; empty for the first.
        """

    @abc.abstractmethod
    async def read_evacuations(self, after: str) -> StoreResult:
        """Read one page of the items that name evacuated data centres.

        :param after: key after which the page starts; empty for the first.
        """

    @abc.abstractmethod
    async def watch(self, after: int, wait_s: float) -> StoreResult:
        """Wait for changes after a revision.

        :returns: the changes; none when ``wait_s`` passed without one.
        """

    @property
    @abc.abstractmethod
    def failures(self) -> Mapping[str, int]:
        """Number of calls without a complete response, by the phase in which they failed."""

    @property
    @abc.abstractmethod
    def receiving_s(self) -> float:
        """Time for which the current response is being received, seconds; 0 without one."""

    @property
    @abc.abstractmethod
    def remaining_s(self) -> float:
        """Time until the current response is received, seconds; 0 if it isn't known."""

    @abc.abstractmethod
    def is_configuration(self, key: str) -> bool:
        """Return whether a key is the configuration's."""

    @abc.abstractmethod
    def endpoint_identity(self, key: str) -> str:
        """Return the identity of an endpoint from the key of its entry; empty for other keys."""

    @abc.abstractmethod
    def evacuated_data_centre(self, key: str) -> str:
        """Return the data centre that an item evacuates, from its key; empty for other keys."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection."""
