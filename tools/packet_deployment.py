"""
Local deployment of forwarding instances, with stand-ins for the other components.

Each instance is a separate process that runs the platform adapter. The store, the
routers, the clients and the upstreams are stand-ins in this process.
"""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import ujson

from tools.packet_traffic import (
    PACKET_PORT,
    ROOT,
    ROUTE_HOST,
    TrafficStandins,
    Upstream,
)
from tools.standins.store import Store
from tools.store_links import StoreLinks

# Arguments to the interpreter that start an instance.
PROGRAM = (str(ROOT / 'platform' / 'main.py'),)
READY_PORT = 8167
# Third byte of the addresses of instances, upstreams and proxies. The index of the
# failure domain or service is added to the first two.
INSTANCE_NETWORK = 10
UPSTREAM_NETWORK = 100
LINK_NETWORK = 200
INTERNAL_PORT = 7720


class Deployment:
    """Instance processes, the stand-in store and the stand-in traffic."""

    def __init__(
        self,
        domains: dict[str, int],
        services: dict[str, int],
        subnet: int,
        links: StoreLinks | None = None,
        program: tuple[str, ...] = PROGRAM,
        link_mbps: float = 1000.0,
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
        link_mbps
            Stated rate of the link of each instance. The links themselves are not
            limited.
        """
        self._program = program
        self._link_mbps = link_mbps
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
        self._links = links
        self._subnet = subnet
        self._store_addresses = {
            host: self.open_link(host) for host in (self.hosts if links else ())
        }
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.logs = {host: self._log_path(host) for host in self.hosts}
        for host in self.hosts:
            self.start(host)
        self.traffic.instance_hosts = list(self.hosts)

    def open_link(self, label: str) -> tuple[str, int]:
        """Open a proxy to the store with a label; return the address, or the store's."""
        if self._links is None:
            return self.store.address
        link_host = f'127.{self._subnet}.{LINK_NETWORK}.1'
        return self._links.open(label, link_host, self.store.address)

    def publish_configuration(self, *extra_ports: int) -> int:
        """Publish and return a version; extra ports are routes to the first service."""
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
        return self._version

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
            'limits': {'link_mbps': self._link_mbps},
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
