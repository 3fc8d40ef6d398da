"""Retry budget and jittered backoff."""

from random import Random

from cardamomtiller.identity import MS_PER_S

# Burst of the minimum rate: the retries that accumulate in this many seconds.
BURST_S = 5
MAX_SAVED_RETRIES = 100
MIN_BACKOFF_MS = 50
MAX_BACKOFF_MS = 5000
MAX_EXPONENT = 16


class RetryBudget:
    """
    Limit retries to a share of the requests plus a minimum rate.

    Two token buckets: each first attempt adds a fraction of a token to one of
    them, and the other one fills at a constant rate. Without a limit, retries
    multiply the load on an upstream that is already failing.
    """

    def __init__(self, ratio: float, minimum_per_s: float, now_ms: float) -> None:
        """
        Start with the bucket of the minimum rate full.

        Parameters
        ----------
        ratio
            Retries that each first attempt allows, usually below 1.
        minimum_per_s
            Retries per second that are allowed regardless of the request rate.
        now_ms
            Monotonic time in milliseconds.
        """
        self._ratio = ratio
        self._minimum_per_s = minimum_per_s
        self._minimum_tokens = minimum_per_s * BURST_S
        self._request_tokens: float = 0
        self._updated_ms = now_ms

    def deposit(self, now_ms: float) -> None:
        """Add the tokens that a first attempt earns."""
        self._refill(now_ms)
        self._request_tokens = min(
            self._request_tokens + self._ratio, MAX_SAVED_RETRIES
        )

    def withdraw(self, now_ms: float) -> bool:
        """Take a token for one retry; return False if both buckets are empty."""
        self._refill(now_ms)
        if self._request_tokens >= 1:
            self._request_tokens -= 1
        elif self._minimum_tokens >= 1:
            self._minimum_tokens -= 1
        else:
            return False
        return True

    def _refill(self, now_ms: float) -> None:
        elapsed_s = max(0, now_ms - self._updated_ms) / MS_PER_S
        self._updated_ms = max(now_ms, self._updated_ms)
        capacity = max(1, self._minimum_per_s * BURST_S)
        refill = self._minimum_per_s * elapsed_s
        self._minimum_tokens = min(capacity, self._minimum_tokens + refill)


def backoff_ms(attempt: int, random: Random, retry_after_ms: float = 0) -> float:
    """
    Return the delay before a retry: exponential, with jitter, bounded.

    Parameters
    ----------
    attempt
        Number of retries so far; 0 for the first retry.
    random
        Source of the jitter, which keeps callers from retrying at the same time.
    retry_after_ms
        Minimum delay stated in the refusal; the backoff is added to it.
    """
    doubled_ms = MIN_BACKOFF_MS * 2 ** min(attempt, MAX_EXPONENT)
    max_delay_ms = min(doubled_ms, MAX_BACKOFF_MS)
    return retry_after_ms + random.uniform(max_delay_ms / 2, max_delay_ms)
