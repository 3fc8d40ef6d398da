"""Instances with real peers and readers on loopback, all in one process."""

import asyncio
import socket
import struct
import time
import zlib
from collections.abc import Callable
from dataclasses import dataclass, fields, replace

from cardamomtiller.counter import Counters
from cardamomtiller.identity import Endpoint, InstanceId
from cardamomtiller.lists.document import PLANS, InstanceRow
from cardamomtiller.lists.snapshot import SnapshotStore
from cardamomtiller.membership.membership import Membership
from cardamomtiller.membership.membershipoptions import MembershipOptions
from cardamomtiller.membership.rumor import make_incarnation
from cardamomtiller.peering.exchangeparts import ControlHandler
from cardamomtiller.peering.peer import Peer, PeerOptions
from cardamomtiller.peering.reader import (
    ConfigurationReader,
    DocumentIntake,
    ReaderOptions,
    ReaderRole,
    choose_role,
)
from cardamomtiller.peering.source import HttpSource
from tools.membership_model import DEFAULTS, make_rows
from tools.standins.platform import Faults, Platform

CLUSTER_KEY = b'k' * 32
PLAN = """[plan gold]
rate_per_s = {rate}
concurrent_requests = 4
open_flows = 10
bytes_in_flight = 100000
"""
# Position of bytes_acked, bytes_received, segs_out and segs_in in struct tcp_info
# of Linux.
TCP_INFO_BYTES = 144
TCP_INFO_COUNTS = struct.Struct('=QQII')
TCP_INFO_OFFSET = 120
# IPv4 header 20, TCP header 20, timestamp option 12.
SEGMENT_HEADER_BYTES = 52


@dataclass
class Traffic:
    """Bytes and segments sent on sockets, summed over instances."""

    sent_bytes: int = 0
    segments: int = 0

    @property
    def sent_with_headers(self) -> int:
        """Bytes sent, including the TCP and IP headers."""
        return self.sent_bytes + SEGMENT_HEADER_BYTES * self.segments

    def minus(self, earlier: 'Traffic') -> 'Traffic':
        """Return the increase since an earlier reading."""
        values = {
            counter.name: getattr(self, counter.name) - getattr(earlier, counter.name)
            for counter in fields(Traffic)
        }
        return Traffic(**values)


def clock_ms() -> float:
    """Return the monotonic time in milliseconds."""
    return time.monotonic() * 1000


def find_free_ports(count: int) -> list[int]:
    """Return different free TCP ports; all are bound before the first is released."""
    sockets = []
    for _ in range(count):
        free_socket = socket.socket()
        free_socket.bind(('127.0.0.1', 0))
        sockets.append(free_socket)
    ports = [free_socket.getsockname()[1] for free_socket in sockets]
    for free_socket in sockets:
        free_socket.close()
    return ports


