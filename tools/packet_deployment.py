"""
Local deployment of forwarding instances, with stand-ins for the other components.

Each instance is a separate process that runs the platform adapter. The store, the
routers, the clients and the upstreams are stand-ins in this process. Clients and
upstreams exchange packets in the platform's format over loopback; all clients share
one address of 127.0.0.0/8, each upstream has a separate one.
"""

import contextlib
import itertools
import json
import os
import selectors
import signal
import socket
import subprocess
import sys
import threading
import time
import zlib
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import ujson

from cardamomtiller.forwarding.published.upstreams import token_of
from cardamomtiller.ids import UpstreamId
from tools.standins.store import Store

ROOT = Path(__file__).resolve().parent.parent
# Arguments to the interpreter that start an instance.
PROGRAM = (str(ROOT / 'platform' / 'main.py'),)
sys.path.append(str(ROOT / 'platform'))

from packets import ACKNOWLEDGING, CLOSING, HEADER, OPENING, RESET  # noqa: E402

ROUTE_HOST = '198.18.0.1'
PACKET_PORT = 8172
READY_PORT = 8167
# Third byte of the addresses of instances, upstreams and proxies. The index of the
# failure domain or service is added to the first two.
INSTANCE_NETWORK = 10
UPSTREAM_NETWORK = 100
LINK_NETWORK = 200
INTERNAL_PORT = 7720
UPSTREAM_PORT = 8000
FRAME_BYTES = 8
# Times of retransmissions after the first opening or first data packet of a request.
RETRANSMIT_TIMES_S = (0.2, 0.6, 1.4, 3.0)
OPEN_TIMEOUT_S = 1.4
REQUEST_TIMEOUT_S = 3.0
ANSWER_BYTES = 100
MASK = 0xFFFFFFFF


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
    flows: dict[tuple[int, int], int] = field(default_factory=dict)
    run_counts: Counter[int] = field(default_factory=Counter)
    misdirected_packets: int = 0
    is_failed: bool = False
    # Receive time and source host (the instance) of each opening packet.
    opens: list[tuple[float, str]] = field(default_factory=list)

    def entry(self, state: str = 'ready') -> dict[str, Any]:
        """Return the record that the upstream publishes in the store."""
        return {
            'service': self.service,
            'address': f'{self.host}:{UPSTREAM_PORT}',
            'zone': self.domain,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'warmup_left_ms': 0,
            'sequence': 1,
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

    def fail_upstream(self, name: str) -> None:
        """Stop an upstream from answering packets and connections, permanently."""
        self.upstreams[name].is_failed = True
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
        self._selector.register(sock, selectors.EVENT_READ, upstream)
        return sock

    def _listen(self, upstream: Upstream) -> socket.socket:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((upstream.host, UPSTREAM_PORT))
        listener.listen(16)
        return listener

    def _run(self) -> None:
        while not self._stopped.is_set():
            for key, _ in self._selector.select(0.01):
                self._receive(key.fileobj, key.data)  # type: ignore[arg-type]
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


class StoreLinks(ABC):
    """Interface of proxies between the instances and the store."""

    @abstractmethod
    def open(
        self,
        host: str,
        link_host: str,
        target: tuple[str, int],
    ) -> tuple[str, int]:
        """Open a proxy for an instance and return the address of the proxy."""


class Deployment:
    """Instance processes, the stand-in store and the stand-in traffic."""

    def __init__(
        self,
        domains: dict[str, int],
        services: dict[str, int],
        subnet: int,
        links: StoreLinks | None = None,
        program: tuple[str, ...] = PROGRAM,
    ) -> None:
        """
        Start all stand-ins and instances; call ``wait_until_ready`` before use.

        Parameters
        ----------
        domains
            Number of instances of each failure domain.
        services
            Number of upstreams of each service.
        subnet
            Second byte of all addresses. Deployments that run at the same time need
            different values.
        links
            Proxies between the instances and the store.
        program
            Arguments to the interpreter that start an instance.
        """
        self._program = program
        self.store = Store(('127.0.0.1', 0))
        domain_names = list(domains)
        self.upstreams = [
            Upstream(
                f'i-{index * 100 + number + 1:08x}',
                service,
                domain_names[number % len(domain_names)],
                f'127.{subnet}.{UPSTREAM_NETWORK + index}.{number + 1}',
            )
            for index, (service, count) in enumerate(services.items())
            for number in range(count)
        ]
        self.traffic = TrafficStandins(f'127.{subnet}.1.1', self.upstreams)
        self.routes = {443 + index: service for index, service in enumerate(services)}
        self.traffic.service_by_port = self.routes
        self._version = 0
        self.publish_configuration()
        for upstream in self.upstreams:
            self.store.put(f'servers/{upstream.name}', upstream.entry())
        self.hosts = {
            f'127.{subnet}.{INSTANCE_NETWORK + index}.{number + 1}': name
            for index, (name, count) in enumerate(domains.items())
            for number in range(count)
        }
        self._store_addresses = {
            host: links.open(host, f'127.{subnet}.{LINK_NETWORK}.1', self.store.address)
            for host in (self.hosts if links else ())
            if links
        }
        self._subnet = subnet
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.logs = {host: self._log_path(host) for host in self.hosts}
        for host in self.hosts:
            self.start(host)
        self.traffic.instance_hosts = list(self.hosts)

    def publish_configuration(self, *extra_ports: int) -> None:
        """Publish a new version; extra ports are routes to the first service."""
        self._version += 3
        first_service = next(iter(self.routes.values()))
        ports = {**self.routes, **dict.fromkeys(extra_ports, first_service)}
        routes = [
            {
                'name': f'route-{port}',
                'host': ROUTE_HOST,
                'prefix': f'/{port}/',
                'type': 'safe',
                'timeout_ms': 3000,
                'target_latency_ms': 300,
                'priority': 1,
                'service': service,
            }
            for port, service in ports.items()
        ]
        limits = {'idle_timeout_ms': 12_000}
        configuration = {'version': self._version, 'routes': routes, 'limits': limits}
        self.store.put('op/config', configuration)

    def start(self, host: str) -> None:
        """Write the settings of an instance and start its process."""
        settings_path = self._settings_path(host)
        settings_path.write_text(json.dumps(self._settings(host)))
        package_folder = Path(ujson.__file__).parent
        environment = {
            'PATH': os.environ['PATH'],
            'PYTHONPATH': f'{ROOT / "src"}:{package_folder}',
            'CARDAMOMTILLER_BOOT': str(settings_path),
        }
        with self.logs[host].open('ab') as log:
            self.processes[host] = subprocess.Popen(
                [sys.executable, '-S', '-s', *self._program],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def wait_until_ready(self, timeout_s: float = 15.0) -> None:
        """
        Wait until the readiness check of every instance answers 200.

        Raises
        ------
        TimeoutError
            If an instance is not ready within the timeout.
        """
        deadline_s = time.monotonic() + timeout_s
        for host in self.processes:
            while self.status(host) != 200:
                if time.monotonic() > deadline_s:
                    raise TimeoutError(
                        f'instance {host} is not ready after {timeout_s} s'
                    )
                time.sleep(0.05)

    def status(self, host: str) -> int:
        """Return the HTTP status of the readiness check, 0 without an answer."""
        answer = self.fetch(host, READY_PORT, '/readiness')
        return int(answer.split(b' ')[1]) if answer else 0

    def fetch(self, host: str, port: int, path: str) -> bytes:
        """Return the raw answer to an HTTP request, empty if the connection fails."""
        request = f'GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n'.encode()
        try:
            with socket.create_connection((host, port), timeout=1) as connection:
                connection.sendall(request)
                return connection.recv(1 << 20)
        except OSError:
            return b''

    def signal(self, host: str, signal_number: signal.Signals) -> None:
        """Send a signal to an instance."""
        self.processes[host].send_signal(signal_number)

    def drain(self, name: str) -> None:
        """Publish an upstream as draining."""
        upstream = self.traffic.upstreams[name]
        self.store.put(f'servers/{name}', upstream.entry('draining'))

    def log_rows(self, host: str) -> Iterator[dict[str, Any]]:
        """Iterate over the decoded log lines of an instance; skip other output."""
        for line in self.logs[host].read_text().splitlines():
            with contextlib.suppress(ValueError):
                yield json.loads(line)

    def close(self) -> None:
        """Kill all instance processes and close the stand-ins."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.traffic.close()
        self.store.close()

    def change_settings(self, host: str, changes: dict[str, Any]) -> None:
        """Replace the settings file of an instance without sending a signal."""
        path = self._settings_path(host)
        temporary_path = path.with_suffix('.new')
        temporary_path.write_text(json.dumps(self._settings(host) | changes))
        temporary_path.replace(path)

    def _settings(self, host: str) -> dict[str, Any]:
        address, port = self._store_addresses.get(host, self.store.address)
        return {
            'node_name': f'instance-{host}',
            'ip': host,
            'zone': self.hosts[host],
            'internal_port_range': [INTERNAL_PORT, INTERNAL_PORT + 15],
            'seeds': [f'{seed}:8166' for seed in list(self.hosts)[:3]],
            'listen': {
                'datagram_address': f'{host}:{PACKET_PORT}',
                'ready': f'{host}:{READY_PORT}',
            },
            'limits': {'link_mbps': 1000.0},
            'bounds': {
                'grace_period_s': 4,
                'config_apply_ms': 3000,
                'drain_timeout_ms': 3000,
            },
            'platform': {'address': f'{address}:{port}'},
        }

    def _settings_path(self, host: str) -> Path:
        return self._folder() / f'{host}.json'

    def _log_path(self, host: str) -> Path:
        path = self._folder() / f'{host}.log'
        path.unlink(missing_ok=True)
        return path

    def _folder(self) -> Path:
        folder = ROOT / 'build' / 'packet-deployment' / str(self._subnet)
        folder.mkdir(parents=True, exist_ok=True)
        return folder
