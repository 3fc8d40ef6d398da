"""Requests that an instance has recently sent to each upstream in slow start."""

from collections import deque
from collections.abc import Iterator
from itertools import count, repeat

from cardamomtiller.forwarding.packet import Token
from cardamomtiller.ids import MS_PER_S

# Bound on the difference between the delays of two packets, in the network and in a
# batch on a slow instance (docs/design/slow-start-quota.md).
DELAY_MARGIN_MS = 300.0
# Requests that are sent at least this long apart do not arrive within one second.
WINDOW_MS = MS_PER_S + DELAY_MARGIN_MS


class SendRecord:
    """Times of the requests of the last window, by upstream."""

    def __init__(self) -> None:
        """Start without requests."""
        self._sent_ms: dict[Token, deque[float]] = {}

    def add(self, token: Token, now_ms: float) -> None:
        """Record a request that is sent now."""
        self._sent_ms.setdefault(token, deque()).append(now_ms)

    def count(self, token: Token, now_ms: float) -> int:
        """Return the number of requests of the window that ends now."""
        return len(self._recent(token, now_ms))

    def free_times_ms(self, token: Token, part: int, now_ms: float) -> Iterator[float]:
        """
        Iterate over the times at which each further request may be sent at the earliest.

        Parameters
        ----------
        token
            Upstream that gets the requests.
        part
            Requests that this instance may send in a window.
        now_ms
            Current time.
        """
        if part <= 0:
            return
        recent = tuple(self._recent(token, now_ms))[-part:]
        free_ms = list(repeat(now_ms, part - len(recent)))
        free_ms.extend(sent_ms + WINDOW_MS for sent_ms in recent)
        for window in count():
            for time_ms in free_ms:
                yield time_ms + window * WINDOW_MS

    def expire(self, now_ms: float) -> None:
        """Delete the records of upstreams without recent requests."""
        for token in tuple(self._sent_ms):
            if not self._recent(token, now_ms):
                del self._sent_ms[token]

    def _recent(self, token: Token, now_ms: float) -> deque[float]:
        sent_ms = self._sent_ms.get(token)
        if sent_ms is None:
            return deque()
        while sent_ms and now_ms - sent_ms[0] >= WINDOW_MS:
            sent_ms.popleft()
        return sent_ms
