"""A small HTTP server for health checks and metrics, driven by the node's loop."""

import socket
from collections.abc import Callable, Mapping
from typing import NamedTuple

import httptools

MAX_REQUEST_BYTES = 8192
MAX_CONNECTIONS = 32
BACKLOG = 64


class Reply(NamedTuple):
    """Status, media type and body of a reply."""

    status: int
    content_type: str
    body: bytes


Handler = Callable[[], Reply]
REASONS = {200: 'OK', 400: 'Bad Request', 404: 'Not Found', 503: 'Service Unavailable'}
NOT_FOUND = Reply(404, 'text/plain', b'not found\n')
BAD_REQUEST = Reply(400, 'text/plain', b'bad request\n')


class Connection:
    """One connection of a caller; callbacks of the parser collect its request."""

    def __init__(self, peer: socket.socket, handlers: Mapping[str, Handler]) -> None:
        """Take over an accepted socket."""
        self.peer = peer
        self._handlers = handlers
        self._parser = httptools.HttpRequestParser(self)
        self._path = ''
        self._received_bytes = 0
        self._replies: list[Reply] = []

    def on_url(self, url: bytes) -> None:
        """Collect a part of the path."""
        self._path += url.decode('latin-1')

    def on_message_complete(self) -> None:
        """Answer a complete request."""
        path = self._path.partition('?')[0]
        self._path = ''
        self._received_bytes = 0
        handler = self._handlers.get(path)
        self._replies.append(handler() if handler else NOT_FOUND)

    def serve(self) -> bool:
        """Read what has arrived and answer it; return whether to go on."""
        try:
            data = self.peer.recv(MAX_REQUEST_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self._received_bytes += len(data)
        if not data or self._received_bytes > MAX_REQUEST_BYTES:
            return False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._replies.append(BAD_REQUEST)
        replies, self._replies = self._replies, []
        return all([self._send(reply) for reply in replies])

    def _send(self, reply: Reply) -> bool:
        head = (
            f'HTTP/1.1 {reply.status} {REASONS[reply.status]}\r\n'
            f'Content-Type: {reply.content_type}\r\n'
            f'Content-Length: {len(reply.body)}\r\n\r\n'
        )
        message = head.encode('latin-1') + reply.body
        try:
            return self.peer.send(message) == len(message)
        except OSError:
            return False


class HttpServer:
    """Accepts connections on one address; the owner polls ``descriptors``."""

    def __init__(self, address: tuple[str, int], handlers: Mapping[str, Handler]):
        """Listen."""
        self._handlers = handlers
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(address)
        self._listener.listen(BACKLOG)
        self._listener.setblocking(False)
        self._connections: dict[int, Connection] = {}

    @property
    def listener(self) -> int:
        """Descriptor of the listening socket."""
        return self._listener.fileno()

    def accept(self) -> int | None:
        """Accept one connection and return its descriptor, None if there is none."""
        try:
            peer, _ = self._listener.accept()
        except OSError:
            return None
        if len(self._connections) >= MAX_CONNECTIONS:
            peer.close()
            return None
        peer.setblocking(False)
        self._connections[peer.fileno()] = Connection(peer, self._handlers)
        return peer.fileno()

    def serve(self, descriptor: int) -> bool:
        """Serve a connection; return False once it is closed."""
        connection = self._connections[descriptor]
        if connection.serve():
            return True
        del self._connections[descriptor]
        connection.peer.close()
        return False

    def owns(self, descriptor: int) -> bool:
        """Return whether a descriptor is one of the connections."""
        return descriptor in self._connections
