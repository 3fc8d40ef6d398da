"""UDP and TCP proxies that inject faults according to rules."""

import asyncio
import contextlib
import random
import socket
import time
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, fields
from fnmatch import fnmatch
from typing import cast

from tools.standins.admin import AdminRequest, AdminResponse

IDLE_TIMEOUT_S = 120
STREAM_CHUNK_BYTES = 65536
MAX_CHUNKS_IN_FLIGHT = 64
SOCKET_BUFFER_BYTES = 4 << 20
CONNECT_TIMEOUT_S = 2
LOOPBACK = '127.0.0.1'

Address = tuple[str, int]
ChooseTarget = Callable[[], Address | None]
FindLabel = Callable[[Address], str]


@dataclass(slots=True)
class Rule:
    """
    Faults of the paths whose labels match the patterns ``source`` and ``target``.

    ``loss``, ``duplicate`` and ``reorder`` are probabilities per datagram;
    ``reorder_ms`` is the extra delay of a reordered datagram. ``cut`` drops
    datagrams and stalls streams; new streams are accepted and stall. ``reset``
    aborts streams.
    """

    source: str = '*'
    target: str = '*'
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    reorder_ms: float = 20.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    bytes_per_s: float = 0.0
    cut: int = 0
    reset: int = 0


NO_FAULTS = Rule()


class Rules:
    """Named rules; of several that match a path, the worst of each fault applies."""

    def __init__(self, seed: int) -> None:
        """Initialise without rules; ``seed`` makes the random faults repeatable."""
        self.random = random.Random(seed)
        self.counts: Counter[str] = Counter()
        self._rules: dict[str, Rule] = {}
        self._cache: dict[tuple[str, str], Rule] = {}
        self.changed = asyncio.Event()

    def set(self, name: str, rule: Rule) -> None:
        """Add or replace a rule."""
        self._rules[name] = rule
        self._notify_change()

    def clear(self, name: str) -> None:
        """Remove a rule, or all rules if the name is empty."""
        if name:
            self._rules.pop(name, None)
        else:
            self._rules.clear()
        self._notify_change()

    def find_faults(self, source: str, target: str) -> Rule:
        """Return the combined faults of all rules that match a path."""
        path = (source, target)
        if path not in self._cache:
            self._cache[path] = self._merge(source, target)
        return self._cache[path]

    def _merge(self, source: str, target: str) -> Rule:
        matching_rules = [
            rule
            for rule in self._rules.values()
            if fnmatch(source, rule.source) and fnmatch(target, rule.target)
        ]
        if not matching_rules:
            return NO_FAULTS
        merged = Rule(source, target)
        for rule_field in fields(Rule)[2:]:
            setattr(
                merged,
                rule_field.name,
                max(getattr(rule, rule_field.name) for rule in matching_rules),
            )
        return merged

    def _notify_change(self) -> None:
        self._cache.clear()
        self.changed.set()
        self.changed = asyncio.Event()

    def pass_datagram(
        self, source: str, target: str, send: Callable[[], None], size: int
    ) -> None:
        """Send a datagram at once, later, twice or not at all, as the rules say."""
        rule = self.find_faults(source, target)
        self.counts['datagrams'] += 1
        self.counts['datagram_bytes'] += size
        if rule is NO_FAULTS:
            send()
            return
        if rule.cut or self.random.random() < rule.loss:
            self.counts['datagrams_dropped'] += 1
            return
        copies = 2 if self.random.random() < rule.duplicate else 1
        for _ in range(copies):
            delay_ms = rule.delay_ms + self.random.random() * rule.jitter_ms
            if self.random.random() < rule.reorder:
                delay_ms += rule.reorder_ms
            if delay_ms:
                asyncio.get_running_loop().call_later(delay_ms / 1000, send)
            else:
                send()

    def handle_rule(self, request: AdminRequest) -> AdminResponse:
        """Handle ``POST /rule?name=N&source=GLOB&target=GLOB&FAULT=VALUE``."""
        values = dict(request.query)
        name = values.pop('name')
        rule = Rule()
        parameters = {rule_field.name for rule_field in fields(Rule)}
        for key, text in values.items():
            if key not in parameters:
                raise ValueError(f'unknown parameter {key} of a rule')
            setattr(rule, key, type(getattr(rule, key))(text))
        self.set(name, rule)
        return AdminResponse({'rules': sorted(self._rules)})

    def handle_clear(self, request: AdminRequest) -> AdminResponse:
        """Handle ``POST /clear?name=N``; without a name, remove all rules."""
        self.clear(request.query.get('name', ''))
        return AdminResponse({'rules': sorted(self._rules)})

    def handlers(
        self,
    ) -> Mapping[tuple[str, str], Callable[[AdminRequest], AdminResponse]]:
        """Return the handlers of the rule requests, for an admin server."""
        return {
            ('POST', '/rule'): self.handle_rule,
            ('POST', '/clear'): self.handle_clear,
        }


