"""Connection between an instance and an upstream."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass

from google.protobuf.message import DecodeError
from loguru import logger

from cardamomtiller.counter import Counters
from cardamomtiller.identity import MS_PER_S, Endpoint, ServiceClass
from cardamomtiller.settings_pb2 import LinkSettings
from cardamomtiller.wire_pb2 import Hello, UpstreamFrame

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 1 << 20
BODY_CHUNK_BYTES = 16 * 1024
# A small write buffer bounds the bulk data that is sent before an urgent frame.
WRITE_BUFFER_BYTES = 32 * 1024
MAX_BACKOFF_FACTOR = 16

_SEND_ORDER = (ServiceClass.URGENT, ServiceClass.NORMAL, ServiceClass.BULK)


class LinkError(Exception):
    """The upstream violated the link protocol."""


class LinkListener(ABC):
    """Receiver of the events of a link."""

    @abstractmethod
    def handle_up(self, hello: Hello) -> None:
        """Handle the hello, the first frame of a new connection."""

    @abstractmethod
    def handle_frame(self, frame: UpstreamFrame) -> None:
        """Handle a frame after the hello."""

    @abstractmethod
    def handle_down(self) -> None:
        """Handle the loss of a connection whose hello was received."""


class UpstreamLink(ABC):
    """A connection to one upstream that is re-established when it breaks."""

    @abstractmethod
    async def run(self) -> None:
        """Connect, and reconnect with backoff, until cancelled."""

    @abstractmethod
    def send(self, frame: UpstreamFrame, service_class: ServiceClass) -> bool:
        """Queue a frame; return False if the link is down."""

    @property
    @abstractmethod
    def is_up(self) -> bool:
        """Return whether the hello of the upstream has been received."""


@dataclass(frozen=True, slots=True)
class LinkOptions:
    """Timeouts of a link."""

    connect_timeout_ms: float
    reconnect_ms: float
    idle_timeout_ms: float

    @classmethod
    def from_settings(cls, settings: LinkSettings) -> 'LinkOptions':
        """Return the options from validated settings."""
        return cls(
            connect_timeout_ms=settings.connect_timeout_ms,
            reconnect_ms=settings.reconnect_ms,
            idle_timeout_ms=settings.idle_timeout_ms,
        )


class TcpLink(UpstreamLink):
    """Link over TCP: length-prefixed frames, sent in order of service class."""

    def __init__(
        self,
        address: Endpoint,
        listener: LinkListener,
        options: LinkOptions,
        counters: Counters,
    ) -> None:
        """Create the link; ``run`` connects it."""
        self._address = address
        self._listener = listener
        self._options = options
        self._counters = counters
        self._queues: dict[ServiceClass, deque[bytes]] = {}
        self._frame_queued = asyncio.Event()
        self._is_up = False
        self._clear_queues()

    @property
    def is_up(self) -> bool:
        """Return whether the hello of the upstream has been received."""
        return self._is_up

    def send(self, frame: UpstreamFrame, service_class: ServiceClass) -> bool:
        """Queue a frame; return False if the link is down."""
        if not self._is_up:
            return False
        body = frame.SerializeToString()
        self._queues[service_class].append(
            len(body).to_bytes(LENGTH_BYTES, 'big') + body,
        )
        self._frame_queued.set()
        return True

    async def run(self) -> None:
        """Connect, and reconnect with backoff, until cancelled."""
        backoff_factor = 1
        while True:
            was_up = await self._connect_once()
            backoff_factor = (
                1 if was_up else min(backoff_factor * 2, MAX_BACKOFF_FACTOR)
            )
            delay_ms = (
                self._options.reconnect_ms * backoff_factor * random.uniform(0.5, 1)
            )
            await asyncio.sleep(delay_ms / MS_PER_S)

    async def _connect_once(self) -> bool:
        connecting = asyncio.open_connection(*self._address.as_pair())
        timeout_s = self._options.connect_timeout_ms / MS_PER_S
        try:
            reader, writer = await asyncio.wait_for(connecting, timeout_s)
        except (OSError, TimeoutError):
            self._counters.add('link.connect_failed')
            return False
        try:
            return await self._run_connection(reader, writer)
        finally:
            writer.close()

    async def _run_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        writer.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._clear_queues()
        sender = asyncio.create_task(self._send_queued(writer))
        try:
            await self._receive(reader)
        except (OSError, TimeoutError, EOFError) as error:
            self._counters.add('link.broken')
            logger.info('link to {} is down: {!r}', self._address, error)
        except (DecodeError, LinkError) as error:
            self._counters.add('link.protocol_error')
            logger.warning('link to {}: protocol error: {}', self._address, error)
        finally:
            sender.cancel()
            was_up = self._mark_down()
        return was_up

    def _mark_down(self) -> bool:
        was_up = self._is_up
        self._is_up = False
        if was_up:
            self._listener.handle_down()
        return was_up

    async def _receive(self, reader: asyncio.StreamReader) -> None:
        async for frame in self._read_frames(reader):
            if self._is_up:
                self._listener.handle_frame(frame)
            elif frame.WhichOneof('body') == 'hello':
                self._is_up = True
                self._listener.handle_up(frame.hello)
            else:
                raise LinkError('first frame is not a hello')

    async def _read_frames(
        self,
        reader: asyncio.StreamReader,
    ) -> AsyncIterator[UpstreamFrame]:
        timeout_s = self._options.idle_timeout_ms / MS_PER_S
        while True:
            async with asyncio.timeout(timeout_s):
                header = await reader.readexactly(LENGTH_BYTES)
                length = int.from_bytes(header, 'big')
                if length > MAX_FRAME_BYTES:
                    raise LinkError(f'frame of {length} bytes is too large')
                body = await reader.readexactly(length)
            yield UpstreamFrame.FromString(body)

    async def _send_queued(self, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await self._frame_queued.wait()
                self._frame_queued.clear()
                while encoded := self._next_frame():
                    writer.write(encoded)
                    await writer.drain()
        except OSError:
            self._counters.add('link.send_failed')

    def _next_frame(self) -> bytes | None:
        for service_class in _SEND_ORDER:
            queue = self._queues[service_class]
            if queue:
                return queue.popleft()
        return None

    def _clear_queues(self) -> None:
        self._queues = {service_class: deque() for service_class in _SEND_ORDER}
