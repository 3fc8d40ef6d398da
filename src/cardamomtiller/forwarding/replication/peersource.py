"""Client for the replica of another instance, and the encoding of its replies."""

import zlib
from math import isfinite
from typing import NamedTuple

import ujson

from cardamomtiller.forwarding.published.records import (
    Batch,
    Record,
    RecordKey,
    Revision,
    SourceError,
)
from cardamomtiller.forwarding.published.upstreams import SocketAddress
from cardamomtiller.forwarding.sockets.httpclient import HttpConnection, Timeouts
from cardamomtiller.forwarding.valuetext import describe

CHANGES_PATH = '/changes'
RETAINED_PATH = '/retained'
HTTP_OK = 200
MALFORMED_ERRORS = (
    zlib.error,
    AttributeError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
)
COMPRESSION_LEVEL = 1


class ChangesRequest(NamedTuple):
    """
    A request for the changes in the replica of a peer.

    Attributes
    ----------
    after
        Revision after which the changes are requested.
    wait_ms
        Time that the peer waits for a change or for a new confirmation of its replica.
    max_age_ms
        Age of the peer's replica from which it answers at once.
    timeout_ms
        Time in which the complete reply must arrive.
    """

    after: Revision
    wait_ms: int
    max_age_ms: int
    timeout_ms: float


class PeerReply(NamedTuple):
    """
    A batch from the replica of a peer.

    Attributes
    ----------
    age_ms
        Time since the published source confirmed the replica, when the peer replied.
    waited_ms
        Time for which the peer had the request before it replied.
    """

    batch: Batch
    age_ms: float
    waited_ms: float = 0


def encode_reply(reply: PeerReply) -> bytes:
    """Encode a reply as compressed JSON."""
    batch = reply.batch
    message = {
        'after': None if batch.after is None else str(batch.after),
        'revision': str(batch.revision),
        'age_ms': round(reply.age_ms),
        'waited_ms': round(reply.waited_ms),
        'records': [
            (record.key, str(record.revision), record.content)
            for record in batch.records
        ],
    }
    text = ujson.dumps(message, escape_forward_slashes=False)
    return zlib.compress(text.encode(), COMPRESSION_LEVEL)


def decode_reply(body: bytes) -> PeerReply:
    """
    Decode the body of a reply.

    Raises
    ------
    SourceError
        If the body is malformed.
    """
    try:
        message = ujson.loads(zlib.decompress(body))
        after = message['after']
        batch = Batch(
            None if after is None else Revision.parse(after),
            Revision.parse(message['revision']),
            tuple(_read_record(row) for row in message['records']),
        )
        return PeerReply(
            batch, _read_ms(message['age_ms']), _read_ms(message['waited_ms'])
        )
    except MALFORMED_ERRORS as error:
        raise SourceError(f'malformed peer reply: {error!r}') from error


class PeerConnection:
    """Reads the replica of one peer over HTTP."""

    def __init__(self, address: SocketAddress) -> None:
        """Store the address; the first read connects."""
        self._connection = HttpConnection(address)

    @property
    def address(self) -> SocketAddress:
        """Internal address of the peer."""
        return self._connection.address

    def read(self, request: ChangesRequest) -> PeerReply:
        """
        Return the records after a revision, when there are some or the wait has ended.

        Raises
        ------
        SourceError
            If the peer does not answer in time or its reply is malformed.
        """
        path = (
            f'{CHANGES_PATH}?after={request.after}&wait_ms={request.wait_ms}'
            f'&max_age_ms={request.max_age_ms}'
        )
        return self._request(path, request.timeout_ms)

    def read_retained(self, timeout_ms: float) -> PeerReply:
        """
        Return all records if the peer kept some that the source lost, else no changes.

        Raises
        ------
        SourceError
            If the peer does not answer in time or its reply is malformed.
        """
        return self._request(RETAINED_PATH, timeout_ms)

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()

    def _request(self, path: str, timeout_ms: float) -> PeerReply:
        response = self._connection.get(path, Timeouts(timeout_ms, timeout_ms))
        if response.status != HTTP_OK:
            raise SourceError(f'{path.partition("?")[0]}: status {response.status}')
        return decode_reply(response.body)


def _read_ms(number: object) -> float:
    if isinstance(number, bool) or not isinstance(number, (int, float)):
        raise SourceError(f'not a duration: {describe(number)}')
    duration_ms = float(number)
    if not isfinite(duration_ms) or duration_ms < 0:
        raise SourceError(f'not a duration: {describe(number)}')
    return duration_ms


def _read_record(row: list[object]) -> Record:
    key, revision, content = row
    if not isinstance(key, str) or not isinstance(revision, str):
        raise SourceError('record has no string key or no revision')
    text = None if content is None else str(content)
    return Record(RecordKey(key), Revision.parse(revision), text)
