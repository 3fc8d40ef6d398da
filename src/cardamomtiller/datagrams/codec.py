"""Encode and decode datagrams with version and MAC; split bodies into chunks."""

import hashlib
import hmac
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import cast

from google.protobuf.message import DecodeError
from returns.result import Failure, Result, Success

from cardamomtiller.identity import FLOW_ID_BYTES, FlowId, ServiceClass
from cardamomtiller.wire_pb2 import Packet, PeerDatagram
from cardamomtiller.wire_pb2 import ServiceClass as WireServiceClass

WIRE_VERSION = 1
MAC_BYTES = 8
HEADER_BYTES = 1 + MAC_BYTES
MAX_DATAGRAM_BYTES = 1350
MAX_PEER_DATAGRAM_BYTES = 2000
CHUNK_BYTES = 1100
WINDOW_BITS = 64
FLOW_KEY_BYTES = 32
# Flow key of a refusal to an unknown customer, with which no secret is shared.
PUBLIC_KEY = bytes(FLOW_KEY_BYTES)


def derive_flow_key(secret: bytes, flow: FlowId) -> bytes:
    """Derive the 32-byte key of a flow from a customer's secret."""
    digest = hashlib.blake2b(flow, digest_size=FLOW_KEY_BYTES, key=secret)
    return digest.digest()


def encode_packet(packet: Packet, flow_key: bytes) -> bytes:
    """Encode a packet as a datagram."""
    return _seal(packet.SerializeToString(), flow_key)


def decode_packet(datagram: bytes) -> Result[Packet, str]:
    """
    Decode a datagram; its MAC is not verified here.

    Returns
    -------
    Result
        The packet, or the counter name of the reason why it is invalid.
    """
    if len(datagram) > MAX_DATAGRAM_BYTES:
        return Failure('packet.oversized')
    if len(datagram) <= HEADER_BYTES:
        return Failure('packet.malformed')
    if datagram[0] != WIRE_VERSION:
        return Failure('packet.unknown_version')
    try:
        packet = Packet.FromString(datagram[HEADER_BYTES:])
    except DecodeError:
        return Failure('packet.malformed')
    if len(packet.flow_id) != FLOW_ID_BYTES or packet.WhichOneof('body') is None:
        return Failure('packet.malformed')
    return Success(packet)


def matching_key(datagram: bytes, keys: Iterable[bytes]) -> bytes | None:
    """Return the key that verifies the MAC of a datagram, or None."""
    mac = datagram[1:HEADER_BYTES]
    body = datagram[HEADER_BYTES:]
    for key in keys:
        if hmac.compare_digest(_mac(key, body), mac):
            return key
    return None


def is_authentic(datagram: bytes, keys: Iterable[bytes]) -> bool:
    """Return whether one of the keys verifies the MAC of a datagram."""
    return matching_key(datagram, keys) is not None


def encode_peer(message: PeerDatagram, cluster_key: bytes) -> bytes:
    """Encode a message between instances as a datagram."""
    return _seal(message.SerializeToString(), cluster_key)


def decode_peer(
    datagram: bytes,
    cluster_keys: Iterable[bytes],
) -> Result[PeerDatagram, str]:
    """
    Verify and decode a datagram of another instance.

    Returns
    -------
    Result
        The message, or the counter name of the reason why it is invalid.
    """
    if len(datagram) > MAX_PEER_DATAGRAM_BYTES:
        return Failure('peer.oversized')
    if len(datagram) <= HEADER_BYTES or datagram[0] != WIRE_VERSION:
        return Failure('peer.malformed')
    if not is_authentic(datagram, cluster_keys):
        return Failure('peer.forged')
    try:
        return Success(PeerDatagram.FromString(datagram[HEADER_BYTES:]))
    except DecodeError:
        return Failure('peer.malformed')


def wire_class(service_class: ServiceClass) -> 'WireServiceClass.ValueType':
    """Convert a service class to the enum of the messages, which has equal values."""
    return cast('WireServiceClass.ValueType', service_class.value)


def tag_upstream(upstream: str) -> int:
    """Return the 32-bit checksum of an upstream name; 0 is mapped to 1."""
    return zlib.crc32(upstream.encode()) or 1


def split_chunks(body: bytes) -> tuple[bytes, ...]:
    """Split a body into chunks of ``CHUNK_BYTES``; an empty body is one chunk."""
    starts = range(0, max(len(body), 1), CHUNK_BYTES)
    return tuple(body[start : start + CHUNK_BYTES] for start in starts)


@dataclass(slots=True)
class Reassembly:
    """Reassemble a body from chunks that arrive in any order."""

    chunk_count: int
    chunks: dict[int, bytes] = field(default_factory=dict)
    next_index: int = 0
    bytes_held: int = 0

    def add(self, index: int, payload: bytes) -> None:
        """Add a chunk; ignore duplicates and indexes out of range."""
        if index >= self.chunk_count or index in self.chunks:
            return
        self.chunks[index] = payload
        self.bytes_held += len(payload)
        while self.next_index in self.chunks:
            self.next_index += 1

    @property
    def is_complete(self) -> bool:
        """Return whether every chunk has arrived."""
        return self.next_index >= self.chunk_count

    def bitmap(self) -> int:
        """Return a bitmap of the 64 chunks after ``next_index``; 1 means received."""
        bitmap = 0
        for offset in range(WINDOW_BITS):
            if self.next_index + 1 + offset in self.chunks:
                bitmap |= 1 << offset
        return bitmap

    def body(self) -> bytes:
        """Return the body; all chunks must have arrived."""
        return b''.join(self.chunks[index] for index in range(self.chunk_count))


@dataclass(slots=True)
class ChunkSender:
    """Track which chunks of a body the receiver has acknowledged."""

    chunks: tuple[bytes, ...]
    next_index: int = 0
    received: set[int] = field(default_factory=set)

    def acknowledge(self, next_index: int, bitmap: int) -> None:
        """Apply an acknowledgement; an outdated one has no effect."""
        self.next_index = max(self.next_index, next_index)
        for offset in range(WINDOW_BITS):
            if bitmap >> offset & 1:
                self.received.add(next_index + 1 + offset)

    @property
    def is_complete(self) -> bool:
        """Return whether every chunk is acknowledged."""
        return self.next_index >= len(self.chunks)

    def missing(self, window: int) -> Iterator[int]:
        """Iterate over the unacknowledged chunks in a window from ``next_index``."""
        window_end = min(self.next_index + window, len(self.chunks))
        for index in range(self.next_index, window_end):
            if index not in self.received:
                yield index


def _seal(body: bytes, key: bytes) -> bytes:
    return bytes((WIRE_VERSION,)) + _mac(key, body) + body


def _mac(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=MAC_BYTES, key=key).digest()
