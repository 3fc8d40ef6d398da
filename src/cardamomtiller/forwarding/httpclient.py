"""A blocking HTTP client for one address, for the task that reads records."""

from _socket import socket
from typing import NamedTuple

import httptools

from cardamomtiller.forwarding.rawsocket import stream_socket
from cardamomtiller.forwarding.records import SourceError
from cardamomtiller.forwarding.upstreams import SocketAddress
from cardamomtiller.ids import MS_PER_S

RECEIVE_BYTES = 65_536
MAX_RESPONSE_BYTES = 64 * 1024 * 1024


class Response(NamedTuple):
    """Status and body of a response."""

    status: int
    body: bytes


class ResponseReader:
    """Collects one response from a parser's callbacks."""

    def __init__(self) -> None:
        """Start with nothing received."""
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        self.is_complete = False
        self.parser = httptools.HttpResponseParser(self)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > MAX_RESPONSE_BYTES:
            raise SourceError('response is too large')
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Note the end of the response."""
        self.is_complete = True

    def response(self) -> Response:
        """Return the complete response."""
        return Response(self.parser.get_status_code(), b''.join(self._chunks))


class HttpConnection:
    """A connection that is opened again after an error."""

    def __init__(self, address: SocketAddress, timeout_ms: float) -> None:
        """Prepare; the first call connects."""
        self.address = address
        self._timeout_ms = timeout_ms
        self._socket: socket | None = None

    def get(self, path: str, extra_timeout_ms: float = 0) -> Response:
        """
        Ask for a path.

        Parameters
        ----------
        path
            Path and query.
        extra_timeout_ms
            How much longer than the timeout the answer may take.

        Raises
        ------
        SourceError
            If no complete answer comes in time.
        """
        host, port = self.address
        request = f'GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n'
        try:
            return self._send_request(request.encode('ascii'), extra_timeout_ms)
        except SourceError:
            self.close()
            raise
        except (OSError, httptools.HttpParserError) as error:
            self.close()
            raise SourceError(f'{path.partition("?")[0]}: {error!r}') from error

    def close(self) -> None:
        """Drop the connection."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _send_request(self, request: bytes, extra_timeout_ms: float) -> Response:
        connection = self._socket or stream_socket(
            self.address,
            self._timeout_ms / MS_PER_S,
        )
        self._socket = connection
        connection.settimeout((self._timeout_ms + extra_timeout_ms) / MS_PER_S)
        connection.sendall(request)
        reader = ResponseReader()
        while not reader.is_complete:
            data = connection.recv(RECEIVE_BYTES)
            if not data:
                raise ConnectionResetError('connection closed by the other end')
            reader.parser.feed_data(data)
        if not reader.parser.should_keep_alive():
            self.close()
        return reader.response()
