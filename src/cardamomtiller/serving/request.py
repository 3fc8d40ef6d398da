"""State of a request at the instance that serves its flow."""

from dataclasses import dataclass
from enum import Enum

from cardamomtiller.accounts.admission import Permit
from cardamomtiller.datagrams import codec
from cardamomtiller.datagrams.codec import ChunkSender, Reassembly
from cardamomtiller.identity import CustomerId, RequestKey, ServiceClass
from cardamomtiller.queueing.work import Work
from cardamomtiller.wire_pb2 import (
    Answer,
    AnswerStatus,
    Reason,
    Request,
    RunAnswer,
)

MAX_ANSWER_CHUNKS = 4096


class RequestState(Enum):
    """Processing state of a request."""

    RECEIVING = 'receiving'
    QUEUED = 'queued'
    RUNNING = 'running'
    ANSWERED = 'answered'


@dataclass(frozen=True, slots=True)
class Completion:
    """Final status of a request and its answer."""

    status: AnswerStatus.ValueType
    reason: Reason.ValueType = Reason.REASON_UNSPECIFIED
    retry_after_ms: float = 0
    body: bytes = b''


@dataclass(slots=True)
class ServedRequest:
    """A request, from its first chunk until its answer is acknowledged."""

    key: RequestKey
    generation: int
    customer: CustomerId
    service_class: ServiceClass
    is_idempotent: bool
    begun_ms: float
    deadline_ms: float
    total_bytes: int
    body: Reassembly
    permit: Permit | None = None
    state: RequestState = RequestState.RECEIVING
    work: Work | None = None
    answer_body: Reassembly | None = None
    completion: Completion | None = None
    sender: ChunkSender | None = None
    run_started_ms: float = 0
    # Retries of the run; once the request is answered, resends of the answer.
    resends: int = 0
    # Set when the link broke during a run: the upstream may have executed it.
    is_run_lost: bool = False
    discard_ms: float = 0

    @classmethod
    def from_message(
        cls,
        key: RequestKey,
        generation: int,
        customer: CustomerId,
        message: Request,
        now_ms: float,
    ) -> 'ServedRequest':
        """Return a request in the receiving state, from any of its chunks."""
        return cls(
            key=key,
            generation=generation,
            customer=customer,
            service_class=ServiceClass(message.service_class),
            is_idempotent=message.is_idempotent,
            begun_ms=now_ms,
            deadline_ms=now_ms + message.timeout_ms,
            total_bytes=message.total_bytes,
            body=Reassembly(message.chunk_count),
        )

    def add_answer_chunk(self, message: RunAnswer) -> bool:
        """Add a chunk of the upstream's answer; return whether it is complete."""
        if self.answer_body is None:
            self.answer_body = Reassembly(message.chunk_count)
        self.answer_body.add(message.chunk_index, message.payload)
        return self.answer_body.is_complete

    def complete(self, completion: Completion, discard_ms: float) -> None:
        """Store the answer for sending; release the request body."""
        self.state = RequestState.ANSWERED
        self.completion = completion
        self.sender = ChunkSender(codec.split_chunks(completion.body))
        self.discard_ms = discard_ms
        self.answer_body = None
        self.work = None
        self.body = Reassembly(self.body.chunk_count, next_index=self.body.chunk_count)

    def answer_chunk(self, index: int) -> Answer:
        """
        Return the message that carries one chunk of the answer.

        Raises
        ------
        LookupError
            If the request has no answer yet.
        """
        if self.completion is None or self.sender is None:
            raise LookupError(f'request {self.key.request} has no answer')
        return Answer(
            request_id=self.key.request,
            status=self.completion.status,
            reason=self.completion.reason,
            retry_after_ms=int(self.completion.retry_after_ms),
            chunk_index=index,
            chunk_count=len(self.sender.chunks),
            payload=self.sender.chunks[index],
        )
