"""A blocking HTTP client for one address, used by the thread that reads records."""

import time
from _socket import socket
from math import inf
from typing import NamedTuple

import httptools

from cardamomtiller.forwarding.published.records import (
    ConnectionLostError,
    SourceError,
)
from cardamomtiller.forwarding.published.upstreams import SocketAddress
from cardamomtiller.forwarding.sockets.rawsocket import stream_socket
from cardamomtiller.ids import MS_PER_S

RECEIVE_BYTES = 65_536
MAX_RESPONSE_BYTES = 64 * 1024 * 1024


class Response(NamedTuple):
    """
    An HTTP response.

    Attributes
    ----------
    headers
        Value of each header by its name in lower case.
    """

    status: int
    body: bytes
    headers: dict[bytes, bytes]


class ResponseReader:
    """Assembles one response; the parser calls its ``on_`` methods."""

    def __init__(self) -> None:
        """Create the parser of this response."""
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        self._headers: dict[bytes, bytes] = {}
        self.is_complete = False
        self.parser = httptools.HttpResponseParser(self)

    def on_header(self, name: bytes, text: bytes) -> None:
        """Add a header."""
        self._headers[name.lower()] = text

    def on_body(self, body: bytes) -> None:
        """Add a part of the body, up to the size limit."""
        self._body_bytes += len(body)
        if self._body_bytes > MAX_RESPONSE_BYTES:
            raise SourceError('response body exceeds the size limit')
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        self.is_complete = True

    def response(self) -> Response:
        """Return the response; only valid once it is complete."""
        return Response(
            self.parser.get_status_code(), b''.join(self._chunks), self._headers
        )


class Timeouts(NamedTuple):
    """
    Time limits of a request.

    Attributes
    ----------
    idle_ms
        Longest time without progress, while the connection is opened and then between
        two parts of the response.
    total_ms
        Time for everything together.
    """

    idle_ms: float
    total_ms: float = inf


class HttpConnection:
    """A keep-alive connection that is reopened by the first request after an error."""

    def __init__(self, address: SocketAddress) -> None:
        """Store the address; the first request connects."""
        self.address = address
        self._socket: socket | None = None

    def get(self, path: str, timeouts: Timeouts) -> Response:
        """
        Send a GET request.

        Parameters
        ----------
        path
            Path and query of the URL.
        timeouts
            Time limits of the request.

        Raises
        ------
        ConnectionLostError
            If the connection was closed before the response was complete.
        SourceError
            If no complete response arrives in time.
        """
        host, port = self.address
        request = f'GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n'
        try:
            return self._send_request(request.encode('ascii'), timeouts)
        except SourceError:
            self.close()
            raise
        except (ConnectionResetError, BrokenPipeError) as error:
            self.close()
            raise ConnectionLostError(_describe(path, error)) from error
        except (OSError, httptools.HttpParserError) as error:
            self.close()
            raise SourceError(_describe(path, error)) from error

    def close(self) -> None:
        """Close the connection if it is open."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _send_request(self, request: bytes, timeouts: Timeouts) -> Response:
        end_s = time.monotonic() + timeouts.total_ms / MS_PER_S
        connection = self._socket or stream_socket(
            self.address, _next_timeout_s(timeouts, end_s)
        )
        self._socket = connection
        connection.settimeout(_next_timeout_s(timeouts, end_s))
        connection.sendall(request)
        reader = ResponseReader()
        while not reader.is_complete:
            connection.settimeout(_next_timeout_s(timeouts, end_s))
            data = connection.recv(RECEIVE_BYTES)
            if not data:
                raise ConnectionResetError('connection closed by the server')
            reader.parser.feed_data(data)
        if not reader.parser.should_keep_alive():
            self.close()
        return reader.response()


def _next_timeout_s(timeouts: Timeouts, end_s: float) -> float:
    """Return the time limit of the next step; raise ``TimeoutError`` if none is left."""
    remaining_s = end_s - time.monotonic()
    if remaining_s <= 0:
        raise TimeoutError('no complete response in time')
    return min(timeouts.idle_ms / MS_PER_S, remaining_s)


def _describe(path: str, error: Exception) -> str:
    return f'{path.partition("?")[0]}: {error!r}'
