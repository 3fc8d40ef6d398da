"""Stand-ins of clients, routers and backends, and the start of the instances.

One thread runs all sockets of the stand-ins. Instances are separate processes, started
with the ``run`` line of the deploy file and the filled template of the settings.
"""

import json
import os
import random
import selectors
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from pathlib import Path

from packets import ACK, FIN, MASK, RST, SYN, is_after, is_genuine, pack, to_number, unpack
from store import Store

ROOT = Path(__file__).resolve().parents[2]
PACKET_PORT, READY_PORT, CONTROL_PORT, STORE_WAIT_S = 8172, 8167, 8166, 0.05
INTERNAL_PORTS = [7720, 7735]
HEARTBEAT_MS = 1200
FRAME_BYTES = 8
SYN_AGES_S = (0.0, 0.2, 0.6)
OPEN_TIMEOUT_S = 1.4
RETRANSMIT_S, MAX_RETRANSMIT_S, MAX_RETRANSMISSIONS = 0.2, 1.6, 8
RESET_WINDOW = 76_800
PROBE_INTERVAL_S, PROBE_TIMEOUT_S, MAX_MISSES = 0.5, 0.4, 2
MAX_NETWORKS = 50
REGION = 'hcm'
# Number of machines in each zone of the site saomai-stalls.
ZONES = {'hcm-binhthanh': 4, 'hcm-quan5': 3, 'hcm-thuduc': 2}
ROUTE_HOST = '127.199.0.1'
BOUNDS = {
    'seed_lag_s': 3,
    'address_reuse_s': 2,
    'stability_window_ms': 4000,
    'ack_timeout_ms': 5000,
    'catch_up_s': 4,
    'drain_timeout_ms': 3000,
    'grace_period_s': 6,
    'loss_slack_ms': 200,
    'config_apply_ms': 3000,
    'downgrade_slack_ms': 250,
    'max_stretch_ms': 12000,
    'recovery_s': 12,
    'flow_reorder_ms': 2000,
    'flow_lifetime_s': 60,
}


class CannotRun(Exception):
    """The case cannot run on this machine."""


class Record:
    """What was sent, answered and run: one JSON object a line."""

    def __init__(self, path):
        """Open the file."""
        self._file = open(path, 'w', encoding='utf-8')
        self._lock = threading.Lock()
        self._started_s = time.monotonic()

    def write(self, event, **details):
        """Write an event with the seconds since the start."""
        at_s = round(time.monotonic() - self._started_s, 3)
        with self._lock:
            self._file.write(json.dumps({'at_s': at_s, 'event': event, **details}) + '\n')
            self._file.flush()


