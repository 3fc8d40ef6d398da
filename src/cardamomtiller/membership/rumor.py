"""Rumours about instances: incarnations, precedence, validation and checksum."""

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

# Of two rumours with equal incarnation and revision, the state with the higher
# precedence replaces the other.
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
        Wall clock; a later start gets a higher incarnation unless the clock was
        set back.
    entropy
        Random number; its low bits distinguish two starts in one millisecond.

    Returns
    -------
    Incarnation
        64-bit number above zero.
    """
    random_bits = entropy % (1 << INCARNATION_RANDOM_BITS)
    return Incarnation((max(1, int(unix_ms)) << INCARNATION_RANDOM_BITS) | random_bits)


def is_in_range(rumor: MemberRumor) -> bool:
    """Return whether incarnation and revision of a rumour are within their limits."""
    # A refutation increments one of them, and the result must still fit its field.
    is_revision_valid = rumor.revision < REVISION_LIMIT
    return is_revision_valid and 0 < rumor.incarnation < INCARNATION_LIMIT


def checksum_rumor(rumor: MemberRumor) -> int:
    """Return the 32-bit contribution of a rumour to the table checksum."""
    # The table checksum is the XOR of these values. A CRC is linear, so the same
    # change in two rows would cancel out.
    numbers = f'{rumor.incarnation} {rumor.revision} {rumor.state}'
    text = f'{rumor.instance} {numbers}'
    digest = hashlib.blake2b(text.encode(), digest_size=CHECKSUM_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def encode_state(state: InstanceState) -> WireState.ValueType:
    """Convert a state to the enum of the wire protocol."""
    return WireState.ValueType(state.value)
