"""Allowances of customers and their max-min fair division."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from cardamomtiller.lists.document import PlanRow
from cardamomtiller.peer_pb2 import AllowanceVector

# Tolerance when an amount is rounded down to whole units, so that single precision on
# the wire does not lose a unit. It is below 1 / (number of instances), so that the
# tolerances of all instances together do not add a unit.
UNIT_TOLERANCE = 1e-3
# Relative step of single precision. Amounts are lowered by it before they are sent,
# so that rounding on the wire never raises them.
WIRE_ROUNDING = 1.2e-7

# Relative margin for errors of the clock rate. Two clocks that are each off by 0.1%
# differ by 0.2%; holder and grantor each apply this margin and together tolerate 0.5%.
CLOCK_MARGIN = 0.0025
# Relative margin of the waits before pledged floors are reclaimed.
RECLAIM_MARGIN = 0.01


@dataclass(frozen=True, slots=True)
class Allowance:
    """
    Amounts that a customer may use.

    ``rate_per_s`` limits the requests per second, the other fields limit what
    is in use at the same time. Requests and flows are counted in whole units,
    so only the integer part of a share can be used.
    """

    rate_per_s: float = 0
    concurrent_requests: float = 0
    open_flows: float = 0
    bytes_in_flight: float = 0

    def __add__(self, other: 'Allowance') -> 'Allowance':
        """Return the sum of each field."""
        return Allowance(
            self.rate_per_s + other.rate_per_s,
            self.concurrent_requests + other.concurrent_requests,
            self.open_flows + other.open_flows,
            self.bytes_in_flight + other.bytes_in_flight,
        )

    def __sub__(self, other: 'Allowance') -> 'Allowance':
        """Return the difference of each field, at least zero."""
        return Allowance(
            max(0, self.rate_per_s - other.rate_per_s),
            max(0, self.concurrent_requests - other.concurrent_requests),
            max(0, self.open_flows - other.open_flows),
            max(0, self.bytes_in_flight - other.bytes_in_flight),
        )

    def scaled(self, factor: float) -> 'Allowance':
        """Return the allowance with each field multiplied by a factor."""
        return Allowance(
            self.rate_per_s * factor,
            self.concurrent_requests * factor,
            self.open_flows * factor,
            self.bytes_in_flight * factor,
        )

    def minimum(self, other: 'Allowance') -> 'Allowance':
        """Return the smaller value of each field."""
        return Allowance(
            min(self.rate_per_s, other.rate_per_s),
            min(self.concurrent_requests, other.concurrent_requests),
            min(self.open_flows, other.open_flows),
            min(self.bytes_in_flight, other.bytes_in_flight),
        )

    def maximum(self, other: 'Allowance') -> 'Allowance':
        """Return the larger value of each field."""
        return Allowance(
            max(self.rate_per_s, other.rate_per_s),
            max(self.concurrent_requests, other.concurrent_requests),
            max(self.open_flows, other.open_flows),
            max(self.bytes_in_flight, other.bytes_in_flight),
        )

    def is_near(self, other: 'Allowance', tolerance: float) -> bool:
        """Return whether each field is within a relative tolerance of the other's."""
        return all(
            abs(left - right) <= tolerance * right
            for left, right in zip(self.as_tuple(), other.as_tuple(), strict=True)
        )

    def as_tuple(self) -> tuple[float, float, float, float]:
        """Return the values in the order of the fields."""
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

    A holder ends a lease early and waits longer before it reclaims floors; a
    grantor counts a lease for longer.
    """

    lease_ms: float
    silence_ms: float

    @property
    def holder_lease_ms(self) -> float:
        """Return how long a holder uses a lease."""
        return self.lease_ms * (1 - CLOCK_MARGIN)

    @property
    def grantor_lease_ms(self) -> float:
        """Return how long a grantor counts a lease as in use."""
        return self.lease_ms * (1 + CLOCK_MARGIN)

    @property
    def reclaim_ms(self) -> float:
        """
        Return how long an instance waits before it reclaims its floors.

        After the last contact the grantor of the domain may count the pledge
        for ``silence_ms``, and the root grantor may count the pledge of the
        domain for another ``silence_ms``. Shares granted from it last one lease.
        """
        total_ms = 2 * self.silence_ms + self.lease_ms
        return total_ms * (1 + RECLAIM_MARGIN)

    @property
    def domain_reclaim_ms(self) -> float:
        """Return how long a domain grantor waits before it reclaims its floors."""
        return (self.silence_ms + self.lease_ms) * (1 + RECLAIM_MARGIN)


def read_allowance(message: AllowanceVector) -> Allowance:
    """Return the allowance of a message; negative or non-finite values are zero."""
    return Allowance(
        _valid_amount(message.rate_per_s),
        _valid_amount(message.concurrent_requests),
        _valid_amount(message.open_flows),
        _valid_amount(message.bytes_in_flight),
    )


def plan_allowance(plan: PlanRow) -> Allowance:
    """Return the allowance of a plan for all instances together."""
    return Allowance(
        plan.rate_per_s,
        plan.concurrent_requests,
        plan.open_flows,
        plan.bytes_in_flight,
    )


def reserved_floor(floor: Allowance, reserved_share: float) -> Allowance:
    """
    Return the part of a floor that is never pledged.

    Fractions of a unit cannot be used, so only whole requests and flows are
    reserved.
    """
    reserved = floor.scaled(reserved_share)
    return Allowance(
        reserved.rate_per_s,
        whole_units(reserved.concurrent_requests),
        whole_units(reserved.open_flows),
        reserved.bytes_in_flight,
    )


def whole_units(amount: float) -> int:
    """Round an amount down to whole units, with ``UNIT_TOLERANCE``."""
    return math.floor(amount + UNIT_TOLERANCE)


def fair_part(demands: Sequence[float], demand: float, pool: float) -> float:
    """
    Return the share of one holder in a max-min fair division.

    Parameters
    ----------
    demands
        Demands of all holders, including ``demand``.
    demand
        Demand of the holder whose share is returned.
    pool
        Amount to divide.

    Returns
    -------
    float
        The demand, as far as the pool suffices, and an equal part of what the
        demands of all holders leave over.
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
    Return the share of one holder in a max-min fair division of whole units.

    Parameters
    ----------
    demands
        Demands of all holders, in the same order at every call.
    index
        Index of the holder whose share is returned.
    pool
        Amount to divide; a fraction of a unit is not assigned.
    rotation
        Index, modulo the number of holders, of the first holder that gets one
        of the units that cannot be divided equally.

    Returns
    -------
    int
        Whole units; the shares of all holders add up to at most the pool.
    """
    units = whole_units(pool)
    unit_demands = [math.ceil(demand) for demand in demands]
    total = sum(unit_demands)
    if total <= units:
        base, extra = divmod(units - total, len(unit_demands))
        return (
            unit_demands[index]
            + base
            + (_rotation_rank(unit_demands, index, rotation) < extra)
        )
    level = math.floor(_fair_level(unit_demands, units) + UNIT_TOLERANCE)
    extra = units - sum(min(unit_demand, level) for unit_demand in unit_demands)
    if unit_demands[index] <= level:
        return unit_demands[index]
    unmet = [
        position
        for position, unit_demand in enumerate(unit_demands)
        if unit_demand > level
    ]
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
