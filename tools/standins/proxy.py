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

from tools.standins.admin import AdminAnswer, AdminRequest

IDLE_S = 120
STREAM_PART_BYTES = 65536
PARTS_IN_FLIGHT = 64
SOCKET_BUFFER_BYTES = 4 << 20
CONNECT_TIMEOUT_S = 2
LOOPBACK = '127.0.0.1'

Address = tuple[str, int]
Choose = Callable[[], Address | None]
Label = Callable[[Address], str]


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


CLEAR = Rule()


class Rules:
    """Named rules; of several that match a path, the worst of each fault applies."""

    def __init__(self, seed: int) -> None:
        """Initialize without rules; ``seed`` makes the random faults repeatable."""
        self.random = random.Random(seed)
        self.counts: Counter[str] = Counter()
        self._rules: dict[str, Rule] = {}
        self._cache: dict[tuple[str, str], Rule] = {}
        self.changed = asyncio.Event()

    def set(self, name: str, rule: Rule) -> None:
        """Add or replace a rule."""
        self._rules[name] = rule
        self._change()

    def clear(self, name: str) -> None:
        """Remove a rule, or all rules if the name is empty."""
        if name:
            self._rules.pop(name, None)
        else:
            self._rules.clear()
        self._change()

    def of(self, source: str, target: str) -> Rule:
        """Return the combined faults of all rules that match a path."""
        pair = (source, target)
        if pair not in self._cache:
            self._cache[pair] = self._merge(source, target)
        return self._cache[pair]

    def _merge(self, source: str, target: str) -> Rule:
        found = [
            rule
            for rule in self._rules.values()
            if fnmatch(source, rule.source) and fnmatch(target, rule.target)
        ]
        if not found:
            return CLEAR
        merged = Rule(source, target)
        for row in fields(Rule)[2:]:
            setattr(merged, row.name, max(getattr(rule, row.name) for rule in found))
        return merged

    def _change(self) -> None:
        self._cache.clear()
        self.changed.set()
        self.changed = asyncio.Event()

    def pass_datagram(
        self, source: str, target: str, send: Callable[[], None], size: int
    ) -> None:
        """Call ``send`` at once, later, twice or not at all, as the rules require."""
        rule = self.of(source, target)
        self.counts['datagrams'] += 1
        self.counts['datagram_bytes'] += size
        if rule is CLEAR:
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

    def take_rule(self, request: AdminRequest) -> AdminAnswer:
        """Handle ``POST /rule?name=N&source=GLOB&target=GLOB&FAULT=VALUE``."""
        values = dict(request.query)
        name = values.pop('name')
        rule = Rule()
        known = {row.name for row in fields(Rule)}
        for key, text in values.items():
            if key not in known:
                raise ValueError(f'unknown parameter {key} of a rule')
            setattr(rule, key, type(getattr(rule, key))(text))
        self.set(name, rule)
        return AdminAnswer({'rules': sorted(self._rules)})

    def take_clear(self, request: AdminRequest) -> AdminAnswer:
        """Handle ``POST /clear?name=N``; without a name, remove all rules."""
        self.clear(request.query.get('name', ''))
        return AdminAnswer({'rules': sorted(self._rules)})

    def handlers(
        self,
    ) -> Mapping[tuple[str, str], Callable[[AdminRequest], AdminAnswer]]:
        """Return the handlers of the rule requests, for an admin server."""
        return {('POST', '/rule'): self.take_rule, ('POST', '/clear'): self.take_clear}


class FarSocket(asyncio.DatagramProtocol):
    """Socket that forwards the datagrams of one sender to the targets."""

    def __init__(self, proxy: 'DatagramProxy', sender: Address) -> None:
        """Store the address to which answers are returned."""
        self.proxy = proxy
        self.sender = sender
        self.used_s = time.monotonic()
        self.transport: asyncio.DatagramTransport | None = None
        self.waiting: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the datagrams that arrived before the socket was open."""
        self.transport = cast(asyncio.DatagramTransport, transport)
        widen(self.transport)
        for datagram in self.waiting:
            self.send(datagram)
        self.waiting.clear()

    def send(self, datagram: bytes) -> None:
        """Choose a target and send it a datagram, subject to the rules."""
        self.used_s = time.monotonic()
        if self.transport is None:
            self.waiting.append(datagram)
            return
        target = self.proxy.choose()
        if target is None:
            self.proxy.rules.counts['datagrams_without_target'] += 1
            return
        self.proxy.rules.pass_datagram(
            self.proxy.label_source(self.sender),
            self.proxy.label_target(target),
            lambda: self._send_now(datagram, target),
            len(datagram),
        )

    def _send_now(self, datagram: bytes, target: Address) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(datagram, target)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Return an answer to the sender, subject to the rules."""
        self.proxy.rules.pass_datagram(
            self.proxy.label_target(addr),
            self.proxy.label_source(self.sender),
            lambda: self.proxy.send_back(data, self.sender),
            len(data),
        )

    def error_received(self, exc: Exception) -> None:
        """Count a datagram that was refused because no socket listens at its target."""
        self.proxy.rules.counts['datagrams_refused'] += 1


