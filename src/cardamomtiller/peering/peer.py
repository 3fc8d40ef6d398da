"""Tasks that hold exchanges with the peers, and the server that answers them."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, field

from grpclib import exceptions
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Status
from grpclib.server import Stream
from returns.result import Failure

from cardamomtiller.counter import Counters
from cardamomtiller.identity import MS_PER_S, Endpoint, InstanceId
from cardamomtiller.membership.membership import Membership
from cardamomtiller.peer_grpc import PeerBase, PeerStub
from cardamomtiller.peer_pb2 import Sealed
from cardamomtiller.peering.exchangeparts import ExchangeHandler
from cardamomtiller.peering.exchanger import Exchanger
from cardamomtiller.peering.fetching import FetchGuard
from cardamomtiller.peering.peertransport import (
    CALL_ERRORS,
    H2_OPTIONS,
    LARGEST_EXCHANGE_BYTES,
    LARGEST_FETCH_BYTES,
    PeerServer,
    call_bounded,
    open_channel,
    read_request,
)
from cardamomtiller.peering.reader import DocumentIntake

TICK_MS = 50.0
IDLE_CLIENT_MS = 30_000.0
FETCH_TIMEOUT_MS = 3_000.0


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
        parts: ExchangeHandler,
        intake: DocumentIntake,
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
        self._server: PeerServer | None = None
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
        self._server = PeerServer([self], config=H2_OPTIONS)
        await self._server.start(address.host, address.port)

    async def run(self) -> None:
        """Hold exchanges until the task is cancelled."""
        while True:
            now_ms = self._clock_ms()
            digest = self._intake.store.digest()
            if digest != self._told_digest:
                self._told_digest = digest
                self._membership.expedite_exchanges(now_ms)
            for target in self._membership.probe_targets(now_ms):
                client = self._client(target)
                if client is not None:
                    client.wake.set()
            self._drop_idle(now_ms)
            await asyncio.sleep(TICK_MS / MS_PER_S)

    async def exchange_now(self, target: InstanceId) -> bool:
        """Hold one exchange with an instance and return whether it answered."""
        client = self._client(target)
        return client is not None and await self._exchange(target, client)

    async def fetch_from_seeds(self, seeds: Iterable[Endpoint]) -> None:
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
        sealed = await read_request(stream, LARGEST_EXCHANGE_BYTES, self._counters)
        answered = self._exchanger.answer(sealed, self._clock_ms())
        if isinstance(answered, Failure):
            raise exceptions.GRPCError(Status.PERMISSION_DENIED, answered.failure())
        answer = answered.unwrap()
        await stream.send_message(answer.sealed)
        sender = InstanceId(answer.request.sender)
        self._compare(sender, answer.request.configuration_digest)

    async def Fetch(self, stream: Stream[Sealed, Sealed]) -> None:
        """Answer with the documents that are newer than those of the sender."""
        sealed = await read_request(stream, LARGEST_EXCHANGE_BYTES, self._counters)
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
        client = _Client(address, open_channel(address), self._clock_ms())
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
        if not self._fetches.try_start(pair, self._clock_ms()):
            return
        client = self._client(target)
        if client is None:
            self._fetches.finish(pair, is_answered=False)
            return
        self._spawn(self._fetch_from(client, pair))

    async def _fetch_from(self, client: '_Client', pair: tuple[bytes, bytes]) -> None:
        is_answered = False
        try:
            is_answered = await self._fetch(client.stub)
        finally:
            self._fetches.finish(pair, is_answered=is_answered)

    async def _ask_seed(self, address: Endpoint) -> None:
        channel = open_channel(address)
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
                return await call_bounded(method, request, limit_bytes)
        except TimeoutError:
            self._counters.add('peer.timeout')
        except CALL_ERRORS:
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
        self.channel = open_channel(self.address)
        self.stub = PeerStub(self.channel)
