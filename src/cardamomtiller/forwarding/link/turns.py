"""Waiting packets of each flow, and whose turn it is.

Flows take turns by deficit round robin (Shreedhar and Varghese, 1995), so that a transfer
delays a flow with few packets by a few packets only. Within a flow, packets leave by
sequence number.
"""

from abc import abstractmethod
from bisect import insort
from collections import OrderedDict
from typing import Generic, NamedTuple, Protocol, TypeVar

from cardamomtiller.forwarding.packet import FlowKey, Packet, sequence_offset


class TurnOptions(NamedTuple):
    """
    Bytes that a flow may send in each turn.

    Attributes
    ----------
    quantum_bytes
        Bytes of the least urgent flow; at least one packet.
    max_weight
        Factor of the quantum for flows of priority 0, halved with each rank.
    """

    quantum_bytes: int
    max_weight: int


class Outgoing(Protocol):
    """A datagram to send; ``packet`` is the client's packet that it carries."""

    @property
    @abstractmethod
    def datagram(self) -> bytes:
        """Bytes to send."""

    @property
    @abstractmethod
    def packet(self) -> Packet | None:
        """Packet of a client, None for a packet of the instance's own."""

    @property
    @abstractmethod
    def priority(self) -> int:
        """Rank of the route, 0 is the most urgent."""


Item = TypeVar('Item', bound=Outgoing)


class FlowQueue(Generic[Item]):
    """Waiting packets of one flow, ordered by sequence number."""

    __slots__ = (
        '_items',
        '_offsets',
        '_origin',
        'deficit_bytes',
        'has_turn',
        'queued_bytes',
    )

    def __init__(self, origin: int) -> None:
        """Start empty; sequence numbers are compared by their distance from one."""
        self._origin = origin
        self._offsets: list[int] = []
        self._items: dict[int, Item] = {}
        self.queued_bytes = 0
        self.deficit_bytes = 0
        self.has_turn = False

    def __len__(self) -> int:
        """Return the number of packets."""
        return len(self._items)

    def add(self, item: Item, packet: Packet) -> int:
        """Add a packet; return the growth in bytes, 0 for a copy of a waiting one."""
        offset = sequence_offset(packet.sequence, self._origin)
        waiting = self._items.get(offset)
        growth = len(item.datagram)
        if waiting is None:
            insort(self._offsets, offset)
        else:
            # A copy may be divided differently and have more payload than its original.
            growth = max(0, growth - len(waiting.datagram))
        if growth:
            self._items[offset] = item
        self.queued_bytes += growth
        return growth

    def head(self) -> Item:
        """Return the packet that leaves next."""
        return self._items[self._offsets[0]]

    def pop(self, index: int) -> Item:
        """Remove and return the first (0) or the last packet (-1)."""
        item = self._items.pop(self._offsets.pop(index))
        self.queued_bytes -= len(item.datagram)
        return item


class FlowTurns(Generic[Item]):
    """
    Flows with waiting packets, in the order of their turns.

    Attributes
    ----------
    queued_bytes
        Bytes that wait.
    """

    def __init__(self, options: TurnOptions) -> None:
        """Start without flows."""
        self._options = options
        self._flows: OrderedDict[FlowKey, FlowQueue[Item]] = OrderedDict()
        self.queued_bytes = 0

    def __len__(self) -> int:
        """Return the number of flows with waiting packets."""
        return len(self._flows)

    def __contains__(self, flow: FlowKey) -> bool:
        """Return whether packets of a flow wait."""
        return flow in self._flows

    def add(self, item: Item, packet: Packet) -> bool:
        """Add a packet; return False for a copy of a waiting one."""
        flow = self._flows.get(packet.flow)
        if flow is None:
            flow = self._flows[packet.flow] = FlowQueue(packet.sequence)
        growth = flow.add(item, packet)
        self.queued_bytes += growth
        return growth > 0

    def next_bytes(self) -> int:
        """Return the size of the next datagram; at least one must wait."""
        return len(self._next_flow()[1].head().datagram)

    def pop(self) -> Item:
        """Remove and return the next datagram; at least one must wait."""
        key, flow = self._next_flow()
        item = flow.pop(0)
        flow.deficit_bytes -= len(item.datagram)
        self._finish_removal(key, flow, len(item.datagram))
        return item

    def drop_last_of_longest(self) -> None:
        """Remove the last packet of the flow with the most waiting bytes."""
        key = max(self._flows, key=lambda flow: self._flows[flow].queued_bytes)
        flow = self._flows[key]
        self._finish_removal(key, flow, len(flow.pop(-1).datagram))

    def discard(self, key: FlowKey) -> None:
        """Remove all packets of a flow."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            self.queued_bytes -= flow.queued_bytes

    def _finish_removal(
        self, key: FlowKey, flow: FlowQueue[Item], removed_bytes: int
    ) -> None:
        self.queued_bytes -= removed_bytes
        if not flow:
            del self._flows[key]

    def _next_flow(self) -> tuple[FlowKey, FlowQueue[Item]]:
        """Return the flow whose turn it is; it keeps its turn until it used its bytes."""
        while True:
            key, flow = next(iter(self._flows.items()))
            head = flow.head()
            if not flow.has_turn:
                flow.has_turn = True
                weight = max(1, self._options.max_weight >> head.priority)
                flow.deficit_bytes += self._options.quantum_bytes * weight
            if flow.deficit_bytes >= len(head.datagram):
                return key, flow
            flow.has_turn = False
            self._flows.move_to_end(key)


DEFAULT_TURNS = TurnOptions(quantum_bytes=1250, max_weight=4)
