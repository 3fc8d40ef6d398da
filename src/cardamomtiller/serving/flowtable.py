"""Flow table of one upstream, rebuilt from the upstream's list and from opens."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from cardamomtiller.accounts.admission import Permit
from cardamomtiller.identity import CustomerId, Endpoint, FlowId, ServiceName
from cardamomtiller.wire_pb2 import Address, FlowRecord


@dataclass(slots=True)
class ServedFlow:
    """
    State of a flow at an instance.

    ``is_home`` is set once the upstream has granted ``generation`` to this
    instance. A flow that is only known from the flow list of the upstream is not
    served.
    """

    flow_id: FlowId
    service: ServiceName
    customer: CustomerId
    caller: Endpoint
    sequence: int
    generation: int
    seen_ms: float
    # Time of the oldest unanswered ping to the upstream; 0 if there is none.
    unanswered_ping_ms: float = 0
    is_home: bool = False
    pending_generation: int = 0
    permit: Permit | None = None
    # Empty for a flow that is only known from the flow list of the upstream.
    flow_key: bytes = b''
    forwarder: str = ''
    # Instance that relays packets to the caller, because packets sent directly do
    # not arrive; empty if they are sent directly.
    relay_instance: str = ''

    def update_from_packet(
        self, sequence: int, caller: Endpoint, now_ms: float
    ) -> None:
        """Update caller address and last use, unless the packet is out of order."""
        if sequence > self.sequence:
            self.sequence = sequence
            self.caller = caller
            self.seen_ms = now_ms

    def to_record(self, generation: int) -> FlowRecord:
        """Return the record of the flow for the upstream."""
        return FlowRecord(
            flow_id=self.flow_id,
            customer=self.customer,
            generation=generation,
            caller=Address(host=self.caller.host, port=self.caller.port),
            sequence=self.sequence,
        )


@dataclass(slots=True)
class FlowTable:
    """Flows of one upstream by flow id."""

    flows_by_id: dict[FlowId, ServedFlow] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self.flows_by_id)

    def add_listed(
        self,
        record: FlowRecord,
        service: ServiceName,
        now_ms: float,
    ) -> ServedFlow:
        """Add a flow from the list of the upstream; keep an entry that is newer."""
        flow_id = FlowId(record.flow_id)
        current = self.flows_by_id.get(flow_id)
        if current and current.generation >= record.generation:
            return current
        flow = ServedFlow(
            flow_id=flow_id,
            service=service,
            customer=CustomerId(record.customer),
            caller=Endpoint(record.caller.host, record.caller.port),
            sequence=record.sequence,
            generation=record.generation,
            seen_ms=now_ms,
        )
        if current:
            flow.permit = current.permit
        self.flows_by_id[flow_id] = flow
        return flow

    def idle_since(self, limit_ms: float) -> Iterator[ServedFlow]:
        """Iterate over the flows whose last packet arrived before ``limit_ms``."""
        for flow in tuple(self.flows_by_id.values()):
            if flow.seen_ms < limit_ms:
                yield flow
