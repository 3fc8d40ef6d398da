"""Allowance vectors and their fair division."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from cardamomtiller.lists.document import PlanRow
from cardamomtiller.peer_pb2 import AllowanceVector

# Rounding errors of single precision on the wire must not cost a whole unit.
# Below 1 / (number of instances), so that no whole unit is gained either.
UNIT_TOLERANCE = 1e-3
# One step of single precision: amounts on the wire are rounded down by it.
WIRE_ROUNDING = 1.2e-7

# Two clocks that are each wrong by 0.1% differ by 0.2%; both sides keep this
# margin, so that together they tolerate 0.5%.
CLOCK_MARGIN = 0.0025
RECLAIM_MARGIN = 0.01


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

    def minimum(self, other: 'Allowance') -> 'Allowance':
        """Return the smaller of each part."""
        return Allowance(
            min(self.rate_per_s, other.rate_per_s),
            min(self.concurrent_requests, other.concurrent_requests),
            min(self.open_flows, other.open_flows),
            min(self.bytes_in_flight, other.bytes_in_flight),
        )

    def maximum(self, other: 'Allowance') -> 'Allowance':
        """Return the larger of each part."""
        return Allowance(
            max(self.rate_per_s, other.rate_per_s),
            max(self.concurrent_requests, other.concurrent_requests),
            max(self.open_flows, other.open_flows),
            max(self.bytes_in_flight, other.bytes_in_flight),
        )

    def is_near(self, other: 'Allowance', tolerance: float) -> bool:
        """Tell whether no part differs by more than a share of the other."""
        return all(
            abs(left - right) <= tolerance * right
            for left, right in zip(self.as_tuple(), other.as_tuple(), strict=True)
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


ZERO_ALLOWANCE = Allowance()


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """
    Periods of the lease protocol, with a margin for errors of the clock rate.

    A holder ends a lease early and waits longer; a grantor does the reverse.
    """

    lease_ms: float
    silence_ms: float

    @property
    def holder_lease_ms(self) -> float:
        """Return how long a holder uses a lease."""
        return self.lease_ms * (1 - CLOCK_MARGIN)

    @property
    def grantor_lease_ms(self) -> float:
        """Return how long a grantor counts a lease as used."""
        return self.lease_ms * (1 + CLOCK_MARGIN)

    @property
    def reclaim_ms(self) -> float:
        """
        Return how long an instance waits before it reclaims its floors.

        Its grantor may count the pledge for a silence, and the root grantor may
        count the domain's pledge for another; the shares last one lease.
        """
        total_ms = 2 * self.silence_ms + self.lease_ms
        return total_ms * (1 + RECLAIM_MARGIN)

    @property
    def domain_reclaim_ms(self) -> float:
        """Return how long a grantor waits before it reclaims its pool."""
        return (self.silence_ms + self.lease_ms) * (1 + RECLAIM_MARGIN)


def read_allowance(message: AllowanceVector) -> Allowance:
    """Return the vector of a message; parts that are no amount count as zero."""
    return Allowance(
        _valid_amount(message.rate_per_s),
        _valid_amount(message.concurrent_requests),
        _valid_amount(message.open_flows),
        _valid_amount(message.bytes_in_flight),
    )


def plan_allowance(plan: PlanRow) -> Allowance:
    """Return what a plan allows over all instances together."""
    return Allowance(
        plan.rate_per_s,
        plan.concurrent_requests,
        plan.open_flows,
        plan.bytes_in_flight,
    )


def reserved_floor(floor: Allowance, reserved_share: float) -> Allowance:
    """
    Return the part of a floor that is never pledged.

    Part of a unit cannot be used, so only whole requests and flows are kept.
    """
    reserved = floor.scaled(reserved_share)
    return Allowance(
        reserved.rate_per_s,
        whole_units(reserved.concurrent_requests),
        whole_units(reserved.open_flows),
        reserved.bytes_in_flight,
    )


def whole_units(amount: float) -> int:
    """Return the whole units of an amount."""
    return math.floor(amount + UNIT_TOLERANCE)


def fair_part(demands: Sequence[float], demand: float, pool: float) -> float:
    """
    Return one part of a max-min fair division.

    Parameters
    ----------
    demands
        What each holder asks for, the own demand included.
    own
        The demand whose part is returned.
    pool
        What is divided.

    Returns
    -------
    float
        The demand, as far as the pool allows, and an equal part of the rest.
    """
    total = math.fsum(demands)
    if total <= pool:
        return demand + (pool - total) / len(demands)
    return min(demand, _fair_level(demands, pool))


def fair_units(
    demands: Sequence[float],
    index: int,
    pool: float,
    rotation: int,
) -> int:
    """
    Return one part of a max-min fair division of whole units.

    Parameters
    ----------
    demands
        What each holder asks for, in the same order at every call.
    index
        The holder whose part is returned.
    pool
        What is divided; a part of a unit is not given.
    rotation
        Units that cannot be divided go to holders in turn, from this one on.

    Returns
    -------
    int
        Whole units; the parts of all holders add up to at most the pool.
    """
    units = whole_units(pool)
    wanted = [math.ceil(demand) for demand in demands]
    total = sum(wanted)
    if total <= units:
        base, extra = divmod(units - total, len(wanted))
        return wanted[index] + base + (_rotation_rank(wanted, index, rotation) < extra)
    level = math.floor(_fair_level(wanted, units) + UNIT_TOLERANCE)
    extra = units - sum(min(want, level) for want in wanted)
    if wanted[index] <= level:
        return wanted[index]
    unmet = [position for position, want in enumerate(wanted) if want > level]
    return level + (_rotation_rank(unmet, unmet.index(index), rotation) < extra)


def _rotation_rank(holders: Sequence[int], index: int, rotation: int) -> int:
    return (index - rotation) % len(holders)


def _fair_level(demands: Sequence[float], pool: float) -> float:
    remaining = pool
    remaining_holders = len(demands)
    for demand in sorted(demands):
        if demand * remaining_holders >= remaining:
            break
        remaining -= demand
        remaining_holders -= 1
    return remaining / max(1, remaining_holders)


def _valid_amount(value: float) -> float:
    return value if math.isfinite(value) and value > 0 else 0
