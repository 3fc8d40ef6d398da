"""gRPC transport between instances, with bounded message sizes."""

import asyncio
import struct
from typing import cast

from google.protobuf.message import DecodeError
from grpclib import exceptions
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.config import Configuration
from grpclib.const import Status
from grpclib.protocol import H2Protocol
from grpclib.protocol import Stream as ProtocolStream
from grpclib.server import Server, Stream

from cardamomtiller.counter import Counters
from cardamomtiller.identity import MS_PER_S, Endpoint
from cardamomtiller.peer_pb2 import Sealed

MAX_EXCHANGE_BYTES = 65_536
MAX_FETCH_BYTES = 4_000_000
# Timeout for receiving the body of a request.
READ_TIMEOUT_MS = 2_000.0
FRAME_HEADER = struct.Struct('>?I')
WINDOW_BYTES = 262_144
H2_OPTIONS = Configuration(
    http2_connection_window_size=WINDOW_BYTES,
    http2_stream_window_size=WINDOW_BYTES,
)
CALL_ERRORS = (
    OSError,
    exceptions.GRPCError,
    exceptions.StreamTerminatedError,
    exceptions.ProtocolError,
    EOFError,
)


class _CoalescingTransport(asyncio.Transport):
    """
    Transport that coalesces the writes of one event loop iteration.

    grpclib writes every HTTP/2 frame separately, which would take five TCP
    segments for a unary call.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__()
        self._transport = transport
        self._buffer = bytearray()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if not self._buffer:
            asyncio.get_running_loop().call_soon(self._flush)
        self._buffer += data

    def close(self) -> None:
        self._flush()
        self._transport.close()

    def is_closing(self) -> bool:
        return self._transport.is_closing()

    def get_extra_info(self, name: str, default: object = None) -> object:
        return self._transport.get_extra_info(name, default)

    def _flush(self) -> None:
        if self._buffer:
            self._transport.write(bytes(self._buffer))
            self._buffer.clear()


class _CoalescingProtocol(H2Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        coalescing = _CoalescingTransport(cast(asyncio.Transport, transport))
        super().connection_made(coalescing)


class _CoalescingChannel(Channel):
    def _protocol_factory(self) -> H2Protocol:
        base_protocol = super()._protocol_factory()
        return _CoalescingProtocol(
            base_protocol.handler, base_protocol.config, base_protocol.h2_config
        )


class PeerServer(Server):
    """gRPC server that closes its established connections when it is closed."""

    def _protocol_factory(self) -> H2Protocol:
        # grpclib leaves established connections open after ``close``, and peers
        # would not detect that this instance has stopped.
        base_protocol = super()._protocol_factory()
        protocol = _CoalescingProtocol(
            base_protocol.handler, base_protocol.config, base_protocol.h2_config
        )
        protocols = getattr(self, '_protocols', ())
        self._protocols = [other for other in protocols if not _is_closed(other)]
        self._protocols.append(protocol)
        return protocol

    def close(self) -> None:
        """Close the listening socket and all established connections."""
        super().close()
        for protocol in getattr(self, '_protocols', ()):
            if getattr(protocol, 'connection', None) is not None:
                protocol.connection.close()


def open_channel(address: Endpoint) -> Channel:
    """Create a channel to a peer; it connects with the first call."""
    return _CoalescingChannel(address.host, address.port, config=H2_OPTIONS)


async def read_request(
    stream: Stream[Sealed, Sealed],
    limit_bytes: int,
    counters: Counters,
) -> Sealed:
    """
    Read the message of a request.

    Raises
    ------
    GRPCError
        If the message times out, exceeds the limit or is malformed.
    """
    try:
        async with asyncio.timeout(READ_TIMEOUT_MS / MS_PER_S):
            return await _read_bounded(stream._stream, limit_bytes)
    except TimeoutError as error:
        counters.add('peer.slow')
        raise exceptions.GRPCError(
            Status.DEADLINE_EXCEEDED, 'request is not complete'
        ) from error
    except ValueError as error:
        counters.add('peer.oversized')
        raise exceptions.GRPCError(Status.RESOURCE_EXHAUSTED, str(error)) from error
    except DecodeError as error:
        counters.add('peer.malformed')
        raise exceptions.GRPCError(Status.INVALID_ARGUMENT, 'malformed') from error


async def call_bounded(
    method: UnaryUnaryMethod[Sealed, Sealed],
    request: Sealed,
    limit_bytes: int,
) -> Sealed:
    """
    Send a request and return the answer.

    Raises
    ------
    OSError, EOFError, GRPCError, StreamTerminatedError, ProtocolError
        If the call fails or the answer is invalid; see ``CALL_ERRORS``.
    """
    async with method.open() as stream:
        await stream.send_message(request, end=True)
        await stream.recv_initial_metadata()
        try:
            answer = await _read_bounded(stream._stream, limit_bytes)
        except (ValueError, DecodeError) as error:
            raise exceptions.ProtocolError(f'invalid answer: {error}') from error
        await stream.recv_trailing_metadata()
        return answer


def _is_closed(protocol: H2Protocol) -> bool:
    # The attribute is set when asyncio calls ``connection_made``.
    connection = getattr(protocol, 'connection', None)
    return connection is not None and connection.is_closing()


async def _read_bounded(stream: ProtocolStream, limit_bytes: int) -> Sealed:
    # grpclib would read a message of any announced length into memory, so the
    # length is checked before the body is read.
    header = await stream.recv_data(FRAME_HEADER.size)
    if len(header) < FRAME_HEADER.size:
        raise exceptions.ProtocolError('response has no message')
    is_compressed, length = FRAME_HEADER.unpack(header)
    if is_compressed or length > limit_bytes:
        raise ValueError(f'message of {length} bytes, at most {limit_bytes} allowed')
    return Sealed.FromString(await stream.recv_data(length))
