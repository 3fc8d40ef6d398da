"""Reachability probes of upstreams by TCP connection attempts."""

import errno
import os
import select
from _socket import socket
from collections.abc import Iterator
from typing import NamedTuple

from cardamomtiller.forwarding.observation.reachability import ProbeResult
from cardamomtiller.forwarding.packet import Token
from cardamomtiller.forwarding.published.upstreams import SocketAddress
from cardamomtiller.forwarding.sockets.rawsocket import (
    connecting_socket,
    connection_error,
)


class Probe(NamedTuple):
    """A connection attempt in progress."""

    token: Token
    connection: socket
    deadline_ms: float


class Prober:
    """
    Runs connection attempts without blocking.

    The caller polls the registered descriptors and calls ``finish`` for those that are
    writable.
    """

    def __init__(self, poller: select.epoll, timeout_ms: float) -> None:
        """Register the descriptors of later probes with ``poller``."""
        self._poller = poller
        self._timeout_ms = timeout_ms
        self._probes: dict[int, Probe] = {}

    def start(
        self,
        token: Token,
        address: SocketAddress,
        now_ms: float,
    ) -> ProbeResult | None:
        """Start a probe; return its result if the attempt fails immediately."""
        try:
            connection = connecting_socket(address)
        except OSError as error:
            return _result_of_error(error.errno or 0)
        descriptor = connection.fileno()
        self._probes[descriptor] = Probe(token, connection, now_ms + self._timeout_ms)
        self._poller.register(descriptor, select.EPOLLOUT)
        return None

    def owns(self, descriptor: int) -> bool:
        """Return whether a descriptor belongs to a probe."""
        return descriptor in self._probes

    def finish(self, descriptor: int) -> tuple[Token, ProbeResult]:
        """Close the probe of a writable descriptor and return its result."""
        probe = self._probes.pop(descriptor)
        error_number = connection_error(probe.connection)
        probe.connection.close()
        return (
            probe.token,
            _result_of_error(error_number) if error_number else ProbeResult.CONNECTED,
        )

    def expire(self, now_ms: float) -> Iterator[tuple[Token, ProbeResult]]:
        """Close probes past their deadline and yield their results."""
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
