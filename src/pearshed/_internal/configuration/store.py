"""The configuration records that this process has accepted."""

from collections.abc import Callable, Iterable

from absl import logging
from returns.pipeline import is_successful

from pearshed._internal.configuration.catalogue import Catalogue, update_catalogue
from pearshed._internal.configuration.feed import Feed, FeedName
from pearshed._internal.configuration.parser import RecordProblemError, parse_document
from pearshed._internal.models.records import Record, RecordKind, RecordValue

CatalogueCallback = Callable[[Catalogue], None]


class RecordStore(Feed):
    """Holds the highest accepted revision of each record.

    A record that is refused leaves its last accepted revision in force.
    """

    def __init__(self) -> None:
        super().__init__(FeedName.RECORDS)
        self._records: dict[tuple[RecordKind, str], Record] = {}
        self._values: dict[RecordKind, dict[str, RecordValue]] = {kind: {} for kind in RecordKind}
        self._touched: set[RecordKind] = set()
        self._refused: dict[str, RecordProblemError] = {}
        self._catalogue = Catalogue()
        self._callbacks: list[CatalogueCallback] = []

    @property
    def catalogue(self) -> Catalogue:
        """The records in force."""
        return self._catalogue

    @property
    def refused(self) -> tuple[RecordProblemError, ...]:
        """Records refused since the last accepted revision of each."""
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
            logging.error("refused %s; its last accepted revision stays in force", problem)
            return False
        record = parsed.unwrap()
        held = self._records.get(record.key)
        if held is not None and held.revision >= record.revision:
            return False
        self._records[record.key] = record
        self._put(record)
        self._refused.pop(f"{record.kind}/{record.name}", None)
        return True

    def _put(self, record: Record) -> None:
        values = self._values[record.kind]
        if record.value is None:
            values.pop(record.name, None)
        else:
            values[record.name] = record.value
        self._touched.add(record.kind)

    def _changed(self, accepted: int) -> None:
        changed = {kind: dict(self._values[kind]) for kind in self._touched}
        self._touched.clear()
        self._catalogue = update_catalogue(self._catalogue, self._revision, changed)
        logging.info("configuration revision %d in force, %d changed", self._revision, accepted)
        for callback in self._callbacks:
            callback(self._catalogue)
