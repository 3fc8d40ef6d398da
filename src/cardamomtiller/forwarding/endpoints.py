"""The addresses of a process besides the packet address.

This module and what it imports are loaded after the first packets were forwarded.
"""

import select
from typing import NamedTuple

from cardamomtiller.forwarding.decisionlog import DecisionLog
from cardamomtiller.forwarding.exchange import ExchangeOptions, PeerExchange
from cardamomtiller.forwarding.httpserver import Handler, HttpServer
from cardamomtiller.forwarding.load import LoadTable
from cardamomtiller.forwarding.member import Member
from cardamomtiller.forwarding.meters import Meters
from cardamomtiller.forwarding.metricspage import MetricsPage
from cardamomtiller.forwarding.peersource import CHANGES_PATH
from cardamomtiller.forwarding.replica import Replica
from cardamomtiller.forwarding.upstreams import SocketAddress


class EndpointOptions(NamedTuple):
    """Addresses, and what is said there."""

    health_address: SocketAddress
    health_path: str
    metrics_address: SocketAddress
    metrics_path: str
    max_connections: int
    exchange: ExchangeOptions


class Endpoints:
    """Health checks, metrics, and the exchange with other instances."""

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
        """Listen on all addresses."""
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
                {CHANGES_PATH: self._exchange.answer_changes},
                max_connections,
            ),
        )
        for descriptor in self._exchange.descriptor, *self._listener_descriptors():
            poller.register(descriptor, select.EPOLLIN)

    def serve(self, descriptor: int, now_ms: float) -> None:
        """Serve a descriptor that can be read."""
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
        """Answer requests that waited for a change or for their time to pass."""
        for server in self._servers:
            server.answer_pending(now_ms)

    def tick(self, now_ms: float) -> tuple[Member, ...]:
        """Announce this instance if it is time; return the known peers."""
        self._exchange.announce(now_ms)
        self._exchange.send_load_reports(now_ms)
        self.answer_pending(now_ms)
        return self._exchange.member_table.peers()

    def record_peer_contact(self, host: str, now_ms: float) -> None:
        """Take an answer of another instance as a sign of life."""
        self._exchange.member_table.record_contact(host, now_ms)

    def reload(self, options: EndpointOptions) -> None:
        """Take the settings that may change while the process runs: the seeds."""
        self._exchange.seeds = options.exchange.seeds

    def announce_leave(self, now_ms: float) -> None:
        """Tell the peers that this instance is about to stop."""
        self._exchange.announce_leave(now_ms)

    def _listener_descriptors(self) -> tuple[int, ...]:
        return tuple(server.listener_descriptor for server in self._servers)
