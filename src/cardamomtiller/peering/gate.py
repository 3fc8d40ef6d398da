"""Verification of incoming control requests: MAC, nonce, rate and schema version."""

from dataclasses import dataclass, field

from google.protobuf.message import DecodeError
from returns.result import Failure, Result, Success

from cardamomtiller.counter import Counters
from cardamomtiller.identity import MS_PER_S
from cardamomtiller.membership.membership import Membership
from cardamomtiller.peer_pb2 import Exchange, FetchDocuments, Sealed
from cardamomtiller.peering.sealing import (
    OLDEST_SCHEMA_VERSION,
    MacContext,
    MessageKind,
    Sealer,
)

# Limits per sender. A peer needs a few exchanges a second; more are a fault or an
# attack.
EXCHANGES_PER_S = 40
FETCHES_PER_S = 10
NONCE_WINDOW_BITS = 64


@dataclass(slots=True)
class SenderHistory:
    """
    Replay window and request rate of one sender.

    Bit ``n`` of ``nonce_window`` is set if the nonce ``highest_nonce - n`` was
    used in the current incarnation of the sender.
    """

    incarnation: int = 0
    highest_nonce: int = 0
    nonce_window: int = 0
    current_second: int = 0
    requests_in_second: int = 0

    def accept_nonce(self, incarnation: int, nonce: int) -> bool:
        """Record a nonce and return whether it is new; too old ones are rejected."""
        if incarnation != self.incarnation:
            self.incarnation = incarnation
            self.highest_nonce = nonce
            self.nonce_window = 1
            return True
        if nonce > self.highest_nonce:
            shift = min(nonce - self.highest_nonce, NONCE_WINDOW_BITS)
            self.nonce_window = (self.nonce_window << shift | 1) & (
                (1 << NONCE_WINDOW_BITS) - 1
            )
            self.highest_nonce = nonce
            return True
        bit = 1 << min(self.highest_nonce - nonce, NONCE_WINDOW_BITS)
        if bit >> NONCE_WINDOW_BITS or self.nonce_window & bit:
            return False
        self.nonce_window |= bit
        return True

    def count_request(self, limit: int, now_ms: float) -> bool:
        """Count a request; return whether the limit per second is not exceeded."""
        second = int(now_ms // MS_PER_S)
        if second != self.current_second:
            self.current_second = second
            self.requests_in_second = 0
        self.requests_in_second += 1
        return self.requests_in_second <= limit


@dataclass(slots=True)
class RequestGate:
    """
    Verify incoming requests, without I/O.

    A sender gets an entry only after its MAC was verified, so the number of
    entries is bounded by the number of holders of the cluster key.
    """

    sealer: Sealer
    membership: Membership
    counters: Counters
    exchange_senders: dict[str, SenderHistory] = field(default_factory=dict)
    fetch_senders: dict[str, SenderHistory] = field(default_factory=dict)

    def open_exchange(
        self,
        sealed: Sealed,
        now_ms: float,
    ) -> Result[Exchange, str]:
        """
        Verify an exchange request and parse it.

        A request whose MAC does not bind it to an incarnation of this process may
        be a replay from before a restart. Only its rumours are kept, because their
        incarnations and revisions protect them against replay.

        Returns
        -------
        Result
            The exchange, or the reason for the refusal.
        """
        is_bound = self._authenticate(sealed)
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
        """Verify a fetch request and parse it; see ``open_exchange``."""
        if not self.sealer.is_authentic(sealed, MacContext(MessageKind.FETCH)):
            return self._refuse('forged')
        try:
            request = FetchDocuments.FromString(sealed.payload)
        except DecodeError:
            return self._refuse('malformed')
        if request.schema_version < OLDEST_SCHEMA_VERSION:
            return self._refuse('old_schema')
        history = self.fetch_senders.setdefault(request.sender, SenderHistory())
        if not history.count_request(FETCHES_PER_S, now_ms):
            return self._refuse('too_many')
        return Success(request)

    def _authenticate(self, sealed: Sealed) -> bool | None:
        name = self.membership.name
        for incarnation in (*self.membership.own_incarnations, 0):
            context = MacContext(MessageKind.EXCHANGE, name, incarnation)
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
        history = self.exchange_senders.setdefault(exchange.sender, SenderHistory())
        if not history.count_request(EXCHANGES_PER_S, now_ms):
            return self._refuse('too_many')
        if is_bound and exchange.incarnation >= history.incarnation:
            if not history.accept_nonce(exchange.incarnation, exchange.nonce):
                return self._refuse('replayed')
            return Success(exchange)
        self.counters.add('peer.unbound')
        for name in ('lease_reports', 'lease_grants', 'loads'):
            exchange.ClearField(name)
        return Success(exchange)

    def _refuse(self, reason: str) -> Failure[str]:
        self.counters.add(f'peer.{reason}')
        return Failure(reason)
