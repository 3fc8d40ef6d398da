"""Token bucket whose caller supplies the time."""

from cardamomtiller.identity import MS_PER_S

# Tolerance for the rounding errors of many small refills.
TOKEN_TOLERANCE = 1e-9
# Part of the burst below which a bucket counts as low.
LOW_TOKEN_RATIO = 0.2


class TokenBucket:
    """
    Token bucket with a rate and a burst size.

    A time before the latest one adds no tokens.
    """

    __slots__ = ('_burst', '_rate_per_ms', '_tokens', '_updated_ms')

    def __init__(self, rate_per_s: float, burst: float, now_ms: float) -> None:
        """Create a full bucket."""
        self._rate_per_ms = rate_per_s / MS_PER_S
        self._burst = burst
        self._tokens = burst
        self._updated_ms = now_ms

    def set_rate(self, rate_per_s: float, burst: float, now_ms: float) -> None:
        """Change rate and burst; tokens above the new burst are discarded."""
        self.level(now_ms)
        self._rate_per_ms = rate_per_s / MS_PER_S
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def level(self, now_ms: float) -> float:
        """Refill the bucket up to now and return the available tokens."""
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms > 0:
            refilled_tokens = self._tokens + elapsed_ms * self._rate_per_ms
            self._tokens = min(self._burst, refilled_tokens)
            self._updated_ms = now_ms
        return self._tokens

    def is_low(self) -> bool:
        """Return whether few tokens were left after the last ``take``."""
        return self._tokens < LOW_TOKEN_RATIO * self._burst

    def take(self, amount: float, now_ms: float) -> bool:
        """Take ``amount`` tokens if they are available; return whether they were."""
        if self.level(now_ms) + TOKEN_TOLERANCE < amount:
            return False
        self._tokens -= amount
        return True

    def wait_ms(self, amount: float, now_ms: float) -> float:
        """Return the time until ``take`` succeeds; infinite if it never does."""
        missing_tokens = amount - self.level(now_ms)
        if missing_tokens <= TOKEN_TOLERANCE:
            return 0
        if amount > self._burst + TOKEN_TOLERANCE or not self._rate_per_ms:
            return float('inf')
        return missing_tokens / self._rate_per_ms