class SenderSocket(asyncio.DatagramProtocol):
    """Socket that forwards the datagrams of one sender to the targets."""

    def __init__(self, proxy: 'DatagramProxy', sender: Address) -> None:
        """Store the address to which answers are returned."""
        self.proxy = proxy
        self.sender = sender
        self.last_used_s = time.monotonic()
        self.transport: asyncio.DatagramTransport | None = None
        self.unsent: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the datagrams that arrived before the socket was open."""
        self.transport = cast(asyncio.DatagramTransport, transport)
        enlarge_buffers(self.transport)
        for datagram in self.unsent:
            self.send(datagram)
        self.unsent.clear()

    def send(self, datagram: bytes) -> None:
        """Choose a target and send it a datagram, subject to the rules."""
        self.last_used_s = time.monotonic()
        if self.transport is None:
            self.unsent.append(datagram)
            return
        target = self.proxy.choose_target()
        if target is None:
            self.proxy.rules.counts['datagrams_without_target'] += 1
            return
        self.proxy.rules.pass_datagram(
            self.proxy.find_source_label(self.sender),
            self.proxy.find_target_label(target),
            lambda: self._send_now(datagram, target),
            len(datagram),
        )

    def _send_now(self, datagram: bytes, target: Address) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(datagram, target)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Return an answer to the sender, subject to the rules."""
        self.proxy.rules.pass_datagram(
            self.proxy.find_target_label(addr),
            self.proxy.find_source_label(self.sender),
            lambda: self.proxy.send_back(data, self.sender),
            len(data),
        )

    def error_received(self, exc: Exception) -> None:
        """Count a datagram that was refused because no socket listens at its target."""
        self.proxy.rules.counts['datagrams_refused'] += 1


