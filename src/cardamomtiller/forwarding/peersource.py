"""Records read from another instance, and the reply that carries them."""

import zlib
from typing import NamedTuple

import ujson

from cardamomtiller.forwarding.httpclient import HttpConnection
from cardamomtiller.forwarding.records import (
    Batch,
    Record,
    RecordKey,
    Revision,
    SourceError,
)
from cardamomtiller.forwarding.upstreams import SocketAddress

CHANGES_PATH = '/changes'
HTTP_OK = 200
COMPRESSION_LEVEL = 1


class PeerReply(NamedTuple):
    """A batch and how long ago its source confirmed it."""

    batch: Batch
    age_ms: float


def encode_reply(reply: PeerReply) -> bytes:
    """Return the body of a reply."""
    batch = reply.batch
    message = {
        'after': batch.after,
        'revision': batch.revision,
        'age_ms': round(reply.age_ms),
        'records': [list(record) for record in batch.records],
    }
    text = ujson.dumps(message, escape_forward_slashes=False)
    return zlib.compress(text.encode(), COMPRESSION_LEVEL)


def decode_reply(body: bytes) -> PeerReply:
    """
    Read the body of a reply.

    Raises
    ------
    SourceError
        If it is not a reply.
    """
    try:
        message = ujson.loads(zlib.decompress(body))
        after = message['after']
        batch = Batch(
            None if after is None else Revision(int(after)),
            Revision(int(message['revision'])),
            tuple(_read_record(row) for row in message['records']),
        )
        return PeerReply(batch, float(message['age_ms']))
    except (zlib.error, KeyError, TypeError, ValueError) as error:
        raise SourceError(f'not a reply of a peer: {error!r}') from error


class PeerConnection:
    """Reads the replica of one other instance."""

    def __init__(self, address: SocketAddress, timeout_ms: float) -> None:
        """Prepare; the first call connects."""
        self._connection = HttpConnection(address, timeout_ms)

    @property
    def address(self) -> SocketAddress:
        """Address of the other instance."""
        return self._connection.address

    def read(self, after: Revision, wait_ms: int) -> PeerReply:
        """
        Return the records after a revision, at the latest after ``wait_ms``.

        Raises
        ------
        SourceError
            If the peer does not answer.
        """
        path = f'{CHANGES_PATH}?after={after}&wait_ms={wait_ms}'
        response = self._connection.get(path, wait_ms)
        if response.status != HTTP_OK:
            raise SourceError(f'{CHANGES_PATH}: status {response.status}')
        return decode_reply(response.body)

    def close(self) -> None:
        """Drop the connection."""
        self._connection.close()


def _read_record(row: list[object]) -> Record:
    key, revision, content = row
    if not isinstance(key, str) or not isinstance(revision, int):
        raise SourceError('record without a key or revision')
    text = None if content is None else str(content)
    return Record(RecordKey(key), Revision(revision), text)
