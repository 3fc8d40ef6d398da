"""Build, verify and answer control messages, without I/O."""

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
from cardamomtiller.peering.gate import RequestGate
from cardamomtiller.peering.reader import DocumentIntake
from cardamomtiller.peering.sealing import (
    SCHEMA_VERSION,
    MacContext,
    MessageKind,
    Sealer,
    exchange_answer_context,
    fetch_answer_context,
)


@dataclass(frozen=True, slots=True)
class ExchangeRequest:
    """Outgoing exchange request, with its sealed form."""

    target: InstanceId
    exchange: Exchange
    sealed: Sealed
    sent_ms: float


@dataclass(frozen=True, slots=True)
class ExchangeAnswer:
    """Accepted exchange request, with the sealed answer to it."""

    request: Exchange
    sealed: Sealed


class Exchanger:
    """
    Build, verify and answer control messages, without I/O.

    ``compose``, ``answer`` and ``accept`` are the three steps of an exchange; the
    methods ``*_fetch`` are those of a document fetch.
    """

    def __init__(
        self,
        keys: tuple[bytes, ...],
        membership: Membership,
        handler: ExchangeHandler,
        intake: DocumentIntake,
        counters: Counters,
    ) -> None:
        """Start with nonce zero; ``Peer`` describes the parameters."""
        self.counters = counters
        self._membership = membership
        self._handler = handler
        self._intake = intake
        self._sealer = Sealer(keys)
        self._gate = RequestGate(self._sealer, membership, counters)
        self._nonce = 0

    def compose(self, target: InstanceId, now_ms: float) -> ExchangeRequest:
        """Build and seal an exchange request to a published instance."""
        exchange = self._handler.compose(target, now_ms)
        exchange.nonce = self._next_nonce()
        member = self._membership.current_view().members.get(target)
        # A dead instance may have been restarted with an incarnation that is not
        # yet in the local table, so the request is not bound to an incarnation.
        incarnation = 0
        if member is not None and member.state is not InstanceState.DEAD:
            incarnation = member.incarnation
        context = MacContext(MessageKind.EXCHANGE, target, incarnation)
        sealed = self._sealer.seal(exchange, context)
        return ExchangeRequest(target, exchange, sealed, now_ms)

    def answer(self, sealed: Sealed, now_ms: float) -> Result[ExchangeAnswer, str]:
        """Verify and process a request; return the answer or a refusal reason."""
        verified = self._gate.open_exchange(sealed, now_ms)
        if isinstance(verified, Failure):
            return verified
        request = verified.unwrap()
        answer = self._handler.handle(request, now_ms)
        # The MAC context already contains the sender's name.
        answer.ClearField('sender')
        context = exchange_answer_context(request, self._membership.name)
        self.counters.add('peer.answered')
        return Success(ExchangeAnswer(request, self._sealer.seal(answer, context)))

    def accept(
        self,
        request: ExchangeRequest,
        sealed: Sealed | None,
        now_ms: float,
    ) -> Exchange | None:
        """
        Verify and process an answer; a missing or invalid one is a failed probe.

        Returns
        -------
        Exchange or None
            The answer, or None if it is missing or does not answer the request.
        """
        answer = None if sealed is None else self._open_answer(request, sealed)
        if answer is None:
            self._membership.probe_failed(request.target, request.sent_ms, now_ms)
            return None
        self._handler.accept(answer, now_ms)
        self._membership.exchange_succeeded(request.target, request.sent_ms, now_ms)
        self.counters.add('peer.exchanged')
        self.counters.record_timing_ms('peer.exchange', now_ms - request.sent_ms)
        return answer

    def compose_fetch(self) -> tuple[FetchDocuments, Sealed]:
        """Build a request for the documents that are newer than the stored ones."""
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
        return request, self._sealer.seal(request, MacContext(MessageKind.FETCH))

    def answer_fetch(self, sealed: Sealed, now_ms: float) -> Result[Sealed, str]:
        """Return the documents that the sender lacks, or a refusal reason."""
        verified = self._gate.open_fetch(sealed, now_ms)
        if isinstance(verified, Failure):
            return verified
        request = verified.unwrap()
        held_versions = {
            DocumentName(held.name): Version(held.version) for held in request.held
        }
        documents = pack_documents(self._intake.store.newer_documents(held_versions))
        answer = FetchedDocuments(documents=documents)
        self.counters.add('peer.fetch_answered')
        return Success(self._sealer.seal(answer, fetch_answer_context(request)))

    def accept_fetch(
        self,
        request: FetchDocuments,
        sealed: Sealed | None,
        now_ms: float,
    ) -> bool:
        """Verify and store fetched documents; return whether the answer was valid."""
        if sealed is None:
            return False
        if not self._sealer.is_authentic(sealed, fetch_answer_context(request)):
            self.counters.add('peer.forged_answer')
            return False
        self.counters.add('peer.fetched')
        self._intake.offer(unpack_documents(sealed.payload, self.counters), now_ms)
        return True

    def _open_answer(self, request: ExchangeRequest, sealed: Sealed) -> Exchange | None:
        context = exchange_answer_context(request.exchange, request.target)
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
