"""Stores the accepted configuration records and publishes them as catalogues."""

from collections.abc import Callable, Iterable

from absl import logging
from returns.pipeline import is_successful

from pearshed._internal.configuration.catalogue import Catalogue, update_catalogue
from pearshed._internal.configuration.feed import Feed, FeedName
from pearshed._internal.configuration.parser import RecordProblemError, parse_document
from pearshed._internal.models.records import Record, RecordKind, RecordValue

CatalogueCallback = Callable[[Catalogue], None]


class RecordStore(Feed):
    """Stores the highest accepted revision of each record.

    If a new revision of a record is refused, the last accepted one stays in force.
    """

    def __init__(self) -> None:
        super().__init__(FeedName.RECORDS)
        self._records: dict[tuple[RecordKind, str], Record] = {}
        self._values: dict[RecordKind, dict[str, RecordValue]] = {kind: {} for kind in RecordKind}
        self._changed_kinds: set[RecordKind] = set()
        self._refused: dict[str, RecordProblemError] = {}
        self._catalogue = Catalogue()
        self._callbacks: list[CatalogueCallback] = []

    @property
    def catalogue(self) -> Catalogue:
        """The records in force."""
        return self._catalogue

    @property
    def refused(self) -> tuple[RecordProblemError, ...]:
        """Problems of the records whose latest revision was refused."""
        return tuple(self._refused.values())

    def subscribe(self, callback: CatalogueCallback) -> None:
        """Call ``callback`` with each new catalogue."""
        self._callbacks.append(callback)

    def documents_after(self, revision: int) -> tuple[bytes, ...]:
        """List the accepted records that are newer than a revision."""
        records = (record for record in self._records.values() if record.revision > revision)
        return tuple(record.document for record in records)

    def _accept_all(self, documents: Iterable[bytes]) -> int:
        return sum(self._accept(document) for document in documents)

    def _accept(self, document: bytes) -> bool:
        parsed = parse_document(document)
        if not is_successful(parsed):
            problem = parsed.failure()
            self._refused[problem.record] = problem
            logging.error("refused %s; the last accepted revision stays in force", problem)
            return False
        record = parsed.unwrap()
        current = self._records.get(record.key)
        if current is not None and current.revision >= record.revision:
            return False
        self._records[record.key] = record
        self._update_value(record)
        self._refused.pop(f"{record.kind}/{record.name}", None)
        return True

    def _update_value(self, record: Record) -> None:
        values = self._values[record.kind]
        if record.value is None:
            values.pop(record.name, None)
        else:
            values[record.name] = record.value
        self._changed_kinds.add(record.kind)

    def _changed(self, accepted: int) -> None:
        changed = {kind: dict(self._values[kind]) for kind in self._changed_kinds}
        self._changed_kinds.clear()
        self._catalogue = update_catalogue(self._catalogue, self._revision, changed)
        logging.info(
            "configuration revision %d is in force, %d records changed", self._revision, accepted
        )
        for callback in self._callbacks:
            callback(self._catalogue)
