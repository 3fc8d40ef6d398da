"""Packets as the forwarding decisions use them, and their wire format."""

from abc import ABC, abstractmethod
from typing import NamedTuple, NewType

from cardamomtiller.forwarding.valuetext import describe

# Address and port of a client and of a route, each packed into one integer with the
# address in the upper bits, because they are looked up for every packet.
ClientAddress = NewType('ClientAddress', int)
RouteAddress = NewType('RouteAddress', int)
# Identifies the upstream of a flow. The forwarder writes it into the opening packet,
# the upstream echoes it to the client, and the client returns it in later packets.
Token = NewType('Token', int)

NO_TOKEN = Token(0)
PORT_BITS = 16
PORT_MASK = (1 << PORT_BITS) - 1
BYTE_MASK = 0xFF
SEQUENCE_MASK = 0xFFFFFFFF
HALF_SEQUENCE = 1 << 31
OCTETS = 4
# By their only text: others, as with a leading zero, mean something else elsewhere.
OCTET_VALUES = {str(number): number for number in range(BYTE_MASK + 1)}


class FlowKey(NamedTuple):
    """Identity of a flow: client and route address, as the client uses them."""

    client: ClientAddress
    route: RouteAddress


class Packet(NamedTuple):
    """
    A packet from a client.

    Attributes
    ----------
    flow
        Flow of the packet.
    is_opening, is_closing, is_reset
        Whether the packet opens, closes or resets the flow.
    copy_number
        Number of the retransmission of an opening packet, 0 for the first packet.
    sequence
        Position of the first payload byte, modulo 2**32.
    acknowledged
        Position up to which the client has received data, modulo 2**32.
    payload_bytes
        Length of the payload.
    token
        Token that the upstream last echoed; ``NO_TOKEN`` on opening packets.
    """

    flow: FlowKey
    is_opening: bool
    is_closing: bool
    is_reset: bool
    copy_number: int
    sequence: int
    acknowledged: int
    payload_bytes: int
    token: Token


class PacketFormat(ABC):
    """Codec for the wire format of packets; each platform implements one."""

    @abstractmethod
    def decode(self, datagram: bytes) -> Packet | None:
        """Decode a datagram; return None if it is not a valid packet."""

    @abstractmethod
    def with_token(self, datagram: bytes, token: Token) -> bytes:
        """Return a copy of the datagram with its token replaced."""

    @abstractmethod
    def encode_reset(self, flow: FlowKey, acknowledged: int) -> bytes:
        """Encode a reset to a client that has received up to ``acknowledged``."""


def pack_address(address: int, port: int) -> int:
    """Pack an IPv4 address and a port into one integer."""
    return address << PORT_BITS | port


def format_address(packed: int) -> str:
    """Format a packed address as ``A.B.C.D:PORT``."""
    address = packed >> PORT_BITS
    octets = '.'.join(str(address >> shift & BYTE_MASK) for shift in (24, 16, 8, 0))
    return f'{octets}:{packed & PORT_MASK}'


def format_flow(flow: FlowKey) -> str:
    """Format a flow as ``CLIENT-ROUTE`` for log lines."""
    return f'{format_address(flow.client)}-{format_address(flow.route)}'


def parse_ipv4(text: str) -> int:
    """
    Parse ``A.B.C.D`` into an integer.

    Raises
    ------
    ValueError
        If the text is not an IPv4 address.
    """
    octets = text.split('.')
    if len(octets) != OCTETS or not all(octet in OCTET_VALUES for octet in octets):
        raise ValueError(f'{describe(text)} is not an IPv4 address')
    return int.from_bytes(bytes(OCTET_VALUES[octet] for octet in octets), 'big')


def is_after(position: int, other: int) -> bool:
    """Return whether a sequence number is after another one, modulo 2**32."""
    return 0 < (position - other & SEQUENCE_MASK) < HALF_SEQUENCE


def sequence_offset(position: int, origin: int) -> int:
    """Return the signed distance of a sequence number from another, modulo 2**32."""
    return (position - origin + HALF_SEQUENCE & SEQUENCE_MASK) - HALF_SEQUENCE
