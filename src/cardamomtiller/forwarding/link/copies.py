"""Which packets were sent, and what their copies say about the link."""

from collections import OrderedDict
from typing import NamedTuple

from cardamomtiller.forwarding.packet import FlowKey, Packet, is_after


class CopyOptions(NamedTuple):
    """
    Limits of the memory of sent packets.

    Attributes
    ----------
    round_trip_ms
        Time after sending for which an acknowledgement may still be under way.
    memory_ms, max_packets
        How long and for how many packets it is known that they were sent; the longest
        retransmission timeout of a client is 1.6 s.
    """

    round_trip_ms: float
    memory_ms: float
    max_packets: int


class _Progress:
    """Latest payload of a flow, and the copies that have arrived since."""

    __slots__ = ('copies', 'highest', 'updated_ms')

    def __init__(self, sequence: int, now_ms: float) -> None:
        self.highest = sequence
        self.copies = 0
        self.updated_ms = now_ms


class SentPackets:
    """Memory of the packets that were sent a short time ago."""

    def __init__(self, options: CopyOptions) -> None:
        """Start without packets."""
        self._options = options
        self._sent_ms: OrderedDict[tuple[FlowKey, int], float] = OrderedDict()
        self._progress: OrderedDict[FlowKey, _Progress] = OrderedDict()

    def is_under_way(self, packet: Packet, now_ms: float) -> bool:
        """Return whether a packet was sent less than a round trip ago."""
        sent_ms = self._sent_ms.get((packet.flow, packet.sequence))
        return sent_ms is not None and now_ms - sent_ms < self._options.round_trip_ms

    def record_sent(self, packet: Packet, now_ms: float) -> None:
        """Record that a packet was sent."""
        key = packet.flow, packet.sequence
        self._sent_ms[key] = now_ms
        self._sent_ms.move_to_end(key)

    def count_losses(self, packet: Packet, now_ms: float) -> int:
        """
        Record the arrival of a packet; return how many losses it shows.

        New payload after copies shows that the upstream acknowledges, so the originals
        were lost on the way; a silent upstream says nothing about the link.
        """
        progress = self._progress.get(packet.flow)
        if progress is None:
            self._progress[packet.flow] = _Progress(packet.sequence, now_ms)
            return 0
        progress.updated_ms = now_ms
        self._progress.move_to_end(packet.flow)
        if (packet.flow, packet.sequence) in self._sent_ms:
            progress.copies += 1
            return 0
        if not is_after(packet.sequence, progress.highest):
            return 0
        losses = progress.copies
        progress.highest = packet.sequence
        progress.copies = 0
        return losses

    def expire(self, now_ms: float) -> None:
        """Delete the memory of packets that were sent long ago."""
        oldest_ms = now_ms - self._options.memory_ms
        while self._sent_ms:
            key, sent_ms = next(iter(self._sent_ms.items()))
            is_kept = len(self._sent_ms) <= self._options.max_packets
            if is_kept and sent_ms >= oldest_ms:
                break
            del self._sent_ms[key]
        while self._progress:
            flow = next(iter(self._progress))
            if self._progress[flow].updated_ms >= oldest_ms:
                break
            del self._progress[flow]


DEFAULT_COPIES = CopyOptions(round_trip_ms=30, memory_ms=2000, max_packets=4096)
