"""Allowance vectors and their fair division."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from cardamomtiller.document import PlanRow
from cardamomtiller.peer_pb2 import AllowanceVector

# Rounding errors of single precision on the wire must not cost a whole unit.
# Below 1 / (number of instances), so that no whole unit is gained either.
UNIT_TOLERANCE = 1e-3
# One step of single precision: amounts on the wire are rounded down by it.
WIRE_ROUNDING = 1.2e-7


@dataclass(frozen=True, slots=True)
class Allowance:
    """
    What a customer may use.

    The rate is a flow; the others are stocks. Requests and flows are counted
    in whole units, so a share is used up to its integer part.
    """

    rate_per_s: float = 0
    concurrent_requests: float = 0
    open_flows: float = 0
    bytes_in_flight: float = 0

    def __add__(self, other: 'Allowance') -> 'Allowance':
        """Return the sum."""
        return Allowance(
            self.rate_per_s + other.rate_per_s,
            self.concurrent_requests + other.concurrent_requests,
            self.open_flows + other.open_flows,
            self.bytes_in_flight + other.bytes_in_flight,
        )

    def __sub__(self, other: 'Allowance') -> 'Allowance':
        """Return the difference, at least zero in each part."""
        return Allowance(
            max(0, self.rate_per_s - other.rate_per_s),
            max(0, self.concurrent_requests - other.concurrent_requests),
            max(0, self.open_flows - other.open_flows),
            max(0, self.bytes_in_flight - other.bytes_in_flight),
        )

    def scaled(self, factor: float) -> 'Allowance':
        """Return the vector times a factor."""
        return Allowance(
            self.rate_per_s * factor,
            self.concurrent_requests * factor,
            self.open_flows * factor,
            self.bytes_in_flight * factor,
        )

    def smaller(self, other: 'Allowance') -> 'Allowance':
        """Return the smaller of each part."""
        return Allowance(
            min(self.rate_per_s, other.rate_per_s),
            min(self.concurrent_requests, other.concurrent_requests),
            min(self.open_flows, other.open_flows),
            min(self.bytes_in_flight, other.bytes_in_flight),
        )

    def larger(self, other: 'Allowance') -> 'Allowance':
        """Return the larger of each part."""
        return Allowance(
            max(self.rate_per_s, other.rate_per_s),
            max(self.concurrent_requests, other.concurrent_requests),
            max(self.open_flows, other.open_flows),
            max(self.bytes_in_flight, other.bytes_in_flight),
        )

    def as_tuple(self) -> tuple[float, float, float, float]:
        """Return the parts in the order of the fields."""
        return (
            self.rate_per_s,
            self.concurrent_requests,
            self.open_flows,
            self.bytes_in_flight,
        )

    def to_wire(self) -> AllowanceVector:
        """Return the message; single precision may round by ``WIRE_ROUNDING``."""
        return AllowanceVector(
            rate_per_s=self.rate_per_s,
            concurrent_requests=self.concurrent_requests,
            open_flows=self.open_flows,
            bytes_in_flight=self.bytes_in_flight,
        )


NOTHING = Allowance()


def from_wire(message: AllowanceVector) -> Allowance:
    """Return the vector of a message; parts that are no amount count as zero."""
    return Allowance(
        _amount(message.rate_per_s),
        _amount(message.concurrent_requests),
        _amount(message.open_flows),
        _amount(message.bytes_in_flight),
    )


def plan_allowance(plan: PlanRow) -> Allowance:
    """Return what a plan allows over all instances together."""
    return Allowance(
        plan.rate_per_s,
        plan.concurrent_requests,
        plan.open_flows,
        plan.bytes_in_flight,
    )


def kept_part(floor: Allowance, reserved_share: float) -> Allowance:
    """
    Return the part of a floor that is never pledged.

    Part of a unit cannot be used, so only whole requests and flows are kept.
    """
    kept = floor.scaled(reserved_share)
    return Allowance(
        kept.rate_per_s,
        whole(kept.concurrent_requests),
        whole(kept.open_flows),
        kept.bytes_in_flight,
    )


def whole(amount: float) -> int:
    """Return the whole units of an amount."""
    return math.floor(amount + UNIT_TOLERANCE)


def fair_part(demands: Sequence[float], index: int, pool: float) -> float:
    """
    Return one part of a max-min fair division.

    Parameters
    ----------
    demands
        What each holder asks for.
    index
        The holder whose part is returned.
    pool
        What is divided.

    Returns
    -------
    float
        The demand, as far as the pool allows, and an equal part of the rest.
    """
    own = demands[index]
    total = math.fsum(demands)
    if total <= pool:
        return own + (pool - total) / len(demands)
    rest = pool
    for position, demand in enumerate(sorted(demands)):
        level = rest / (len(demands) - position)
        if demand >= level or demand >= own:
            return min(own, level)
        rest -= demand
    return min(own, rest)


def _amount(value: float) -> float:
    return value if math.isfinite(value) and value > 0 else 0
