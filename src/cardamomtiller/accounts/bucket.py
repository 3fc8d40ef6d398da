"""Token bucket driven by a supplied time."""

from cardamomtiller.identity import MS_PER_S

# Rounding of many small refills must not cost a token.
TOKEN_TOLERANCE = 1e-9
# Share of the burst below which a bucket counts as low.
LOW_TOKEN_RATIO = 0.2


class TokenBucket:
    """
    Allow a rate, and a burst after a pause.

    A time before the last one counts as no time passed.
    """

    __slots__ = ('_burst', '_rate_per_ms', '_tokens', '_updated_ms')

    def __init__(self, rate_per_s: float, burst: float, now_ms: float) -> None:
        """Start full."""
        self._rate_per_ms = rate_per_s / MS_PER_S
        self._burst = burst
        self._tokens = burst
        self._updated_ms = now_ms

    def set_rate(self, rate_per_s: float, burst: float, now_ms: float) -> None:
        """Change rate and burst; tokens above the new burst are lost."""
        self.level(now_ms)
        self._rate_per_ms = rate_per_s / MS_PER_S
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def level(self, now_ms: float) -> float:
        """Return the tokens that are available now."""
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms > 0:
            refilled_tokens = self._tokens + elapsed_ms * self._rate_per_ms
            self._tokens = min(self._burst, refilled_tokens)
            self._updated_ms = now_ms
        return self._tokens

    def is_low(self) -> bool:
        """Tell whether little was left after the last ``take``."""
        return self._tokens < LOW_TOKEN_RATIO * self._burst

    def take(self, amount: float, now_ms: float) -> bool:
        """Take tokens, all or none."""
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
