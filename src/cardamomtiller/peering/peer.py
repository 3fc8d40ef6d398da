"""Control channel between instances: gRPC server and one client task per peer."""

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
    MAX_EXCHANGE_BYTES,
    MAX_FETCH_BYTES,
    PeerServer,
    call_bounded,
    open_channel,
    read_request,
)
from cardamomtiller.peering.reader import DocumentIntake

TICK_MS = 50.0
IDLE_CLIENT_TIMEOUT_MS = 30_000.0
FETCH_TIMEOUT_MS = 3_000.0


@dataclass(frozen=True, slots=True)
class PeerOptions:
    """Listening address, cluster keys and timeout of an exchange."""

    address: Endpoint
    keys: tuple[bytes, ...]
    timeout_ms: float


class Peer(PeerBase):
    """Serve the exchanges of peers, and start those that membership schedules."""

    def __init__(
        self,
        options: PeerOptions,
        membership: Membership,
        handler: ExchangeHandler,
        intake: DocumentIntake,
        clock_ms: Callable[[], float],
        counters: Counters,
    ) -> None:
        """
        Set up the peer; no socket is opened yet.

        Parameters
        ----------
        options
            Listening address, cluster keys with the current one first, timeout.
        membership
            Schedules the exchanges and records their outcomes.
        handler
            Creates and processes the content of exchange messages.
        intake
            Stores the documents that are fetched from peers.
        clock_ms
            Monotonic time in milliseconds.
        counters
            Receives the counters ``peer.*``.
        """
        self._options = options
        self._membership = membership
        self._intake = intake
        self._clock_ms = clock_ms
        self._counters = counters
        self._exchanger = Exchanger(options.keys, membership, handler, intake, counters)
        self._server: PeerServer | None = None
        self._clients: dict[InstanceId, _Client] = {}
        self._fetch_guard = FetchGuard()
        self._announced_digest = b''
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """
        Start the server on the configured address.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        address = self._options.address
        self._server = PeerServer([self], config=H2_OPTIONS)
        await self._server.start(address.host, address.port)

    async def run(self) -> None:
        """Start the exchanges that are due, until the task is cancelled."""
        while True:
            now_ms = self._clock_ms()
            digest = self._intake.store.digest()
            if digest != self._announced_digest:
                self._announced_digest = digest
                self._membership.expedite_exchanges(now_ms)
            for target in self._membership.probe_targets(now_ms):
                client = self._get_client(target)
                if client is not None:
                    client.exchange_due.set()
            self._close_idle_clients(now_ms)
            await asyncio.sleep(TICK_MS / MS_PER_S)

    async def exchange_now(self, target: InstanceId) -> bool:
        """Run one exchange with an instance now; return whether it succeeded."""
        client = self._get_client(target)
        return client is not None and await self._exchange(target, client)

    async def fetch_from_seeds(self, seeds: Iterable[Endpoint]) -> None:
        """Fetch documents from all seed peers concurrently, and wait for all."""
        own_address = self._options.address
        calls = (
            self._fetch_from_seed(address)
            for address in seeds
            if address != own_address
        )
        await asyncio.gather(*calls)

    async def stop(self) -> None:
        """Cancel all tasks and close the server and all connections."""
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
        """Answer an exchange request (RPC ``Swap``)."""
        sealed = await read_request(stream, MAX_EXCHANGE_BYTES, self._counters)
        answer_result = self._exchanger.answer(sealed, self._clock_ms())
        if isinstance(answer_result, Failure):
            raise exceptions.GRPCError(
                Status.PERMISSION_DENIED, answer_result.failure()
            )
        answer = answer_result.unwrap()
        await stream.send_message(answer.sealed)
        sender = InstanceId(answer.request.sender)
        self._fetch_if_different(sender, answer.request.configuration_digest)

    async def Fetch(self, stream: Stream[Sealed, Sealed]) -> None:
        """Send the documents that the sender lacks (RPC ``Fetch``)."""
        sealed = await read_request(stream, MAX_EXCHANGE_BYTES, self._counters)
        answer_result = self._exchanger.answer_fetch(sealed, self._clock_ms())
        if isinstance(answer_result, Failure):
            raise exceptions.GRPCError(
                Status.PERMISSION_DENIED, answer_result.failure()
            )
        await stream.send_message(answer_result.unwrap())

    def _get_client(self, target: InstanceId) -> '_Client | None':
        member = self._membership.current_view().members.get(target)
        if member is None:
            return None
        address = member.row.peer_address
        client = self._clients.get(target)
        if client is not None and client.address == address:
            client.last_used_ms = self._clock_ms()
            return client
        if client is not None:
            self._close_client(target)
        client = _Client(address, open_channel(address), self._clock_ms())
        self._clients[target] = client
        client.task = self._start_task(self._run_exchanges(target, client))
        return client

    async def _run_exchanges(self, target: InstanceId, client: '_Client') -> None:
        while True:
            await client.exchange_due.wait()
            client.exchange_due.clear()
            await self._exchange(target, client)

    async def _exchange(self, target: InstanceId, client: '_Client') -> bool:
        request = self._exchanger.compose(target, self._clock_ms())
        sealed = await self._call(
            client.stub.Swap,
            request.sealed,
            self._options.timeout_ms,
            MAX_EXCHANGE_BYTES,
        )
        answer = self._exchanger.accept(request, sealed, self._clock_ms())
        if answer is None:
            # After a partition, TCP may retransmit only many seconds later, so a
            # new connection replaces the old one at once.
            client.reconnect()
            return False
        self._fetch_if_different(target, answer.configuration_digest)
        return True

    def _fetch_if_different(self, target: InstanceId, digest: bytes) -> None:
        digest_pair = (digest, self._intake.store.digest())
        if not self._fetch_guard.try_start(digest_pair, self._clock_ms()):
            return
        client = self._get_client(target)
        if client is None:
            self._fetch_guard.finish(digest_pair, is_answered=False)
            return
        self._start_task(self._fetch_from(client, digest_pair))

    async def _fetch_from(
        self, client: '_Client', digest_pair: tuple[bytes, bytes]
    ) -> None:
        is_answered = False
        try:
            is_answered = await self._fetch(client.stub)
        finally:
            self._fetch_guard.finish(digest_pair, is_answered=is_answered)

    async def _fetch_from_seed(self, address: Endpoint) -> None:
        channel = open_channel(address)
        try:
            await self._fetch(PeerStub(channel))
        finally:
            channel.close()

    async def _fetch(self, stub: PeerStub) -> bool:
        request, sealed = self._exchanger.compose_fetch()
        sealed_answer = await self._call(
            stub.Fetch, sealed, FETCH_TIMEOUT_MS, MAX_FETCH_BYTES
        )
        return self._exchanger.accept_fetch(request, sealed_answer, self._clock_ms())

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

    def _close_idle_clients(self, now_ms: float) -> None:
        members = self._membership.current_view().members
        idle = [
            name
            for name, client in self._clients.items()
            if now_ms - client.last_used_ms > IDLE_CLIENT_TIMEOUT_MS
            or name not in members
        ]
        for name in idle:
            self._close_client(name)

    def _close_client(self, target: InstanceId) -> None:
        client = self._clients.pop(target)
        if client.task is not None:
            client.task.cancel()
        client.channel.close()

    def _start_task(self, coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


@dataclass(slots=True)
class _Client:
    address: Endpoint
    channel: Channel
    last_used_ms: float
    exchange_due: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None
    stub: PeerStub = field(init=False)

    def __post_init__(self) -> None:
        self.stub = PeerStub(self.channel)

    def reconnect(self) -> None:
        self.channel.close()
        self.channel = open_channel(self.address)
        self.stub = PeerStub(self.channel)
