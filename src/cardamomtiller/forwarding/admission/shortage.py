"""Which services are served in the order for a shortage, by their configuration."""

from math import inf
from typing import NamedTuple

from cardamomtiller.forwarding.admission.claims import DEFAULT_CLAIMS, ClaimOptions
from cardamomtiller.forwarding.observation.capacity import (
    DEFAULT_CAPACITY,
    CapacityOptions,
)
from cardamomtiller.forwarding.published.configuration import (
    Configuration,
    ServiceLimits,
)
from cardamomtiller.ids import ServiceName

NO_LIMITS = ServiceLimits()


class ShortageOptions(NamedTuple):
    """
    Options of the service under shortage.

    Attributes
    ----------
    capacity
        Bounds of the observed limits of upstreams.
    give_up_ms
        Age of a flow at which its opening packet is dropped, since its client is about
        to abandon it.
    reserve_share
        Share of the limit of the instance that only the most urgent requests may use.
    claims
        How releases of a client and its address block count against later ones.
    """

    capacity: CapacityOptions
    give_up_ms: float
    reserve_share: float
    claims: ClaimOptions


class ServiceDemand(NamedTuple):
    """
    What the configuration asks for in a shortage of a service.

    Attributes
    ----------
    target_ms
        Shortest latency objective of its routes.
    urgent_priority
        Priority of its most urgent routes, None if all routes have the same one.
    max_connections
        Largest number of flows of an upstream, 0 if it states none.
    """

    target_ms: float
    urgent_priority: int | None
    max_connections: int


def read_demands(configuration: Configuration) -> dict[ServiceName, ServiceDemand]:
    """
    Return the services that state what the order under shortage needs.

    These have routes of different priorities, or a limit of connections.
    """
    targets_ms: dict[ServiceName, float] = {}
    priorities: dict[ServiceName, set[int]] = {}
    for route in configuration.routes.values():
        for share in route.shares:
            target_ms = targets_ms.get(share.service, inf)
            targets_ms[share.service] = min(target_ms, route.target_latency_ms)
            priorities.setdefault(share.service, set()).add(route.priority)
    demands: dict[ServiceName, ServiceDemand] = {}
    for service, ranks in priorities.items():
        limits = configuration.service_limits.get(service, NO_LIMITS)
        urgent_priority = min(ranks) if len(ranks) > 1 else None
        if urgent_priority is not None or limits.max_connections:
            demands[service] = ServiceDemand(
                targets_ms[service], urgent_priority, limits.max_connections
            )
    return demands


# Options for deployments that enable it; off by default (docs/design/overload.md).
DEFAULT_SHORTAGE = ShortageOptions(
    capacity=DEFAULT_CAPACITY,
    # Clients abandon an unanswered opening packet after 1400 ms.
    give_up_ms=1350,
    reserve_share=0.2,
    claims=DEFAULT_CLAIMS,
)
