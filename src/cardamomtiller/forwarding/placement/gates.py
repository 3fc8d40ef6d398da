"""Conditions that an upstream has to meet before a new flow is placed on it.

Selection compares costs, so the upstream with the least cost gets the flow even when none
of them has room. A gate states a limit instead: an upstream that it does not admit is no
candidate, and an opening packet without a candidate waits.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from cardamomtiller.forwarding.published.upstreams import Upstream


class PlacementGate(ABC):
    """
    A limit of single upstreams.

    Attributes
    ----------
    is_mandatory
        Whether the limit also holds for openings that may not wait any longer.
    """

    is_mandatory = False

    @property
    def is_active(self) -> bool:
        """Whether the gate limits any upstream at all."""
        return True

    @abstractmethod
    def admits(self, upstream: Upstream, now_ms: float) -> bool:
        """Return whether an upstream may get another flow now."""

    @abstractmethod
    def record_placement(self, upstream: Upstream, now_ms: float) -> None:
        """Record that an opening packet is sent to an upstream."""


class GateSet:
    """All gates of an instance; without any gate, every upstream is admitted."""

    def __init__(self, gates: Iterable[PlacementGate] = ()) -> None:
        """Start with the given gates."""
        self._gates = tuple(gates)

    @property
    def is_empty(self) -> bool:
        """Whether no gate limits any upstream."""
        return not any(gate.is_active for gate in self._gates)

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
        if self.is_empty:
            return candidates
        open_ones = [
            upstream for upstream in candidates if self._admits(upstream, now_ms)
        ]
        if open_ones or not is_overdue:
            return open_ones
        return [
            upstream
            for upstream in candidates
            if self._admits(upstream, now_ms, is_mandatory_only=True)
        ]

    def can_place(self, pool: Iterable[Upstream], now_ms: float) -> bool:
        """Return whether every gate admits some upstream; true for an empty pool."""
        candidates = tuple(pool)
        return not candidates or any(
            self._admits(upstream, now_ms) for upstream in candidates
        )

    def record_placement(self, upstream: Upstream, now_ms: float) -> None:
        """Record at every gate that an opening packet is sent to an upstream."""
        for gate in self._gates:
            gate.record_placement(upstream, now_ms)

    def _admits(
        self, upstream: Upstream, now_ms: float, *, is_mandatory_only: bool = False
    ) -> bool:
        return all(
            gate.admits(upstream, now_ms)
            for gate in self._gates
            if gate.is_mandatory or not is_mandatory_only
        )
