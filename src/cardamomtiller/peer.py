"""Exchanges between instances: grpclib server and one client task per peer."""

import asyncio
import hashlib
import hmac
import struct
import zlib
from abc import ABC, abstractmethod
from collections.abc import Callable, Coroutine, Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import cast

from google.protobuf.message import DecodeError, Message
from grpclib import exceptions
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.config import Configuration
from grpclib.const import Status
from grpclib.protocol import H2Protocol
from grpclib.protocol import Stream as ProtocolStream
from grpclib.server import Server, Stream
from returns.result import Failure, Result, Success

from cardamomtiller.counter import Counters
from cardamomtiller.document import LARGEST_DOCUMENT_BYTES, Document
from cardamomtiller.identity import (
    MS_PER_S,
    DocumentName,
    Endpoint,
    Incarnation,
    InstanceId,
    Version,
)
from cardamomtiller.membership import InstanceState, Membership
from cardamomtiller.peer_grpc import PeerBase, PeerStub
from cardamomtiller.peer_pb2 import (
    DocumentVersion,
    Exchange,
    FetchDocuments,
    FetchedDocuments,
    PublishedDocument,
    Sealed,
)
from cardamomtiller.reader import Intake

SCHEMA_VERSION = 1
OLDEST_SCHEMA_VERSION = 1
MAC_BYTES = 16
LARGEST_EXCHANGE_BYTES = 65_536
LARGEST_FETCH_BYTES = 4_000_000
# Documents of one answer, so that it stays under LARGEST_FETCH_BYTES.
FETCH_ANSWER_BYTES = 2_500_000
# A peer needs a few exchanges a second; the rest is a fault or an attack.
EXCHANGES_PER_S = 40
FETCHES_PER_S = 10
TICK_MS = 50.0
IDLE_CLIENT_MS = 30_000.0
FETCH_TIMEOUT_MS = 3_000.0
# Time in which the body of a request must have arrived.
READ_TIMEOUT_MS = 2_000.0
# The same pair of digests is not fetched again before this time.
FETCH_AGAIN_MS = 10_000.0
NONCE_WINDOW_BITS = 64
FRAME_HEADER = struct.Struct('>?I')
CONTEXT = struct.Struct('>BQQ')
WINDOW_BYTES = 262_144
_H2_OPTIONS = Configuration(
    http2_connection_window_size=WINDOW_BYTES,
    http2_stream_window_size=WINDOW_BYTES,
)
_CALL_ERRORS = (
    OSError,
    exceptions.GRPCError,
    exceptions.StreamTerminatedError,
    exceptions.ProtocolError,
    EOFError,
)


class MessageKind(Enum):
    """Kind of a sealed message; part of what its MAC covers."""

    EXCHANGE = 1
    EXCHANGE_ANSWER = 2
    FETCH = 3
    FETCH_ANSWER = 4


@dataclass(frozen=True, slots=True)
class Context:
    """
    What a MAC covers besides the payload; it is known to both ends and not sent.

    It binds a message to its receiver, to the process of the receiver and, for
    an answer, to the request.
    """

    kind: MessageKind
    receiver: str = ''
    receiver_incarnation: int = 0
    answered_nonce: int = 0
    sender: str = ''

    def encode(self) -> bytes:
        """Return the bytes that the MAC covers first."""
        head = CONTEXT.pack(
            self.kind.value, self.receiver_incarnation, self.answered_nonce
        )
        names = (self.receiver.encode(), self.sender.encode())
        return head + b''.join(bytes((min(len(name), 255),)) + name for name in names)


class Sealer:
    """Seal and open control messages with the cluster keys."""

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        """Take the keys; the first one seals, all of them open."""
        self._keys = keys

    def seal(self, message: Message, context: Context) -> Sealed:
        """Return the envelope of a message."""
        payload = message.SerializeToString()
        mac = _mac(self._keys[0], context, payload)
        return Sealed(payload=payload, mac=mac)

    def is_authentic(self, sealed: Sealed, context: Context) -> bool:
        """Return whether one of the keys sealed this message for a context."""
        return any(
            hmac.compare_digest(_mac(key, context, sealed.payload), sealed.mac)
            for key in self._keys
        )


