"""Rendezvous (highest random weight) hashing, plain and with bounded load."""

import hashlib
import math
from collections.abc import Iterable, Mapping, Sequence
from typing import TypeVar

NodeT = TypeVar('NodeT', bound=str)
KeyT = TypeVar('KeyT', bound=str)

SCORE_BYTES = 8


def score(key: str | bytes, node: str) -> int:
    """Return the 64-bit score of a node for a key."""
    key_bytes = key.encode() if isinstance(key, str) else key
    digest = hashlib.blake2b(
        key_bytes,
        digest_size=SCORE_BYTES,
        key=node.encode()[: hashlib.blake2b.MAX_KEY_SIZE],
    )
    return int.from_bytes(digest.digest(), 'big')


def rank(key: str | bytes, nodes: Iterable[NodeT]) -> list[NodeT]:
    """Return the nodes by descending score for a key, equal scores by name."""
    return sorted(nodes, key=lambda node: (-score(key, node), node))


def pick(key: str | bytes, nodes: Iterable[NodeT]) -> NodeT | None:
    """Return the node with the highest score, or None without nodes."""
    return min(nodes, key=lambda node: (-score(key, node), node), default=None)


def assign_bounded(
    keys: Sequence[KeyT],
    nodes: Sequence[NodeT],
    load_factor: float,
) -> Mapping[KeyT, NodeT]:
    """
    Assign each key to its highest-scoring node that has capacity left.

    Parameters
    ----------
    keys
        Keys to assign; the result does not depend on their order.
    nodes
        Nodes to choose from; the result does not depend on their order.
    load_factor
        Maximum number of keys per node as a multiple of the mean, at least 1.

    Returns
    -------
    Mapping
        Node of each key; empty without nodes. No node has more than
        ``ceil(load_factor * len(keys) / len(nodes))`` keys.
    """
    if not nodes:
        return {}
    capacity = math.ceil(load_factor * len(keys) / len(nodes))
    key_counts = dict.fromkeys(nodes, 0)
    assigned: dict[KeyT, NodeT] = {}
    for key in sorted(keys):
        node = next(node for node in rank(key, nodes) if key_counts[node] < capacity)
        key_counts[node] += 1
        assigned[key] = node
    return assigned
