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
from tools.standins.admin import AdminRequest, AdminResponse, serve_admin
from tools.standins.proxy import Address, DatagramProxy, Rules, StreamProxy

SWEEP_INTERVAL_S = 10
UNKNOWN_LABEL = 'unknown'
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
DIAG_RESPONSE_BYTES = 4096


class FaultyNetwork:
    """Proxies of one deployment, labels of its processes and fault rules."""

    def __init__(self, seed: int) -> None:
        """Initialise without proxies and labels."""
        self.rules = Rules(seed)
        self.labels_by_address: dict[Address, str] = {}
        self.labels_by_pid: dict[int, str] = {}
        self.labels_by_inode: dict[int, str] = {}
        self.stream_proxies: list[StreamProxy] = []
        self.datagram_proxies: list[DatagramProxy] = []

    def find_address_label(self, address: Address) -> str:
        """Return the label of a datagram address, ``unknown`` if it has none."""
        return self.labels_by_address.get((address[0], address[1]), UNKNOWN_LABEL)

    def find_stream_label(self, proxy_address: Address, sender_address: Address) -> str:
        """Return the label of the process that opened a stream from an address."""
        inode = find_inode(sender_address, proxy_address)
        if inode and inode not in self.labels_by_inode:
            # One scan of all processes also finds the other new connections.
            for pid, label in self.labels_by_pid.items():
                self.labels_by_inode.update(
                    dict.fromkeys(list_socket_inodes(pid), label)
                )
        return self.labels_by_inode.get(inode, UNKNOWN_LABEL)

    async def add_proxy(
        self, label: str, listen: Address, target: Address, kinds: list[str]
    ) -> None:
        """Listen for one process; ``kinds`` holds ``udp``, ``tcp`` or both."""
        self.labels_by_address[target] = label
        if 'udp' in kinds:
            datagram_proxy = DatagramProxy(
                self.rules,
                lambda: target,
                self.find_address_label,
                self.find_address_label,
            )
            await datagram_proxy.listen(listen)
            self.datagram_proxies.append(datagram_proxy)
        if 'tcp' in kinds:
            stream_proxy = StreamProxy(
                self.rules,
                lambda: [target],
                self.find_stream_label,
                self.find_address_label,
            )
            await stream_proxy.listen(listen)
            self.stream_proxies.append(stream_proxy)

    async def configure(self, request: AdminRequest) -> AdminResponse:
        """
        Handle ``POST /configure``: add proxies and labels.

        The body is JSON: ``proxies`` (label, listen, target, kinds),
        ``addresses`` (HOST:PORT to label) and ``processes`` (pid to label).
        """
        body = json.loads(request.body)
        for address, label in body.get('addresses', {}).items():
            self.labels_by_address[parse_endpoint(address).as_pair()] = label
        for pid, label in body.get('processes', {}).items():
            self.labels_by_pid[int(pid)] = label
        for proxy in body.get('proxies', ()):
            await self.add_proxy(
                proxy['label'],
                parse_endpoint(proxy['listen']).as_pair(),
                parse_endpoint(proxy['target']).as_pair(),
                proxy.get('kinds', ['udp', 'tcp']),
            )
        return AdminResponse(
            {'proxies': len(self.stream_proxies) + len(self.datagram_proxies)}
        )

    def stats(self, _request: AdminRequest) -> AdminResponse:
        """Handle ``GET /stats``: return the counters and the stream bytes by path."""
        bytes_by_path: dict[str, int] = {}
        for stream_proxy in self.stream_proxies:
            for (source, target), size in stream_proxy.bytes_by_path.items():
                bytes_by_path[f'{source} {target}'] = (
                    bytes_by_path.get(f'{source} {target}', 0) + size
                )
        return AdminResponse(
            {'counts': dict(self.rules.counts), 'stream_bytes': bytes_by_path}
        )

    async def sweep(self) -> None:
        """Periodically close the sockets of idle senders."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for proxy in self.datagram_proxies:
                proxy.sweep()


def find_inode(local: Address, remote: Address) -> int:
    """
    Return the inode of the loopback TCP socket between two addresses, or 0.

    This sends a sock_diag request to the kernel, because reading the whole table
    in /proc/net/tcp takes 20 ms.
    """
    ports = struct.pack('!HH', local[1], remote[1])
    packed_addresses = b''.join(
        socket.inet_aton(address[0]) + bytes(12) for address in (local, remote)
    )
    identity = ports + packed_addresses + struct.pack('=III', 0, NO_COOKIE, NO_COOKIE)
    request = struct.pack(
        '=BBBBI', socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ALL_STATES
    )
    length = NETLINK_HEADER_BYTES + len(request) + len(identity)
    header = struct.pack('=IHHII', length, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0)
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG
    ) as netlink_socket:
        netlink_socket.send(header + request + identity)
        response = netlink_socket.recv(DIAG_RESPONSE_BYTES)
    if struct.unpack_from('=H', response, 4)[0] != SOCK_DIAG_BY_FAMILY:
        return 0
    return int(struct.unpack_from('=I', response, INODE_OFFSET)[0])


def list_socket_inodes(pid: int) -> Iterator[int]:
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
