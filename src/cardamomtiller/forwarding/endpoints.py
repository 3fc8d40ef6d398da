"""HTTP and UDP endpoints of a process other than its packet socket.

This module and its imports are loaded only after the first packets were forwarded,
because loading them would delay forwarding after a restart.
"""

import select
from collections.abc import Iterator
from typing import NamedTuple

from cardamomtiller.forwarding.fleet.exchange import ExchangeOptions, PeerExchange
from cardamomtiller.forwarding.member import Member
from cardamomtiller.forwarding.observation.load import LoadTable
from cardamomtiller.forwarding.published.upstreams import SocketAddress
from cardamomtiller.forwarding.replication.peersource import (
    CHANGES_PATH,
    RETAINED_PATH,
)
from cardamomtiller.forwarding.replication.replica import Replica
from cardamomtiller.forwarding.sockets.httpserver import Handler, HttpServer
from cardamomtiller.forwarding.telemetry.decisionlog import DecisionLog
from cardamomtiller.forwarding.telemetry.meters import Meters
from cardamomtiller.forwarding.telemetry.metricspage import MetricsPage


class EndpointOptions(NamedTuple):
    """Addresses and paths of the endpoints, and options of the peer exchange."""

    health_address: SocketAddress
    health_path: str
    metrics_address: SocketAddress
    metrics_path: str
    max_connections: int
    exchange: ExchangeOptions


class Endpoints:
    """Serves health checks, metrics and the replica, and runs the peer exchange."""

    def __init__(
        self,
        options: EndpointOptions,
        answer_health_check: Handler,
        replica: Replica,
        loads: LoadTable,
        log: DecisionLog,
        meters: Meters,
        poller: select.epoll,
        now_ms: float,
    ) -> None:
        """Open all sockets and register them with ``poller``."""
        self._poller = poller
        self._exchange = PeerExchange(
            options.exchange,
            replica,
            loads,
            log,
            meters,
            now_ms,
        )
        internal_address = (
            options.exchange.local_member.host,
            options.exchange.internal_port,
        )
        max_connections = options.max_connections
        self._servers = (
            HttpServer(
                options.health_address,
                {options.health_path: answer_health_check},
                max_connections,
            ),
            HttpServer(
                options.metrics_address,
                {options.metrics_path: MetricsPage(meters).answer},
                max_connections,
            ),
            HttpServer(
                internal_address,
                {
                    CHANGES_PATH: self._exchange.answer_changes,
                    RETAINED_PATH: self._exchange.answer_retained,
                },
                max_connections,
            ),
        )
        for descriptor in self._exchange.descriptor, *self._listener_descriptors():
            poller.register(descriptor, select.EPOLLIN)

    def serve(self, descriptor: int, now_ms: float) -> None:
        """Read from a descriptor that the poller reported as readable."""
        if descriptor == self._exchange.descriptor:
            self._exchange.receive(now_ms)
            return
        for server in self._servers:
            if descriptor == server.listener_descriptor:
                accepted = server.accept(now_ms)
                if accepted is not None:
                    self._poller.register(accepted, select.EPOLLIN)
                return
            if server.owns(descriptor):
                server.receive(descriptor, now_ms)
                return

    def answer_pending(self, now_ms: float) -> None:
        """Answer pending requests whose data has changed or whose wait has ended."""
        for server in self._servers:
            server.answer_pending(now_ms)

    def tick(self, now_ms: float) -> tuple[Member, ...]:
        """Send due announcements and load reports; return the current peers."""
        self._exchange.announce(now_ms)
        self._exchange.send_load_reports(now_ms)
        self.answer_pending(now_ms)
        return self._exchange.member_table.peers()

    def remote_members(self) -> tuple[Member, ...]:
        """Return the known members of other failure domains."""
        return self._exchange.member_table.remote_members()

    def member_contacts(self) -> Iterator[tuple[Member, float]]:
        """Iterate over the known members, with the time of the last message of each."""
        return self._exchange.member_table.contacts()

    def fleet_size(self, now_ms: float) -> int | None:
        """Return the number of instances, None while they are still unknown."""
        return self._exchange.fleet_size(now_ms)

    def record_peer_contact(self, host: str, now_ms: float) -> None:
        """Record that another instance has answered, so it stays in the table."""
        self._exchange.member_table.record_contact(host, now_ms)

    def reload(self, options: EndpointOptions) -> None:
        """Apply the only option that may change at run time: the seeds."""
        self._exchange.seeds = options.exchange.seeds

    def announce_leave(self, now_ms: float) -> None:
        """Announce to the peers that this instance is about to stop."""
        self._exchange.announce_leave(now_ms)

    def _listener_descriptors(self) -> tuple[int, ...]:
        return tuple(server.listener_descriptor for server in self._servers)