class Backend:
    """A backend: HTTP health check over TCP, flows over UDP, heartbeats to the store."""

    def __init__(self, world, name, service, zone, host, work_ms=40, slots=3, port=0):
        """Start to listen; ``register`` announces it."""
        self.name, self.service, self.zone, self.host = name, service, zone, host
        self.work_ms, self.slots = work_ms, slots
        self.born_ms = int(time.time() * 1000)
        self.state = 'ready'
        self.sequence = 0
        self.flows = {}
        self.lost_syns = 0
        self._world = world
        self._frame = int(''.join(c for c in name if c in '0123456789abcdef'), 16)
        self.udp = world.udp(host, port, self._receive)
        self.port = self.udp.getsockname()[1]
        self.tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.tcp.bind((host, self.port))
        self.tcp.listen(1024)
        threading.Thread(target=self._serve_health, daemon=True).start()

    def entry(self):
        """Return the entry with the next sequence number."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': f'{self.host}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'warmup_left_ms': 0,
            'sequence': self.sequence,
            'born': self.born_ms,
        }

    def register(self):
        """
        Write the first entry.

        The heartbeats that follow differ in ``sequence`` only, which does not change the
        entry, so they are not played.
        """
        self._world.store.put(f'servers/{self.name}', self.entry())

    def report(self, state):
        """Write an entry with another state; return the time of the acknowledgement."""
        self.state = state
        self._world.store.put(f'servers/{self.name}', self.entry())
        return time.monotonic()

    def _serve_health(self):
        while True:
            try:
                connection, _ = self.tcp.accept()
            except OSError:
                return
            threading.Thread(
                target=self._answer_health, args=(connection,), daemon=True
            ).start()

    def _answer_health(self, connection):
        with connection:
            connection.settimeout(5)
            try:
                if connection.recv(4096):
                    status = '200 OK' if self.state == 'ready' else '503 Leaving'
                    head = f'HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n'
                    connection.sendall(head.encode())
            except OSError:
                return

    def _receive(self, datagram, _sender):
        world = self._world
        intended = int.from_bytes(datagram[:FRAME_BYTES], 'big')
        packet = unpack(datagram[FRAME_BYTES:])
        if packet is None or intended not in {0, self._frame}:
            return
        if not is_genuine(packet):
            world.record.write('packet_changed', backend=self.name)
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        world.note_arrival(key, self)
        flow = self.flows.get(key)
        if packet.flags & SYN and not packet.flags & ACK:
            if self.lost_syns:
                self.lost_syns -= 1
                world.record.write('opening_packet_lost', backend=self.name, flow=key)
                return
            if flow is None:
                flow = self.flows[key] = BackendFlow(self, key, packet)
            flow.echo = packet.echo
            flow.send(SYN | ACK, flow.start)
            return
        if flow is None:
            if not packet.flags & RST:
                self._reset(packet)
            return
        flow.receive(packet)

    def _reset(self, packet):
        datagram = pack(
            packet.ack, 0, RST, packet.echo, packet.dport, packet.dst, packet.sport, packet.src
        )
        self._world.send_to_client(self.udp, packet.src, datagram)

    def close(self):
        """Close the sockets."""
        self._world.forget(self.udp)
        # Wakes the thread that waits in accept, which would keep the port otherwise.
        self.tcp.shutdown(socket.SHUT_RDWR)
        self.tcp.close()


class BackendFlow:
    """A flow at its backend."""

    def __init__(self, backend, key, packet):
        """Start half open, with a sequence number of its own."""
        self.backend, self.key = backend, key
        self.echo = packet.echo
        self.start = backend._world.random.getrandbits(32)
        self.sent = self.start + 1 & MASK
        self.expected = packet.seq + 1 & MASK
        self.is_open = False
        self.is_busy = False
        self.received = b''
        self.unacked = []
        self.deadline_s = 0.0

    def send(self, flags, seq, data=b''):
        """Send a packet to the client."""
        src, sport, dst, dport = self.key
        datagram = pack(seq, self.expected, flags, self.echo, dport, dst, sport, src, data)
        self.backend._world.send_to_client(self.backend.udp, src, datagram)

    def receive(self, packet):
        """Handle a packet of the client."""
        self.echo = packet.echo
        if packet.flags & RST:
            self.backend.flows.pop(self.key, None)
            return
        if not self.is_open:
            if packet.ack != self.sent:
                return
            self.is_open = True
            self.backend._world.note_open(self.key, self.backend)
        self.unacked = [row for row in self.unacked if is_after(row[1], packet.ack)]
        if packet.data:
            if packet.seq == self.expected:
                self.expected = self.expected + len(packet.data) & MASK
                self.received += packet.data
            self.send(ACK, self.sent)
            self._run_next()
        if packet.flags & FIN:
            self.send(ACK | FIN, self.sent)
            self.backend.flows.pop(self.key, None)

    def _run_next(self):
        head, separator, rest = self.received.partition(b'\r\n\r\n')
        if not separator or self.is_busy:
            return
        headers = dict(
            line.split(': ', 1) for line in head.decode().split('\r\n')[1:] if line
        )
        size = int(headers.get('Content-Length', 0))
        if len(rest) < size:
            return
        self.received = rest[size:]
        self.is_busy = True
        number = headers['Request-Id']
        world = self.backend._world
        world.record.write('run', request=number, backend=self.backend.name)
        world.runs.append((number, self.backend.name, time.monotonic()))
        world.after(self.backend.work_ms / 1000, lambda: self._answer(number))

    def _answer(self, number):
        self.is_busy = False
        if self.backend.flows.get(self.key) is not self:
            return
        body = f'{self.backend.service} {number}'.ljust(600, '.')
        head = f'HTTP/1.1 200 OK\r\nRequest-Id: {number}\r\nContent-Length: {len(body)}\r\n\r\n'
        data = (head + body).encode()
        seq = self.sent
        self.sent = self.sent + len(data) & MASK
        self.unacked.append((seq, self.sent, data))
        self.send(ACK, seq, data)
        self._retransmit_later(seq, RETRANSMIT_S, 0)
        self._run_next()

    def _retransmit_later(self, seq, pause_s, count):
        def retransmit():
            rows = [row for row in self.unacked if row[0] == seq]
            if not rows or self.backend.flows.get(self.key) is not self:
                return
            if count >= MAX_RETRANSMISSIONS:
                self.backend.flows.pop(self.key, None)
                return
            self.send(ACK, seq, rows[0][2])
            self._retransmit_later(seq, min(pause_s * 2, MAX_RETRANSMIT_S), count + 1)

        self.backend._world.after(pause_s, retransmit)


class ClientFlow:
    """A flow of a client, with one request at a time."""

    def __init__(self, world, zone, src, sport, dport, node=None):
        """Send the first opening packet."""
        self.world, self.zone, self.node = world, zone, node
        self.key = (src, sport, to_number(ROUTE_HOST), dport)
        self.start = world.random.getrandbits(32)
        self.sent = self.start + 1 & MASK
        self.acked = self.sent
        self.expected = 0
        self.echo = 0
        self.state = 'opening'
        self.opened_s = time.monotonic()
        self.ended_by = ''
        self.request = None
        self.received = b''
        self.syns = 0
        for age_s in SYN_AGES_S:
            world.after(age_s, self._send_syn)
        world.after(OPEN_TIMEOUT_S, self._give_up_opening)

    def ask(self, request):
        """Send a request now, or when the flow is open."""
        self.request = request
        request.flow = self
        if self.state == 'open':
            self._send_request()
        elif self.state == 'closed':
            request.finish(self.ended_by or 'closed')

    def close(self):
        """Close the flow."""
        if self.state == 'open':
            self._send(ACK | FIN, self.sent)
        self._end('closed by client')

    def receive(self, packet):
        """Handle a packet that the network delivers."""
        if self.state == 'closed':
            return
        if packet.flags & RST:
            self._receive_reset(packet)
            return
        if not is_genuine(packet):
            self.world.record.write('packet_changed', flow=self.key)
            return
        if packet.flags & SYN:
            if self.state == 'opening':
                self.echo = packet.echo
                self.expected = packet.seq + 1 & MASK
                self.state = 'open'
                self._send(ACK, self.sent)
                if self.request is not None:
                    self._send_request()
            return
        if self.state != 'open':
            return
        self.echo = packet.echo
        if is_after(packet.ack, self.acked):
            self.acked = packet.ack
        if packet.data:
            if packet.seq == self.expected:
                self.expected = self.expected + len(packet.data) & MASK
                self.received += packet.data
            self._send(ACK, self.sent)
            self._read_answer()

    def _receive_reset(self, packet):
        is_of_system = packet.sum == 0
        distance = min(packet.seq - self.expected & MASK, self.expected - packet.seq & MASK)
        if self.state == 'open' and distance > RESET_WINDOW:
            self.world.record.write('reset_out_of_window', flow=self.key)
            return
        by = 'reset by system' if is_of_system else 'reset by backend'
        if self.state == 'open' and is_of_system:
            self.world.note_reset(self)
        self._end(by)

    def _read_answer(self):
        head, separator, rest = self.received.partition(b'\r\n\r\n')
        if not separator:
            return
        headers = dict(line.split(': ', 1) for line in head.decode().split('\r\n')[1:])
        size = int(headers['Content-Length'])
        if len(rest) < size:
            return
        self.received = rest[size:]
        if self.request is not None and headers['Request-Id'] == self.request.number:
            request, self.request = self.request, None
            request.finish('served')
        else:
            self.world.record.write('foreign_answer', flow=self.key)

    def _send_syn(self):
        if self.state == 'opening':
            self._send(SYN, self.start, ack=self.syns)
            self.syns += 1

    def _give_up_opening(self):
        if self.state == 'opening':
            self._end('not opened')

    def _send_request(self):
        head = f'{self.request.method} /{self.key[3]} HTTP/1.1\r\nRequest-Id: {self.request.number}\r\n'
        body = b'x' * self.request.body_bytes
        data = head.encode() + f'Content-Length: {len(body)}\r\n\r\n'.encode() + body
        seq = self.sent
        self.sent = self.sent + len(data) & MASK
        self._send_data(self.request, seq, data, RETRANSMIT_S)

    def _send_data(self, request, seq, data, pause_s):
        is_waiting = self.state == 'open' and self.request is request
        if not is_waiting or is_after(self.acked, seq):
            return
        self._send(ACK, seq, data=data)
        next_s = min(pause_s * 2, MAX_RETRANSMIT_S)
        self.world.after(pause_s, lambda: self._send_data(request, seq, data, next_s))

    def _send(self, flags, seq, ack=None, data=b''):
        src, sport, dst, dport = self.key
        ack = self.expected if ack is None else ack
        datagram = pack(seq, ack, flags, self.echo, sport, src, dport, dst, data)
        self.world.route(self.zone, self.key, datagram, self.node)

    def _end(self, reason):
        self.state = 'closed'
        self.ended_by = reason
        self.world.flows.pop(self.key, None)
        if self.request is not None:
            request, self.request = self.request, None
            request.finish(reason)


class Request:
    """One client attempt."""

    def __init__(self, world, deadline_s, method='GET', body_bytes=0):
        """Record the attempt as sent now; it ends at its deadline at the latest."""
        world.requests.append(self)
        self.number = f'q{len(world.requests)}'
        self.world, self.method, self.body_bytes = world, method, body_bytes
        self.sent_s = time.monotonic()
        self.outcome = ''
        self.flow = None
        self.on_end = None
        world.record.write('sent', request=self.number)
        world.after(deadline_s, self._expire)

    def finish(self, outcome):
        """Record the outcome; a new flow of its own is closed."""
        if self.outcome:
            return
        self.outcome = outcome
        took_ms = round((time.monotonic() - self.sent_s) * 1000)
        self.world.record.write(
            'answered' if outcome == 'served' else 'failed',
            request=self.number,
            outcome=outcome,
            after_ms=took_ms,
        )
        if self.on_end is not None:
            self.on_end(self)

    def _expire(self):
        if not self.outcome:
            flow = self.flow
            self.finish('deadline')
            if flow is not None and flow.request is self:
                flow.request = None
                flow.close()


class World:
    """All stand-ins and the instances of one small deployment."""

    def __init__(self, record_path, zones=ZONES, seed=1):
        """
        Prepare a deployment.

        ``zones`` maps the name of each zone to its number of instances.
        """
        self.random = random.Random(seed)
        self.record = Record(record_path)
        self.store = Store()
        self.zones = zones
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.requests, self.runs, self.resets = [], [], []
        self.flows, self.backends = {}, []
        self.open_at = {}
        self.arrivals = {}
        self.misses = {}
        self.processes = {}
        self._lock = threading.RLock()
        self._timers = []
        self._selector = selectors.DefaultSelector()
        self._is_closed = False
        self._counter = 0
        self._choose_network(zones)
        # One address of the store for each machine, so that it can turn some away.
        self.store_addresses = {
            host: self.store.listen('127.0.0.1') for host in self.instances
        }
        self._client_sockets = [
            self.udp(host, PACKET_PORT, self._receive_at_client)
            for host in self.client_hosts.values()
        ]
        self._router = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._ports = {host: 20_000 for host in self.client_hosts.values()}
        threading.Thread(target=self._run, daemon=True).start()

    # Stand-ins ---------------------------------------------------------------

    def backend(self, name, service, zone, **options):
        """Start and register a backend."""
        with self._lock:
            host = f'{self._net}.{150 + list(self.zones).index(zone)}.{len(self.backends) + 1}'
            backend = Backend(self, name, service, zone, host, **options)
            self.backends.append(backend)
            backend.register()
        return backend

    def publish(self, version, routes):
        """Write a configuration; ``routes`` maps ports to services."""
        rows = [
            {
                'name': f'r-{port}',
                'host': ROUTE_HOST,
                'prefix': f'/{port}/',
                'type': 'safe',
                'timeout_ms': 1000,
                'target_latency_ms': 100,
                'priority': 2,
                'service': service,
                'max_attempts': 2,
            }
            for port, service in routes.items()
        ]
        services = [
            {
                'name': service,
                'health_check_path': '/health',
                'max_connections': 2000,
                'protocol': 'h1',
                'tls': False,
            }
            for service in sorted(set(routes.values()))
        ]
        limits = {
            'max_header_bytes': 16384,
            'max_body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        }
        body = {'version': version, 'routes': rows, 'services': services, 'limits': limits}
        self.store.put('op/config', body)
        self.record.write('configuration_acknowledged', version=version)
        return time.monotonic()

    def open_flow(self, zone, port, node=None):
        """Open a flow of a client in a zone to a route, directly through a node if given."""
        with self._lock:
            host = self.client_hosts[zone]
            self._ports[host] += 1
            flow = ClientFlow(self, zone, to_number(host), self._ports[host], port, node)
            self.flows[flow.key] = flow
        return flow

    def send_request(self, zone, port, deadline_s=1.0, node=None):
        """Send a request on a flow of its own, as one attempt."""
        with self._lock:
            request = Request(self, deadline_s)
            flow = self.open_flow(zone, port, node)
            request.on_end = lambda _: flow.close()
            flow.ask(request)
        return request

    def ask(self, flow, deadline_s=1.0):
        """Send a request on an open flow."""
        with self._lock:
            request = Request(self, deadline_s)
            flow.ask(request)
        return request

    def after(self, delay_s, action):
        """Run an action later in the thread of the stand-ins."""
        with self._lock:
            self._counter += 1
            self._timers.append((time.monotonic() + delay_s, self._counter, action))

    def udp(self, host, port, receive):
        """Open a UDP socket whose datagrams go to a function."""
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.bind((host, port))
        opened.setblocking(False)
        self._selector.register(opened, selectors.EVENT_READ, receive)
        return opened

    def forget(self, opened):
        """Close a UDP socket."""
        self._selector.unregister(opened)
        opened.close()

    def send_to_client(self, opened, number, datagram):
        """Send a packet of a backend to its client."""
        host = socket.inet_ntoa(number.to_bytes(4, 'big'))
        opened.sendto(datagram, (host, PACKET_PORT))

    def _receive_at_client(self, datagram, sender):
        packet = unpack(datagram)
        if packet is None:
            return
        flow = self.flows.get((packet.dst, packet.dport, packet.src, packet.sport))
        if flow is not None:
            flow.last_sender = sender[0]
            flow.receive(packet)

    # What is judged ------------------------------------------------------------

    def note_open(self, key, backend):
        """Record that a backend has the end of the handshake of a flow."""
        self.open_at.setdefault(key, (backend, time.monotonic()))

    def note_arrival(self, key, backend):
        """Record the backend that a packet of a flow reached."""
        self.arrivals.setdefault(key, []).append((time.monotonic(), backend.name))

    def note_reset(self, flow):
        """Record a reset that the system sent on a flow that its client has open."""
        backend, opened_s = self.open_at.get(flow.key, (None, 0))
        holds = backend is not None and flow.key in backend.flows
        name = backend.name if backend else None
        self.resets.append((time.monotonic(), flow.key, name, holds))
        self.record.write(
            'reset_by_system',
            flow=flow.key,
            backend=name,
            backend_holds_the_flow=holds,
            instance=getattr(flow, 'last_sender', ''),
        )

    # Routers -------------------------------------------------------------------

    def route(self, zone, key, datagram, node=None):
        """Forward a packet to a node of the zone, by a hash over those in rotation."""
        nodes = [node] if node else self.nodes(zone)
        if nodes:
            host = nodes[hash(key) % len(nodes)]
            self._router.sendto(datagram, (host, PACKET_PORT))

    def nodes(self, zone):
        """Return the nodes that the routers of a zone use now."""
        own = [host for host, name in self.instances.items() if name == zone]
        ready = [host for host in own if self.misses.get(host, 2) < MAX_MISSES]
        if ready:
            return own if len(ready) * 2 < len(own) else ready
        others = [h for h in self.instances if self.misses.get(h, 2) < MAX_MISSES]
        return others or own

    def _probe_nodes(self, host):
        while not self._is_closed:
            started_s = time.monotonic()
            if is_ready(host):
                self.misses[host] = 0
            else:
                self.misses[host] = self.misses.get(host, MAX_MISSES) + 1
            pause_s = PROBE_INTERVAL_S - (time.monotonic() - started_s)
            time.sleep(max(0.01, pause_s))

    # Instances -----------------------------------------------------------------

    def start_instances(self, timeout_s=20):
        """Start all instances and wait until the routers use them."""
        for host in self.instances:
            self.start(host, is_first=True)
            threading.Thread(target=self._probe_nodes, args=(host,), daemon=True).start()
        deadline_s = time.monotonic() + timeout_s
        while any(self.misses.get(host, 2) for host in self.instances):
            if time.monotonic() > deadline_s:
                raise CannotRun('the instances do not become ready')
            time.sleep(STORE_WAIT_S)

    def start(self, host, is_first=False):
        """Start the process of an instance."""
        role = deploy_role()
        path = self.write_settings(host, is_first)
        environment = {
            name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        environment['CARDAMOMTILLER_BOOT'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with (self.folder / f'{host}.log').open('ab') as log:
            self.processes[host] = subprocess.Popen(
                role['run'].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write('instance_started', instance=host)

    def write_settings(self, host, is_first=False):
        """Write the settings of an instance as the template gives them."""
        zone = self.instances[host]
        store_host, store_port = self.store_addresses[host]
        fields = {
            'node_name': f'frontend-{host}',
            'role': 'instance',
            'machine_class': 'frontend',
            'serves': ['frontend', 'control_plane'],
            'ip': host,
            'zone': zone,
            'region': REGION,
            'internal_port_range': INTERNAL_PORTS,
            'seeds': [f'{seed}:{CONTROL_PORT}' for seed in list(self.instances)[:3]],
            'bootstrap': is_first,
            'loss_counts': False,
            'discovery': 'platform',
            'entry_kind': 'announcement',
            'heartbeat_interval_ms': HEARTBEAT_MS,
            'contracts': ['base', 'drain', 'config', 'cost', 'recover', 'flows', 'platform'],
            'hash': 'mod',
            'forwarding_mode': 'echo',
            'zones': dict.fromkeys(self.zones, REGION),
            'listen': {
                'datagram_address': f'{host}:{PACKET_PORT}',
                'ready': f'{host}:{READY_PORT}',
                'control_plane': f'{host}:{CONTROL_PORT}',
            },
            'limits': {
                'cpu_share': 0.537,
                'cpu_cores': 2,
                'memory_mb': 300,
                'fd_limit': 4100,
                'link_mbps': 1000.0,
                'disk_mb': 0,
            },
            'fault_tolerance': {'machines': 2, 'zones': 1, 'regions': 0},
            'bounds': BOUNDS,
            'platform': {
                'address': f'{store_host}:{store_port}',
                'forwarding_mode': 'read',
                'writes_per_s': 400,
                'reads_per_s': 2000,
                'history_s': 20,
                'value_bytes': 1048576,
                'min_ttl_ms': 1000,
            },
        }
        if (ROOT / deploy_role()['template']).read_text().strip() != '{{.|json}}':
            raise CannotRun('the template of the settings is another one')
        path = self.folder / f'{host}.json'
        new_path = path.with_suffix('.new')
        new_path.write_text(json.dumps(fields))
        new_path.replace(path)
        return path

    def stop(self, host, grace_s=6.0):
        """Send SIGTERM, and SIGKILL after the grace period; return when it has ended."""
        process = self.processes[host]
        self.record.write('instance_stopped', instance=host, signal='SIGTERM')
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(grace_s)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    def kill(self, *hosts):
        """Send SIGKILL to instances at the same moment."""
        for host in hosts:
            self.processes[host].kill()
            self.record.write('instance_stopped', instance=host, signal='SIGKILL')
        for host in hosts:
            self.processes[host].wait()

    def require_running(self):
        """Raise an error if an instance has ended by itself."""
        for host, process in self.processes.items():
            if process.poll() is not None:
                raise CannotRun(f'instance {host} has ended with {process.poll()}')

    def close(self):
        """End all processes that were started."""
        self._is_closed = True
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()

    def _choose_network(self, zones):
        """Choose addresses whose fixed ports are free."""
        for _ in range(MAX_NETWORKS):
            self._net = f'127.{random.SystemRandom().randint(20, 190)}'
            self.instances = {
                f'{self._net}.{10 + index}.{number + 1}': zone
                for index, (zone, count) in enumerate(zones.items())
                for number in range(count)
            }
            self.client_hosts = {
                zone: f'{self._net}.{100 + index}.1' for index, zone in enumerate(zones)
            }
            if all(is_free(host) for host in (*self.instances, *self.client_hosts.values())):
                return
        raise CannotRun('no free addresses')

    def _run(self):
        while not self._is_closed:
            for key, _ in self._selector.select(0.005):
                with self._lock:
                    self._read(key.fileobj, key.data)
            with self._lock:
                now_s = time.monotonic()
                due = sorted(timer for timer in self._timers if timer[0] <= now_s)
                self._timers = [timer for timer in self._timers if timer[0] > now_s]
                for _, _, action in due:
                    action()

    def _read(self, opened, receive):
        for _ in range(256):
            try:
                datagram, sender = opened.recvfrom(65_535)
            except OSError:
                return
            receive(datagram, sender)


def deploy_role():
    """Return the only role of the deploy file."""
    with (ROOT / 'deploy' / 'system.toml').open('rb') as deploy:
        roles = tomllib.load(deploy)['roles']
    return next(iter(roles.values()))


def is_ready(host):
    """Return whether the readiness check of an instance answers 200 in time."""
    try:
        with socket.create_connection((host, READY_PORT), PROBE_TIMEOUT_S) as connection:
            connection.settimeout(PROBE_TIMEOUT_S)
            connection.sendall(f'GET /readiness HTTP/1.1\r\nHost: {host}\r\n\r\n'.encode())
            return connection.recv(4096).startswith(b'HTTP/1.1 200')
    except OSError:
        return False


def is_free(host):
    """Return whether the fixed ports of a machine are free at an address."""
    rows = [(socket.SOCK_STREAM, port) for port in (READY_PORT, INTERNAL_PORTS[0], 9402)]
    rows += [(socket.SOCK_DGRAM, port) for port in (PACKET_PORT, INTERNAL_PORTS[0])]
    for kind, port in rows:
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def has_trouble():
    """Return whether the case plays its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'
