"""Opening packets that wait at the instance, and the order in which they leave.

The order answers a demand above the capacity that lasts for a while. First come, first
served would make every client late, because each waits for all before it. A request that
can still meet its latency objective therefore goes before one that cannot, and of two
such requests the newer one, which has more time left, as in adaptive LIFO (Maurer, Fail
at Scale, ACM Queue 13(8), 2015). Every few releases a late one gets a turn, oldest
first, so that none starves.
"""

from collections import OrderedDict
from collections.abc import Iterator
from typing import NamedTuple

from cardamomtiller.forwarding.admission.claims import Claims
from cardamomtiller.forwarding.packet import FlowKey, Packet
from cardamomtiller.forwarding.published.configuration import Route

# Priority, recent releases of the client's block and address, and age.
Rank = tuple[int, tuple[float, float], float]


class WaitOptions(NamedTuple):
    """
    Limits of the wait queue.

    Attributes
    ----------
    max_waiting
        Largest number of waiting packets.
    max_age_ms
        Age of a flow at which its packet is forwarded in any case; lower than the time
        after which a client abandons an unanswered opening packet.
    copy_ages_ms
        Age of a flow when its client sends each copy of the opening packet.
    copy_delay_ms
        Delay with which a copy may arrive. If one does not arrive, the client has
        given up, or its packets reach another instance, which forwards them.
    late_turn_interval
        Every how many releases a late request goes before those that can be in time.
    """

    max_waiting: int
    max_age_ms: float
    copy_ages_ms: tuple[float, ...]
    copy_delay_ms: float
    late_turn_interval: int


class WaitingOpening(NamedTuple):
    """
    An opening packet that waits.

    Attributes
    ----------
    packet, datagram
        The newest copy, decoded and as received.
    route
        Route of the flow when the packet arrived.
    arrived_ms
        Arrival of the first copy at this instance.
    opened_ms
        Time at which the client sent the first copy, as far as the copies show.
    next_copy_due_ms
        Time by which another copy must have arrived, None after the last copy.
    """

    packet: Packet
    datagram: bytes
    route: Route
    arrived_ms: float
    opened_ms: float
    next_copy_due_ms: float | None

    def can_be_in_time(self, latency_ms: float, now_ms: float) -> bool:
        """Return whether an answer after ``latency_ms`` would meet the objective."""
        return now_ms + latency_ms <= self.opened_ms + self.route.target_latency_ms


class WaitQueue:
    """Waiting opening packets of one service."""

    def __init__(self, options: WaitOptions, claims: Claims | None = None) -> None:
        """Create an empty queue; without claims, clients are not told apart."""
        self._options = options
        self.claims = claims
        self._waiting: OrderedDict[FlowKey, WaitingOpening] = OrderedDict()
        self._releases = 0

    def __len__(self) -> int:
        """Return the number of waiting packets."""
        return len(self._waiting)

    def __contains__(self, flow: FlowKey) -> bool:
        """Return whether the opening packet of a flow waits."""
        return flow in self._waiting

    def put(self, packet: Packet, datagram: bytes, route: Route, now_ms: float) -> None:
        """Add an opening packet, or replace the earlier copy of a waiting one."""
        earlier = self._waiting.get(packet.flow)
        arrived_ms = now_ms if earlier is None else earlier.arrived_ms
        opened_ms = now_ms - self._age_of_copy(packet.copy_number)
        if earlier is not None:
            opened_ms = min(opened_ms, earlier.opened_ms)
        self._waiting[packet.flow] = WaitingOpening(
            packet,
            datagram,
            route,
            arrived_ms,
            opened_ms,
            self._next_copy_due_ms(packet.copy_number, now_ms),
        )

    def pop_abandoned(self, now_ms: float) -> Iterator[WaitingOpening]:
        """Remove and iterate over the packets whose next copy has not arrived."""
        for flow, opening in tuple(self._waiting.items()):
            due_ms = opening.next_copy_due_ms
            if due_ms is not None and now_ms > due_ms:
                del self._waiting[flow]
                yield opening

    def pop_overdue(self, now_ms: float) -> Iterator[WaitingOpening]:
        """Remove and iterate over the packets that may not wait any longer."""
        return self.pop_older(self._options.max_age_ms, now_ms)

    def pop_older(self, age_ms: float, now_ms: float) -> Iterator[WaitingOpening]:
        """Remove and iterate over the packets of flows that are at least this old."""
        for flow, opening in tuple(self._waiting.items()):
            if now_ms - opening.opened_ms >= age_ms:
                del self._waiting[flow]
                yield opening

    def count_ahead(self, priority: int) -> int:
        """Return the number of waiting packets that are at least as urgent."""
        return sum(
            opening.route.priority <= priority for opening in self._waiting.values()
        )

    def pop_next(self, latency_ms: float, now_ms: float) -> WaitingOpening:
        """
        Remove and return the packet that leaves next; at least one must wait.

        Parameters
        ----------
        latency_ms
            Expected time from the release to the answer.
        now_ms
            Current time.
        """
        self._releases += 1
        timely: list[WaitingOpening] = []
        late: list[WaitingOpening] = []
        for opening in self._waiting.values():
            can_be_in_time = opening.can_be_in_time(latency_ms, now_ms)
            (timely if can_be_in_time else late).append(opening)
        is_late_turn = self._releases % self._options.late_turn_interval == 0
        if late and (is_late_turn or not timely):
            selected = min(late, key=self._oldest_first)
        else:
            selected = min(timely, key=self._newest_first)
        return self._waiting.pop(selected.packet.flow)

    def put_back(self, opening: WaitingOpening) -> None:
        """Put a packet back that may not leave yet, behind all others."""
        self._waiting[opening.packet.flow] = opening

    def pop_all(self) -> Iterator[WaitingOpening]:
        """Remove and iterate over all packets."""
        while self._waiting:
            yield self._waiting.popitem(last=False)[1]

    def _next_copy_due_ms(self, copy_number: int, now_ms: float) -> float | None:
        if copy_number + 1 >= len(self._options.copy_ages_ms):
            return None
        pause_ms = self._age_of_copy(copy_number + 1) - self._age_of_copy(copy_number)
        return now_ms + pause_ms + self._options.copy_delay_ms

    def _age_of_copy(self, copy_number: int) -> float:
        ages_ms = self._options.copy_ages_ms
        return ages_ms[min(copy_number, len(ages_ms) - 1)]

    def _newest_first(self, opening: WaitingOpening) -> Rank:
        return opening.route.priority, self._claim(opening), -opening.opened_ms

    def _oldest_first(self, opening: WaitingOpening) -> Rank:
        return opening.route.priority, self._claim(opening), opening.opened_ms

    def _claim(self, opening: WaitingOpening) -> tuple[float, float]:
        if self.claims is None:
            return 0, 0
        return self.claims.rank(opening.packet.flow.client)
