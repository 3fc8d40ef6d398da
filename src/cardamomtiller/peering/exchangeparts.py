"""Composition of exchange messages from membership and pluggable parts."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable

from cardamomtiller.identity import Incarnation, InstanceId
from cardamomtiller.membership.membership import Membership
from cardamomtiller.peer_pb2 import Exchange
from cardamomtiller.peering.sealing import SCHEMA_VERSION


class ExchangePart(ABC):
    """Feature that adds its own fields to exchange messages, such as leases."""

    @abstractmethod
    def add_fields(self, message: Exchange, target: InstanceId, now_ms: float) -> None:
        """Set the fields for a target, in a request or in an answer."""

    @abstractmethod
    def read_fields(self, message: Exchange, now_ms: float) -> None:
        """Process the fields of a message; ``message.sender`` is authenticated."""


class ExchangeHandler(ABC):
    """
    Create and process the content of exchange messages.

    Nonces and authentication are added by ``Exchanger``.
    """

    @abstractmethod
    def compose(self, target: InstanceId, now_ms: float) -> Exchange:
        """Build a request."""

    @abstractmethod
    def handle(self, exchange: Exchange, now_ms: float) -> Exchange:
        """Process a request and build the answer."""

    @abstractmethod
    def accept(self, answer: Exchange, now_ms: float) -> None:
        """Process an answer."""


class ControlHandler(ExchangeHandler):
    """Exchange membership, the configuration digest and any further parts."""

    def __init__(
        self,
        membership: Membership,
        digest: Callable[[], bytes],
        parts: Iterable[ExchangePart] = (),
    ) -> None:
        """Set up the handler; ``parts`` are processed in the given order."""
        self._membership = membership
        self._digest = digest
        self._parts = tuple(parts)

    def compose(self, target: InstanceId, now_ms: float) -> Exchange:
        """Build a request."""
        return self._compose(target, now_ms)

    def handle(self, exchange: Exchange, now_ms: float) -> Exchange:
        """Process a request and build the answer."""
        sender = InstanceId(exchange.sender)
        self._membership.merge(sender, exchange.membership, now_ms)
        for part in self._parts:
            part.read_fields(exchange, now_ms)
        answer = self._compose(sender, now_ms)
        correction = self._membership.find_correction(
            sender, Incarnation(exchange.incarnation)
        )
        if correction is not None:
            answer.membership.rumors.insert(0, correction)
        return answer

    def accept(self, answer: Exchange, now_ms: float) -> None:
        """Process an answer."""
        sender = InstanceId(answer.sender)
        self._membership.merge(sender, answer.membership, now_ms)
        for part in self._parts:
            part.read_fields(answer, now_ms)

    def _compose(self, target: InstanceId, now_ms: float) -> Exchange:
        message = Exchange(
            schema_version=SCHEMA_VERSION,
            sender=self._membership.name,
            incarnation=self._membership.incarnation,
            configuration_digest=self._digest(),
            membership=self._membership.digest(target, now_ms),
        )
        for part in self._parts:
            part.add_fields(message, target, now_ms)
        return message
