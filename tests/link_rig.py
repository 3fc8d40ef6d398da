"""Model of transfers through an instance with a slow link, in virtual time.

Each client keeps a window of packets in flight, which arrive at the instance at once and
in random order, and repeats what is not acknowledged. The link of the instance has a
small send buffer and loses what does not fit.
"""

import heapq
from itertools import count
from random import Random

from cardamomtiller.forwarding.link.egress import DEFAULT_EGRESS, EgressQueue
from cardamomtiller.forwarding.link.rate import DEFAULT_RATE, LinkRate
from cardamomtiller.forwarding.packet import Packet
from cardamomtiller.forwarding.routing.forwarder import Delivery

WINDOW = 16
PAYLOAD_BYTES = 1200
HEADER_BYTES = 40
TIMEOUTS_MS = (200, 400, 800, 1600)
ROUND_TRIP_MS = 4
ADDRESS = ('10.0.1.1', 8000)


def payload(flow, sequence, size=PAYLOAD_BYTES, priority=0, **flags):
    """Return the delivery of a packet with payload, or of a short or closing one."""
    fields = {'is_opening': False, 'is_closing': False, 'is_reset': False, **flags}
    packet = Packet(
        flow=flow,
        copy_number=0,
        sequence=sequence % 2**32,
        acknowledged=0,
        payload_bytes=size,
        token=1,
        **fields,
    )
    return Delivery(ADDRESS, bytes(size + HEADER_BYTES), packet, priority)


class LinkModel:
    """Transfers that share one link; with ``is_queued`` off, packets are sent at once."""

    def __init__(
        self, stated, actual=None, *, buffer_ms=40, loss=0.0, is_queued=True, late_ms=0
    ):
        """Take the stated and the actual rate in bytes per ms."""
        self._random = Random(1)
        self.rate = LinkRate(stated, DEFAULT_RATE)
        self.queue = EgressQueue(self.rate, DEFAULT_EGRESS)
        self._actual = actual or stated
        self._buffer_ms = buffer_ms
        self._loss = loss
        self._is_queued = is_queued
        self._late_ms = late_ms
        self._free_ms = 0
        self._events = []
        self._numbers = count()
        self._wake_ms = None
        self.finished_ms = {}
        self._states = {}
        self.sent = 0
        self.wanted = 0

    def transfer(self, flow, size, start_ms=0, first=2**32 - 30_000):
        """Add a transfer; by default its sequence numbers wrap around."""
        total = -(-size // PAYLOAD_BYTES)
        self.wanted += total
        state = {'flow': flow, 'total': total, 'acked': 0, 'sent': 0, 'tries': 0}
        state |= {'first': first, 'got': set(), 'timer': 0}
        self._at(start_ms, self._send_window, state)

    @property
    def copies_share(self):
        """Share of the packets on the link beyond those of the transfers."""
        return 1 - self.wanted / self.sent

    @property
    def longest_ms(self):
        """Time at which the last transfer ended."""
        return max(self.finished_ms.values())

    def run(self, until_ms=60_000):
        """Run until all transfers have ended, or until a time."""
        while self._events and self._events[0][0] <= until_ms:
            now_ms, _, action, *arguments = heapq.heappop(self._events)
            action(now_ms, *arguments)

    def _at(self, when_ms, action, *arguments):
        heapq.heappush(self._events, (when_ms, next(self._numbers), action, *arguments))

    def _send_window(self, now_ms, state):
        end = min(state['total'], state['acked'] + WINDOW)
        numbers = list(range(state['sent'], end))
        state['sent'] = max(state['sent'], end)
        self._emit(now_ms, state, numbers)
        self._restart_timer(now_ms, state)

    def _restart_timer(self, now_ms, state):
        state['timer'] += 1
        pause_ms = TIMEOUTS_MS[min(state['tries'], 3)]
        self._at(now_ms + pause_ms, self._time_out, state, state['timer'])

    def _time_out(self, now_ms, state, timer):
        if timer != state['timer'] or state['acked'] >= state['total']:
            return
        state['tries'] += 1
        self._emit(now_ms, state, list(range(state['acked'], state['sent'])))
        self._restart_timer(now_ms, state)

    def _emit(self, now_ms, state, numbers):
        self._random.shuffle(numbers)
        for number in numbers:
            delivery = payload(state['flow'], state['first'] + number * PAYLOAD_BYTES)
            self._at(
                now_ms + 2 * self._random.random(),
                self._arrive,
                delivery,
                state,
            )

    def _arrive(self, now_ms, delivery, state):
        self._states[delivery.packet.flow] = state
        if not self._is_queued:
            self._transmit(now_ms, delivery)
            return
        self.queue.put(delivery, now_ms)
        self._flush(now_ms)

    def _flush(self, now_ms):
        for delivery in self.queue.due(now_ms):
            self._transmit(now_ms, delivery)
        due_ms = self.queue.next_due_ms(now_ms)
        if due_ms is not None and (self._wake_ms is None or self._wake_ms <= now_ms):
            self._wake_ms = max(due_ms, now_ms + 0.01) + self._late_ms
            self._at(self._wake_ms, self._flush)

    def _transmit(self, now_ms, delivery):
        self.sent += 1
        start_ms = max(now_ms, self._free_ms)
        if start_ms - now_ms > self._buffer_ms:
            return
        self._free_ms = start_ms + len(delivery.datagram) / self._actual
        if self._random.random() >= self._loss:
            self._at(self._free_ms + ROUND_TRIP_MS, self._acknowledge, delivery)

    def _acknowledge(self, now_ms, delivery):
        state = self._states[delivery.packet.flow]
        offset = (delivery.packet.sequence - state['first']) % 2**32
        state['got'].add(offset // PAYLOAD_BYTES)
        acked = state['acked']
        while state['acked'] in state['got']:
            state['acked'] += 1
        if state['acked'] >= state['total']:
            self.finished_ms.setdefault(state['flow'], now_ms)
        elif state['acked'] > acked:
            state['tries'] = 0
            self._send_window(now_ms, state)


def put_all(queue, deliveries, now_ms=0):
    """Put deliveries into a queue; return the results."""
    return [queue.put(delivery, now_ms) for delivery in deliveries]


def new_queue(bytes_per_ms=300):
    """Return a queue for a link of a rate."""
    return EgressQueue(LinkRate(bytes_per_ms, DEFAULT_RATE), DEFAULT_EGRESS)
