"""Sockets for modules that are imported before the first packet is forwarded.

``_socket`` is the C module behind ``socket``. Importing ``socket`` itself takes a
quarter of the time from start to the first forwarded packet.
"""

import errno
from _socket import (
    AF_INET,
    IPPROTO_TCP,
    SO_ERROR,
    SO_RCVBUF,
    SOCK_DGRAM,
    SOCK_STREAM,
    SOL_SOCKET,
    TCP_NODELAY,
    socket,
)


def datagram_socket(address: tuple[str, int], receive_buffer_bytes: int) -> socket:
    """Return a bound, non-blocking UDP socket."""
    new_socket = socket(AF_INET, SOCK_DGRAM)
    new_socket.setsockopt(SOL_SOCKET, SO_RCVBUF, receive_buffer_bytes)
    new_socket.bind(address)
    new_socket.setblocking(False)
    return new_socket


def stream_socket(address: tuple[str, int], timeout_s: float) -> socket:
    """
    Return a connected TCP socket.

    Raises
    ------
    OSError
        If the connection fails or is not established in time.
    """
    new_socket = socket(AF_INET, SOCK_STREAM)
    new_socket.settimeout(timeout_s)
    try:
        new_socket.connect(address)
    except OSError:
        new_socket.close()
        raise
    new_socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    return new_socket


def connecting_socket(address: tuple[str, int]) -> socket:
    """
    Return a non-blocking TCP socket whose connection attempt has started.

    Raises
    ------
    OSError
        If the attempt fails immediately.
    """
    new_socket = socket(AF_INET, SOCK_STREAM)
    new_socket.setblocking(False)
    error_number = new_socket.connect_ex(address)
    if error_number not in {0, errno.EINPROGRESS}:
        new_socket.close()
        raise OSError(error_number, 'connection failed')
    return new_socket


def connection_error(new_socket: socket) -> int:
    """Return the error number of a finished connection attempt, 0 on success."""
    return int(new_socket.getsockopt(SOL_SOCKET, SO_ERROR))
