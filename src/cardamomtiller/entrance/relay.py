"""Plain TCP entrance: relay each connection to an upstream of its service."""

import asyncio
import socket
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from enum import Enum

from loguru import logger

from cardamomtiller.counter import Counters
from cardamomtiller.entrance.streamchoice import (
    StreamChooser,
    StreamLimit,
)
from cardamomtiller.entrance.streamsocket import (
    configure,
    new_socket,
    open_listener,
    reset,
)
from cardamomtiller.finding import Finding, Findings, Place
from cardamomtiller.identity import (
    MS_PER_S,
    CustomerId,
    Endpoint,
    OperatorState,
    ServiceName,
    UpstreamId,
)
from cardamomtiller.lists import ini
from cardamomtiller.lists.catalog import Catalog
from cardamomtiller.lists.document import UpstreamRow
from cardamomtiller.settings_pb2 import Settings

# A caller gives up after a few seconds, so more attempts would be useless.
CONNECT_ATTEMPTS = 4
# Pause after a failed accept: without it, the loop would spin while the process is
# out of file descriptors.
ACCEPT_PAUSE_MS = 100
BIND_RETRY_MS = 500


@dataclass(frozen=True, slots=True)
class RelayOptions:
    """Timeouts and buffer size of the plain TCP entrance."""

    connect_timeout_ms: float
    idle_timeout_ms: float
    buffer_bytes: int


@dataclass(frozen=True, slots=True)
class RelayStop:
    """Number of connections that finished or were cut in a graceful stop."""

    finished: int
    cut: int


class _Side(Enum):
    CALLER = 'caller'
    UPSTREAM = 'upstream'


class _SideResetError(Exception):
    """A peer of a relayed connection has reset it or cannot be written to."""

    def __init__(self, side: _Side) -> None:
        super().__init__(side.value)
        self.side = side


