"""Stand-ins of the store, backends and clients, and the processes under test.

Only the standard library is used. Packets have the form of the published protocol; a
packet and its answer fit into one datagram. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HEADER = struct.Struct('>IIIBBHIHIHI')
SYN, ACK, FIN, RST = 2, 32, 8, 16
PACKET_PORT, READY_PORT, CONTROL_PORT, BACKEND_PORT = 8172, 8167, 8166, 8000
STABILITY_WINDOW_S = 4.0
BOUNDS = {
    'seed_lag_s': 3, 'address_reuse_s': 2, 'stability_window_ms': 4000,
    'ack_timeout_ms': 5000, 'catch_up_s': 4, 'drain_timeout_ms': 3000,
    'grace_period_s': 6, 'loss_slack_ms': 200, 'config_apply_ms': 3000,
    'downgrade_slack_ms': 250, 'max_stretch_ms': 12000, 'recovery_s': 12,
    'flow_reorder_ms': 2000, 'flow_lifetime_s': 60,
}


def ip_number(host):
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(host), 'big')


class Record:
    """Lines of record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, 'w')
        self._started = time.monotonic()

    def write(self, *words):
        self._file.write(f'{time.monotonic() - self._started:8.3f} ' + ' '.join(map(str, words)) + '\n')
        self._file.flush()


class Store:
    """The platform's store: linearizable reads, watches, one revision counter."""

    def __init__(self, host):
        self._changed = threading.Condition()
        self._items, self._history, self._revision = {}, [], 1
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'
            disable_nagle_algorithm = True

            def do_GET(self):
                try:
                    store.answer(self)
                except ConnectionError:
                    self.close_connection = True

            def log_message(self, *_):
                pass

        self._server = ThreadingHTTPServer((host, 0), Handler)
        self._server.daemon_threads = True
        # Clients that were killed reset their connections.
        self._server.handle_error = lambda *_: None
        self.address = '%s:%d' % self._server.server_address[:2]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, key, value):
        """Write an item, bytes as they are; the return is the acknowledgement."""
        with self._changed:
            self._revision += 1
            created = self._items.get(key, {}).get('create_revision', self._revision)
            raw = value if isinstance(value, bytes) else json.dumps(value).encode()
            item = {'key': key, 'value': base64.b64encode(raw).decode(),
                    'revision': self._revision, 'create_revision': created, 'lease': 0}
            self._items[key] = item
            self._history.append(item)
            self._changed.notify_all()

    def remove(self, key):
        """Remove an item."""
        with self._changed:
            self._revision += 1
            self._items.pop(key, None)
            self._history.append({'key': key, 'revision': self._revision, 'removed': True})
            self._changed.notify_all()

    def answer(self, handler):
        """Answer a range or a watch."""
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        prefix = query.get('prefix', '')
        if url.path == '/kv-range':
            with self._changed:
                keys = sorted(k for k in self._items if k.startswith(prefix) and k > query.get('after', ''))
                page, size = [], 0
                # At most about 500 items or 1 MB.
                while keys[len(page):] and len(page) < 500 and size < 1_000_000:
                    page.append(self._items[keys[len(page)]])
                    size += len(page[-1]['value'])
                body = {'items': page, 'has_more': len(keys) > len(page), 'as_of': self._revision}
        else:
            after, until = int(query['after']), time.monotonic() + int(query['wait_ms']) / 1000
            with self._changed:
                while True:
                    events = [e for e in self._history if e['revision'] > after and e['key'].startswith(prefix)]
                    left = until - time.monotonic()
                    if events or left <= 0:
                        break
                    self._changed.wait(left)
                body = {'events': events, 'as_of': self._revision}
        encoded = json.dumps(body).encode()
        handler.send_response(200)
        handler.send_header('Content-Type', 'application/json')
        handler.send_header('Content-Length', str(len(encoded)))
        handler.end_headers()
        handler.wfile.write(encoded)


