"""Fault-injecting proxy for UDP and TCP between named processes.

A proxy listens where the others believe a process to be and passes packets on
to its real address. The sender of a datagram is known by its address, the
sender of a stream by the process that owns the connecting socket, so rules can
name both ends: ``POST /rule?name=p&source=domain-a/*&target=domain-b/*&cut=1``.
"""

import argparse
import asyncio
import contextlib
import json
import os
from pathlib import Path

from cardamomtiller.identity import parse_endpoint
from tools.standins.admin import AdminAnswer, AdminRequest, serve_admin
from tools.standins.proxy import Address, DatagramProxy, Rules, StreamProxy

SWEEP_S = 10
UNKNOWN = 'unknown'


class FaultyNetwork:
    """All proxies of one deployment and the rules between them."""

    def __init__(self, seed: int) -> None:
        """Start without proxies."""
        self.rules = Rules(seed)
        self.addresses: dict[Address, str] = {}
        self.processes: dict[int, str] = {}
        self.streams: list[StreamProxy] = []
        self.datagrams: list[DatagramProxy] = []

    def label_address(self, address: Address) -> str:
        """Return the label of a datagram's sender or target."""
        return self.addresses.get(tuple(address), UNKNOWN)

    def label_stream(self, address: Address) -> str:
        """Return the label of the process behind a local TCP port."""
        inode = find_inode(address[1])
        if inode:
            for pid, label in self.processes.items():
                if owns_socket(pid, inode):
                    return label
        return UNKNOWN

    async def add_proxy(
        self, label: str, listen: Address, target: Address, kinds: list[str]
    ) -> None:
        """Listen for one process."""
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
        Add proxies and senders.

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
        """Return the counters and the bytes of streams by source and target."""
        pairs: dict[str, int] = {}
        for stream in self.streams:
            for (source, target), size in stream.bytes_by_pair.items():
                pairs[f'{source} {target}'] = pairs.get(f'{source} {target}', 0) + size
        return AdminAnswer({'counts': dict(self.rules.counts), 'stream_bytes': pairs})

    async def sweep(self) -> None:
        """Close idle sockets from time to time."""
        while True:
            await asyncio.sleep(SWEEP_S)
            for proxy in self.datagrams:
                proxy.sweep()


def find_inode(port: int) -> str:
    """Return the inode of the loopback socket with a local TCP port."""
    wanted = f':{port:04X}'
    for line in Path('/proc/net/tcp').read_text().splitlines()[1:]:
        words = line.split()
        if words[1].endswith(wanted) and words[9] != '0':
            return words[9]
    return ''


def owns_socket(pid: int, inode: str) -> bool:
    """Return whether a process holds a socket."""
    with contextlib.suppress(OSError):
        for entry in os.scandir(f'/proc/{pid}/fd'):
            with contextlib.suppress(OSError):
                if os.readlink(entry.path) == f'socket:[{inode}]':
                    return True
    return False


async def serve(options: argparse.Namespace) -> None:
    """Serve until cancelled."""
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
    """Read the command line and serve."""
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
