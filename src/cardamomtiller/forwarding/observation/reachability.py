"""Detection of unreachable upstreams, by missing answers and then by TCP probes.

When an upstream fails or is cut off, clients with a long flow would wait for its
answers until their deadlines. Missing answers only make an upstream suspected, because
a slow upstream answers late too. A suspected upstream is probed with a TCP connection.
If the probes fail, the upstream is unreachable and its flows may be reset, so that the
clients can open flows to other upstreams.
"""

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from cardamomtiller.forwarding.packet import Token


class PathState(Enum):
    """State of the path from this instance to an upstream."""

    REACHABLE = 'reachable'
    SUSPECTED = 'suspected'
    UNREACHABLE = 'unreachable'


class ProbeResult(Enum):
    """Result of a TCP probe."""

    CONNECTED = 'connected'
    REFUSED = 'refused'
    TIMED_OUT = 'timed_out'


class ReachabilityOptions(NamedTuple):
    """
    Timeouts and limits of the detection.

    Attributes
    ----------
    probe_timeout_ms
        Timeout of a probe.
    max_timeouts
        Consecutive probe timeouts after which an upstream is unreachable; a single
        refused connection is enough.
    suspicion_pause_ms
        Minimum time between a successful probe and the next suspicion.
    retry_ms
        Time between probes of an unreachable upstream, and of one that drains and
        refuses connections.
    max_record_age_ms
        Time since the last change of state after which the state is discarded and
        the upstream counts as reachable.
    """

    probe_timeout_ms: float
    max_timeouts: int
    suspicion_pause_ms: float
    retry_ms: float
    max_record_age_ms: float


class PathRecord:
    """State and probes of the path to one upstream."""

    __slots__ = (
        'changed_ms',
        'is_final',
        'is_probing',
        'next_probe_ms',
        'state',
        'timeouts',
        'was_refused',
    )

    def __init__(self, now_ms: float) -> None:
        """Initialise a suspected path whose first probe is due at once."""
        self.state = PathState.SUSPECTED
        self.changed_ms = now_ms
        self.next_probe_ms = now_ms
        self.is_probing = False
        # Whether the path stays unreachable whatever a probe returns.
        self.is_final = False
        self.timeouts = 0
        # Whether nobody listened at the address when the last probes failed.
        self.was_refused = False


class PathChange(NamedTuple):
    """A change of state, its reason, and how long the path was in the state before."""

    token: Token
    state: PathState
    reason: str
    previous_state_ms: float


class Reachability:
    """Path states by token; an upstream without a record is reachable."""

    def __init__(self, options: ReachabilityOptions) -> None:
        """Initialise with all upstreams reachable."""
        self._options = options
        self._paths: dict[Token, PathRecord] = {}
        self._trusted_until_ms: dict[Token, float] = {}
        # Whether an upstream became suspected since `due_probes` was last called.
        self.is_probe_due = False

    def state(self, token: Token) -> PathState:
        """Return the state of the path to an upstream."""
        path = self._paths.get(token)
        return path.state if path else PathState.REACHABLE

    def suspected_since_ms(self, token: Token) -> float | None:
        """Return since when an upstream is suspected, None if it is not."""
        path = self._paths.get(token)
        if path is None or path.state is not PathState.SUSPECTED:
            return None
        return path.changed_ms

    def tracked_tokens(self) -> list[Token]:
        """Return the tokens of all suspected and unreachable upstreams."""
        return list(self._paths)

    def suspect(self, token: Token, now_ms: float) -> bool:
        """Mark a reachable upstream as suspected; return whether its state changed."""
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
        """
        Mark an upstream that is known to have ended as unreachable.

        Later probe results are ignored. Returns the change of state, or None if the
        upstream was marked before.
        """
        path = self._paths.setdefault(token, PathRecord(now_ms))
        if path.is_final:
            return None
        path.is_final = True
        return self._mark_unreachable(token, path, reason, now_ms)

    def clear_suspicion(self, token: Token) -> None:
        """
        Clear the suspicion of an upstream that has responded.

        An unreachable upstream stays unreachable: if only the path from this instance
        is cut, the upstream still answers packets that arrive on other paths.
        """
        path = self._paths.get(token)
        if path is not None and path.state is PathState.SUSPECTED:
            del self._paths[token]

    def remove(self, token: Token) -> None:
        """Delete the path state of an upstream that has restarted."""
        self._paths.pop(token, None)

    def due_probes(self, now_ms: float) -> Iterator[Token]:
        """Iterate over the upstreams to probe now, and mark each as being probed."""
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

    def reinstate(self, token: Token) -> None:
        """Delete the final state of an upstream that has published its entry again."""
        path = self._paths.get(token)
        if path is not None and path.is_final:
            del self._paths[token]

    def is_connection_inconclusive(self, token: Token) -> bool:
        """
        Return whether a connection says nothing if others use the address too.

        The path was not reachable before it, or was only suspected, so the connection
        may have been accepted by another process. A path that timed out may have healed.
        """
        path = self._paths.get(token)
        if path is None:
            return False
        return path.was_refused or path.state is PathState.SUSPECTED

    def postpone_probe(self, token: Token, now_ms: float) -> None:
        """Probe an upstream again later, because a result says nothing about it."""
        path = self._paths.get(token)
        if path is not None:
            path.is_probing = False
            path.next_probe_ms = now_ms + self._options.retry_ms

    def handle_probe_result(
        self,
        token: Token,
        result: ProbeResult,
        now_ms: float,
    ) -> PathChange | None:
        """Apply the result of a probe; return the change of state, if there is one."""
        path = self._paths.get(token)
        if path is None or path.is_final:
            return None
        path.is_probing = False
        if result is ProbeResult.CONNECTED:
            self._trusted_until_ms[token] = now_ms + self._options.suspicion_pause_ms
            return self._mark_reachable(token, result.value, now_ms)
        path.timeouts += 1
        path.was_refused = result is ProbeResult.REFUSED
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
