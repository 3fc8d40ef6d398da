"""
Stand-in clients and upstreams that exchange packets in the platform's format.

All clients share one address of 127.0.0.0/8, each upstream has a separate one.
"""

import contextlib
import itertools
import selectors
import socket
import sys
import threading
import time
import zlib
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from cardamomtiller.forwarding.published.upstreams import token_of
from cardamomtiller.ids import UpstreamId

ROOT = Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / 'platform'))

from packets import ACKNOWLEDGING, CLOSING, HEADER, OPENING, RESET  # noqa: E402

ROUTE_HOST = '198.18.0.1'
PACKET_PORT = 8172
UPSTREAM_PORT = 8000
# Several from each instance while the thread of the stand-ins does not get to run.
MAX_WAITING_PROBES = 1024
FRAME_BYTES = 8
# Times of retransmissions after the first opening or first data packet of a request.
RETRANSMIT_TIMES_S = (0.2, 0.6, 1.4, 3.0)
OPEN_TIMEOUT_S = 1.4
REQUEST_TIMEOUT_S = 3.0
ANSWER_BYTES = 100


def ipv4_as_int(host: str) -> int:
    """Convert a dotted IPv4 address to an integer."""
    return int.from_bytes(socket.inet_aton(host), 'big')


@dataclass
class Upstream:
    """
    State of a stand-in upstream.

    ``flows`` maps client port and route port to the next expected sequence number,
    ``run_counts`` maps the number of a request to how often it was received.
    """

    name: str
    service: str
    domain: str
    host: str
    answer_delay_s: float = 0.01
    slots: int = 2
    born: int = 1
    sequence: int = 0
    flows: dict[tuple[int, int], int] = field(default_factory=dict)
    run_counts: Counter[int] = field(default_factory=Counter)
    misdirected_packets: int = 0
    is_failed: bool = False
    # Receive time and source host (the instance) of each opening packet.
    opens: list[tuple[float, str]] = field(default_factory=list)

    def entry(self, state: str = 'ready') -> dict[str, Any]:
        """Return the next record that the upstream publishes in the store."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': f'{self.host}:{UPSTREAM_PORT}',
            'zone': self.domain,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'warmup_left_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }


@dataclass
class ClientRequest:
    """
    A request of a client, on a new flow or on one that an earlier request opened.

    ``outcome`` is empty until the request is finished.
    """

    port: int
    route_port: int
    number: int
    started_s: float
    sent_count: int = 0
    next_send_s: float = 0.0
    sequence: int = 0
    acknowledged: int = 0
    token: int = 0
    is_open: bool = False
    outcome: str = ''
    finished_s: float = 0.0


class TrafficStandins:
    """Sockets and state of all clients and upstreams, served by one thread."""

    def __init__(self, client_host: str, upstreams: list[Upstream]) -> None:
        """Open the sockets and start the thread; all clients share one address."""
        self._client_host = client_host
        self.upstreams = {upstream.name: upstream for upstream in upstreams}
        self.instance_hosts: list[str] = []
        self.service_by_port: dict[int, str] = {}
        self.active_requests: dict[int, ClientRequest] = {}
        self.finished_requests: list[ClientRequest] = []
        # Resets that instances sent on open flows. ``live_flow_resets``: the client's
        # upstream is alive and holds the flow, so the reset is an error.
        # ``duplicate_flow_resets``: the client's upstream has failed, and a live
        # upstream holds the flow too, because of a repeated opening packet.
        self.live_flow_resets = 0
        self.duplicate_flow_resets = 0
        self._request_numbers = itertools.count(1)
        self._client_ports = itertools.count(1024)
        self._pending_answers: list[tuple[float, Upstream, bytes]] = []
        self._selector = selectors.DefaultSelector()
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._client_socket = self._open_socket((client_host, PACKET_PORT), None)
        self._upstream_sockets = {
            upstream.name: self._open_socket((upstream.host, UPSTREAM_PORT), upstream)
            for upstream in upstreams
        }
        self._listeners = {
            upstream.name: self._listen(upstream) for upstream in upstreams
        }
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def start_request(
        self, route_port: int, previous_request: ClientRequest | None = None
    ) -> ClientRequest:
        """Start a request on a new flow or on the flow of a previous request."""
        now_s = time.monotonic()
        with self._lock:
            number = next(self._request_numbers)
            port = (
                previous_request.port
                if previous_request
                else next(self._client_ports) % 60_000 + 1024
            )
            request = ClientRequest(port, route_port, number, now_s, next_send_s=now_s)
            if previous_request is not None:
                request.is_open = True
                request.sequence = previous_request.sequence
                request.acknowledged = previous_request.acknowledged
                request.token = previous_request.token
            self.active_requests[port] = request
        return request

    @contextlib.contextmanager
    def paused(self) -> Iterator[None]:
        """Keep the thread of the stand-ins from running."""
        with self._lock:
            yield

    def fail_upstream(self, name: str) -> None:
        """Stop an upstream from answering packets and connections, permanently."""
        self.upstreams[name].is_failed = True
        self._selector.unregister(self._listeners[name])
        # Closing alone takes effect only when a call of the thread on it has returned.
        self._listeners[name].shutdown(socket.SHUT_RDWR)
        self._listeners[name].close()

    def close(self) -> None:
        """Stop the thread and close all sockets."""
        self._stopped.set()
        self._thread.join()
        for sock in (self._client_socket, *self._upstream_sockets.values()):
            sock.close()
        for name, listener in self._listeners.items():
            if not self.upstreams[name].is_failed:
                listener.close()

    def _open_socket(
        self,
        address: tuple[str, int],
        upstream: Upstream | None,
    ) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(address)
        sock.setblocking(False)
        handle = partial(self._receive, sock, upstream)
        self._selector.register(sock, selectors.EVENT_READ, handle)
        return sock

    def _listen(self, upstream: Upstream) -> socket.socket:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((upstream.host, UPSTREAM_PORT))
        listener.listen(MAX_WAITING_PROBES)
        listener.setblocking(False)
        accept = partial(self._accept, listener)
        self._selector.register(listener, selectors.EVENT_READ, accept)
        return listener

    def _accept(self, listener: socket.socket) -> None:
        """Accept all waiting probes; without this, later ones would time out."""
        # The listener of a failed upstream may have been closed since it was readable.
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                connection.close()

    def _run(self) -> None:
        while not self._stopped.is_set():
            for key, _ in self._selector.select(0.01):
                key.data()
            now_s = time.monotonic()
            with self._lock:
                self._send_due_answers(now_s)
                for request in tuple(self.active_requests.values()):
                    self._advance(request, now_s)

    def _receive(self, sock: socket.socket, upstream: Upstream | None) -> None:
        with contextlib.suppress(BlockingIOError):
            while True:
                datagram, (sender, _) = sock.recvfrom(65_535)
                with self._lock:
                    if upstream is None:
                        self._handle_at_client(datagram)
                    else:
                        self._handle_at_upstream(upstream, datagram, sender)

    def _handle_at_upstream(
        self,
        upstream: Upstream,
        datagram: bytes,
        sender: str,
    ) -> None:
        if upstream.is_failed:
            return
        frame, packet = datagram[:FRAME_BYTES], datagram[FRAME_BYTES:]
        if int.from_bytes(frame, 'big') != int(upstream.name.removeprefix('i-'), 16):
            upstream.misdirected_packets += 1
            return
        seq, _, _, flags, _, size, token, port, _, route_port, _ = HEADER.unpack_from(
            packet,
        )
        flow = (port, route_port)
        upstream.misdirected_packets += self.service_by_port.get(route_port) not in {
            upstream.service,
            None,
        }
        if flags & OPENING:
            upstream.opens.append((time.monotonic(), sender))
            upstream.flows.setdefault(flow, 1)
            self._send_to_client(upstream, flow, OPENING | ACKNOWLEDGING, token, 500, 0)
        elif flow not in upstream.flows:
            self._send_to_client(upstream, flow, RESET, token, 0, 0)
        elif flags & CLOSING:
            upstream.flows.pop(flow)
        elif size:
            number = int.from_bytes(packet[HEADER.size : HEADER.size + 8], 'big')
            upstream.run_counts[number] += 1
            upstream.flows[flow] = max(upstream.flows[flow], seq + size)
            due_s = time.monotonic() + upstream.answer_delay_s
            answer = self._build_packet(flow, ACKNOWLEDGING, token, seq, ANSWER_BYTES)
            self._pending_answers.append(
                (due_s, upstream, answer + packet[HEADER.size :][:8])
            )

    def _send_to_client(
        self,
        upstream: Upstream,
        flow: tuple[int, int],
        flags: int,
        token: int,
        seq: int,
        size: int,
    ) -> None:
        datagram = self._build_packet(flow, flags, token, seq, size)
        address = (self._client_host, PACKET_PORT)
        self._upstream_sockets[upstream.name].sendto(datagram, address)

    def _build_packet(
        self,
        flow: tuple[int, int],
        flags: int,
        token: int,
        seq: int,
        size: int,
    ) -> bytes:
        port, route_port = flow
        # Upstreams set the checksum to 1, while instances send resets with 0; the
        # clients use it to distinguish the two kinds of resets.
        return HEADER.pack(
            seq,
            0,
            1,
            flags,
            0,
            size,
            token,
            route_port,
            ipv4_as_int(ROUTE_HOST),
            port,
            ipv4_as_int(self._client_host),
        )

    def _send_due_answers(self, now_s: float) -> None:
        due_answers = [answer for answer in self._pending_answers if answer[0] <= now_s]
        self._pending_answers = [
            answer for answer in self._pending_answers if answer[0] > now_s
        ]
        for _, upstream, datagram in due_answers:
            if not upstream.is_failed:
                address = (self._client_host, PACKET_PORT)
                self._upstream_sockets[upstream.name].sendto(datagram, address)

    def _handle_at_client(self, datagram: bytes) -> None:
        _, _, checksum, flags, _, _, token, _, _, port, _ = HEADER.unpack_from(
            datagram,
        )
        # The destination port of a packet to the client identifies the request.
        request = self.active_requests.get(port)
        if request is None:
            return
        now_s = time.monotonic()
        if flags & RESET:
            if not checksum and request.is_open:
                self._count_reset(request)
            self._finish(request, 'reset' if checksum else 'refused', now_s)
        elif flags & OPENING:
            if not request.is_open:
                request.is_open = True
                request.token = token
                request.sequence = 101
                request.acknowledged = 501
                request.sent_count = 0
                request.next_send_s = now_s
        elif datagram[HEADER.size :][:8] == request.number.to_bytes(8, 'big'):
            request.sequence += 8
            request.acknowledged += ANSWER_BYTES
            self._send(request, ACKNOWLEDGING, b'')
            self._finish(request, 'done', now_s)

    def _count_reset(self, request: ClientRequest) -> None:
        """
        Count a reset by an instance for each live upstream that holds the flow.

        A repeated opening packet may have opened the flow at a second upstream too.
        The token identifies the upstream that the client uses.
        """
        flow = (request.port, request.route_port)
        for upstream in self.upstreams.values():
            if flow not in upstream.flows or upstream.is_failed:
                continue
            if token_of(UpstreamId(upstream.name)) == request.token:
                self.live_flow_resets += 1
            else:
                self.duplicate_flow_resets += 1

    def _finish(self, request: ClientRequest, outcome: str, now_s: float) -> None:
        request.outcome = outcome
        request.finished_s = now_s
        self.active_requests.pop(request.port, None)
        self.finished_requests.append(request)

    def _advance(self, request: ClientRequest, now_s: float) -> None:
        if now_s < request.next_send_s:
            return
        if not request.is_open and now_s - request.started_s >= OPEN_TIMEOUT_S:
            self._finish(request, 'not opened', now_s)
            return
        if now_s - request.started_s >= REQUEST_TIMEOUT_S:
            self._finish(request, 'deadline', now_s)
            return
        if request.is_open:
            self._send(request, ACKNOWLEDGING, request.number.to_bytes(8, 'big'))
        else:
            self._send(request, OPENING, b'')
        offset_s = RETRANSMIT_TIMES_S[
            min(request.sent_count, len(RETRANSMIT_TIMES_S) - 1)
        ]
        previous_offset_s = (
            RETRANSMIT_TIMES_S[request.sent_count - 1] if request.sent_count else 0
        )
        request.next_send_s = now_s + max(offset_s - previous_offset_s, 0.1)
        request.sent_count += 1

    def _send(self, request: ClientRequest, flags: int, payload: bytes) -> None:
        if not self.instance_hosts:
            return
        is_opening = bool(flags & OPENING)
        datagram = HEADER.pack(
            100 if is_opening else request.sequence,
            request.sent_count if is_opening else request.acknowledged,
            1,
            flags,
            0,
            len(payload),
            0 if is_opening else request.token,
            request.port,
            ipv4_as_int(self._client_host),
            request.route_port,
            ipv4_as_int(ROUTE_HOST),
        )
        instance_index = zlib.crc32(str(request.port).encode()) % len(
            self.instance_hosts
        )
        address = (self.instance_hosts[instance_index], PACKET_PORT)
        with contextlib.suppress(OSError):
            self._client_socket.sendto(datagram + payload, address)