class DatagramProxy(asyncio.DatagramProtocol):
    """Forward datagrams to the target that ``choose`` returns, and answers back."""

    def __init__(
        self, rules: Rules, choose: Choose, label_source: Label, label_target: Label
    ) -> None:
        """Store the rules and label functions; ``listen`` binds the address."""
        self.rules = rules
        self.choose = choose
        self.label_source = label_source
        self.label_target = label_target
        self.senders: dict[Address, FarSocket] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._opening: set[asyncio.Task[object]] = set()

    async def listen(self, address: Address) -> None:
        """Bind the address to which the senders send."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enlarge its buffers."""
        self._transport = cast(asyncio.DatagramTransport, transport)
        widen(self._transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Forward a datagram through the socket of its sender."""
        sender = self.senders.get(addr)
        if sender is None:
            sender = self._open(addr)
        sender.send(data)

    def _open(self, addr: Address) -> FarSocket:
        sender = FarSocket(self, addr)
        self.senders[addr] = sender
        loop = asyncio.get_running_loop()
        task: asyncio.Task[object] = loop.create_task(
            loop.create_datagram_endpoint(lambda: sender, local_addr=(LOOPBACK, 0)),
        )
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)
        return sender

    def send_back(self, data: bytes, sender: Address) -> None:
        """Send an answer from the address on which the proxy listens."""
        if self._transport is not None:
            self._transport.sendto(data, sender)

    def sweep(self) -> None:
        """Close the sockets of senders that have been idle for too long."""
        oldest_s = time.monotonic() - IDLE_S
        for address, sender in tuple(self.senders.items()):
            if sender.used_s < oldest_s and sender.transport is not None:
                sender.transport.close()
                del self.senders[address]


class StreamProxy:
    """Forward each stream to the first target that accepts a connection."""

    def __init__(
        self,
        rules: Rules,
        targets: Callable[[], list[Address]],
        label_source: Callable[[Address, Address], str],
        label_target: Label,
    ) -> None:
        """Store the rules and label functions; ``listen`` binds the address."""
        self.rules = rules
        self.targets = targets
        self.label_source = label_source
        self.label_target = label_target
        self.bytes_by_pair: Counter[tuple[str, str]] = Counter()

    async def listen(self, address: Address) -> None:
        """Accept streams at an address."""
        await asyncio.start_server(self._serve, *address)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source = self.label_source(
            writer.get_extra_info('sockname'), writer.get_extra_info('peername')
        )
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await self._connect(source, reader, writer)
        writer.close()

    async def _connect(
        self,
        source: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        for target in self.targets():
            label = self.label_target(target)
            await self._wait_uncut(source, label)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    far_reader, far_writer = await asyncio.open_connection(*target)
            except OSError:
                self.rules.counts['streams_refused'] += 1
                continue
            self.rules.counts['streams'] += 1
            await self._join(
                (source, label), (reader, writer), (far_reader, far_writer)
            )
            return
        self.rules.counts['streams_without_target'] += 1
        writer.transport.abort()

    async def _join(
        self,
        pair: tuple[str, str],
        near: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        far: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    ) -> None:
        pumps = asyncio.gather(
            self._pump(pair, near[0], far[1]),
            self._pump((pair[1], pair[0]), far[0], near[1]),
        )
        reset = asyncio.create_task(self._wait_reset(pair))
        try:
            await asyncio.wait((pumps, reset), return_when=asyncio.FIRST_COMPLETED)
            if reset.done():
                raise ConnectionResetError
            pumps.result()
        except OSError:
            for writer in (near[1], far[1]):
                writer.transport.abort()
        finally:
            pumps.cancel()
            reset.cancel()
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await pumps
            far[1].close()

    async def _pump(
        self,
        pair: tuple[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        parts: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(PARTS_IN_FLIGHT)
        sending = asyncio.create_task(self._send_parts(pair, parts, writer))
        try:
            while not sending.done():
                rule = self.rules.of(*pair)
                part = await reader.read(STREAM_PART_BYTES)
                delay_ms = rule.delay_ms + rule.jitter_ms * self.rules.random.random()
                self.bytes_by_pair[pair] += len(part)
                await parts.put((time.monotonic() + delay_ms / 1000, part))
                if not part:
                    break
                if rule.bytes_per_s:
                    await asyncio.sleep(len(part) / rule.bytes_per_s)
            await sending
        finally:
            sending.cancel()

    async def _send_parts(
        self,
        pair: tuple[str, str],
        parts: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            due_s, part = await parts.get()
            wait_s = due_s - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            await self._wait_uncut(*pair)
            if not part:
                writer.write_eof()
                return
            writer.write(part)
            await writer.drain()

    async def _wait_uncut(self, source: str, target: str) -> None:
        while self.rules.of(source, target).cut:
            await self.rules.changed.wait()

    async def _wait_reset(self, pair: tuple[str, str]) -> None:
        """Wait until a rule resets the stream."""
        while not self.rules.of(*pair).reset:
            await self.rules.changed.wait()
        self.rules.counts['streams_reset'] += 1


def widen(transport: asyncio.DatagramTransport) -> None:
    """Enlarge the buffers of a socket, so that no datagram of a burst is lost."""
    sock = transport.get_extra_info('socket')
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
