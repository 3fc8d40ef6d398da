"""The packet as the forwarding decisions see it, and the format behind it."""

from abc import ABC, abstractmethod
from typing import NamedTuple, NewType

# A client's address and port, and a route's address and port, packed into integers
# (address in the upper bits) because every packet is looked up by them.
ClientAddress = NewType('ClientAddress', int)
RouteAddress = NewType('RouteAddress', int)
# The value that a packet carries back to name the upstream of its flow.
Token = NewType('Token', int)

NO_TOKEN = Token(0)
PORT_BITS = 16
PORT_MASK = (1 << PORT_BITS) - 1
BYTE_MASK = 0xFF


class FlowKey(NamedTuple):
    """Identity of a flow: both of its ends as the client sees them."""

    client: ClientAddress
    route: RouteAddress


class Packet(NamedTuple):
    """
    One packet of a client.

    Attributes
    ----------
    flow
        Flow of the packet.
    is_opening, is_closing, is_reset
        Whether the packet opens, closes or resets the flow.
    copy_number
        Number of the copy of an opening packet, 0 for the first.
    sequence
        Position of the first payload byte, modulo 2**32.
    acknowledged
        Position up to which the client has received, modulo 2**32.
    payload_bytes
        Length of the payload.
    token
        Value that the upstream last echoed, ``NO_TOKEN`` on opening packets.
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
    """The wire format of packets; one implementation for each platform."""

    @abstractmethod
    def decode(self, datagram: bytes) -> Packet | None:
        """Return the packet in a datagram, or None if it is not one."""

    @abstractmethod
    def with_token(self, datagram: bytes, token: Token) -> bytes:
        """Return the datagram of a packet with another token."""

    @abstractmethod
    def encode_reset(self, flow: FlowKey, acknowledged: int) -> bytes:
        """Return the datagram of a reset to a client that has received so much."""


def pack_address(address: int, port: int) -> int:
    """Return an IPv4 address and a port as one integer."""
    return address << PORT_BITS | port


def format_address(packed: int) -> str:
    """Return a packed address as ``A.B.C.D:PORT``."""
    address = packed >> PORT_BITS
    octets = '.'.join(str(address >> shift & BYTE_MASK) for shift in (24, 16, 8, 0))
    return f'{octets}:{packed & PORT_MASK}'


def format_flow(flow: FlowKey) -> str:
    """Return a flow as log lines name it."""
    return f'{format_address(flow.client)}-{format_address(flow.route)}'


def parse_ipv4(text: str) -> int:
    """
    Read ``A.B.C.D``.

    Raises
    ------
    ValueError
        If the text is not an IPv4 address.
    """
    octets = text.split('.')
    if len(octets) != 4 or not all(octet.isdecimal() for octet in octets):
        raise ValueError(f'{text!r} is not an IPv4 address')
    numbers = [int(octet) for octet in octets]
    if max(numbers) > BYTE_MASK:
        raise ValueError(f'{text!r} is not an IPv4 address')
    return int.from_bytes(bytes(numbers), 'big')
