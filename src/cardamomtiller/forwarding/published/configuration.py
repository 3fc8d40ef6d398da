"""Published configuration: a version and its routes by address."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from cardamomtiller.forwarding.packet import RouteAddress
from cardamomtiller.ids import ServiceName, Version


class Share(NamedTuple):
    """Traffic share of a service in a route, as a relative weight."""

    service: ServiceName
    weight: int


class Route(NamedTuple):
    """
    Services that get the new flows of one address and port.

    Attributes
    ----------
    name
        Name of the route in log lines.
    timeout_ms
        Time after which a client abandons a request.
    target_latency_ms
        Latency objective of a request.
    priority
        Rank of the requests among those that wait; 0 is the most urgent.
    is_repeatable
        Whether a client may repeat a request that may already have been executed.
    """

    name: str
    address: RouteAddress
    shares: tuple[Share, ...]
    timeout_ms: float
    target_latency_ms: float
    priority: int = 0
    is_repeatable: bool = False

    def service_of(self, flow_hash: int) -> ServiceName:
        """Return the service for a flow hash, in proportion to the weights."""
        if len(self.shares) == 1:
            return self.shares[0].service
        remainder = flow_hash % sum(share.weight for share in self.shares)
        for share in self.shares:
            remainder -= share.weight
            if remainder < 0:
                return share.service
        return self.shares[-1].service


class ServiceLimits(NamedTuple):
    """
    What the configuration states for each upstream of a service; 0 if it states nothing.

    Attributes
    ----------
    max_connections
        Largest number of flows.
    warmup_ms
        Length of the slow-start period.
    warmup_per_s
        Requests per second that it bears during that period.
    """

    max_connections: int = 0
    warmup_ms: float = 0
    warmup_per_s: float = 0


class Configuration(NamedTuple):
    """
    Routes of one configuration version.

    Attributes
    ----------
    services
        All services that the configuration names, also those without a route.
    service_limits
        Limits of the upstreams of each service that states some.
    """

    version: Version
    routes: dict[RouteAddress, Route]
    idle_timeout_ms: float
    services: frozenset[ServiceName] = frozenset()
    service_limits: Mapping[ServiceName, ServiceLimits] = MappingProxyType({})

    def precedes(self, other: 'Configuration') -> bool:
        """Return whether another configuration has a later version."""
        return self.version < other.version


NO_CONFIGURATION = Configuration(Version(-1), {}, 0)