class ExchangePart(ABC):
    """A concern that adds fields to exchanges: leases, loads."""

    @abstractmethod
    def fill(self, message: Exchange, target: InstanceId, now_ms: float) -> None:
        """Add what a target shall hear, to a request or to an answer."""

    @abstractmethod
    def take(self, message: Exchange, now_ms: float) -> None:
        """Use a request or an answer; ``message.sender`` is authentic."""


class ExchangeParts(ABC):
    """What exchanges carry; the peer adds nonces and the seal."""

    @abstractmethod
    def compose(self, target: InstanceId, now_ms: float) -> Exchange:
        """Return a request."""

    @abstractmethod
    def handle(self, exchange: Exchange, now_ms: float) -> Exchange:
        """Use a request and return the answer."""

    @abstractmethod
    def accept(self, answer: Exchange, now_ms: float) -> None:
        """Use an answer."""


class ControlParts(ExchangeParts):
    """Membership and the configuration digest, and any further parts."""

    def __init__(
        self,
        membership: Membership,
        digest: Callable[[], bytes],
        parts: Iterable[ExchangePart] = (),
    ) -> None:
        """Combine the parts; they are filled in the order given."""
        self._membership = membership
        self._digest = digest
        self._parts = tuple(parts)

    def compose(self, target: InstanceId, now_ms: float) -> Exchange:
        """Return a request."""
        return self._compose(target, now_ms)

    def handle(self, exchange: Exchange, now_ms: float) -> Exchange:
        """Use a request and return the answer."""
        sender = InstanceId(exchange.sender)
        self._membership.merge(sender, exchange.membership, now_ms)
        for part in self._parts:
            part.take(exchange, now_ms)
        answer = self._compose(sender, now_ms)
        correction = self._membership.correct(sender, Incarnation(exchange.incarnation))
        if correction is not None:
            answer.membership.rumors.insert(0, correction)
        return answer

    def accept(self, answer: Exchange, now_ms: float) -> None:
        """Use an answer."""
        sender = InstanceId(answer.sender)
        self._membership.merge(sender, answer.membership, now_ms)
        for part in self._parts:
            part.take(answer, now_ms)

    def _compose(self, target: InstanceId, now_ms: float) -> Exchange:
        message = Exchange(
            schema_version=SCHEMA_VERSION,
            sender=self._membership.name,
            incarnation=self._membership.incarnation,
            configuration_digest=self._digest(),
            membership=self._membership.digest(target, now_ms),
        )
        for part in self._parts:
            part.fill(message, target, now_ms)
        return message


