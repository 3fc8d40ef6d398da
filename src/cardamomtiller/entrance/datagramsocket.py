"""UDP socket for datagrams of callers and of other instances."""

import asyncio
import socket
from collections.abc import Callable

from cardamomtiller.counter import Counters
from cardamomtiller.identity import Endpoint

RECEIVE_BYTES = 4096
RECEIVE_BUFFER_BYTES = 4 << 20
# Datagrams that are read before control returns to the event loop.
DATAGRAMS_PER_WAKE = 64

Receiver = Callable[[bytes, Endpoint], None]


class DatagramSocket:
    """
    A UDP socket that is read in batches when the event loop reports it readable.

    This costs less per datagram than an asyncio transport, which returns to the
    selector after each datagram.
    """

    def __init__(
        self,
        address: Endpoint,
        receive: Receiver,
        counters: Counters,
    ) -> None:
        """
        Create the socket and bind it.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        self.address = address
        self._receive = receive
        self._counters = counters
        family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            RECEIVE_BUFFER_BYTES,
        )
        self._socket.bind(address.as_pair())

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start receiving in an event loop."""
        loop.add_reader(self._socket.fileno(), self._receive_ready)

    def close(self, loop: asyncio.AbstractEventLoop) -> None:
        """Stop receiving and close the socket."""
        loop.remove_reader(self._socket.fileno())
        self._socket.close()

    def send(self, datagram: bytes, destination: Endpoint) -> None:
        """Send a datagram; drop and count it if the socket reports an error."""
        try:
            self._socket.sendto(datagram, (destination.host, destination.port))
        except OSError:
            self._counters.add('socket.send_failed')

    def discard_waiting(self) -> int:
        """Discard the datagrams in the receive buffer; return their number."""
        dropped = 0
        while True:
            try:
                self._socket.recvfrom(RECEIVE_BYTES)
            except BlockingIOError:
                return dropped
            except OSError:
                self._counters.add('socket.receive_failed')
            dropped += 1

    def _receive_ready(self) -> None:
        for _ in range(DATAGRAMS_PER_WAKE):
            try:
                datagram, sender = self._socket.recvfrom(RECEIVE_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # An ICMP error of an earlier send is reported here; the socket
                # itself still works.
                self._counters.add('socket.receive_failed')
                continue
            self._receive(datagram, Endpoint(sender[0], sender[1]))
