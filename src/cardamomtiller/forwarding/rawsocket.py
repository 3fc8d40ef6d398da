"""Sockets for the start-up path.

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
    """Return a bound UDP socket that does not block."""
    opened = socket(AF_INET, SOCK_DGRAM)
    opened.setsockopt(SOL_SOCKET, SO_RCVBUF, receive_buffer_bytes)
    opened.bind(address)
    opened.setblocking(False)
    return opened


def stream_socket(address: tuple[str, int], timeout_s: float) -> socket:
    """
    Return a TCP connection.

    Raises
    ------
    OSError
        If there is none in time.
    """
    opened = socket(AF_INET, SOCK_STREAM)
    opened.settimeout(timeout_s)
    try:
        opened.connect(address)
    except OSError:
        opened.close()
        raise
    opened.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    return opened


def connecting_socket(address: tuple[str, int]) -> socket:
    """
    Return a TCP socket that is about to connect.

    Raises
    ------
    OSError
        If the connection fails at once.
    """
    opened = socket(AF_INET, SOCK_STREAM)
    opened.setblocking(False)
    code = opened.connect_ex(address)
    if code not in {0, errno.EINPROGRESS}:
        opened.close()
        raise OSError(code, 'connection failed')
    return opened


def connection_error(opened: socket) -> int:
    """Return the error number of a connection, 0 if it is open."""
    return int(opened.getsockopt(SOL_SOCKET, SO_ERROR))
