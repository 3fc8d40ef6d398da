"""Sockets for the start-up path.

``_socket`` is the C module behind ``socket``. Importing ``socket`` itself takes a
quarter of the time from start to the first forwarded packet.
"""

from _socket import (
    AF_INET,
    IPPROTO_TCP,
    SO_RCVBUF,
    SOCK_DGRAM,
    SOCK_STREAM,
    SOL_SOCKET,
    TCP_NODELAY,
    socket,
)

__all__ = ('datagram_socket', 'stream_socket')


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