class Endpoint(asyncio.DatagramProtocol):
    """A UDP socket that hands each datagram to a function."""

    def __init__(self, handle):
        self._handle = handle
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        self._handle(data, address)

    def error_received(self, error):
        pass


class Backend:
    """A backend: it holds flows, answers requests, and registers itself in the store."""

    def __init__(self, world, name, service, zone, host):
        self.world, self.name, self.service, self.zone, self.host = world, name, service, zone, host
        self.state, self.sequence, self.born = 'ready', 0, int(time.time() * 1000)
        self.flows = {}
        self.slots, self.work_s = 2, 0.005
        self._queue, self._busy = [], 0
        self.is_cut = False
        self.alive = False
        self._listener, self._fillers = None, []
        self._number = int(''.join(c for c in name if c in '0123456789abcdef'), 16)

    async def start(self):
        """Listen and register."""
        loop = asyncio.get_running_loop()
        _, self._udp = await loop.create_datagram_endpoint(
            lambda: Endpoint(self._receive), local_addr=(self.host, BACKEND_PORT))
        self._listen()
        self.alive = True
        self._heart = asyncio.create_task(self._heartbeat())

    def _listen(self):
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((self.host, BACKEND_PORT))
        self._listener.listen(128)
        self._listener.setblocking(False)
        asyncio.get_running_loop().add_reader(self._listener.fileno(), self._accept)

    def _accept(self):
        try:
            connection, _ = self._listener.accept()
        except OSError:
            return
        connection.close()

    def stop_listening(self):
        """Refuse TCP connections from now on, as a backend that is leaving may."""
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener.fileno())
            self._listener.close()
            self._listener = None
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()

    def cut(self):
        """Cut the links to all instances: packets are lost, TCP connections hang."""
        self.is_cut = True
        asyncio.get_running_loop().remove_reader(self._listener.fileno())
        # A full accept queue drops the opening segments of further connections.
        self._listener.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, BACKEND_PORT))
            self._fillers.append(filler)
            time.sleep(0.01)

    def heal(self):
        """End the cut."""
        self.is_cut = False
        if self._listener is not None:
            for filler in self._fillers:
                filler.close()
            self._fillers.clear()
            self._listener.listen(128)
            asyncio.get_running_loop().add_reader(self._listener.fileno(), self._accept)

    def write_entry(self):
        """Write the entry; the return of the store is its acknowledgement."""
        self.sequence += 1
        self.world.store.put(f'servers/{self.name}', {
            'service': self.service, 'address': f'{self.host}:{BACKEND_PORT}', 'zone': self.zone,
            'version': 'v1', 'slots': self.slots, 'state': self.state, 'warmup_left_ms': 0,
            'sequence': self.sequence, 'born': self.born})

    async def _heartbeat(self):
        while self.alive:
            self.write_entry()
            await asyncio.sleep(1.2)

    def drain(self):
        """Report that the backend is leaving."""
        self.state = 'draining'
        self.write_entry()

    def end(self):
        """Exit: the entry is removed, flows are discarded."""
        self.alive = False
        self._heart.cancel()
        self.stop_listening()
        self.flows.clear()
        self.world.store.remove(f'servers/{self.name}')
        self._udp.transport.close()

    def _receive(self, data, address):
        if self.is_cut:
            return
        frame, packet = int.from_bytes(data[:8], 'big'), data[8:]
        if frame not in (0, self._number):
            return
        seq, ack, _, flags, _, size, echo, sport, src, dport, dst = HEADER.unpack_from(packet)
        key = (src, sport, dst, dport)
        flow = self.flows.get(key)
        record = self.world.record
        if flags & SYN:
            if flow is None:
                flow = self.flows[key] = {'seq': (hash(self.name) ^ sport * 2654435761) & 0x7FFFFFFF,
                                          'next': seq + 1, 'open': False}
                flow['sent'] = flow['seq'] + 1
            self._send(key, flow['seq'], flow['next'], SYN | ACK, echo)
            return
        if flow is None or (not flow['open'] and ack != flow['seq'] + 1):
            if not flags & RST:
                record.write('backend', self.name, 'answers a packet of a flow that it does not hold',
                             f'client port {sport} with RST')
                self.world.strays.append((time.monotonic(), self.name, sport))
                self._send(key, ack, seq + size, RST, echo)
            return
        flow['open'] = True
        if flags & RST:
            del self.flows[key]
            return
        if flags & FIN:
            self._send(key, flow['sent'], seq + size + 1, ACK, echo)
            del self.flows[key]
            return
        if size:
            body = packet[HEADER.size:]
            flow['echo'] = echo
            if seq == flow['next']:
                flow['next'] = seq + size
                flow['answer'] = None
                record.write('backend', self.name, 'runs', body.decode())
                self.world.runs.append((time.monotonic(), self.name, body.decode()))
                self._queue.append((key, flow, b'answer to ' + body))
                self._work()
            elif flow.get('answer'):
                start, answer = flow['answer']
                self._send(key, start, flow['next'], ACK, echo, answer)
            else:
                # A copy of a request that is still running is acknowledged.
                self._send(key, flow['sent'], flow['next'], ACK, echo)

    def _work(self):
        while self._queue and self._busy < self.slots:
            self._busy += 1
            asyncio.get_running_loop().call_later(self.work_s, self._finish, *self._queue.pop(0))

    def _finish(self, key, flow, answer):
        self._busy -= 1
        if self.flows.get(key) is flow:
            flow['answer'] = (flow['sent'], answer)
            flow['sent'] += len(answer)
            # A backend that drains closes each flow after its next response.
            closing = FIN if self.state == 'draining' else 0
            self._send(key, flow['answer'][0], flow['next'], ACK | closing, flow['echo'], answer)
        self._work()

    def _send(self, key, seq, ack, flags, echo, body=b''):
        src, sport, dst, dport = key
        head = HEADER.pack(seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, 7, flags, 0, len(body), echo, dport, dst, sport, src)
        self._udp.transport.sendto(head + body, (self.world.client_host, PACKET_PORT))


