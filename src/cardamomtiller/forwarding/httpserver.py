"""A small HTTP server for health checks, metrics and peers, driven by a loop."""

import socket
from collections.abc import Callable, Mapping
from typing import NamedTuple

import httptools

MAX_REQUEST_BYTES = 8192
BACKLOG = 128
# A caller that lost its power leaves a connection behind that nobody closes.
IDLE_MS = 30_000.0


class Request(NamedTuple):
    """Path and query of a request, and when it arrived."""

    path: str
    query: dict[str, str]
    received_ms: float


class Reply(NamedTuple):
    """Status, media type and body of a reply."""

    status: int
    content_type: str
    body: bytes


# A handler returns None while the request is to wait.
Handler = Callable[[Request, float], Reply | None]
REASONS = {200: 'OK', 400: 'Bad Request', 404: 'Not Found', 503: 'Service Unavailable'}
NOT_FOUND = Reply(404, 'text/plain', b'not found\n')
BAD_REQUEST = Reply(400, 'text/plain', b'bad request\n')


def parse_query(text: str) -> dict[str, str]:
    """Return the pairs of a query whose values need no decoding."""
    pairs = (part.partition('=') for part in text.split('&') if part)
    return {name: value for name, _, value in pairs}


class Connection:
    """One connection of a caller; callbacks of the parser collect its requests."""

    def __init__(
        self,
        peer: socket.socket,
        handlers: Mapping[str, Handler],
        now_ms: float,
    ) -> None:
        """Take over an accepted socket."""
        self.heard_ms = now_ms
        self.peer = peer
        self._handlers = handlers
        self._parser = httptools.HttpRequestParser(self)
        self._url = b''
        self._waiting: list[Request] = []
        self._unsent = b''

    @property
    def is_waiting(self) -> bool:
        """Whether a request has no reply yet or a reply is not sent yet."""
        return bool(self._waiting or self._unsent)

    def on_url(self, url: bytes) -> None:
        """Collect a part of the path."""
        self._url += url

    def on_message_complete(self) -> None:
        """Take a complete request."""
        path, _, query = self._url.decode('latin-1').partition('?')
        self._url = b''
        self._waiting.append(Request(path, parse_query(query), self.heard_ms))

    def receive(self, now_ms: float) -> bool:
        """Read what has arrived; return whether the connection stays open."""
        self.heard_ms = now_ms
        try:
            data = self.peer.recv(MAX_REQUEST_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            return False
        if not data or len(self._url) > MAX_REQUEST_BYTES:
            return False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, UnicodeDecodeError):
            self._queue(BAD_REQUEST)
            self._send()
            return False
        return self.answer(now_ms)

    def answer(self, now_ms: float) -> bool:
        """Answer what can be answered; return whether the connection stays open."""
        while self._waiting:
            request = self._waiting[0]
            handler = self._handlers.get(request.path)
            reply = handler(request, now_ms) if handler else NOT_FOUND
            if reply is None:
                break
            self._waiting.pop(0)
            self._queue(reply)
        return self._send()

    def _queue(self, reply: Reply) -> None:
        head = (
            f'HTTP/1.1 {reply.status} {REASONS[reply.status]}\r\n'
            f'Content-Type: {reply.content_type}\r\n'
            f'Content-Length: {len(reply.body)}\r\n\r\n'
        )
        self._unsent += head.encode('latin-1') + reply.body

    def _send(self) -> bool:
        if not self._unsent:
            return True
        try:
            sent = self.peer.send(self._unsent)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self._unsent = self._unsent[sent:]
        return True


class HttpServer:
    """Accepts connections on one address; the owner polls its descriptors."""

    def __init__(
        self,
        address: tuple[str, int],
        handlers: Mapping[str, Handler],
        max_connections: int,
    ) -> None:
        """Listen."""
        self._handlers = handlers
        self._max_connections = max_connections
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

    def accept(self, now_ms: float) -> int | None:
        """Accept one connection and return its descriptor, None if there is none."""
        try:
            peer, _ = self._listener.accept()
        except OSError:
            return None
        if len(self._connections) >= self._max_connections:
            peer.close()
            return None
        peer.setblocking(False)
        self._connections[peer.fileno()] = Connection(peer, self._handlers, now_ms)
        return peer.fileno()

    def owns(self, descriptor: int) -> bool:
        """Return whether a descriptor is one of the connections."""
        return descriptor in self._connections

    def receive(self, descriptor: int, now_ms: float) -> None:
        """Serve a connection that can be read."""
        if not self._connections[descriptor].receive(now_ms):
            self._close(descriptor)

    def answer_waiting(self, now_ms: float) -> None:
        """Ask the handlers of waiting requests again; close idle connections."""
        for descriptor, connection in tuple(self._connections.items()):
            is_idle = now_ms - connection.heard_ms > IDLE_MS
            if is_idle or (connection.is_waiting and not connection.answer(now_ms)):
                self._close(descriptor)

    def _close(self, descriptor: int) -> None:
        # A closed descriptor leaves the poller by itself.
        self._connections.pop(descriptor).peer.close()
