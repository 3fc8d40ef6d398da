"""The header of 32 bytes of a packet, as the page on the protocol gives it."""

import socket
import struct
import zlib
from typing import NamedTuple

HEADER = struct.Struct('>IIIBBHIHIHI')
SYN, ACK, FIN, RST = 2, 32, 8, 16
KEY = b'key of clients and backends only'
MASK = 0xFFFFFFFF


class Packet(NamedTuple):
    """Fields of a packet, in the order of the header, and its data."""

    seq: int
    ack: int
    sum: int
    flags: int
    pad: int
    len: int
    echo: int
    sport: int
    src: int
    dport: int
    dst: int
    data: bytes = b''


def pack(seq, ack, flags, echo, sport, src, dport, dst, data=b''):
    """Return a packet with its keyed sum."""
    keyed = struct.pack('>IIBHHIHI', seq, ack, flags, len(data), sport, src, dport, dst)
    total = zlib.crc32(KEY + keyed + data) or 1
    head = HEADER.pack(
        seq, ack, total, flags, 0, len(data), echo, sport, src, dport, dst
    )
    return head + data


def unpack(datagram):
    """Return the packet of a datagram, None if it is none."""
    if len(datagram) < HEADER.size:
        return None
    packet = Packet(*HEADER.unpack_from(datagram), datagram[HEADER.size :])
    return packet if packet.len == len(packet.data) else None


def is_genuine(packet):
    """Return whether a client or backend wrote the packet so."""
    keyed = struct.pack(
        '>IIBHHIHI',
        packet.seq,
        packet.ack,
        packet.flags & ~1,
        packet.len,
        packet.sport,
        packet.src,
        packet.dport,
        packet.dst,
    )
    return packet.sum == (zlib.crc32(KEY + keyed + packet.data) or 1)


def to_number(host):
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(host), 'big')


def is_after(position, other):
    """Return whether a position comes after another one, modulo 2**32."""
    return 0 < (position - other & MASK) < 1 << 31