class LiveInstance:
    """Control plane of one instance: membership, peer and configuration reader."""

    def __init__(
        self,
        row: InstanceRow,
        rows: list[InstanceRow],
        url: str,
        options: MembershipOptions,
        watchers: int,
    ) -> None:
        """Build the components and connect them as an instance does."""
        self.row = row
        self.counters = Counters()
        self.store = SnapshotStore()
        self.watchers = watchers
        intake = DocumentIntake(self.store, self.counters, lambda now_ms: None)
        self.membership = Membership(
            row, options, make_incarnation(time.time() * 1000, 0), clock_ms()
        )
        self.membership.set_published(rows, clock_ms())
        self.source = HttpSource(url, 500)
        self.reader = ConfigurationReader(
            self.source,
            intake,
            ReaderOptions(30_000, 300, 60_000, watchers),
            self.role,
            clock_ms,
            self.counters,
            seed=zlib.crc32(row.name.encode()),
        )
        self.peer = Peer(
            PeerOptions(row.peer_address, (CLUSTER_KEY,), options.probe_timeout_ms),
            self.membership,
            ControlHandler(self.membership, self.store.digest),
            intake,
            clock_ms,
            self.counters,
        )
        self.tasks: list[asyncio.Task[None]] = []

    def role(self) -> ReaderRole:
        """Return the reader role that follows from the current view."""
        view = self.membership.current_view()
        return choose_role(self.row.name, self.row.domain, view, self.watchers)

    def is_watcher(self) -> bool:
        """Return whether this instance holds a watch."""
        return self.role() is ReaderRole.WATCHER

    async def start(self, seeds: list[Endpoint]) -> None:
        """Listen, fetch documents from the seeds and the source, and run the tasks."""
        await self.peer.start()
        await self.reader.start(lambda: self.peer.fetch_from_seeds(seeds))
        self.membership.set_live(clock_ms())
        self.tasks = [
            asyncio.create_task(self.peer.run()),
            asyncio.create_task(self.reader.run()),
        ]

    async def stop(self) -> None:
        """Cancel the tasks and close the peer and the source."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.peer.stop()
        await self.source.close()


class LiveFleet:
    """Several instances and a stand-in for the configuration service."""

    def __init__(
        self,
        count: int,
        domains: int,
        options: MembershipOptions = DEFAULTS,
        watchers: int = 1,
    ) -> None:
        """Choose ports and names; ``start`` opens the sockets."""
        ports = find_free_ports(count)
        self.rows = [
            replace(row, peer_address=Endpoint('127.0.0.1', port))
            for row, port in zip(make_rows(count, domains), ports, strict=True)
        ]
        self.names = [row.name for row in self.rows]
        self.options = options
        self.watchers = watchers
        self.platform = Platform()
        self.instances: dict[InstanceId, LiveInstance] = {}
        self._url = ''

    async def start(self) -> None:
        """Start the stand-in and all instances."""
        self.platform.publish('plans', PLAN.format(rate=5))
        port = await self.platform.listen('127.0.0.1', 0)
        self._url = f'http://127.0.0.1:{port}'
        await asyncio.gather(*(self.start_instance(name) for name in self.names))

    async def start_instance(self, name: InstanceId) -> None:
        """Start one instance, or restart it after ``kill``."""
        row = next(row for row in self.rows if row.name == name)
        instance = LiveInstance(row, self.rows, self._url, self.options, self.watchers)
        self.instances[name] = instance
        await instance.start([seed.peer_address for seed in self.rows[:2]])

    async def kill(self, name: InstanceId) -> None:
        """End one instance without an announcement to the others."""
        await self.instances.pop(name).stop()

    async def stop(self) -> None:
        """Stop all instances and the stand-in."""
        for name in list(self.instances):
            await self.kill(name)
        await self.platform.close()

    def disable_platform(self) -> None:
        """Make the configuration service close all connections without a response."""
        self.platform.set_faults(Faults(absent=True))

    def running_instances(self) -> list[LiveInstance]:
        """Return all instances that have been started and not killed."""
        return list(self.instances.values())

    def views_agree(self) -> bool:
        """Return whether every view lists exactly the running instances as serving."""
        expected = tuple(sorted(self.instances))
        return all(
            instance.membership.view(clock_ms()).serving_all() == expected
            for instance in self.running_instances()
        )

    def all_have_version(self, version: int) -> bool:
        """Return whether all instances have this or a later version of the plans."""
        return all(
            instance.store.versions().get(PLANS, -1) >= version
            for instance in self.running_instances()
        )

    async def wait_until(
        self,
        condition: Callable[[], bool],
        limit_ms: float,
    ) -> float | None:
        """Return the time until a condition holds, or None after ``limit_ms``."""
        start_ms = clock_ms()
        for _ in range(int(limit_ms / 10) + 1):
            if condition():
                return clock_ms() - start_ms
            if clock_ms() - start_ms > limit_ms:
                return None
            await asyncio.sleep(0.01)
        return None

    def traffic(self) -> Traffic:
        """
        Return the bytes that all instances have sent on their open connections.

        Both ends of a connection are in this process, so the bytes that the
        clients have received are the bytes that the servers have sent.
        """
        total = Traffic()
        for instance in self.running_instances():
            for client in instance.peer._clients.values():
                client_socket = _find_socket(client.channel)
                if client_socket is not None:
                    self._add_socket(total, client_socket)
        return total

    def _add_socket(self, total: Traffic, client_socket: socket.socket) -> None:
        data = client_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 512)
        if len(data) < TCP_INFO_BYTES:
            return
        counts = TCP_INFO_COUNTS.unpack_from(data, TCP_INFO_OFFSET)
        acked, received, segments_out, segments_in = counts
        total.sent_bytes += acked + received
        total.segments += segments_out + segments_in


def _find_socket(channel: object) -> socket.socket | None:
    protocol = getattr(channel, '_protocol', None)
    connection = getattr(protocol, 'connection', None)
    transport = getattr(connection, '_transport', None)
    # The peer wraps the socket transport in one that collects writes.
    transport = getattr(transport, '_transport', transport)
    return transport.get_extra_info('socket') if transport is not None else None
