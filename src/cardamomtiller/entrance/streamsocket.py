"""Create and configure the sockets of the plain TCP entrance."""

import contextlib
import socket
import struct

from cardamomtiller.identity import Endpoint

BACKLOG = 512
# TCP keepalive detects an unreachable peer within 90 s, long before the idle
# timeout, which can be as long as a day, for example for order boards.
KEEPALIVE_IDLE_S = 60
KEEPALIVE_INTERVAL_S = 10
KEEPALIVE_PROBES = 3
KEEPALIVE_OPTIONS = (
    (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)
LINGER_RESET = struct.pack('ii', 1, 0)


def new_socket(address: Endpoint) -> socket.socket:
    """Return a non-blocking socket of the address family of an endpoint."""
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    connection = socket.socket(family, socket.SOCK_STREAM)
    connection.setblocking(False)
    return connection


def open_listener(address: Endpoint) -> socket.socket:
    """Return a non-blocking listening socket at an address."""
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    listener = socket.create_server(address.as_pair(), family=family, backlog=BACKLOG)
    listener.setblocking(False)
    return listener


def configure(connection: socket.socket) -> None:
    """Set the socket options of a relayed connection."""
    connection.setblocking(False)
    # Without TCP_NODELAY, a small message waits until the previous one is
    # acknowledged.
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in KEEPALIVE_OPTIONS:
        connection.setsockopt(socket.IPPROTO_TCP, option, setting)


def reset(connection: socket.socket) -> None:
    """Close a connection with a TCP reset."""
    # Setting the option fails if the peer has already reset the connection.
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    connection.close()
