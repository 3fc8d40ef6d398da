"""Fixtures for the tests of packet forwarding: packets, entries and forwarders."""

import sys
from pathlib import Path
from struct import pack_into, unpack_from

ROOT = Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / 'platform'))

from packets import CLOSING, HEADER, OPENING, RESET, HeaderFormat  # noqa: E402

from cardamomtiller.forwarding.admission.shortage import DEFAULT_SHORTAGE  # noqa: E402
from cardamomtiller.forwarding.packet import (  # noqa: E402
    RouteAddress,
    Token,
    pack_address,
    parse_ipv4,
)
from cardamomtiller.forwarding.placement.locality import Locality  # noqa: E402
from cardamomtiller.forwarding.published.configuration import (  # noqa: E402
    Configuration,
    Route,
    Share,
)
from cardamomtiller.forwarding.published.upstreams import UpstreamEntry  # noqa: E402
from cardamomtiller.forwarding.routing.forwarder import Forwarder  # noqa: E402
from cardamomtiller.forwarding.routing.options import (  # noqa: E402
    DEFAULT_ADMISSION,
    DEFAULT_FORWARDING,
)
from cardamomtiller.forwarding.telemetry.decisionlog import DecisionLog, LogOptions  # noqa: E402
from cardamomtiller.forwarding.telemetry.meters import Meters  # noqa: E402
from cardamomtiller.ids import (  # noqa: E402
    DomainName,
    ServiceName,
    UpstreamId,
    Version,
)

ACK_FLAG = 32
TOKEN_OFFSET = 16
CLIENT_IP = parse_ipv4('100.64.0.7')
ROUTE_IP = parse_ipv4('198.18.0.1')
ROUTE_PORT = 443
CLIENT_PORT = 8172
FRAME_BYTES = 8
# Services that the configurations name, but have no route to.
OTHER_SERVICES = (ServiceName('patterns'),)
LOCAL_DOMAIN = DomainName('a')
# For the tests of all other decisions: they open many flows at one moment.
UNLIMITED = DEFAULT_ADMISSION._replace(
    limit=DEFAULT_ADMISSION.limit._replace(
        requests_per_slot=1_000_000, initial_window=1_000_000
    )
)
FORWARDING_WITHOUT_LIMIT = DEFAULT_FORWARDING._replace(admission=UNLIMITED)
FORWARDING_WITH_SHORTAGE = DEFAULT_FORWARDING._replace(
    admission=DEFAULT_ADMISSION._replace(shortage=DEFAULT_SHORTAGE)
)


def packet(
    port,
    flags=ACK_FLAG,
    *,
    seq=0,
    ack=0,
    size=0,
    token=0,
    route_port=443,
    client_ip=CLIENT_IP,
):
    """Return the datagram of a packet from the client."""
    header = HEADER.pack(
        seq,
        ack,
        0xABCDEF01,
        flags,
        0,
        size,
        token,
        port,
        client_ip,
        route_port,
        ROUTE_IP,
    )
    return header + bytes(size)


def opening(port, copy=0, **fields):
    """Return the datagram of an opening packet."""
    return packet(port, OPENING, ack=copy, seq=100, **fields)


def closing(port, **fields):
    """Return the datagram of a closing packet."""
    return packet(port, CLOSING | ACK_FLAG, **fields)


def token_in(datagram):
    """Return the token of a packet with or without a frame."""
    return Token(unpack_from('>I', datagram, len(datagram) % 2 + TOKEN_OFFSET)[0])


def sent_token(delivery):
    """Return the token of the framed packet in a delivery to an upstream."""
    return Token(unpack_from('>I', delivery.datagram, FRAME_BYTES + TOKEN_OFFSET)[0])


def flow_port(delivery):
    """Return the client's port of the framed packet in a delivery to an upstream."""
    return HEADER.unpack_from(delivery.datagram, FRAME_BYTES)[7]


def client_port(delivery):
    """Return the client's port of a reset."""
    return HEADER.unpack_from(delivery.datagram)[9]


def is_reset(delivery):
    """Return whether a delivery is a reset that goes to the client."""
    flags = delivery.datagram[12]
    size = len(delivery.datagram)
    return size == HEADER.size and flags == RESET and delivery.address[1] == CLIENT_PORT


def with_token(datagram, token):
    """Return a copy of a datagram with another token."""
    changed = bytearray(datagram)
    pack_into('>I', changed, TOKEN_OFFSET, token)
    return bytes(changed)


def entry(name, service='orders', domain=LOCAL_DOMAIN, **changes):
    """Return the entry of a ready upstream, with some fields changed."""
    number = int(name.encode().hex(), 16) % 200 + 1
    values = {
        'upstream': UpstreamId(name),
        'service': ServiceName(service),
        'domain': DomainName(domain),
        'address': (f'10.0.1.{number}', 8000),
        'frame': name.encode().rjust(FRAME_BYTES, b'\0')[:FRAME_BYTES],
        'slots': 2,
        'is_ready': True,
        'slow_start_left_ms': 0,
        'incarnation': 1,
    }
    return UpstreamEntry(**{**values, **changes})


def configuration(
    version=1,
    ports=(ROUTE_PORT,),
    service='orders',
    is_repeatable=False,
    timeout_ms=1000,
    target_latency_ms=100,
):
    """Return a configuration with a route for each port."""
    routes = [
        Route(
            name=f'route-{port}',
            address=RouteAddress(pack_address(ROUTE_IP, port)),
            shares=(Share(ServiceName(service), 1),),
            timeout_ms=timeout_ms,
            target_latency_ms=target_latency_ms,
            is_repeatable=is_repeatable,
        )
        for port in ports
    ]
    by_address = {route.address: route for route in routes}
    services = frozenset({ServiceName(service), *OTHER_SERVICES})
    return Configuration(Version(version), by_address, 12_000, services)


def make_forwarder(
    names=('u-1', 'u-2', 'u-3'),
    options=FORWARDING_WITHOUT_LIMIT,
    policy=Forwarder,
    domain=LOCAL_DOMAIN,
    regions=None,
    gates=None,
):
    """Return a forwarder with a configuration and an entry for each name."""
    log = DecisionLog('test', LogOptions(10_000, 100, 10_000), lambda: 0.0)
    locality = Locality(domain, regions or {})
    extra = {} if gates is None else {'gates': gates}
    forwarder = policy(
        locality, HeaderFormat(), CLIENT_PORT, options, log, Meters(), **extra
    )
    forwarder.apply_configuration(configuration(), 0)
    for name in names:
        forwarder.apply_entry(entry(name), 0)
    return forwarder


def handle(forwarder, datagram, now_ms):
    """Process a datagram; return the deliveries."""
    return list(forwarder.handle(datagram, now_ms))


def open_flow(forwarder, port, now_ms=0):
    """Open a flow and acknowledge its opening; return its token."""
    (delivery,) = handle(forwarder, opening(port), now_ms)
    token = sent_token(delivery)
    handle(forwarder, packet(port, seq=101, ack=500, token=token), now_ms)
    return token
