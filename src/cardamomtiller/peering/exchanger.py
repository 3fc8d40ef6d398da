"""Compose, check and answer control messages, without I/O."""

from dataclasses import dataclass

from google.protobuf.message import DecodeError
from returns.result import Failure, Result, Success

from cardamomtiller.counter import Counters
from cardamomtiller.identity import DocumentName, InstanceId, Version
from cardamomtiller.membership.membership import Membership
from cardamomtiller.membership.view import InstanceState
from cardamomtiller.peer_pb2 import (
    DocumentVersion,
    Exchange,
    FetchDocuments,
    FetchedDocuments,
    Sealed,
)
from cardamomtiller.peering.exchangeparts import ExchangeHandler
from cardamomtiller.peering.fetching import pack_documents, unpack_documents
from cardamomtiller.peering.gate import Gate
from cardamomtiller.peering.reader import DocumentIntake
from cardamomtiller.peering.sealing import (
    SCHEMA_VERSION,
    Context,
    MessageKind,
    Sealer,
    answer_context,
    fetch_context,
)


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
        parts: ExchangeHandler,
        intake: DocumentIntake,
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
        context = answer_context(request, self._membership.name)
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
        self.counters.record_timing_ms('peer.exchange', now_ms - request.sent_ms)
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
        return Success(self._sealer.seal(answer, fetch_context(request)))

    def accept_fetch(
        self,
        request: FetchDocuments,
        sealed: Sealed | None,
        now_ms: float,
    ) -> bool:
        """Offer fetched documents and return whether the answer was usable."""
        if sealed is None:
            return False
        if not self._sealer.is_authentic(sealed, fetch_context(request)):
            self.counters.add('peer.forged_answer')
            return False
        self.counters.add('peer.fetched')
        self._intake.offer(unpack_documents(sealed.payload, self.counters), now_ms)
        return True

    def _open_answer(self, request: Request, sealed: Sealed) -> Exchange | None:
        context = answer_context(request.exchange, request.target)
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
