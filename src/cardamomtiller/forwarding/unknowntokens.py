"""Tokens that name no known upstream, and when their upstream is surely gone."""

from cardamomtiller.forwarding.packet import Token

MAX_TOKENS = 4096


class UnknownTokens:
    """
    Remembers since when packets carry a token that names no upstream.

    The upstream of an unknown token may be too new for the replica of this
    instance, or its entry may have lapsed while the source was away. It is gone only
    if the source has confirmed the replica all the while and for long enough.
    """

    def __init__(self, gone_after_ms: float) -> None:
        """Start with no tokens."""
        self._gone_after_ms = gone_after_ms
        self._first_seen_ms: dict[Token, float] = {}
        self._last_seen_ms: dict[Token, float] = {}

    def is_gone(self, token: Token, steady_for_ms: float, now_ms: float) -> bool:
        """
        Take note of a packet with an unknown token.

        Parameters
        ----------
        token
            Token of the packet.
        steady_for_ms
            How long the source has confirmed the replica without a gap.
        now_ms
            Present time.

        Returns
        -------
        bool
            Whether the upstream of the token is certainly gone.
        """
        if token not in self._first_seen_ms and len(self._first_seen_ms) >= MAX_TOKENS:
            return False
        first_seen_ms = self._first_seen_ms.setdefault(token, now_ms)
        self._last_seen_ms[token] = now_ms
        return min(now_ms - first_seen_ms, steady_for_ms) >= self._gone_after_ms

    def expire(self, now_ms: float) -> None:
        """Forget tokens that no packet has carried for long."""
        idle_ms = 10 * self._gone_after_ms
        for token, last_seen_ms in tuple(self._last_seen_ms.items()):
            if now_ms - last_seen_ms > idle_ms:
                del self._last_seen_ms[token]
                del self._first_seen_ms[token]
