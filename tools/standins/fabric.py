"""Stand-in for the network fabric, which distributes packets over the instances.

Each datagram of a caller goes to a random instance of the service's current
list, and the answers of all instances are returned to the caller. The fabric
opens a separate socket per caller towards the instances, so that an instance
sees one source address per caller and sends its answers there. A stream stays on
one instance for its lifetime. Rules inject faults into the paths between the label
``caller`` and the labels of the instances.
"""

import argparse
import asyncio
import contextlib
from dataclasses import dataclass, field

from cardamomtiller.identity import parse_endpoint
from tools.standins.admin import AdminRequest, AdminResponse, serve_admin
from tools.standins.proxy import Address, DatagramProxy, Rules, StreamProxy

SWEEP_INTERVAL_S = 10
CALLER_LABEL = 'caller'


@dataclass(slots=True)
class Pool:
    """Addresses of the instances that receive the packets of one service."""

    datagram: list[Address] = field(default_factory=list)
    stream: list[Address] = field(default_factory=list)


class Fabric:
    """Proxies, instance lists and fault rules of all services."""

    def __init__(self, seed: int) -> None:
        """Initialise without services and instances."""
        self.rules = Rules(seed)
        self.pools: dict[str, Pool] = {}
        self.labels: dict[Address, str] = {}
        self.datagram_proxies: dict[str, DatagramProxy] = {}

    def caller_label(self, *_addresses: Address) -> str:
        """Return the label of a caller, which is the same for all."""
        return CALLER_LABEL

    def find_instance_label(self, address: Address) -> str:
        """Return the label of the instance at an address, empty if it has none."""
        return self.labels.get(address, '')

    async def serve_datagrams(self, service: str, address: Address) -> None:
        """Forward the datagrams that are sent to the address of a service."""
        pool = self.pools.setdefault(service, Pool())

        def choose_instance() -> Address | None:
            if not pool.datagram:
                return None
            return self.rules.random.choice(pool.datagram)

        proxy = DatagramProxy(
            self.rules, choose_instance, self.caller_label, self.find_instance_label
        )
        self.datagram_proxies[service] = proxy
        await proxy.listen(address)

    async def serve_streams(self, service: str, address: Address) -> None:
        """Forward the streams that are opened to the address of a service."""
        pool = self.pools.setdefault(service, Pool())

        def shuffle_instances() -> list[Address]:
            return self.rules.random.sample(pool.stream, len(pool.stream))

        proxy = StreamProxy(
            self.rules, shuffle_instances, self.caller_label, self.find_instance_label
        )
        await proxy.listen(address)

    async def sweep(self) -> None:
        """Periodically close the sockets of idle callers."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for proxy in self.datagram_proxies.values():
                proxy.sweep()

    def set_instances(self, request: AdminRequest) -> AdminResponse:
        """Handle ``POST /instances``: replace the instance list of a service."""
        pool = self.pools[request.query['service']]
        if 'datagram' in request.query:
            pool.datagram = parse_addresses(request.query['datagram'])
        if 'stream' in request.query:
            pool.stream = parse_addresses(request.query['stream'])
        return AdminResponse({'datagram': pool.datagram, 'stream': pool.stream})

    def set_label(self, request: AdminRequest) -> AdminResponse:
        """Handle ``POST /label``: set the label of the instance at an address."""
        address = parse_endpoint(request.query['address']).as_pair()
        self.labels[address] = request.query['label']
        return AdminResponse({})

    def stats(self, _request: AdminRequest) -> AdminResponse:
        """Handle ``GET /stats``: return the callers by service and the counters."""
        callers = {
            name: len(proxy.sockets) for name, proxy in self.datagram_proxies.items()
        }
        return AdminResponse({'callers': callers, 'counts': dict(self.rules.counts)})


def parse_addresses(text: str) -> list[Address]:
    """Parse ``HOST:PORT`` addresses separated by commas; ``-`` is the empty list."""
    if text == '-':
        return []
    return [parse_endpoint(part).as_pair() for part in text.split(',') if part]


async def serve(options: argparse.Namespace) -> None:
    """Start the proxies and the admin server and run until cancelled."""
    fabric = Fabric(options.seed)
    for text in options.service:
        name, _, address = text.partition('=')
        await fabric.serve_datagrams(name, parse_endpoint(address).as_pair())
    for text in options.stream:
        name, _, address = text.partition('=')
        await fabric.serve_streams(name, parse_endpoint(address).as_pair())
    for text in options.instances:
        name, _, addresses = text.partition('=')
        fabric.pools[name].datagram = parse_addresses(addresses)
    handlers = {
        ('POST', '/instances'): fabric.set_instances,
        ('POST', '/label'): fabric.set_label,
        ('GET', '/stats'): fabric.stats,
        **fabric.rules.handlers(),
    }
    await serve_admin(parse_endpoint(options.admin).as_pair(), handlers)
    await fabric.sweep()


def main() -> None:
    """Parse the command line and run the fabric."""
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
        help='NAME=HOST:PORT,HOST:PORT, initial datagram addresses',
    )
    parser.add_argument('--admin', required=True, help='HOST:PORT')
    parser.add_argument('--seed', type=int, default=0)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(parser.parse_args()))


if __name__ == '__main__':
    main()
