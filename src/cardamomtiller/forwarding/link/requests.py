"""Requests whose payload arrives, and the size of the requests of each route."""

from collections.abc import Iterable
from typing import NamedTuple

from cardamomtiller.forwarding.packet import (
    FlowKey,
    Packet,
    RouteAddress,
    sequence_offset,
)


class FinishedTransfer(NamedTuple):
    """
    A bulk transfer that has ended.

    Attributes
    ----------
    sent_bytes
        Payload without copies.
    arrived_bytes
        Payload with the copies that the client sent.
    duration_ms
        Time from the opening packet, or from the first payload after an earlier request,
        to the client's acknowledgement of the answer.
    """

    flow: FlowKey
    sent_bytes: int
    arrived_bytes: int
    duration_ms: float


class Transfer:
    """Payload of one request of a flow."""

    __slots__ = (
        'acknowledged',
        'arrived_bytes',
        'expected_bytes',
        'is_whole',
        'sent_bytes',
        'start',
        'started_ms',
        'updated_ms',
    )

    def __init__(
        self, start: int, expected_bytes: float, now_ms: float, *, is_whole: bool
    ) -> None:
        """Start without payload; ``start`` is the position of its first byte."""
        self.start = start
        self.expected_bytes = expected_bytes
        # Whether the first packet of the request came through this instance.
        self.is_whole = is_whole
        self.acknowledged: int | None = None
        self.sent_bytes = 0
        self.arrived_bytes = 0
        self.started_ms = now_ms
        self.updated_ms = now_ms

    def add(self, packet: Packet, now_ms: float) -> None:
        """Add a packet with payload, which may be a copy."""
        end = sequence_offset(packet.sequence, self.start) + packet.payload_bytes
        self.sent_bytes = max(self.sent_bytes, end)
        self.arrived_bytes += packet.payload_bytes
        self.updated_ms = now_ms

    def remaining_bytes(self) -> float:
        """Return the payload that is still expected."""
        return max(0, self.expected_bytes - self.sent_bytes)


class RequestSizes:
    """Mean size of the requests of each route."""

    def __init__(self, gain: float) -> None:
        """Start without routes; ``gain`` is the weight of the newest request."""
        self._gain = gain
        self._mean_bytes: dict[RouteAddress, float] = {}

    def mean_bytes(self, route: RouteAddress) -> float:
        """Return the mean size, 0 if no request of the route has ended yet."""
        return self._mean_bytes.get(route, 0)

    def record(self, route: RouteAddress, size: int) -> None:
        """Add the size of a request."""
        mean_bytes = self._mean_bytes.get(route, size)
        self._mean_bytes[route] = mean_bytes + self._gain * (size - mean_bytes)

    def retain(self, routes: Iterable[RouteAddress]) -> None:
        """Delete all routes except the given ones."""
        for address in self._mean_bytes.keys() - set(routes):
            del self._mean_bytes[address]