@dataclass(slots=True)
class _Received:
    """Nonces and rate of the requests of one sender."""

    incarnation: int = 0
    highest: int = 0
    window: int = 0
    second: int = 0
    in_second: int = 0

    def is_new(self, incarnation: int, nonce: int) -> bool:
        if incarnation != self.incarnation:
            self.incarnation = incarnation
            self.highest = nonce
            self.window = 1
            return True
        if nonce > self.highest:
            shift = min(nonce - self.highest, NONCE_WINDOW_BITS)
            self.window = (self.window << shift | 1) & ((1 << NONCE_WINDOW_BITS) - 1)
            self.highest = nonce
            return True
        bit = 1 << min(self.highest - nonce, NONCE_WINDOW_BITS)
        if bit >> NONCE_WINDOW_BITS or self.window & bit:
            return False
        self.window |= bit
        return True

    def is_within(self, limit: int, now_ms: float) -> bool:
        second = int(now_ms // MS_PER_S)
        if second != self.second:
            self.second = second
            self.in_second = 0
        self.in_second += 1
        return self.in_second <= limit


@dataclass(slots=True)
class Gate:
    """
    Decide whether a sealed request is taken, without I/O.

    Senders are remembered only after their MAC was verified, so their number is
    bounded by the holders of the cluster key.
    """

    sealer: Sealer
    membership: Membership
    counters: Counters
    received: dict[str, _Received] = field(default_factory=dict)
    fetched: dict[str, _Received] = field(default_factory=dict)

    def open_exchange(
        self,
        sealed: Sealed,
        now_ms: float,
    ) -> Result[Exchange, str]:
        """
        Check a request and return its exchange.

        A request that does not name this process may be a replay from before a
        restart, so only its rumours are kept, which are ordered by themselves.

        Returns
        -------
        Result
            The exchange, or the reason for its refusal.
        """
        is_bound = self._is_bound(sealed)
        if is_bound is None:
            return self._refuse('forged')
        try:
            exchange = Exchange.FromString(sealed.payload)
        except DecodeError:
            return self._refuse('malformed')
        if exchange.schema_version < OLDEST_SCHEMA_VERSION:
            self.counters.add('peer.old_schema')
            return Failure(
                f'schema version {exchange.schema_version} is not supported, '
                f'the oldest is {OLDEST_SCHEMA_VERSION}'
            )
        if not exchange.sender or exchange.sender == self.membership.name:
            return self._refuse('malformed')
        return self._admit(exchange, now_ms, is_bound=is_bound)

    def open_fetch(
        self,
        sealed: Sealed,
        now_ms: float,
    ) -> Result[FetchDocuments, str]:
        """Check a request for documents; see ``open_exchange``."""
        if not self.sealer.is_authentic(sealed, Context(MessageKind.FETCH)):
            return self._refuse('forged')
        try:
            request = FetchDocuments.FromString(sealed.payload)
        except DecodeError:
            return self._refuse('malformed')
        if request.schema_version < OLDEST_SCHEMA_VERSION:
            return self._refuse('old_schema')
        received = self.fetched.setdefault(request.sender, _Received())
        if not received.is_within(FETCHES_PER_S, now_ms):
            return self._refuse('too_many')
        return Success(request)

    def _is_bound(self, sealed: Sealed) -> bool | None:
        name = self.membership.name
        for incarnation in (*self.membership.own_incarnations, 0):
            context = Context(MessageKind.EXCHANGE, name, incarnation)
            if self.sealer.is_authentic(sealed, context):
                return incarnation > 0
        return None

    def _admit(
        self,
        exchange: Exchange,
        now_ms: float,
        *,
        is_bound: bool,
    ) -> Result[Exchange, str]:
        received = self.received.setdefault(exchange.sender, _Received())
        if not received.is_within(EXCHANGES_PER_S, now_ms):
            return self._refuse('too_many')
        if is_bound and exchange.incarnation >= received.incarnation:
            if not received.is_new(exchange.incarnation, exchange.nonce):
                return self._refuse('replayed')
            return Success(exchange)
        self.counters.add('peer.unbound')
        for name in ('lease_reports', 'lease_grants', 'loads'):
            exchange.ClearField(name)
        return Success(exchange)

    def _refuse(self, reason: str) -> Failure[str]:
        self.counters.add(f'peer.{reason}')
        return Failure(reason)


@dataclass(slots=True)
class FetchGuard:
    """
    Decide when documents are fetched from a peer whose digest differs.

    One fetch runs at a time. A pair of digests that was tried is not tried again
    for a while: the peer may be the older one, or hold what is refused here.
    """

    is_running: bool = False
    tried_ms: dict[tuple[bytes, bytes], float] = field(default_factory=dict)

    def begin(self, pair: tuple[bytes, bytes], now_ms: float) -> bool:
        """Return whether to fetch now; ``pair`` is the peer's and the own digest."""
        if pair[0] == pair[1] or self.is_running:
            return False
        self.tried_ms = {
            tried: at_ms
            for tried, at_ms in self.tried_ms.items()
            if now_ms - at_ms < FETCH_AGAIN_MS
        }
        if pair in self.tried_ms:
            return False
        self.tried_ms[pair] = now_ms
        self.is_running = True
        return True

    def end(self, pair: tuple[bytes, bytes], *, is_answered: bool) -> None:
        """Take note of the end of a fetch; without an answer it may be repeated."""
        self.is_running = False
        if not is_answered:
            self.tried_ms.pop(pair, None)


@dataclass(frozen=True, slots=True)
class Request:
    """A request that was composed, as it is sent."""

    target: InstanceId
    exchange: Exchange
    sealed: Sealed
    sent_ms: float


@dataclass(frozen=True, slots=True)
class Answer:
    """A request that was taken, and the answer as it is sent."""

    request: Exchange
    sealed: Sealed


class Exchanger:
    """Compose, check and answer control messages, without I/O."""

    def __init__(
        self,
        keys: tuple[bytes, ...],
        membership: Membership,
        parts: ExchangeParts,
        intake: Intake,
        counters: Counters,
    ) -> None:
        """Start with nonce zero; see ``Peer`` for the parameters."""
        self.counters = counters
        self._membership = membership
        self._parts = parts
        self._intake = intake
        self._sealer = Sealer(keys)
        self._gate = Gate(self._sealer, membership, counters)
        self._nonce = 0

    def compose(self, target: InstanceId, now_ms: float) -> Request:
        """Return a request to a published instance."""
        exchange = self._parts.compose(target, now_ms)
        exchange.nonce = self._next_nonce()
        member = self._membership.current_view().members.get(target)
        # The process of an instance that counts as dead may have been replaced.
        incarnation = 0
        if member is not None and member.state is not InstanceState.DEAD:
            incarnation = member.incarnation
        context = Context(MessageKind.EXCHANGE, target, incarnation)
        sealed = self._sealer.seal(exchange, context)
        return Request(target, exchange, sealed, now_ms)

    def answer(self, sealed: Sealed, now_ms: float) -> Result[Answer, str]:
        """Check and use a request; return the answer or the reason of refusal."""
        opened = self._gate.open_exchange(sealed, now_ms)
        if isinstance(opened, Failure):
            return opened
        request = opened.unwrap()
        answer = self._parts.handle(request, now_ms)
        # The context already binds the sender's name.
        answer.ClearField('sender')
        context = _answer_context(request, self._membership.name)
        self.counters.add('peer.answered')
        return Success(Answer(request, self._sealer.seal(answer, context)))

    def accept(
        self,
        request: Request,
        sealed: Sealed | None,
        now_ms: float,
    ) -> Exchange | None:
        """
        Check and use an answer, or take note that there is none.

        Returns
        -------
        Exchange or None
            The answer, or None if it is missing or does not answer the request.
        """
        answer = None if sealed is None else self._open_answer(request, sealed)
        if answer is None:
            self._membership.probe_failed(request.target, request.sent_ms, now_ms)
            return None
        self._parts.accept(answer, now_ms)
        self._membership.exchange_succeeded(request.target, request.sent_ms, now_ms)
        self.counters.add('peer.exchanged')
        self.counters.time_ms('peer.exchange', now_ms - request.sent_ms)
        return answer

    def compose_fetch(self) -> tuple[FetchDocuments, Sealed]:
        """Return a request for the documents that are newer than the own ones."""
        versions = self._intake.store.versions()
        request = FetchDocuments(
            schema_version=SCHEMA_VERSION,
            sender=self._membership.name,
            nonce=self._next_nonce(),
            held=[
                DocumentVersion(name=name, version=version)
                for name, version in sorted(versions.items())
            ],
        )
        return request, self._sealer.seal(request, Context(MessageKind.FETCH))

    def answer_fetch(self, sealed: Sealed, now_ms: float) -> Result[Sealed, str]:
        """Return the documents that a sender lacks, or the reason of refusal."""
        opened = self._gate.open_fetch(sealed, now_ms)
        if isinstance(opened, Failure):
            return opened
        request = opened.unwrap()
        held = {DocumentName(row.name): Version(row.version) for row in request.held}
        documents = pack_documents(self._intake.store.newer_than(held))
        answer = FetchedDocuments(documents=documents)
        self.counters.add('peer.fetch_answered')
        return Success(self._sealer.seal(answer, _fetch_context(request)))

    def accept_fetch(
        self,
        request: FetchDocuments,
        sealed: Sealed | None,
        now_ms: float,
    ) -> bool:
        """Offer fetched documents and return whether the answer was usable."""
        if sealed is None:
            return False
        if not self._sealer.is_authentic(sealed, _fetch_context(request)):
            self.counters.add('peer.forged_answer')
            return False
        self.counters.add('peer.fetched')
        self._intake.offer(unpack_documents(sealed.payload, self.counters), now_ms)
        return True

    def _open_answer(self, request: Request, sealed: Sealed) -> Exchange | None:
        context = _answer_context(request.exchange, request.target)
        if not self._sealer.is_authentic(sealed, context):
            self.counters.add('peer.forged_answer')
            return None
        try:
            answer = Exchange.FromString(sealed.payload)
        except DecodeError:
            self.counters.add('peer.malformed_answer')
            return None
        answer.sender = request.target
        return answer

    def _next_nonce(self) -> int:
        self._nonce += 1
        return self._nonce


def _answer_context(request: Exchange, answerer: str) -> Context:
    return Context(
        MessageKind.EXCHANGE_ANSWER,
        receiver=request.sender,
        receiver_incarnation=request.incarnation,
        answered_nonce=request.nonce,
        sender=answerer,
    )


def _fetch_context(request: FetchDocuments) -> Context:
    return Context(
        MessageKind.FETCH_ANSWER,
        receiver=request.sender,
        answered_nonce=request.nonce,
    )


@dataclass(frozen=True, slots=True)
class PeerOptions:
    """Address, keys and timeout of the peer."""

    address: Endpoint
    keys: tuple[bytes, ...]
    timeout_ms: float


class Peer(PeerBase):
    """Serve exchanges and hold them with the peers that membership names."""

    def __init__(
        self,
        options: PeerOptions,
        membership: Membership,
        parts: ExchangeParts,
        intake: Intake,
        clock_ms: Callable[[], float],
        counters: Counters,
    ) -> None:
        """
        Prepare; nothing is opened yet.

        Parameters
        ----------
        options
            Own address, cluster keys with the current one first, timeout.
        membership
            Names the targets and learns of failures.
        parts
            What exchanges carry.
        intake
            Receives the documents that peers pass on.
        clock_ms
            Monotonic time in milliseconds.
        counters
            Receives the counts ``peer.*``.
        """
        self._options = options
        self._membership = membership
        self._intake = intake
        self._clock_ms = clock_ms
        self._counters = counters
        self._exchanger = Exchanger(options.keys, membership, parts, intake, counters)
        self._server: _Server | None = None
        self._clients: dict[InstanceId, _Client] = {}
        self._fetches = FetchGuard()
        self._told_digest = b''
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """
        Listen on the own address.

        Raises
        ------
        OSError
            If the address is not free.
        """
        address = self._options.address
        self._server = _Server([self], config=_H2_OPTIONS)
        await self._server.start(address.host, address.port)

    async def run(self) -> None:
        """Hold exchanges until the task is cancelled."""
        while True:
            now_ms = self._clock_ms()
            digest = self._intake.store.digest()
            if digest != self._told_digest:
                self._told_digest = digest
                self._membership.hurry(now_ms)
            for target in self._membership.probe_targets(now_ms):
                client = self._client(target)
                if client is not None:
                    client.wake.set()
            self._drop_idle(now_ms)
            await asyncio.sleep(TICK_MS / MS_PER_S)

    async def send_now(self, target: InstanceId) -> bool:
        """Hold one exchange with an instance and return whether it answered."""
        client = self._client(target)
        return client is not None and await self._exchange(target, client)

    async def ask_seeds(self, seeds: Iterable[Endpoint]) -> None:
        """Fetch documents from all seed peers and wait for every answer."""
        own = self._options.address
        calls = (self._ask_seed(address) for address in seeds if address != own)
        await asyncio.gather(*calls)

    async def stop(self) -> None:
        """Close all connections."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for client in self._clients.values():
            client.channel.close()
        self._clients.clear()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
            self._server = None

    async def Swap(self, stream: Stream[Sealed, Sealed]) -> None:
        """Answer an exchange."""
        sealed = await _read_request(stream, LARGEST_EXCHANGE_BYTES, self._counters)
        answered = self._exchanger.answer(sealed, self._clock_ms())
        if isinstance(answered, Failure):
            raise exceptions.GRPCError(Status.PERMISSION_DENIED, answered.failure())
        answer = answered.unwrap()
        await stream.send_message(answer.sealed)
        sender = InstanceId(answer.request.sender)
        self._compare(sender, answer.request.configuration_digest)

    async def Fetch(self, stream: Stream[Sealed, Sealed]) -> None:
        """Answer with the documents that are newer than those of the sender."""
        sealed = await _read_request(stream, LARGEST_EXCHANGE_BYTES, self._counters)
        answered = self._exchanger.answer_fetch(sealed, self._clock_ms())
        if isinstance(answered, Failure):
            raise exceptions.GRPCError(Status.PERMISSION_DENIED, answered.failure())
        await stream.send_message(answered.unwrap())

    def _client(self, target: InstanceId) -> '_Client | None':
        member = self._membership.current_view().members.get(target)
        if member is None:
            return None
        address = member.row.peer_address
        client = self._clients.get(target)
        if client is not None and client.address == address:
            client.used_ms = self._clock_ms()
            return client
        if client is not None:
            self._drop(target)
        client = _Client(address, _open_channel(address), self._clock_ms())
        self._clients[target] = client
        client.task = self._spawn(self._converse(target, client))
        return client

    async def _converse(self, target: InstanceId, client: '_Client') -> None:
        while True:
            await client.wake.wait()
            client.wake.clear()
            await self._exchange(target, client)

    async def _exchange(self, target: InstanceId, client: '_Client') -> bool:
        request = self._exchanger.compose(target, self._clock_ms())
        sealed = await self._call(
            client.stub.Swap,
            request.sealed,
            self._options.timeout_ms,
            LARGEST_EXCHANGE_BYTES,
        )
        answer = self._exchanger.accept(request, sealed, self._clock_ms())
        if answer is None:
            # After a partition TCP would wait for its own retransmission, which
            # may be many seconds away; a new connection is made at once.
            client.reconnect()
            return False
        self._compare(target, answer.configuration_digest)
        return True

    def _compare(self, target: InstanceId, digest: bytes) -> None:
        pair = (digest, self._intake.store.digest())
        if not self._fetches.begin(pair, self._clock_ms()):
            return
        client = self._client(target)
        if client is None:
            self._fetches.end(pair, is_answered=False)
            return
        self._spawn(self._fetch_from(client, pair))

    async def _fetch_from(self, client: '_Client', pair: tuple[bytes, bytes]) -> None:
        is_answered = False
        try:
            is_answered = await self._fetch(client.stub)
        finally:
            self._fetches.end(pair, is_answered=is_answered)

    async def _ask_seed(self, address: Endpoint) -> None:
        channel = _open_channel(address)
        try:
            await self._fetch(PeerStub(channel))
        finally:
            channel.close()

    async def _fetch(self, stub: PeerStub) -> bool:
        request, sealed = self._exchanger.compose_fetch()
        answered = await self._call(
            stub.Fetch, sealed, FETCH_TIMEOUT_MS, LARGEST_FETCH_BYTES
        )
        return self._exchanger.accept_fetch(request, answered, self._clock_ms())

    async def _call(
        self,
        method: UnaryUnaryMethod[Sealed, Sealed],
        request: Sealed,
        timeout_ms: float,
        limit_bytes: int,
    ) -> Sealed | None:
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                return await _call_bounded(method, request, limit_bytes)
        except TimeoutError:
            self._counters.add('peer.timeout')
        except _CALL_ERRORS:
            self._counters.add('peer.failed')
        return None

    def _drop_idle(self, now_ms: float) -> None:
        members = self._membership.current_view().members
        idle = [
            name
            for name, client in self._clients.items()
            if now_ms - client.used_ms > IDLE_CLIENT_MS or name not in members
        ]
        for name in idle:
            self._drop(name)

    def _drop(self, target: InstanceId) -> None:
        client = self._clients.pop(target)
        if client.task is not None:
            client.task.cancel()
        client.channel.close()

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


class _GatheringTransport(asyncio.Transport):
    """
    Transport that sends what one step of the event loop writes as one segment.

    grpclib writes each frame by itself; a unary call would need five segments.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__()
        self._transport = transport
        self._held = bytearray()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if not self._held:
            asyncio.get_running_loop().call_soon(self._flush)
        self._held += data

    def close(self) -> None:
        self._flush()
        self._transport.close()

    def is_closing(self) -> bool:
        return self._transport.is_closing()

    def get_extra_info(self, name: str, default: object = None) -> object:
        return self._transport.get_extra_info(name, default)

    def _flush(self) -> None:
        if self._held:
            self._transport.write(bytes(self._held))
            self._held.clear()


class _Protocol(H2Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        gathering = _GatheringTransport(cast(asyncio.Transport, transport))
        super().connection_made(gathering)


class _Channel(Channel):
    def _protocol_factory(self) -> H2Protocol:
        made = super()._protocol_factory()
        return _Protocol(made.handler, made.config, made.h2_config)


class _Server(Server):
    """Server that bounds its connections and closes them when it is closed."""

    def _protocol_factory(self) -> H2Protocol:
        # grpclib leaves established connections open after ``close``, so a peer
        # would not learn that this instance has stopped.
        made = super()._protocol_factory()
        protocol = _Protocol(made.handler, made.config, made.h2_config)
        held = getattr(self, '_protocols', ())
        self._protocols = [row for row in held if not _is_closed(row)]
        self._protocols.append(protocol)
        return protocol

    def close(self) -> None:
        """Close the listening socket and all connections."""
        super().close()
        for protocol in getattr(self, '_protocols', ()):
            if getattr(protocol, 'connection', None) is not None:
                protocol.connection.close()


def _is_closed(protocol: H2Protocol) -> bool:
    # The connection is absent until asyncio reports that it is made.
    connection = getattr(protocol, 'connection', None)
    return connection is not None and connection.is_closing()


@dataclass(slots=True)
class _Client:
    address: Endpoint
    channel: Channel
    used_ms: float
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None
    stub: PeerStub = field(init=False)

    def __post_init__(self) -> None:
        self.stub = PeerStub(self.channel)

    def reconnect(self) -> None:
        self.channel.close()
        self.channel = _open_channel(self.address)
        self.stub = PeerStub(self.channel)


def pack_documents(documents: Iterable[Document]) -> Iterator[PublishedDocument]:
    """Compress documents, at most about ``FETCH_ANSWER_BYTES`` of them."""
    total_bytes = 0
    for document in documents:
        text = zlib.compress(document.text.encode())
        total_bytes += len(text)
        if total_bytes > FETCH_ANSWER_BYTES:
            return
        yield PublishedDocument(
            name=document.name,
            version=document.version,
            compressed_text=text,
        )


def unpack_documents(payload: bytes, counters: Counters) -> Iterator[Document]:
    """Expand the documents of an answer; one that is malformed is counted."""
    try:
        answer = FetchedDocuments.FromString(payload)
    except DecodeError:
        counters.add('peer.malformed_answer')
        return
    for row in answer.documents:
        text = _expand(row.compressed_text)
        if text is None:
            counters.add('peer.malformed_document')
            continue
        yield Document(DocumentName(row.name), Version(row.version), text)


def _expand(compressed: bytes) -> str | None:
    expander = zlib.decompressobj()
    try:
        text = expander.decompress(compressed, LARGEST_DOCUMENT_BYTES + 1)
    except zlib.error:
        return None
    if len(text) > LARGEST_DOCUMENT_BYTES or not expander.eof:
        return None
    return _decode(text)


def _decode(text: bytes) -> str | None:
    try:
        return text.decode()
    except UnicodeDecodeError:
        return None


def _mac(key: bytes, context: Context, payload: bytes) -> bytes:
    digest = hashlib.blake2b(context.encode(), digest_size=MAC_BYTES, key=key)
    digest.update(payload)
    return digest.digest()


def _open_channel(address: Endpoint) -> Channel:
    return _Channel(address.host, address.port, config=_H2_OPTIONS)


async def _read_request(
    stream: Stream[Sealed, Sealed],
    limit_bytes: int,
    counters: Counters,
) -> Sealed:
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


async def _call_bounded(
    method: UnaryUnaryMethod[Sealed, Sealed],
    request: Sealed,
    limit_bytes: int,
) -> Sealed:
    async with method.open() as stream:
        await stream.send_message(request, end=True)
        await stream.recv_initial_metadata()
        try:
            answer = await _read_bounded(stream._stream, limit_bytes)
        except (ValueError, DecodeError) as error:
            raise exceptions.ProtocolError(f'unusable answer: {error}') from error
        await stream.recv_trailing_metadata()
        return answer


async def _read_bounded(stream: ProtocolStream, limit_bytes: int) -> Sealed:
    # grpclib reads a message of any announced length into memory, so the
    # length is checked here first.
    header = await stream.recv_data(FRAME_HEADER.size)
    if len(header) < FRAME_HEADER.size:
        raise exceptions.ProtocolError('no message')
    is_compressed, length = FRAME_HEADER.unpack(header)
    if is_compressed or length > limit_bytes:
        raise ValueError(f'message of {length} bytes, at most {limit_bytes} allowed')
    return Sealed.FromString(await stream.recv_data(length))
