"""Conditions that an upstream has to meet before a new flow is placed on it.

Selection compares costs, so the upstream with the least cost gets the flow even when none
of them has room. A gate states a limit instead: an upstream that it does not admit is no
candidate, and an opening packet without a candidate waits.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator
from heapq import merge
from itertools import islice, repeat
from math import inf

from cardamomtiller.forwarding.published.upstreams import Upstream


class PlacementGate(ABC):
    """
    A limit on the flows of each upstream.

    Attributes
    ----------
    is_mandatory
        Whether the limit also holds for openings that may not wait any longer.
    """

    is_mandatory = False

    def is_active(self, now_ms: float) -> bool:
        """Return whether any upstream may be limited now; cheap, by default true."""
        return True

    @abstractmethod
    def admits(self, upstream: Upstream, now_ms: float) -> bool:
        """Return whether an upstream may get another flow now."""

    @abstractmethod
    def record_placement(self, upstream: Upstream, now_ms: float) -> None:
        """Record that an opening packet is sent to an upstream."""

    def free_times_ms(self, upstream: Upstream, now_ms: float) -> Iterator[float]:
        """
        Iterate over the earliest times at which further flows may be placed, in order.

        A gate that cannot tell yields the current time without end.
        """
        return repeat(now_ms)


class GateSet:
    """All gates of an instance; without any gate, every upstream is admitted."""

    def __init__(self, gates: Iterable[PlacementGate] = ()) -> None:
        """Start with the given gates."""
        self._gates = tuple(gates)

    @property
    def is_empty(self) -> bool:
        """Whether no gate limits any upstream."""
        return not self._gates

    def is_active(self, now_ms: float) -> bool:
        """Return whether some gate may limit an upstream now."""
        return any(gate.is_active(now_ms) for gate in self._gates)

    def admitted(
        self, pool: Iterable[Upstream], now_ms: float, *, is_overdue: bool = False
    ) -> list[Upstream]:
        """
        Return the upstreams of a pool that every gate admits, in their order.

        Parameters
        ----------
        pool
            Upstreams to choose from.
        now_ms
            Current time.
        is_overdue
            Whether the opening may not wait any longer; only mandatory gates count then,
            unless some upstream is admitted by all of them.
        """
        candidates = list(pool)
        gates = [gate for gate in self._gates if gate.is_active(now_ms)]
        admitted = _admitted_by(gates, candidates, now_ms)
        if admitted or not is_overdue:
            return admitted
        mandatory_gates = [gate for gate in gates if gate.is_mandatory]
        return _admitted_by(mandatory_gates, candidates, now_ms)

    def can_place(self, pool: Iterable[Upstream], now_ms: float) -> bool:
        """Return whether some upstream is admitted by every gate; true for an empty pool."""
        candidates = tuple(pool)
        if not candidates or not self.is_active(now_ms):
            return True
        return any(
            all(gate.admits(upstream, now_ms) for gate in self._gates)
            for upstream in candidates
        )

    def wait_ms(self, pool: Iterable[Upstream], ahead: int, now_ms: float) -> float:
        """
        Return how long an opening waits at least until mandatory gates let it leave.

        Parameters
        ----------
        pool
            Upstreams to choose from.
        ahead
            Openings that leave before it.
        now_ms
            Current time.

        Returns
        -------
        float
            Infinite if the gates never admit an upstream of the pool.
        """
        gates = [
            gate for gate in self._gates if gate.is_mandatory and gate.is_active(now_ms)
        ]
        if not gates:
            return 0
        times_ms = merge(
            *(_free_times_ms(gates, upstream, now_ms) for upstream in pool)
        )
        return next(islice(times_ms, ahead, None), inf) - now_ms

    def record_placement(self, upstream: Upstream, now_ms: float) -> None:
        """Record at every gate that an opening packet is sent to an upstream."""
        for gate in self._gates:
            gate.record_placement(upstream, now_ms)


def _admitted_by(
    gates: Iterable[PlacementGate], pool: list[Upstream], now_ms: float
) -> list[Upstream]:
    """Return the upstreams that each of the gates admits, in their order."""
    for gate in gates:
        pool = [upstream for upstream in pool if gate.admits(upstream, now_ms)]
    return pool


def _free_times_ms(
    gates: Iterable[PlacementGate], upstream: Upstream, now_ms: float
) -> Iterator[float]:
    """Iterate over the times at which all gates let further flows be placed."""
    times_ms = [gate.free_times_ms(upstream, now_ms) for gate in gates]
    return map(max, zip(*times_ms, strict=False))
