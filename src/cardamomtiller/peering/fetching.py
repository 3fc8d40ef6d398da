"""Transfer of documents between peers: when to fetch, and their encoding."""

import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from google.protobuf.message import DecodeError

from cardamomtiller.counter import Counters
from cardamomtiller.identity import DocumentName, Version
from cardamomtiller.lists.document import MAX_DOCUMENT_BYTES, Document
from cardamomtiller.peer_pb2 import FetchedDocuments, PublishedDocument

# Maximum size of the compressed texts in one answer; with the overhead of the
# message it stays below MAX_FETCH_BYTES.
FETCH_ANSWER_BYTES = 2_500_000
# Minimum time between two fetches for the same pair of digests.
FETCH_RETRY_DELAY_MS = 10_000.0


@dataclass(slots=True)
class FetchGuard:
    """
    Limit the fetches from peers whose configuration digest differs.

    Only one fetch runs at a time. The same pair of digests is not fetched again
    for a while, because the peer may hold older documents, or newer ones that
    this instance refuses.
    """

    is_running: bool = False
    tried_ms: dict[tuple[bytes, bytes], float] = field(default_factory=dict)

    def try_start(self, digest_pair: tuple[bytes, bytes], now_ms: float) -> bool:
        """
        Start a fetch if it is allowed now, and return whether it is.

        ``digest_pair`` holds the digest of the peer and that of this instance.
        """
        if digest_pair[0] == digest_pair[1] or self.is_running:
            return False
        self.tried_ms = {
            tried: at_ms
            for tried, at_ms in self.tried_ms.items()
            if now_ms - at_ms < FETCH_RETRY_DELAY_MS
        }
        if digest_pair in self.tried_ms:
            return False
        self.tried_ms[digest_pair] = now_ms
        self.is_running = True
        return True

    def finish(self, digest_pair: tuple[bytes, bytes], *, is_answered: bool) -> None:
        """Record the end of a fetch; one without an answer may be repeated at once."""
        self.is_running = False
        if not is_answered:
            self.tried_ms.pop(digest_pair, None)


def pack_documents(documents: Iterable[Document]) -> Iterator[PublishedDocument]:
    """Compress documents until ``FETCH_ANSWER_BYTES`` would be exceeded."""
    total_bytes = 0
    for document in documents:
        text = zlib.compress(document.text.encode())
        total_bytes += len(text)
        if total_bytes > FETCH_ANSWER_BYTES:
            return
        yield PublishedDocument(
            name=document.name,
            version=document.version,
            compressed_text=text,
        )


def unpack_documents(payload: bytes, counters: Counters) -> Iterator[Document]:
    """Decompress the documents of an answer; skip and count malformed ones."""
    try:
        answer = FetchedDocuments.FromString(payload)
    except DecodeError:
        counters.add('peer.malformed_answer')
        return
    for published in answer.documents:
        text = _decompress(published.compressed_text)
        if text is None:
            counters.add('peer.malformed_document')
            continue
        yield Document(DocumentName(published.name), Version(published.version), text)


def _decompress(compressed: bytes) -> str | None:
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(compressed, MAX_DOCUMENT_BYTES + 1)
    except zlib.error:
        return None
    if len(text) > MAX_DOCUMENT_BYTES or not decompressor.eof:
        return None
    return _decode(text)


def _decode(text: bytes) -> str | None:
    try:
        return text.decode()
    except UnicodeDecodeError:
        return None
