"""The published configuration: routes by address, in one version."""

from typing import NamedTuple

from cardamomtiller.forwarding.packet import RouteAddress
from cardamomtiller.ids import ServiceName, Version


class Share(NamedTuple):
    """A service and its weight among the services of a route."""

    service: ServiceName
    weight: int


class Route(NamedTuple):
    """
    Where the new flows of one address and port go, and what they carry.

    Attributes
    ----------
    is_repeatable
        Whether a client may send a request again that may have been executed.
    """

    name: str
    address: RouteAddress
    shares: tuple[Share, ...]
    timeout_ms: float
    target_latency_ms: float
    is_repeatable: bool = False

    def service_of(self, flow_hash: int) -> ServiceName:
        """Return the service of a new flow, by a hash of the flow."""
        if len(self.shares) == 1:
            return self.shares[0].service
        remainder = flow_hash % sum(share.weight for share in self.shares)
        for share in self.shares:
            remainder -= share.weight
            if remainder < 0:
                return share.service
        return self.shares[-1].service


class Configuration(NamedTuple):
    """All routes of one version."""

    version: Version
    routes: dict[RouteAddress, Route]
    idle_timeout_ms: float


NO_CONFIGURATION = Configuration(Version(-1), {}, 0)
