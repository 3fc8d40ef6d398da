"""HTTP status endpoint of a running instance, and its client."""

import asyncio
import json
import socket
from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from http import HTTPStatus

from loguru import logger
from returns.result import Failure, Result, Success

from cardamomtiller.identity import MS_PER_S, Endpoint

MAX_HEAD_BYTES = 8192
MAX_RESPONSE_BYTES = 64_000_000
REQUEST_TIMEOUT_MS = 5000
MAX_OPEN_REQUESTS = 16
BACKLOG = 16
ROWS_PER_TURN = 100

STATUS_PATH = '/status'
FLOWS_PATH = '/flows'
COUNTERS_PATH = '/counters'

Json = Mapping[str, object] | Sequence[object]


class StatusProvider(ABC):
    """Source of the status views; every method returns JSON values."""

    @abstractmethod
    def status(self) -> Json:
        """Return the values of ``/status``: state, versions, members, upstreams."""

    @abstractmethod
    def flows(self) -> Iterable[object]:
        """Iterate over the open flows; other tasks run between the rows."""

    @abstractmethod
    def counters(self) -> Json:
        """Return the values of ``/counters``: instance name, counters, gauges."""


@dataclass(frozen=True, slots=True)
class _Response:
    """HTTP response: a JSON value, or rows that are encoded a few at a time."""

    status: HTTPStatus
    value: Json = ()
    rows: Iterable[object] | None = None


class StatusServer:
    """
    Serve ``GET`` requests on three paths with JSON, one request per connection.

    A response has no length header; it ends when the connection is closed. The
    endpoint has no authentication, so settings must bind it to a loopback or
    management address.
    """

    def __init__(self, provider: StatusProvider, address: Endpoint) -> None:
        """Create the server; ``start`` binds the address."""
        self._provider = provider
        self._address = address
        self._server: asyncio.Server | None = None
        self._open_connections = 0

    @property
    def address(self) -> Endpoint:
        """Return the address; after ``start``, with the port that was bound."""
        return self._address

    async def start(self) -> None:
        """
        Bind the address and start to serve.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        listener = socket.create_server(
            self._address.as_pair(),
            family=socket.AF_INET6 if ':' in self._address.host else socket.AF_INET,
        )
        host, port, *_ = listener.getsockname()
        self._address = Endpoint(host, port)
        self._server = await asyncio.start_server(
            self._handle_connection,
            sock=listener,
            limit=MAX_HEAD_BYTES,
            backlog=BACKLOG,
        )

    def stop(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    async def _handle_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._open_connections += 1
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_MS / MS_PER_S):
                head = await reader.readuntil(b'\r\n\r\n')
                await _write_response(writer, self._make_response(head))
        except (OSError, EOFError, asyncio.LimitOverrunError):
            # The client disconnected, was too slow, or sent no valid request head.
            writer.transport.abort()
        except Exception:
            # An error in a status view must not stop the instance.
            logger.exception('status view failed')
            writer.transport.abort()
        finally:
            self._open_connections -= 1
            writer.close()

    def _make_response(self, head: bytes) -> _Response:
        words = head.split(b'\r\n', 1)[0].decode('latin-1').split()
        if len(words) != 3 or not words[2].startswith('HTTP/1.'):
            return _make_error(HTTPStatus.BAD_REQUEST)
        if words[0] != 'GET':
            return _make_error(HTTPStatus.METHOD_NOT_ALLOWED)
        if self._open_connections > MAX_OPEN_REQUESTS:
            return _make_error(HTTPStatus.SERVICE_UNAVAILABLE)
        try:
            return self._route(words[1].partition('?')[0])
        except Exception:
            # An error in a status view must not stop the instance.
            logger.exception('status view {} failed', words[1])
            return _make_error(HTTPStatus.INTERNAL_SERVER_ERROR)

    def _route(self, path: str) -> _Response:
        match path:
            case '/status':
                return _Response(HTTPStatus.OK, self._provider.status())
            case '/flows':
                return _Response(HTTPStatus.OK, rows=self._provider.flows())
            case '/counters':
                return _Response(HTTPStatus.OK, self._provider.counters())
        return _make_error(HTTPStatus.NOT_FOUND)


async def fetch_json(
    address: Endpoint,
    path: str,
    timeout_ms: float = REQUEST_TIMEOUT_MS,
) -> Result[Json, str]:
    """
    Fetch a path of a status endpoint.

    Returns
    -------
    Result
        The decoded JSON value, or a one-line error message.
    """
    try:
        response = await asyncio.wait_for(_fetch(address, path), timeout_ms / MS_PER_S)
    except TimeoutError:
        return Failure(f'{address}: no answer within {timeout_ms:g} ms')
    except OSError as error:
        return Failure(f'{address}: {error}')
    head, _, body = response.partition(b'\r\n\r\n')
    words = head.split(b'\r\n', 1)[0].decode('latin-1').split(maxsplit=2)
    if len(words) < 2 or words[1] != str(HTTPStatus.OK.value):
        return Failure(f'{address}: answered {" ".join(words[1:]) or "nothing"}')
    try:
        decoded: Json = json.loads(body)
    except ValueError as error:
        return Failure(f'{address}: answer is not JSON: {error}')
    return Success(decoded)


async def _fetch(address: Endpoint, path: str) -> bytes:
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        return await _read_response(
            reader, writer, f'GET {path} HTTP/1.1\r\nHost: {address}'
        )
    finally:
        writer.close()


async def _read_response(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    head: str,
) -> bytes:
    writer.write(f'{head}\r\n\r\n'.encode())
    chunks: list[bytes] = []
    size = 0
    while chunk := await reader.read(MAX_HEAD_BYTES):
        chunks.append(chunk)
        size += len(chunk)
        if size > MAX_RESPONSE_BYTES:
            raise OSError(f'answer is longer than {MAX_RESPONSE_BYTES} bytes')
    return b''.join(chunks)


def _make_error(status: HTTPStatus) -> _Response:
    return _Response(status, {'error': status.phrase})


async def _write_response(writer: asyncio.StreamWriter, response: _Response) -> None:
    writer.write(
        f'HTTP/1.1 {response.status.value} {response.status.phrase}\r\n'
        f'Content-Type: application/json\r\n'
        f'Connection: close\r\n\r\n'.encode(),
    )
    if response.rows is None:
        writer.write(_encode(response.value))
    else:
        await _write_rows(writer, response.rows)
    await writer.drain()


async def _write_rows(writer: asyncio.StreamWriter, rows: Iterable[object]) -> None:
    # An instance may have 100,000 flows; encoding all of them at once would block
    # the event loop, and so every packet, for a second.
    writer.write(b'[')
    for index, row in enumerate(rows):
        writer.write((b',' if index else b'') + _encode(row))
        if index % ROWS_PER_TURN == 0:
            await writer.drain()
            await asyncio.sleep(0)
    writer.write(b']')


def _encode(value: object) -> bytes:
    return json.dumps(value, default=str).encode()
