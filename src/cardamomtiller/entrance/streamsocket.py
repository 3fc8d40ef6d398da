"""Sockets of the plain TCP entrance and their options."""

import contextlib
import socket
import struct

from cardamomtiller.identity import Endpoint

BACKLOG = 512
# Probes find a silent end within 90 s, long before the idle timeout of a day
# that an order board may need.
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
    """Return a socket that does not block, of the family of an address."""
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    connection = socket.socket(family, socket.SOCK_STREAM)
    connection.setblocking(False)
    return connection


def open_listener(address: Endpoint) -> socket.socket:
    """Return a listener at an address."""
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    listener = socket.create_server(address.as_pair(), family=family, backlog=BACKLOG)
    listener.setblocking(False)
    return listener


def configure(connection: socket.socket) -> None:
    """Set the options of a connection that is relayed."""
    connection.setblocking(False)
    # Small messages must not wait for the acknowledgement of the one before.
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in KEEPALIVE_OPTIONS:
        connection.setsockopt(socket.IPPROTO_TCP, option, setting)


def reset(connection: socket.socket) -> None:
    """Close a connection so that the other end sees a reset."""
    # Setting an option fails when the other end has reset the connection already.
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    connection.close()