class DatagramProxy(asyncio.DatagramProtocol):
    """Forward datagrams to the target from ``choose_target``, and answers back."""

    def __init__(
        self,
        rules: Rules,
        choose_target: ChooseTarget,
        find_source_label: FindLabel,
        find_target_label: FindLabel,
    ) -> None:
        """Store the rules and label functions; ``listen`` binds the address."""
        self.rules = rules
        self.choose_target = choose_target
        self.find_source_label = find_source_label
        self.find_target_label = find_target_label
        self.sockets: dict[Address, SenderSocket] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._opening_tasks: set[asyncio.Task[object]] = set()

    async def listen(self, address: Address) -> None:
        """Bind the address to which the senders send."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enlarge its buffers."""
        self._transport = cast(asyncio.DatagramTransport, transport)
        enlarge_buffers(self._transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Forward a datagram through the socket of its sender."""
        sender_socket = self.sockets.get(addr)
        if sender_socket is None:
            sender_socket = self._open_socket(addr)
        sender_socket.send(data)

    def _open_socket(self, addr: Address) -> SenderSocket:
        sender_socket = SenderSocket(self, addr)
        self.sockets[addr] = sender_socket
        loop = asyncio.get_running_loop()
        task: asyncio.Task[object] = loop.create_task(
            loop.create_datagram_endpoint(
                lambda: sender_socket, local_addr=(LOOPBACK, 0)
            ),
        )
        self._opening_tasks.add(task)
        task.add_done_callback(self._opening_tasks.discard)
        return sender_socket

    def send_back(self, data: bytes, sender: Address) -> None:
        """Send an answer from the address on which the proxy listens."""
        if self._transport is not None:
            self._transport.sendto(data, sender)

    def sweep(self) -> None:
        """Close the sockets of senders that have been idle for too long."""
        idle_since_s = time.monotonic() - IDLE_TIMEOUT_S
        for address, sender_socket in tuple(self.sockets.items()):
            if (
                sender_socket.last_used_s < idle_since_s
                and sender_socket.transport is not None
            ):
                sender_socket.transport.close()
                del self.sockets[address]


class StreamProxy:
    """Forward each stream to the first target that accepts a connection."""

    def __init__(
        self,
        rules: Rules,
        list_targets: Callable[[], list[Address]],
        find_source_label: Callable[[Address, Address], str],
        find_target_label: FindLabel,
    ) -> None:
        """Store the rules and label functions; ``listen`` binds the address."""
        self.rules = rules
        self.list_targets = list_targets
        self.find_source_label = find_source_label
        self.find_target_label = find_target_label
        self.bytes_by_path: Counter[tuple[str, str]] = Counter()

    async def listen(self, address: Address) -> None:
        """Accept streams at an address."""
        await asyncio.start_server(self._serve, *address)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source = self.find_source_label(
            writer.get_extra_info('sockname'), writer.get_extra_info('peername')
        )
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await self._forward(source, reader, writer)
        writer.close()

    async def _forward(
        self,
        source: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        for target in self.list_targets():
            label = self.find_target_label(target)
            await self._wait_while_cut(source, label)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    target_reader, target_writer = await asyncio.open_connection(
                        *target
                    )
            except OSError:
                self.rules.counts['streams_refused'] += 1
                continue
            self.rules.counts['streams'] += 1
            await self._relay(
                (source, label), (reader, writer), (target_reader, target_writer)
            )
            return
        self.rules.counts['streams_without_target'] += 1
        writer.transport.abort()

    async def _relay(
        self,
        path: tuple[str, str],
        source_stream: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        target_stream: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    ) -> None:
        directions = asyncio.gather(
            self._relay_direction(path, source_stream[0], target_stream[1]),
            self._relay_direction(
                (path[1], path[0]), target_stream[0], source_stream[1]
            ),
        )
        reset_task = asyncio.create_task(self._wait_reset(path))
        try:
            await asyncio.wait(
                (directions, reset_task), return_when=asyncio.FIRST_COMPLETED
            )
            if reset_task.done():
                raise ConnectionResetError
            directions.result()
        except OSError:
            for writer in (source_stream[1], target_stream[1]):
                writer.transport.abort()
        finally:
            directions.cancel()
            reset_task.cancel()
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await directions
            target_stream[1].close()

    async def _relay_direction(
        self,
        path: tuple[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_CHUNKS_IN_FLIGHT)
        send_task = asyncio.create_task(self._send_chunks(path, chunks, writer))
        try:
            while not send_task.done():
                rule = self.rules.find_faults(*path)
                chunk = await reader.read(STREAM_CHUNK_BYTES)
                delay_ms = rule.delay_ms + rule.jitter_ms * self.rules.random.random()
                self.bytes_by_path[path] += len(chunk)
                await chunks.put((time.monotonic() + delay_ms / 1000, chunk))
                if not chunk:
                    break
                if rule.bytes_per_s:
                    await asyncio.sleep(len(chunk) / rule.bytes_per_s)
            await send_task
        finally:
            send_task.cancel()

    async def _send_chunks(
        self,
        path: tuple[str, str],
        chunks: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            due_s, chunk = await chunks.get()
            wait_s = due_s - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            await self._wait_while_cut(*path)
            if not chunk:
                writer.write_eof()
                return
            writer.write(chunk)
            await writer.drain()

    async def _wait_while_cut(self, source: str, target: str) -> None:
        while self.rules.find_faults(source, target).cut:
            await self.rules.changed.wait()

    async def _wait_reset(self, path: tuple[str, str]) -> None:
        """Wait until a rule resets the stream."""
        while not self.rules.find_faults(*path).reset:
            await self.rules.changed.wait()
        self.rules.counts['streams_reset'] += 1


def enlarge_buffers(transport: asyncio.DatagramTransport) -> None:
    """Enlarge the buffers of a socket, so that no datagram of a burst is lost."""
    sock = transport.get_extra_info('socket')
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
