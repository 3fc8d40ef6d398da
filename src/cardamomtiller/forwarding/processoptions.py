"""Options of a forwarding process."""

from collections.abc import Mapping
from typing import NamedTuple

from cardamomtiller.forwarding.member import Member
from cardamomtiller.forwarding.published.upstreams import SocketAddress
from cardamomtiller.forwarding.replication.following import FollowerOptions
from cardamomtiller.forwarding.replication.sources import SourceOptions
from cardamomtiller.forwarding.routing.options import ForwardingOptions
from cardamomtiller.forwarding.telemetry.decisionlog import LogOptions
from cardamomtiller.ids import DomainName, RegionName


class ProcessOptions(NamedTuple):
    """
    Options of a forwarding process.

    Attributes
    ----------
    regions
        Region of each failure domain.
    stop_ms
        Time for which the process continues to forward after a stop signal.
    tick_interval_ms
        Interval of periodic work such as expiry, announcements and log output.
    release_interval_ms
        Longest time between checks of the opening packets that wait for capacity.
    receive_buffer_bytes
        Socket buffer for packets that arrive while the process does other work.
    """

    local_member: Member
    regions: Mapping[DomainName, RegionName]
    packet_address: SocketAddress
    internal_port: int
    stop_ms: float
    tick_interval_ms: float
    release_interval_ms: float
    receive_buffer_bytes: int
    follower: FollowerOptions
    sources: SourceOptions
    forwarding: ForwardingOptions
    log: LogOptions
