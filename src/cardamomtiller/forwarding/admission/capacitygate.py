"""Refuses upstreams that have as many requests or flows as they can take."""

from collections.abc import Mapping

from cardamomtiller.forwarding.admission.shortage import ServiceDemand
from cardamomtiller.forwarding.observation.capacity import CapacityTable
from cardamomtiller.forwarding.observation.load import LoadTable, UpstreamLoad
from cardamomtiller.forwarding.placement.gates import PlacementGate
from cardamomtiller.forwarding.published.upstreams import Upstream
from cardamomtiller.ids import ServiceName


class CapacityGate(PlacementGate):
    """Admits an upstream below its observed limit and below its connection limit."""

    def __init__(self, loads: LoadTable, capacity: CapacityTable) -> None:
        """Start with every upstream admitted."""
        self._loads = loads
        self._capacity = capacity
        self.demands: Mapping[ServiceName, ServiceDemand] = {}

    def is_active(self, now_ms: float) -> bool:
        """Return whether the configuration has a service with limits of this kind."""
        return bool(self.demands)

    def admits(self, upstream: Upstream, now_ms: float) -> bool:
        """Return whether an upstream can usefully get another flow."""
        demand = self.demands.get(upstream.entry.service)
        if demand is None:
            return True
        load = self._loads.get_or_create(upstream.token)
        in_progress = load.in_progress + load.others_busy
        if in_progress >= self._capacity.limit(upstream, load, now_ms):
            return False
        return not demand.max_connections or flows_at(load) < demand.max_connections

    def record_placement(self, upstream: Upstream, now_ms: float) -> None:
        """Do nothing: the load table has the flow from now on."""


def flows_at(load: UpstreamLoad) -> float:
    """
    Return the flows of all instances at an upstream, as far as they are known.

    The reports contain requests in progress but no flows. At least that many flows of
    the others are open; assuming more would make openings wait while there is room.
    """
    return load.open_flows + load.others_busy
