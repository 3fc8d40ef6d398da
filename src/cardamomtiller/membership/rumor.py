"""Rumours about instances: incarnations, order, range and checksum."""

import hashlib

from cardamomtiller.identity import Incarnation
from cardamomtiller.membership.view import InstanceState
from cardamomtiller.peer_pb2 import InstanceState as WireState
from cardamomtiller.peer_pb2 import MemberRumor

INCARNATION_RANDOM_BITS = 20
CHECKSUM_BYTES = 4
UNKNOWN_INCARNATION = Incarnation(0)
INCARNATION_LIMIT = 1 << 62
REVISION_LIMIT = 1 << 31

# Of two rumours with the same incarnation and revision the later one here wins.
PRECEDENCE = {
    InstanceState.JOINING: 0,
    InstanceState.LIVE: 1,
    InstanceState.LEAVING: 2,
    InstanceState.SUSPECT: 3,
    InstanceState.DEAD: 4,
}
SUSPECT_OR_DEAD = frozenset((InstanceState.SUSPECT, InstanceState.DEAD))
STATE_BY_VALUE = {state.value: state for state in InstanceState}


def make_incarnation(unix_ms: float, entropy: int) -> Incarnation:
    """
    Return the incarnation of a process that starts now.

    Parameters
    ----------
    unix_ms
        Wall clock; later starts get higher numbers unless it steps back.
    entropy
        Random number; its low bits separate two starts in one millisecond.

    Returns
    -------
    Incarnation
        64-bit number above zero.
    """
    random_bits = entropy % (1 << INCARNATION_RANDOM_BITS)
    return Incarnation((max(1, int(unix_ms)) << INCARNATION_RANDOM_BITS) | random_bits)


def is_in_range(rumor: MemberRumor) -> bool:
    """Return whether the numbers of a rumour are valid."""
    # Both numbers are raised by one in a refutation and must still fit then.
    is_revision_valid = rumor.revision < REVISION_LIMIT
    return is_revision_valid and 0 < rumor.incarnation < INCARNATION_LIMIT


def checksum_rumor(rumor: MemberRumor) -> int:
    """Return the part of a rumour in the table checksum, 32 bits."""
    # Not a CRC: it is linear, so that the same change in two rows would cancel.
    numbers = f'{rumor.incarnation} {rumor.revision} {rumor.state}'
    text = f'{rumor.instance} {numbers}'
    digest = hashlib.blake2b(text.encode(), digest_size=CHECKSUM_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def encode_state(state: InstanceState) -> WireState.ValueType:
    """Return the form of a state in messages."""
    return WireState.ValueType(state.value)
