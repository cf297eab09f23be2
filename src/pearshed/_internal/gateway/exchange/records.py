"""Interface of the records that gateways spread among themselves."""

import abc
import random
from collections.abc import Iterable, Sequence

from pearshed._internal.gateway.exchange.messages import Row


class SharedRecords(abc.ABC):
    """Records of one kind.

    Merging is commutative and idempotent, so lost, late and repeated datagrams are harmless. Times
    are sent as ages, which may only grow on the way.
    """

    @property
    @abc.abstractmethod
    def kind(self) -> str:
        """Name of the kind in messages."""

    @abc.abstractmethod
    def sample(self, rng: random.Random, most: int) -> Sequence[Row]:
        """Return records to send.

        :param most: their largest number.
        """

    @abc.abstractmethod
    def merge(self, sender: str, rows: Iterable[Row]) -> None:
        """Merge records of another gateway.

        :param sender: its host.
        :raises ValueError: when a record is malformed; those before it are merged.
        """

    @abc.abstractmethod
    def drop_expired(self) -> None:
        """Drop records that are too old."""