class Flow:
    """One flow of a client, with the retransmissions of the protocol."""

    def __init__(self, world, service_port, port):
        self.world, self.service_port, self.port = world, service_port, port
        self.seq, self.ack, self.echo = port * 1000, 0, 0
        self.is_open, self.end, self.backend = False, None, None
        self.answers, self.acknowledged = [], self.seq
        self._arrived = asyncio.Event()

    def _send(self, flags, body=b'', ack=None):
        head = HEADER.pack(self.seq & 0xFFFFFFFF, (self.ack if ack is None else ack) & 0xFFFFFFFF, 7, flags, 0,
                           len(body), self.echo, self.port, ip_number(self.world.client_host),
                           self.service_port, ip_number(self.world.route_host))
        self.world.client.transport.sendto(head + body, (self.world.route(self), PACKET_PORT))

    async def open(self):
        """Open the flow; return whether that succeeded."""
        for copy, wait_s in enumerate((0.2, 0.4, 0.8)):
            self._send(SYN, ack=copy)
            if await self._wait(wait_s) or self.end:
                break
        return self.is_open

    async def request(self, text, deadline_s):
        """Send a request; return 'answered', 'reset' or 'deadline'."""
        body, until, pause = text.encode(), time.monotonic() + deadline_s, 0.2
        self.world.record.write('client port', self.port, 'sends', text)
        self._expected = b'answer to ' + body
        count = len(self.answers)
        while time.monotonic() < until and not self.end and len(self.answers) == count:
            if self.acknowledged - self.seq < len(body):
                self._send(ACK, body)
            await self._wait(min(pause, until - time.monotonic()))
            pause = min(1.6, pause * 2)
        if len(self.answers) > count and self.answers[-1] == self._expected:
            if not self.end:
                self.seq += len(body)
                self._send(ACK)
            outcome = 'answered'
        else:
            outcome = self.end or 'deadline'
        self.world.record.write('client port', self.port, 'request', text, outcome)
        return outcome

    async def _wait(self, seconds):
        self._arrived.clear()
        try:
            await asyncio.wait_for(self._arrived.wait(), max(0.001, seconds))
        except asyncio.TimeoutError:
            return False
        return True

    def receive(self, seq, ack, total, flags, echo, body):
        """Handle a packet for this flow."""
        if flags & RST:
            if self.end:
                return
            # A reset of the system's own has the sum 0.
            if not total and self.is_open and abs(seq - self.ack) > 76_800:
                return
            self.end = 'reset by the system' if not total else 'reset by a backend'
            self.world.record.write('client port', self.port, 'gets', self.end)
            self._arrived.set()
        elif flags & SYN:
            if not self.is_open:
                self.is_open, self.ack, self.echo = True, seq + 1, echo
                self.seq += 1
                self._send(ACK)
                self._arrived.set()
        else:
            self.acknowledged = max(self.acknowledged, ack)
            if body and seq == self.ack:
                self.ack, self.echo = seq + len(body), echo
                self.answers.append(body)
                if flags & FIN:
                    self.seq, self.ack, self.end = max(self.seq, self.acknowledged), self.ack + 1, 'closed'
                    self._send(FIN | ACK)
                self._arrived.set()
            elif body:
                # A copy of an answer: the acknowledgement was lost.
                self._send(ACK)


