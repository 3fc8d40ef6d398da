"""Stand-in of the network fabric: sprays packets over the instances.

Each datagram of a caller goes to a random instance of the service's current
list; an answer of any instance goes back to the caller. Every caller has a
socket of its own towards the instances, so instances see one address per
caller, and answer it directly. A stream goes to one instance for its lifetime.
"""

import argparse
import asyncio
import contextlib
import random
import socket
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import cast

from cardamomtiller.identity import parse_endpoint
from tools.standins.admin import AdminAnswer, AdminRequest, serve_admin

CALLER_IDLE_S = 120
SWEEP_S = 10
STREAM_PART_BYTES = 65536
SOCKET_BUFFER_BYTES = 4 << 20
CONNECT_TIMEOUT_S = 2

Address = tuple[str, int]


@dataclass(slots=True)
class Pool:
    """Instances that receive the packets of one service."""

    datagram: list[Address] = field(default_factory=list)
    stream: list[Address] = field(default_factory=list)


class CallerSocket(asyncio.DatagramProtocol):
    """Socket that stands for one caller towards the instances."""

    def __init__(self, side: 'ServiceSide', caller: Address) -> None:
        """Remember whom to answer."""
        self.side = side
        self.caller = caller
        self.used_s = time.monotonic()
        self.transport: asyncio.DatagramTransport | None = None
        self.waiting: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send what came in before the socket was open."""
        self.transport = cast(asyncio.DatagramTransport, transport)
        for datagram in self.waiting:
            self.send(datagram)
        self.waiting.clear()

    def send(self, datagram: bytes) -> None:
        """Send one datagram to a random instance."""
        self.used_s = time.monotonic()
        if self.transport is None:
            self.waiting.append(datagram)
            return
        target = self.side.fabric.pick_datagram(self.side.service)
        if target is None:
            self.side.fabric.counts['datagrams_without_instance'] += 1
            return
        self.side.fabric.counts['datagrams_in'] += 1
        self.transport.sendto(datagram, target)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass an answer on to the caller."""
        self.side.fabric.counts['datagrams_out'] += 1
        self.side.send_back(data, self.caller)

    def error_received(self, exc: OSError) -> None:
        """Count datagrams to a port where nobody listens."""
        self.side.fabric.counts['datagrams_refused'] += 1


