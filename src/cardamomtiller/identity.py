"""Identifiers, states, outcomes and endpoints that all modules use."""

import ipaddress
from dataclasses import dataclass
from enum import Enum

from cardamomtiller.ids import MS_PER_S as MS_PER_S
from cardamomtiller.ids import CustomerId as CustomerId
from cardamomtiller.ids import DocumentName as DocumentName
from cardamomtiller.ids import DomainName as DomainName
from cardamomtiller.ids import FlowId as FlowId
from cardamomtiller.ids import Incarnation as Incarnation
from cardamomtiller.ids import InstanceId as InstanceId
from cardamomtiller.ids import PlanName as PlanName
from cardamomtiller.ids import RegionName as RegionName
from cardamomtiller.ids import RequestId as RequestId
from cardamomtiller.ids import ServiceName as ServiceName
from cardamomtiller.ids import UpstreamId as UpstreamId
from cardamomtiller.ids import Version as Version

FLOW_ID_BYTES = 16


class OperatorState(Enum):
    """State of an upstream or an instance in the published lists."""

    JOINING = 'joining'
    LIVE = 'live'
    LEAVING = 'leaving'


class ServiceClass(Enum):
    """Priority class of a request; values equal those of the message field."""

    NORMAL = 0
    URGENT = 1
    BULK = 2


class Outcome(Enum):
    """Result of work that was sent to an upstream."""

    DONE = 'done'
    FAILED = 'failed'
    SHED = 'shed'
    CANCELLED = 'cancelled'


@dataclass(frozen=True, slots=True, order=True)
class Endpoint:
    """IP address and port of a socket."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``HOST:PORT``, with brackets around an IPv6 address."""
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'

    def as_pair(self) -> tuple[str, int]:
        """Return the host and port as the ``socket`` module expects them."""
        return (self.host, self.port)


@dataclass(frozen=True, slots=True)
class RequestKey:
    """Flow id and request id, which all packets of a request carry."""

    flow: FlowId
    request: RequestId


def parse_endpoint(text: str) -> Endpoint:
    """
    Parse ``HOST:PORT`` or ``[HOST]:PORT``.

    Raises
    ------
    ValueError
        If the port is missing or outside 1 to 65535, or the host is not an IP
        address.
    """
    host, separator, port_text = text.strip().rpartition(':')
    if not separator or not port_text.isdecimal():
        raise ValueError(f'{text!r} is not HOST:PORT')
    port = int(port_text)
    if not 0 < port <= 65535:
        raise ValueError(f'port {port} of {text!r} is not between 1 and 65535')
    host = host.removeprefix('[').removesuffix(']')
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise ValueError(f'host of {text!r} is not an IP address') from error
    return Endpoint(host, port)