class Relay:
    """
    Accept plain TCP connections and relay each to an upstream of its service.

    Each connection has its own task. A connection that cannot be completed is
    reset at both ends, because after an orderly close a truncated answer would
    look complete.
    """

    def __init__(
        self,
        options: RelayOptions,
        catalog: Callable[[], Catalog],
        chooser: StreamChooser,
        limit: StreamLimit,
        counters: Counters,
    ) -> None:
        """Create the relay; ``listen`` opens the listeners."""
        self._options = options
        self._catalog = catalog
        self._chooser = chooser
        self._limit = limit
        self._counters = counters
        self._listeners: dict[tuple[ServiceName, Endpoint], asyncio.Task[None]] = {}
        self._connections: set[asyncio.Task[None]] = set()
        self._wanted: frozenset[tuple[ServiceName, Endpoint]] = frozenset()
        self._listen_lock = asyncio.Lock()
        self._is_stopping = False
        self._retry_task: asyncio.Task[None] | None = None
        self._open_count = 0

    @property
    def open_connections(self) -> int:
        """Return the number of open caller connections."""
        return len(self._connections)

    async def listen(
        self,
        addresses: Iterable[tuple[ServiceName, Endpoint]],
    ) -> tuple[Finding, ...]:
        """
        Replace the set of listen addresses; open connections are not affected.

        An address that cannot be bound is retried until it is bound or no longer
        in the set.

        Returns
        -------
        tuple
            A finding for each address that could not be bound.
        """
        self._wanted = frozenset() if self._is_stopping else frozenset(addresses)
        findings = await self._update_listeners()
        if findings and self._retry_task is None:
            self._retry_task = asyncio.create_task(self._retry_listen())
        return findings

    async def _retry_listen(self) -> None:
        # The previous process of this instance may still be bound to the address.
        findings: tuple[Finding, ...] | None = None
        while findings is None or findings:
            await asyncio.sleep(BIND_RETRY_MS / MS_PER_S)
            findings = await self._update_listeners()
        self._retry_task = None

    async def _update_listeners(self) -> tuple[Finding, ...]:
        # The lock keeps concurrent calls from leaving listeners of an older set open.
        async with self._listen_lock:
            await self._close_listeners(set(self._listeners) - self._wanted)
            return self._open_listeners()

    def _open_listeners(self) -> tuple[Finding, ...]:
        findings = Findings()
        for service, address in sorted(self._wanted - set(self._listeners)):
            try:
                listener = open_listener(address)
            except OSError as error:
                self._counters.add('relay.bind_failed')
                findings.add(Place('stream address', service, str(address)), str(error))
                continue
            task = asyncio.create_task(self._accept(service, listener))
            self._listeners[(service, address)] = task
        return findings.as_tuple()

    async def stop(self, timeout_ms: float) -> RelayStop:
        """
        Stop accepting, wait for open connections, and reset the remaining ones.

        Parameters
        ----------
        timeout_ms
            Longest wait for open connections.

        Returns
        -------
        RelayStop
            Number of connections that finished and number that were reset.
        """
        self._is_stopping = True
        await self.listen(())
        connections = frozenset(self._connections)
        if not connections:
            return RelayStop(finished=0, cut=0)
        done, pending = await asyncio.wait(connections, timeout=timeout_ms / MS_PER_S)
        for task in pending:
            task.cancel()
        if pending:
            await asyncio.wait(pending)
            self._counters.add('relay.cut_at_stop', len(pending))
        result = RelayStop(finished=len(done), cut=len(pending))
        logger.info('plain TCP: {} finished, {} cut', result.finished, result.cut)
        return result

    async def _close_listeners(
        self,
        keys: Iterable[tuple[ServiceName, Endpoint]],
    ) -> None:
        tasks = [self._listeners.pop(key) for key in keys]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _accept(self, service: ServiceName, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with listener:
            while True:
                try:
                    caller, _ = await loop.sock_accept(listener)
                except OSError as error:
                    self._counters.add('relay.accept_failed')
                    logger.warning('accept for {} failed: {}', service, error)
                    await asyncio.sleep(ACCEPT_PAUSE_MS / MS_PER_S)
                    continue
                self._counters.add('relay.accepted')
                task = loop.create_task(self._serve_caller(service, caller))
                self._connections.add(task)
                task.add_done_callback(self._handle_task_done)

    def _handle_task_done(self, task: asyncio.Task[None]) -> None:
        self._connections.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._counters.add('relay.failed')
            logger.opt(exception=error).error('relayed connection failed')

    async def _serve_caller(self, service: ServiceName, caller: socket.socket) -> None:
        customer = self._admit(service)
        if customer is None:
            reset(caller)
            return
        try:
            await self._relay_connection(service, caller)
        except asyncio.CancelledError:
            reset(caller)
            raise
        finally:
            caller.close()
            self._limit.release(customer, _now_ms())

    def _admit(self, service: ServiceName) -> CustomerId | None:
        row = self._catalog().services.get(service)
        customer = row.stream_customer if row else None
        if customer is None:
            self._counters.add('relay.refused_no_customer')
            return None
        if not self._limit.admit(customer, _now_ms()):
            self._counters.add('relay.refused_limit')
            return None
        return customer

    async def _relay_connection(
        self, service: ServiceName, caller: socket.socket
    ) -> None:
        configure(caller)
        connected = await self._connect(service)
        if connected is None:
            reset(caller)
            return
        row, upstream = connected
        self._count_open(row.name, 1)
        try:
            await self._transfer(caller, upstream)
        except asyncio.CancelledError:
            reset(upstream)
            raise
        finally:
            upstream.close()
            self._count_open(row.name, -1)

    async def _connect(
        self,
        service: ServiceName,
    ) -> tuple[UpstreamRow, socket.socket] | None:
        exclude: frozenset[UpstreamId] = frozenset()
        for _ in range(CONNECT_ATTEMPTS):
            row = self._chooser.choose(service, exclude, _now_ms())
            if row is None:
                break
            exclude |= {row.name}
            if not self._may_serve(service, row):
                self._counters.add('relay.rejected_choice')
                continue
            upstream = await self._connect_to(row)
            if upstream is None:
                self._chooser.connect_failed(row.name, _now_ms())
            elif self._may_serve(service, row):
                return row, upstream
            else:
                # The published lists changed while connecting.
                self._counters.add('relay.rejected_choice')
                upstream.close()
        self._counters.add('relay.no_upstream')
        return None

    def _may_serve(self, service: ServiceName, row: UpstreamRow) -> bool:
        published = self._catalog().upstreams.get(row.name)
        if published is None or published.stream_address is None:
            return False
        return (
            published.service == service
            and published.stream_address == row.stream_address
            and published.state is not OperatorState.LEAVING
        )

    async def _connect_to(self, row: UpstreamRow) -> socket.socket | None:
        address = row.stream_address
        if address is None:
            return None
        upstream = new_socket(address)
        try:
            await self._connect_socket(upstream, address)
        except TimeoutError:
            self._counters.add('relay.connect_timeout')
        except OSError:
            self._counters.add('relay.connect_failed')
        except asyncio.CancelledError:
            upstream.close()
            raise
        else:
            configure(upstream)
            self._counters.add('relay.opened')
            return upstream
        upstream.close()
        return None

    async def _connect_socket(self, upstream: socket.socket, address: Endpoint) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(self._options.connect_timeout_ms / MS_PER_S):
            await loop.sock_connect(upstream, address.as_pair())

    async def _transfer(self, caller: socket.socket, upstream: socket.socket) -> None:
        idle_s = self._options.idle_timeout_ms / MS_PER_S
        to_upstream = _Direction(caller, upstream, _Side.CALLER, _Side.UPSTREAM)
        to_caller = _Direction(upstream, caller, _Side.UPSTREAM, _Side.CALLER)
        try:
            async with asyncio.timeout(idle_s) as idle:
                await _run_both(
                    self._pump(to_upstream, idle, idle_s),
                    self._pump(to_caller, idle, idle_s),
                )
        except TimeoutError:
            self._counters.add('relay.idle_closed')
        except _SideResetError as error:
            self._counters.add(f'relay.reset_by_{error.side.value}')
        else:
            self._counters.add('relay.finished')
            return
        reset(caller)
        reset(upstream)

    async def _pump(
        self,
        direction: '_Direction',
        idle: asyncio.Timeout,
        idle_s: float,
    ) -> None:
        loop = asyncio.get_running_loop()
        counter = f'relay.bytes_from_{direction.source_side.value}'
        while chunk := await self._receive(direction):
            idle.reschedule(loop.time() + idle_s)
            # The next chunk is read only after this one is sent, so that TCP flow
            # control slows down the sender for a slow reader.
            try:
                await loop.sock_sendall(direction.target, chunk)
            except OSError as error:
                raise _SideResetError(direction.target_side) from error
            idle.reschedule(loop.time() + idle_s)
            self._counters.add(counter, len(chunk))
        try:
            direction.target.shutdown(socket.SHUT_WR)
        except OSError as error:
            raise _SideResetError(direction.target_side) from error

    async def _receive(self, direction: '_Direction') -> bytes:
        loop = asyncio.get_running_loop()
        try:
            return await loop.sock_recv(direction.source, self._options.buffer_bytes)
        except OSError as error:
            raise _SideResetError(direction.source_side) from error

    def _count_open(self, upstream: UpstreamId, change: int) -> None:
        self._open_count += change
        self._counters.set_gauge('relay.open', self._open_count)
        if change > 0:
            self._chooser.opened(upstream)
        else:
            self._chooser.closed(upstream)


@dataclass(frozen=True, slots=True)
class _Direction:
    source: socket.socket
    target: socket.socket
    source_side: _Side
    target_side: _Side


async def _run_both(*directions: Coroutine[None, None, None]) -> None:
    tasks = [asyncio.create_task(direction) for direction in directions]
    try:
        await _wait_first_error(tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _wait_first_error(tasks: Iterable[asyncio.Task[None]]) -> None:
    done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_EXCEPTION)
    for task in done:
        task.result()


def relay_options(settings: Settings) -> RelayOptions:
    """Return the options from validated settings."""
    return RelayOptions(
        connect_timeout_ms=settings.relay.connect_timeout_ms,
        idle_timeout_ms=settings.relay.idle_timeout_ms,
        buffer_bytes=settings.relay.buffer_bytes,
    )


def stream_addresses(
    settings: Settings,
    catalog: Catalog,
) -> tuple[tuple[ServiceName, Endpoint], ...]:
    """Return the listen addresses from the settings or else the service list."""
    named = ini.parse_named_endpoints(settings.entrance.stream_addresses)
    if named:
        return tuple((ServiceName(name), address) for name, address in named)
    return tuple(
        (row.name, address)
        for row in catalog.services.values()
        for address in row.stream_addresses
    )


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * MS_PER_S