class ServiceSide(asyncio.DatagramProtocol):
    """Socket on the address of one service."""

    def __init__(self, fabric: 'Fabric', service: str) -> None:
        """Start without callers."""
        self.fabric = fabric
        self.service = service
        self.callers: dict[Address, CallerSocket] = {}
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)
        _widen(self.transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Hand a caller's datagram to its socket."""
        caller = self.callers.get(addr)
        if caller is None:
            caller = CallerSocket(self, addr)
            self.callers[addr] = caller
            loop = asyncio.get_running_loop()
            opening = loop.create_datagram_endpoint(
                lambda: caller, local_addr=('127.0.0.1', 0)
            )
            self.fabric.keep(loop.create_task(opening))
        caller.send(data)

    def send_back(self, data: bytes, caller: Address) -> None:
        """Send an answer to a caller."""
        if self.transport is not None:
            self.transport.sendto(data, caller)

    def sweep(self) -> None:
        """Close the sockets of callers that are gone."""
        oldest_s = time.monotonic() - CALLER_IDLE_S
        for address, caller in tuple(self.callers.items()):
            if caller.used_s < oldest_s and caller.transport is not None:
                caller.transport.close()
                del self.callers[address]


class Fabric:
    """All services, and the lists of instances."""

    def __init__(self, seed: int) -> None:
        """Start with empty lists."""
        self.counts: Counter[str] = Counter()
        self.pools: dict[str, Pool] = {}
        self.sides: dict[str, ServiceSide] = {}
        self._random = random.Random(seed)
        self._tasks: set[asyncio.Task[object]] = set()

    def keep(self, task: asyncio.Task[object]) -> None:
        """Hold a reference to a task until it ends."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def pick_datagram(self, service: str) -> Address | None:
        """Return the instance for the next datagram."""
        pool = self.pools[service].datagram
        return self._random.choice(pool) if pool else None

    async def serve_datagrams(self, service: str, address: Address) -> None:
        """Listen on the datagram address of a service."""
        side = ServiceSide(self, service)
        self.sides[service] = side
        self.pools.setdefault(service, Pool())
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: side, local_addr=address)

    async def serve_streams(self, service: str, address: Address) -> None:
        """Listen on the stream address of a service."""
        self.pools.setdefault(service, Pool())

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(OSError, TimeoutError):
                await self._pass_stream(service, reader, writer)
            writer.close()

        await asyncio.start_server(serve, *address)

    async def _pass_stream(
        self,
        service: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        pool = list(self.pools[service].stream)
        self._random.shuffle(pool)
        for target in pool:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    far = await asyncio.open_connection(*target)
            except OSError:
                self.counts['streams_refused'] += 1
                continue
            self.counts['streams'] += 1
            try:
                await asyncio.gather(pump(reader, far[1]), pump(far[0], writer))
            finally:
                far[1].close()
            return
        self.counts['streams_without_instance'] += 1

    async def sweep(self) -> None:
        """Close idle caller sockets from time to time."""
        while True:
            await asyncio.sleep(SWEEP_S)
            for side in self.sides.values():
                side.sweep()

    def set_instances(self, request: AdminRequest) -> AdminAnswer:
        """Replace the lists of one service."""
        pool = self.pools[request.query['service']]
        if 'datagram' in request.query:
            pool.datagram = parse_list(request.query['datagram'])
        if 'stream' in request.query:
            pool.stream = parse_list(request.query['stream'])
        return AdminAnswer({'datagram': pool.datagram, 'stream': pool.stream})

    def stats(self, _request: AdminRequest) -> AdminAnswer:
        """Return the counters."""
        callers = {name: len(side.callers) for name, side in self.sides.items()}
        return AdminAnswer({'callers': callers, 'counts': dict(self.counts)})


async def pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Copy until the end of the stream and pass the end on."""
    try:
        while part := await reader.read(STREAM_PART_BYTES):
            writer.write(part)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
    except OSError:
        writer.transport.abort()
        raise


def parse_list(text: str) -> list[Address]:
    """Read ``HOST:PORT`` parts separated by commas; ``-`` is the empty list."""
    if text == '-':
        return []
    return [parse_endpoint(part).as_pair() for part in text.split(',') if part]


def _widen(transport: asyncio.DatagramTransport) -> None:
    sock = transport.get_extra_info('socket')
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)


async def serve(options: argparse.Namespace) -> None:
    """Serve until cancelled."""
    fabric = Fabric(options.seed)
    for text in options.service:
        name, _, address = text.partition('=')
        await fabric.serve_datagrams(name, parse_endpoint(address).as_pair())
    for text in options.stream:
        name, _, address = text.partition('=')
        await fabric.serve_streams(name, parse_endpoint(address).as_pair())
    for text in options.instances:
        name, _, addresses = text.partition('=')
        fabric.pools[name].datagram = parse_list(addresses)
    handlers = {
        ('POST', '/instances'): fabric.set_instances,
        ('GET', '/stats'): fabric.stats,
    }
    await serve_admin(parse_endpoint(options.admin).as_pair(), handlers)
    await fabric.sweep()


def main() -> None:
    """Read the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--service', action='append', default=[], help='NAME=HOST:PORT, UDP'
    )
    parser.add_argument(
        '--stream', action='append', default=[], help='NAME=HOST:PORT, TCP'
    )
    parser.add_argument(
        '--instances',
        action='append',
        default=[],
        help='NAME=HOST:PORT,HOST:PORT, datagram addresses at the start',
    )
    parser.add_argument('--admin', required=True, help='HOST:PORT')
    parser.add_argument('--seed', type=int, default=0)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(parser.parse_args()))


if __name__ == '__main__':
    main()
