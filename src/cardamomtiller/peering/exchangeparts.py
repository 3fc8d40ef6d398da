"""Parts that exchanges between instances are composed of."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable

from cardamomtiller.identity import Incarnation, InstanceId
from cardamomtiller.membership.membership import Membership
from cardamomtiller.peer_pb2 import Exchange
from cardamomtiller.peering.sealing import SCHEMA_VERSION


class ExchangePart(ABC):
    """A concern that adds fields to exchanges: leases, loads."""

    @abstractmethod
    def add_fields(self, message: Exchange, target: InstanceId, now_ms: float) -> None:
        """Add what a target shall hear, to a request or to an answer."""

    @abstractmethod
    def read_fields(self, message: Exchange, now_ms: float) -> None:
        """Use a request or an answer; ``message.sender`` is authentic."""


class ExchangeHandler(ABC):
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


class ControlHandler(ExchangeHandler):
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
            part.read_fields(exchange, now_ms)
        answer = self._compose(sender, now_ms)
        correction = self._membership.find_correction(
            sender, Incarnation(exchange.incarnation)
        )
        if correction is not None:
            answer.membership.rumors.insert(0, correction)
        return answer

    def accept(self, answer: Exchange, now_ms: float) -> None:
        """Use an answer."""
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
