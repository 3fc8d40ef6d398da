"""Tokens without an upstream, and when their upstream counts as gone."""

from math import inf
from typing import NamedTuple

from cardamomtiller.forwarding.packet import Token

MAX_TOKENS = 4096


class Steadiness(NamedTuple):
    """
    How long the record source has confirmed the replica without a gap.

    Attributes
    ----------
    confirmed_ms
        Time of the last confirmation.
    duration_ms
        Time between the first confirmation after the last gap and the last one; what
        has changed since then is not known.
    """

    confirmed_ms: float
    duration_ms: float


NOT_STEADY = Steadiness(-inf, 0)


class UnknownTokens:
    """
    Stores when a token without an upstream was first and last seen in a packet.

    The upstream of an unknown token may be newer than the replica of this instance, or
    its entry may have expired while the record source was unavailable. It counts as
    gone only if the token has been unknown for ``gone_after_ms`` until the last
    confirmation, and the source has confirmed the replica for all of that time.
    """

    def __init__(self, gone_after_ms: float) -> None:
        """Initialise without tokens."""
        self._gone_after_ms = gone_after_ms
        self._first_seen_ms: dict[Token, float] = {}
        self._last_seen_ms: dict[Token, float] = {}

    def is_gone(self, token: Token, steadiness: Steadiness, now_ms: float) -> bool:
        """
        Record a packet with an unknown token and return whether its upstream is gone.

        Parameters
        ----------
        token
            Token of the packet.
        steadiness
            How long the source has confirmed the replica without a gap.
        now_ms
            Current time.

        Returns
        -------
        bool
            Whether the upstream of the token is gone; False for a new token if the
            table is full.
        """
        if token not in self._first_seen_ms and len(self._first_seen_ms) >= MAX_TOKENS:
            return False
        first_seen_ms = self._first_seen_ms.setdefault(token, now_ms)
        self._last_seen_ms[token] = now_ms
        unknown_for_ms = steadiness.confirmed_ms - first_seen_ms
        return min(unknown_for_ms, steadiness.duration_ms) >= self._gone_after_ms

    def expire(self, now_ms: float) -> None:
        """Delete tokens that have not appeared in a packet for ten times the limit."""
        idle_ms = 10 * self._gone_after_ms
        for token, last_seen_ms in tuple(self._last_seen_ms.items()):
            if now_ms - last_seen_ms > idle_ms:
                del self._last_seen_ms[token]
                del self._first_seen_ms[token]
