"""Fault-injecting proxy for UDP and TCP between the processes of a deployment.

A proxy listens on the published address of a process and forwards to its real
address. It identifies the sender of a datagram by the source address, and the
sender of a stream by the process that owns the connecting socket, so that rules
can name both ends: ``POST /rule?name=p&source=domain-a/*&target=domain-b/*&cut=1``.
"""

import argparse
import asyncio
import contextlib
import json
import os
import socket
import struct
from collections.abc import Iterator

from cardamomtiller.identity import parse_endpoint
from tools.standins.admin import AdminAnswer, AdminRequest, serve_admin
from tools.standins.proxy import Address, DatagramProxy, Rules, StreamProxy

SWEEP_S = 10
UNKNOWN = 'unknown'
# Constants of linux/netlink.h, linux/sock_diag.h and linux/inet_diag.h.
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
NETLINK_HEADER_BYTES = 16
NO_COOKIE = 0xFFFFFFFF
ALL_STATES = 0xFFFFFFFF
# Offset of idiag_inode: after the netlink header, four one-byte fields, the socket
# identity of 48 bytes and four 32-bit fields.
INODE_OFFSET = NETLINK_HEADER_BYTES + 4 + 48 + 16
DIAG_ANSWER_BYTES = 4096


class FaultyNetwork:
    """Proxies of one deployment, labels of its processes and fault rules."""

    def __init__(self, seed: int) -> None:
        """Initialize without proxies and labels."""
        self.rules = Rules(seed)
        self.addresses: dict[Address, str] = {}
        self.processes: dict[int, str] = {}
        self.inodes: dict[int, str] = {}
        self.streams: list[StreamProxy] = []
        self.datagrams: list[DatagramProxy] = []

    def label_address(self, address: Address) -> str:
        """Return the label of a datagram address, ``unknown`` if it has none."""
        return self.addresses.get((address[0], address[1]), UNKNOWN)

    def label_stream(self, near: Address, far: Address) -> str:
        """Return the label of the process whose socket has the address ``far``."""
        inode = find_inode(far, near)
        if inode and inode not in self.inodes:
            # One scan of all processes also finds the other new connections.
            for pid, label in self.processes.items():
                self.inodes.update(dict.fromkeys(socket_inodes(pid), label))
        return self.inodes.get(inode, UNKNOWN)

    async def add_proxy(
        self, label: str, listen: Address, target: Address, kinds: list[str]
    ) -> None:
        """Listen for one process; ``kinds`` holds ``udp``, ``tcp`` or both."""
        self.addresses[target] = label
        if 'udp' in kinds:
            datagram = DatagramProxy(
                self.rules, lambda: target, self.label_address, self.label_address
            )
            await datagram.listen(listen)
            self.datagrams.append(datagram)
        if 'tcp' in kinds:
            stream = StreamProxy(
                self.rules, lambda: [target], self.label_stream, self.label_address
            )
            await stream.listen(listen)
            self.streams.append(stream)

    async def configure(self, request: AdminRequest) -> AdminAnswer:
        """
        Handle ``POST /configure``: add proxies and labels.

        The body is JSON: ``proxies`` (label, listen, target, kinds),
        ``addresses`` (HOST:PORT to label) and ``processes`` (pid to label).
        """
        wanted = json.loads(request.body)
        for address, label in wanted.get('addresses', {}).items():
            self.addresses[parse_endpoint(address).as_pair()] = label
        for pid, label in wanted.get('processes', {}).items():
            self.processes[int(pid)] = label
        for row in wanted.get('proxies', ()):
            await self.add_proxy(
                row['label'],
                parse_endpoint(row['listen']).as_pair(),
                parse_endpoint(row['target']).as_pair(),
                row.get('kinds', ['udp', 'tcp']),
            )
        return AdminAnswer({'proxies': len(self.streams) + len(self.datagrams)})

    def stats(self, _request: AdminRequest) -> AdminAnswer:
        """Handle ``GET /stats``: return the counters and the stream bytes by path."""
        pairs: dict[str, int] = {}
        for stream in self.streams:
            for (source, target), size in stream.bytes_by_pair.items():
                pairs[f'{source} {target}'] = pairs.get(f'{source} {target}', 0) + size
        return AdminAnswer({'counts': dict(self.rules.counts), 'stream_bytes': pairs})

    async def sweep(self) -> None:
        """Periodically close the sockets of idle senders."""
        while True:
            await asyncio.sleep(SWEEP_S)
            for proxy in self.datagrams:
                proxy.sweep()


def find_inode(local: Address, remote: Address) -> int:
    """
    Return the inode of the loopback TCP socket between two addresses, or 0.

    This sends a sock_diag request to the kernel, because reading the whole table
    in /proc/net/tcp takes 20 ms.
    """
    ports = struct.pack('!HH', local[1], remote[1])
    addresses = b''.join(
        socket.inet_aton(row[0]) + bytes(12) for row in (local, remote)
    )
    identity = ports + addresses + struct.pack('=III', 0, NO_COOKIE, NO_COOKIE)
    request = struct.pack(
        '=BBBBI', socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ALL_STATES
    )
    length = NETLINK_HEADER_BYTES + len(request) + len(identity)
    header = struct.pack('=IHHII', length, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as diag:
        diag.send(header + request + identity)
        answer = diag.recv(DIAG_ANSWER_BYTES)
    if struct.unpack_from('=H', answer, 4)[0] != SOCK_DIAG_BY_FAMILY:
        return 0
    return int(struct.unpack_from('=I', answer, INODE_OFFSET)[0])


def socket_inodes(pid: int) -> Iterator[int]:
    """Yield the inodes of the sockets that a process has open."""
    with contextlib.suppress(OSError):
        for entry in os.scandir(f'/proc/{pid}/fd'):
            with contextlib.suppress(OSError):
                target = os.readlink(entry.path)
                if target.startswith('socket:['):
                    yield int(target[len('socket:[') : -1])


async def serve(options: argparse.Namespace) -> None:
    """Start the proxies and the admin server and run until cancelled."""
    network = FaultyNetwork(options.seed)
    for text in options.proxy:
        label, _, addresses = text.partition('=')
        listen, _, target = addresses.partition('-')
        await network.add_proxy(
            label,
            parse_endpoint(listen).as_pair(),
            parse_endpoint(target).as_pair(),
            ['udp', 'tcp'],
        )
    handlers = {
        ('POST', '/configure'): network.configure,
        ('GET', '/stats'): network.stats,
        **network.rules.handlers(),
    }
    await serve_admin(parse_endpoint(options.admin).as_pair(), handlers)
    await network.sweep()


def main() -> None:
    """Parse the command line and run the proxies."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--proxy', action='append', default=[], help='LABEL=LISTEN-TARGET, HOST:PORT'
    )
    parser.add_argument('--admin', required=True, help='HOST:PORT')
    parser.add_argument('--seed', type=int, default=0)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(parser.parse_args()))


if __name__ == '__main__':
    main()
