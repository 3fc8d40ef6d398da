"""Message authentication codes of control messages, with the cluster keys."""

import hashlib
import hmac
import struct
from dataclasses import dataclass
from enum import Enum

from google.protobuf.message import Message

from cardamomtiller.peer_pb2 import Exchange, FetchDocuments, Sealed

SCHEMA_VERSION = 1
OLDEST_SCHEMA_VERSION = 1
MAC_BYTES = 16
CONTEXT_NUMBERS = struct.Struct('>BQQ')


class MessageKind(Enum):
    """Type of a sealed message; covered by its MAC."""

    EXCHANGE = 1
    EXCHANGE_ANSWER = 2
    FETCH = 3
    FETCH_ANSWER = 4


@dataclass(frozen=True, slots=True)
class MacContext:
    """
    Associated data that a MAC covers in addition to the payload.

    Both ends derive it themselves, so it is not sent. It binds a message to its
    receiver, to the receiver's incarnation and, for an answer, to the request.
    """

    kind: MessageKind
    receiver: str = ''
    receiver_incarnation: int = 0
    answered_nonce: int = 0
    sender: str = ''

    def encode(self) -> bytes:
        """Encode the context; the MAC covers it before the payload."""
        numbers = CONTEXT_NUMBERS.pack(
            self.kind.value, self.receiver_incarnation, self.answered_nonce
        )
        names = (self.receiver.encode(), self.sender.encode())
        return numbers + b''.join(
            bytes((min(len(name), 255),)) + name for name in names
        )


class Sealer:
    """Compute and verify the MAC of control messages with the cluster keys."""

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        """Store the keys; the first one seals messages, any of them verifies."""
        self._keys = keys

    def seal(self, message: Message, context: MacContext) -> Sealed:
        """Serialize a message and return it with its MAC."""
        payload = message.SerializeToString()
        mac = _mac(self._keys[0], context, payload)
        return Sealed(payload=payload, mac=mac)

    def is_authentic(self, sealed: Sealed, context: MacContext) -> bool:
        """Return whether the MAC is valid for the context under one of the keys."""
        return any(
            hmac.compare_digest(_mac(key, context, sealed.payload), sealed.mac)
            for key in self._keys
        )


def exchange_answer_context(request: Exchange, responder: str) -> MacContext:
    """Return the context of the answer to an exchange request."""
    return MacContext(
        MessageKind.EXCHANGE_ANSWER,
        receiver=request.sender,
        receiver_incarnation=request.incarnation,
        answered_nonce=request.nonce,
        sender=responder,
    )


def fetch_answer_context(request: FetchDocuments) -> MacContext:
    """Return the context of the answer to a fetch request."""
    return MacContext(
        MessageKind.FETCH_ANSWER,
        receiver=request.sender,
        answered_nonce=request.nonce,
    )


def _mac(key: bytes, context: MacContext, payload: bytes) -> bytes:
    digest = hashlib.blake2b(context.encode(), digest_size=MAC_BYTES, key=key)
    digest.update(payload)
    return digest.digest()
