"""Store of the newest valid version of each published document."""

import hashlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum

from returns.result import Failure, Result, Success

from cardamomtiller.finding import Finding
from cardamomtiller.identity import DocumentName, Version
from cardamomtiller.lists.catalog import Catalog, build_catalog
from cardamomtiller.lists.document import Document, Row, parse_document

DIGEST_BYTES = 8


class OfferOutcome(Enum):
    """Outcome of an offer to the store; the values are suffixes of counter names."""

    TAKEN = 'taken'
    SAME = 'same'
    OLDER = 'older'


@dataclass(frozen=True, slots=True)
class HeldDocument:
    """Stored document with its rows and the monotonic time at which it was stored."""

    document: Document
    rows: tuple[Row, ...]
    stored_ms: float


class SnapshotStore:
    """
    Store the newest valid version of each document.

    A version that is not newer is ignored. A document with findings is refused as a
    whole, and the stored version of it stays in use.
    """

    def __init__(self) -> None:
        """Create a store without documents."""
        self._held: dict[DocumentName, HeldDocument] = {}
        self._catalog = Catalog()
        self._digest = _digest_versions({})
        self.refused: dict[DocumentName, tuple[Finding, ...]] = {}

    @property
    def catalog(self) -> Catalog:
        """Return the lookup tables of the stored documents."""
        return self._catalog

    def versions(self) -> Mapping[DocumentName, Version]:
        """Return the stored version of each document."""
        return {name: held.document.version for name, held in self._held.items()}

    def documents(self) -> Iterator[Document]:
        """Iterate over the stored documents, sorted by name."""
        for name in sorted(self._held):
            yield self._held[name].document

    def newer_documents(
        self, versions: Mapping[DocumentName, Version]
    ) -> Iterator[Document]:
        """Iterate over the documents that are newer than ``versions`` or not in it."""
        for document in self.documents():
            if document.version > versions.get(document.name, Version(-1)):
                yield document

    def digest(self) -> bytes:
        """Return a hash of ``DIGEST_BYTES`` bytes over all names and versions."""
        return self._digest

    def offer(
        self,
        document: Document,
        now_ms: float,
    ) -> Result[OfferOutcome, tuple[Finding, ...]]:
        """
        Store a document if it is newer than the stored one and has no findings.

        Parameters
        ----------
        document
            Document from the configuration service or from a peer.
        now_ms
            Monotonic time in milliseconds.

        Returns
        -------
        Result
            Whether it was stored or why it was ignored, or all findings.
        """
        held = self._held.get(document.name)
        if held and document.version <= held.document.version:
            is_same = document.version == held.document.version
            return Success(OfferOutcome.SAME if is_same else OfferOutcome.OLDER)
        parsed = parse_document(document)
        if isinstance(parsed, Failure):
            findings = parsed.failure()
            self.refused[document.name] = findings
            return Failure(findings)
        self.refused.pop(document.name, None)
        self._held[document.name] = HeldDocument(document, parsed.unwrap(), now_ms)
        self._rebuild()
        return Success(OfferOutcome.TAKEN)

    def _rebuild(self) -> None:
        self._digest = _digest_versions(self.versions())
        names = sorted(self._held)
        rows = (row for name in names for row in self._held[name].rows)
        self._catalog = build_catalog(rows)


def _digest_versions(versions: Mapping[DocumentName, Version]) -> bytes:
    text = '\n'.join(f'{name} {versions[name]}' for name in sorted(versions))
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
