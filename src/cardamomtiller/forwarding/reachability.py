"""Whether an upstream can be reached, decided by silence and then by a probe.

The load this answers: the seconds after an upstream dies or is cut off, when its
long flows hold their users until their deadlines. Silence of flows only raises a
suspicion, because a slow upstream is silent too. A suspected upstream is probed by a
TCP connection; only one that does not answer that either is unreachable, and then
its flows may be reset so that the users can go on elsewhere.
"""

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from cardamomtiller.forwarding.packet import Token


class PathState(Enum):
    """What is known of the path to an upstream."""

    REACHABLE = 'reachable'
    SUSPECTED = 'suspected'
    UNREACHABLE = 'unreachable'


class ProbeResult(Enum):
    """How a probe ended."""

    CONNECTED = 'connected'
    REFUSED = 'refused'
    TIMED_OUT = 'timed_out'


class ReachabilityOptions(NamedTuple):
    """
    Times and counts of the decision.

    Attributes
    ----------
    probe_timeout_ms
        How long a probe may take.
    max_timeouts
        Probes in a row that must time out; one refusal is enough.
    suspicion_pause_ms
        Least time between a probe that succeeded and the next suspicion.
    retry_ms
        Time between probes of an unreachable upstream.
    max_record_age_ms
        How long an unreachable upstream is probed.
    """

    probe_timeout_ms: float
    max_timeouts: int
    suspicion_pause_ms: float
    retry_ms: float
    max_record_age_ms: float


class PathRecord:
    """State of the path to one upstream."""

    __slots__ = (
        'changed_ms',
        'is_final',
        'is_probing',
        'next_probe_ms',
        'state',
        'timeouts',
    )

    def __init__(self, now_ms: float) -> None:
        """Start suspected, with a probe due at once."""
        self.state = PathState.SUSPECTED
        self.changed_ms = now_ms
        self.next_probe_ms = now_ms
        self.is_probing = False
        # Whether no probe can change the verdict any more.
        self.is_final = False
        self.timeouts = 0


class PathChange(NamedTuple):
    """A verdict that changed, and what decided it."""

    token: Token
    state: PathState
    reason: str
    previous_state_ms: float


class Reachability:
    """Verdicts by token; an upstream without one is reachable."""

    def __init__(self, options: ReachabilityOptions) -> None:
        """Start with all upstreams reachable."""
        self._options = options
        self._paths: dict[Token, PathRecord] = {}
        self._trusted_until_ms: dict[Token, float] = {}
        # Whether a suspicion was raised since the last look for due probes.
        self.is_probe_due = False

    def state(self, token: Token) -> PathState:
        """Return what is known of the path to an upstream."""
        path = self._paths.get(token)
        return path.state if path else PathState.REACHABLE

    def tracked_tokens(self) -> list[Token]:
        """Return the upstreams that are suspected or unreachable."""
        return list(self._paths)

    def suspect(self, token: Token, now_ms: float) -> bool:
        """Raise a suspicion; return whether it is a new one."""
        if token in self._paths:
            return False
        if now_ms < self._trusted_until_ms.get(token, now_ms):
            return False
        self._paths[token] = PathRecord(now_ms)
        self.is_probe_due = True
        return True

    def declare_unreachable(
        self, token: Token, reason: str, now_ms: float
    ) -> PathChange | None:
        """Take certain knowledge that an upstream is gone."""
        path = self._paths.setdefault(token, PathRecord(now_ms))
        if path.is_final:
            return None
        path.is_final = True
        return self._mark_unreachable(token, path, reason, now_ms)

    def clear_suspicion(self, token: Token) -> None:
        """
        Take a sign of life, which ends a suspicion.

        It does not end the verdict that an upstream is unreachable: an upstream that
        is cut off from this instance still answers what reaches it on other paths.
        """
        path = self._paths.get(token)
        if path is not None and path.state is PathState.SUSPECTED:
            del self._paths[token]

    def remove(self, token: Token) -> None:
        """Start anew with an upstream, because it did."""
        self._paths.pop(token, None)

    def due_probes(self, now_ms: float) -> Iterator[Token]:
        """Iterate over the upstreams to probe now, which then count as probed."""
        self.is_probe_due = False
        for trusted, until_ms in tuple(self._trusted_until_ms.items()):
            if now_ms > until_ms:
                del self._trusted_until_ms[trusted]
        for token, path in tuple(self._paths.items()):
            if now_ms - path.changed_ms > self._options.max_record_age_ms:
                del self._paths[token]
            elif path.is_probing or path.is_final:
                continue
            elif now_ms >= path.next_probe_ms:
                path.is_probing = True
                yield token

    def handle_probe_result(
        self,
        token: Token,
        result: ProbeResult,
        now_ms: float,
    ) -> PathChange | None:
        """Take the result of a probe; return the verdict if it has changed."""
        path = self._paths.get(token)
        if path is None or path.is_final:
            return None
        path.is_probing = False
        if result is ProbeResult.CONNECTED:
            self._trusted_until_ms[token] = now_ms + self._options.suspicion_pause_ms
            return self._mark_reachable(token, result.value, now_ms)
        path.timeouts += 1
        if path.state is PathState.UNREACHABLE:
            path.next_probe_ms = now_ms + self._options.retry_ms
            return None
        if (
            result is ProbeResult.TIMED_OUT
            and path.timeouts < self._options.max_timeouts
        ):
            path.next_probe_ms = now_ms
            return None
        return self._mark_unreachable(token, path, result.value, now_ms)

    def _mark_unreachable(
        self,
        token: Token,
        path: PathRecord,
        reason: str,
        now_ms: float,
    ) -> PathChange:
        suspected_for_ms = now_ms - path.changed_ms
        path.state = PathState.UNREACHABLE
        path.changed_ms = now_ms
        path.next_probe_ms = now_ms + self._options.retry_ms
        return PathChange(token, path.state, reason, suspected_for_ms)

    def _mark_reachable(
        self, token: Token, reason: str, now_ms: float
    ) -> PathChange | None:
        path = self._paths.pop(token)
        if path.state is PathState.SUSPECTED:
            return None
        elapsed_ms = now_ms - path.changed_ms
        return PathChange(token, PathState.REACHABLE, reason, elapsed_ms)


DEFAULT_REACHABILITY = ReachabilityOptions(
    probe_timeout_ms=250,
    max_timeouts=2,
    suspicion_pause_ms=2000,
    retry_ms=500,
    max_record_age_ms=60_000,
)
