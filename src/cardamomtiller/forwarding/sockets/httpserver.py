"""A non-blocking HTTP server for health checks, metrics and peers."""

import socket
from collections.abc import Callable, Mapping
from typing import NamedTuple

import httptools

MAX_REQUEST_BYTES = 8192
LISTEN_BACKLOG = 128
# Idle connections are closed, because a client that loses power never closes its own.
IDLE_TIMEOUT_MS = 30_000.0


class Request(NamedTuple):
    """Path, query and time of arrival of a request."""

    path: str
    query: dict[str, str]
    received_ms: float


class Reply(NamedTuple):
    """Status code, media type and body of a response."""

    status: int
    content_type: str
    body: bytes


# Takes a request and the current time; returns None to keep the request pending.
Handler = Callable[[Request, float], Reply | None]
REASON_PHRASES = {
    200: 'OK',
    400: 'Bad Request',
    404: 'Not Found',
    503: 'Service Unavailable',
}
NOT_FOUND = Reply(404, 'text/plain', b'not found\n')
BAD_REQUEST = Reply(400, 'text/plain', b'bad request\n')


def parse_query(text: str) -> dict[str, str]:
    """Parse a query string without percent-decoding."""
    pairs = (part.partition('=') for part in text.split('&') if part)
    return {name: value for name, _, value in pairs}


class Connection:
    """A client connection; the parser calls its ``on_`` methods."""

    def __init__(
        self,
        client_socket: socket.socket,
        handlers: Mapping[str, Handler],
        now_ms: float,
    ) -> None:
        """Create the request parser for an accepted socket."""
        self.last_received_ms = now_ms
        self.client_socket = client_socket
        self._handlers = handlers
        self._parser = httptools.HttpRequestParser(self)
        self._url = b''
        self._pending: list[Request] = []
        self._send_buffer = b''

    @property
    def is_pending(self) -> bool:
        """Whether a request is unanswered or a reply is not completely sent."""
        return bool(self._pending or self._send_buffer)

    def on_url(self, url: bytes) -> None:
        """Add a part of the request URL."""
        self._url += url

    def on_message_complete(self) -> None:
        """Add the complete request to the pending ones."""
        path, _, query = self._url.decode('latin-1').partition('?')
        self._url = b''
        self._pending.append(Request(path, parse_query(query), self.last_received_ms))

    def receive(self, now_ms: float) -> bool:
        """Read available data; return whether the connection stays open."""
        self.last_received_ms = now_ms
        try:
            data = self.client_socket.recv(MAX_REQUEST_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            return False
        if not data or len(self._url) > MAX_REQUEST_BYTES:
            return False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, UnicodeDecodeError):
            self._queue_reply(BAD_REQUEST)
            self._flush()
            return False
        return self.answer(now_ms)

    def answer(self, now_ms: float) -> bool:
        """
        Answer pending requests in order, up to the first that must wait.

        Returns
        -------
        bool
            Whether the connection stays open.
        """
        while self._pending:
            request = self._pending[0]
            handler = self._handlers.get(request.path)
            reply = handler(request, now_ms) if handler else NOT_FOUND
            if reply is None:
                break
            self._pending.pop(0)
            self._queue_reply(reply)
        return self._flush()

    def _queue_reply(self, reply: Reply) -> None:
        head = (
            f'HTTP/1.1 {reply.status} {REASON_PHRASES[reply.status]}\r\n'
            f'Content-Type: {reply.content_type}\r\n'
            f'Content-Length: {len(reply.body)}\r\n\r\n'
        )
        self._send_buffer += head.encode('latin-1') + reply.body

    def _flush(self) -> bool:
        if not self._send_buffer:
            return True
        try:
            sent = self.client_socket.send(self._send_buffer)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self._send_buffer = self._send_buffer[sent:]
        return True


class HttpServer:
    """
    Accepts connections on one address.

    The caller polls the descriptors and calls ``accept`` or ``receive`` for those that
    are readable, and ``answer_pending`` regularly.
    """

    def __init__(
        self,
        address: tuple[str, int],
        handlers: Mapping[str, Handler],
        max_connections: int,
    ) -> None:
        """Bind the address and start to listen."""
        self._handlers = handlers
        self._max_connections = max_connections
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(address)
        self._listener.listen(LISTEN_BACKLOG)
        self._listener.setblocking(False)
        self._connections: dict[int, Connection] = {}

    @property
    def listener_descriptor(self) -> int:
        """File descriptor of the listening socket."""
        return self._listener.fileno()

    def accept(self, now_ms: float) -> int | None:
        """Accept a connection; return its descriptor, or None if none was accepted."""
        try:
            client_socket, _ = self._listener.accept()
        except OSError:
            return None
        if len(self._connections) >= self._max_connections:
            client_socket.close()
            return None
        client_socket.setblocking(False)
        self._connections[client_socket.fileno()] = Connection(
            client_socket, self._handlers, now_ms
        )
        return client_socket.fileno()

    def owns(self, descriptor: int) -> bool:
        """Return whether a descriptor belongs to an accepted connection."""
        return descriptor in self._connections

    def receive(self, descriptor: int, now_ms: float) -> None:
        """Read from a connection and answer its requests."""
        if not self._connections[descriptor].receive(now_ms):
            self._close(descriptor)

    def answer_pending(self, now_ms: float) -> None:
        """Call the handlers of pending requests again; close idle connections."""
        for descriptor, connection in tuple(self._connections.items()):
            is_idle = now_ms - connection.last_received_ms > IDLE_TIMEOUT_MS
            if is_idle or (connection.is_pending and not connection.answer(now_ms)):
                self._close(descriptor)

    def _close(self, descriptor: int) -> None:
        # The kernel removes a closed descriptor from the epoll set.
        self._connections.pop(descriptor).client_socket.close()
