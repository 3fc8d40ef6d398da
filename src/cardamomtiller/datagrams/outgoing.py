"""State of a request in the caller library, from sending to completion."""

import asyncio
from dataclasses import dataclass, field
from enum import Enum

from cardamomtiller.datagrams.codec import ChunkSender, Reassembly
from cardamomtiller.identity import ServiceClass
from cardamomtiller.wire_pb2 import Answer as AnswerMessage
from cardamomtiller.wire_pb2 import AnswerStatus, Reason

FIRST_RESEND_MS = 100
MAX_RESEND_MS = 1000


class Status(Enum):
    """Final status of a request."""

    DONE = 'done'
    NOT_RUN = 'not run'
    UNKNOWN = 'outcome unknown'


@dataclass(frozen=True, slots=True)
class Answer:
    """
    Result of a request.

    ``retry_after_ms`` is 0 unless a refusal states when to retry.
    """

    status: Status
    payload: bytes = b''
    reason: str = ''
    retry_after_ms: float = 0


@dataclass(slots=True)
class OutgoingRequest:
    """Request with its cookie, its chunks and the answer received so far."""

    request_id: int
    service_class: ServiceClass
    is_idempotent: bool
    deadline_ms: float
    total_bytes: int
    sender: ChunkSender
    wake_event: asyncio.Event
    done: asyncio.Future[Answer]
    generation: int = 0
    cookie: bytes = b''
    # Lowest generation of the flow under which the request may be sent.
    min_generation: int = 1
    is_sent: bool = False
    is_home_lost: bool = False
    sent_ms: dict[int, float] = field(default_factory=dict)
    resend_ms: float = FIRST_RESEND_MS
    answer: Reassembly | None = None

    def finish(self, answer: Answer) -> None:
        """Complete the request; a second call has no effect."""
        if not self.done.done():
            self.done.set_result(answer)
        self.wake_event.set()

    def rebind(self, min_generation: int) -> None:
        """Reset the state, so that the request is sent again with another cookie."""
        self.generation = 0
        self.cookie = b''
        self.min_generation = min_generation
        self.sender = ChunkSender(self.sender.chunks)
        self.sent_ms.clear()
        self.answer = None
        self.wake_event.set()


def reason_text(reason: 'Reason.ValueType') -> str:
    """Return a reason as lower-case text."""
    return Reason.Name(reason).removeprefix('REASON_').lower().replace('_', ' ')


def answer_from_message(message: AnswerMessage, body: bytes) -> Answer:
    """Return the answer that a message and its reassembled body represent."""
    statuses = {
        AnswerStatus.ANSWER_STATUS_DONE: Status.DONE,
        AnswerStatus.ANSWER_STATUS_NOT_RUN: Status.NOT_RUN,
    }
    return Answer(
        status=statuses.get(message.status, Status.UNKNOWN),
        payload=body,
        reason=reason_text(message.reason) if message.reason else '',
        retry_after_ms=message.retry_after_ms,
    )
