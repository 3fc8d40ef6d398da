"""TCP connections that find out whether an upstream can be reached."""

import errno
import os
import select
from _socket import socket
from collections.abc import Iterator
from typing import NamedTuple

from cardamomtiller.forwarding.packet import Token
from cardamomtiller.forwarding.rawsocket import connecting_socket, connection_error
from cardamomtiller.forwarding.reachability import ProbeResult
from cardamomtiller.forwarding.upstreams import SocketAddress


class Probe(NamedTuple):
    """A connection that is being opened."""

    token: Token
    connection: socket
    deadline_ms: float


class Prober:
    """Opens connections without waiting for them; the owner polls them."""

    def __init__(self, poller: select.epoll, timeout_ms: float) -> None:
        """Start with no probes."""
        self._poller = poller
        self._timeout_ms = timeout_ms
        self._probes: dict[int, Probe] = {}

    def start(
        self,
        token: Token,
        address: SocketAddress,
        now_ms: float,
    ) -> ProbeResult | None:
        """Begin a probe; return its result if that is known at once."""
        try:
            connection = connecting_socket(address)
        except OSError as error:
            return _result_of_error(error.errno or 0)
        descriptor = connection.fileno()
        self._probes[descriptor] = Probe(token, connection, now_ms + self._timeout_ms)
        self._poller.register(descriptor, select.EPOLLOUT)
        return None

    def owns(self, descriptor: int) -> bool:
        """Return whether a descriptor is that of a probe."""
        return descriptor in self._probes

    def finish(self, descriptor: int) -> tuple[Token, ProbeResult]:
        """Return the result of a probe whose connection is decided."""
        probe = self._probes.pop(descriptor)
        error_number = connection_error(probe.connection)
        probe.connection.close()
        return (
            probe.token,
            _result_of_error(error_number) if error_number else ProbeResult.CONNECTED,
        )

    def expire(self, now_ms: float) -> Iterator[tuple[Token, ProbeResult]]:
        """Iterate over the results of probes that took too long."""
        for descriptor, probe in tuple(self._probes.items()):
            if now_ms >= probe.deadline_ms:
                del self._probes[descriptor]
                probe.connection.close()
                yield probe.token, ProbeResult.TIMED_OUT


def _result_of_error(error_number: int) -> ProbeResult:
    if error_number == errno.ECONNREFUSED:
        return ProbeResult.REFUSED
    if error_number == errno.EMFILE:
        raise OSError(error_number, os.strerror(error_number))
    return ProbeResult.TIMED_OUT