class World:
    """A small deployment: store, instances, backends, clients."""

    def __init__(self, folder, zones):
        self.record = Record(Path(folder) / 'record.txt')
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        net = f'127.{64 + os.getpid() % 128}'
        self.net = net
        self.client_host, self.route_host = f'{net}.1.1', f'{net}.2.1'
        self.store = Store(f'{net}.3.1')
        self.zones = zones
        self.hosts = {f'{net}.10.{index + 1}': zone for index, zone in enumerate(zones)}
        self.rotation = list(self.hosts)
        self.processes, self.flows, self.runs, self.strays = {}, {}, [], []
        self._folder = tempfile.TemporaryDirectory()
        self._ports = 20_000

    async def start(self, routes):
        """Write the configuration and start all instances."""
        loop = asyncio.get_running_loop()
        _, self.client = await loop.create_datagram_endpoint(
            lambda: Endpoint(self._receive), local_addr=(self.client_host, PACKET_PORT))
        self.store.put('op/config', {
            'version': 3, 'limits': {'idle_timeout_ms': 12000},
            'services': [{'name': s, 'health_check_path': '/health', 'max_connections': 2000}
                         for s in set(routes.values())],
            'routes': [{'name': f'r{port}', 'host': self.route_host, 'prefix': f'/{port}/', 'service': service,
                        'type': 'safe', 'timeout_ms': 1000, 'target_latency_ms': 100, 'priority': 2,
                        'max_attempts': 1} for port, service in routes.items()]})

    def start_instance(self, host):
        """Start one instance with the command of the deploy file."""
        settings = {
            'node_name': f'frontend-{host}', 'role': 'instance', 'machine_class': 'frontend',
            'serves': ['frontend', 'control_plane'], 'ip': host, 'zone': self.hosts[host], 'region': 'viti-west',
            'internal_port_range': [7720, 7735], 'seeds': [f'{h}:{CONTROL_PORT}' for h in list(self.hosts)[:3]],
            'bootstrap': True, 'loss_counts': False, 'discovery': 'platform', 'entry_kind': 'announcement',
            'heartbeat_interval_ms': 1200, 'hash': 'mod', 'forwarding_mode': 'echo',
            'contracts': ['base', 'drain', 'config', 'cost', 'recover', 'flows', 'platform'],
            'zones': {zone: 'viti-west' for zone in self.zones},
            'listen': {'datagram_address': f'{host}:{PACKET_PORT}', 'ready': f'{host}:{READY_PORT}',
                       'control_plane': f'{host}:{CONTROL_PORT}'},
            'limits': {'cpu_share': 1.0, 'cpu_cores': 1, 'memory_mb': 300, 'fd_limit': 4100,
                       'link_mbps': 1000.0, 'disk_mb': 0},
            'fault_tolerance': {'machines': 2, 'zones': 1, 'regions': 0}, 'bounds': BOUNDS,
            'platform': {'address': self.store.address, 'reads_per_s': 2000, 'history_s': 20,
                         'value_bytes': 1048576, 'form': 'read'}}
        path = Path(self._folder.name) / f'{host}.json'
        path.write_text(json.dumps(settings))
        log = open(Path(self._folder.name) / f'{host}.log', 'ab')
        self.processes[host] = subprocess.Popen(
            ['python3', '-S', '-s', 'target/app/main.py'], cwd=ROOT, stdout=log, stderr=log,
            env={'PATH': os.environ['PATH'], 'HOME': self._folder.name, 'PYTHONPATH': str(ROOT / 'target/deps'),
                 'CARDAMOMTILLER_BOOT': str(path)})

    async def wait_ready(self, timeout_s=15):
        """Wait until every instance answers the readiness check with 200."""
        until = time.monotonic() + timeout_s
        for host in self.processes:
            while not await asyncio.to_thread(self.is_ready, host):
                if time.monotonic() > until:
                    raise RuntimeError(f'{host} is not ready')
                await asyncio.sleep(0.05)

    @staticmethod
    def is_ready(host):
        """Return whether the readiness check answers 200."""
        try:
            with socket.create_connection((host, READY_PORT), timeout=1) as connection:
                connection.sendall(b'GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n')
                return b' 200 ' in connection.recv(200)
        except OSError:
            return False

    async def route_packets(self):
        """Take instances out of rotation after two missed readiness checks, as routers do."""
        misses = dict.fromkeys(self.hosts, 0)
        while True:
            for host in self.hosts:
                ready = await asyncio.to_thread(self.is_ready, host)
                misses[host] = 0 if ready else misses[host] + 1
            ready_hosts = [host for host in self.hosts if misses[host] < 2]
            # With fewer than half in rotation, all are used.
            rotation = ready_hosts if 2 * len(ready_hosts) >= len(self.hosts) else list(self.hosts)
            if rotation != self.rotation:
                self.record.write('rotation', rotation)
                self.rotation = rotation
            await asyncio.sleep(0.5)

    def flow(self, service_port):
        """Return a new flow from a new port."""
        self._ports += 1
        flow = self.flows[self._ports] = Flow(self, service_port, self._ports)
        return flow

    def route(self, flow):
        """Return the instance to which the packets of a flow go now."""
        return self.rotation[flow.port % len(self.rotation)]

    def holder(self, flow):
        """Return the backend that holds a flow."""
        key = (ip_number(self.client_host), flow.port, ip_number(self.route_host), flow.service_port)
        return next((b for b in self.backends if b.alive and b.flows.get(key, {}).get('open')), None)

    def _receive(self, data, _):
        seq, ack, total, flags, _, size, echo, _, _, port, _ = HEADER.unpack_from(data)
        flow = self.flows.get(port)
        if flow is not None:
            flow.receive(seq, ack, total, flags, echo, data[HEADER.size:])

    def logs(self):
        """Iterate over the log lines of all instances."""
        for host in self.hosts:
            for line in (Path(self._folder.name) / f'{host}.log').read_text().splitlines():
                yield host, line

    def close(self):
        """End all processes that were started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self._folder.cleanup()


def main(play, folder, zones):
    """Run a play; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    signal.signal(signal.SIGTERM, lambda *_: exit(2))
    world = World(folder, zones)
    try:
        broken = asyncio.run(asyncio.wait_for(play(world), 110))
    except Exception as error:
        world.record.write('could not run:', repr(error))
        print('could not run:', repr(error))
        broken = None
    finally:
        world.close()
    text = {None: 'not run', True: 'broken', False: 'held'}[broken]
    world.record.write('rule', text)
    print('rule', text)
    raise SystemExit({None: 2, True: 1, False: 0}[broken])
