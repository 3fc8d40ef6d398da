"""Choice of an upstream for a new flow."""

from dataclasses import dataclass

from cardamomtiller.document import UpstreamRow
from cardamomtiller.identity import FlowId, Outcome, UpstreamId
from cardamomtiller.settings_pb2 import SelectionSettings
from cardamomtiller.wire_pb2 import UpstreamLoad


@dataclass(frozen=True, slots=True)
class Options:
    """Limits of ejection and slow start."""

    largest_ejected_share: float
    ramp_ms: float
    ejection_ms: float

    @classmethod
    def from_settings(cls, settings: SelectionSettings) -> 'Options':
        """Take the checked settings."""
        return cls(
            largest_ejected_share=settings.largest_ejected_share,
            ramp_ms=settings.ramp_ms,
            ejection_ms=settings.ejection_ms,
        )


@dataclass(frozen=True, slots=True)
class Load:
    """Load of an upstream as its owner reports it."""

    open_flows: int
    queued_requests: int
    running_requests: int
    slots: int
    is_healthy: bool

    @classmethod
    def from_message(cls, message: UpstreamLoad) -> 'Load':
        """Take the message of the wire."""
        return cls(
            open_flows=message.open_flows,
            queued_requests=message.queued_requests,
            running_requests=message.running_requests,
            slots=message.slots,
            is_healthy=message.is_healthy,
        )


class Selection:
    """Choose among the upstreams of one service."""

    def __init__(self, options: Options) -> None:
        """Start with an empty pool."""

    def choose(
        self,
        flow: FlowId,
        exclude: frozenset[UpstreamId],
        now_ms: float,
    ) -> UpstreamId | None:
        """Return the upstream for a new flow; None if there is none."""
        raise NotImplementedError

    def observe(
        self,
        upstream: UpstreamId,
        outcome: Outcome,
        latency_ms: float,
        now_ms: float,
    ) -> None:
        """Count how one open or request at an upstream ended."""
        raise NotImplementedError

    def report_load(self, upstream: UpstreamId, load: Load, now_ms: float) -> None:
        """Take a load report, which may be seconds old."""
        raise NotImplementedError

    def set_upstreams(self, rows: tuple[UpstreamRow, ...], now_ms: float) -> None:
        """Replace the pool; known upstreams keep what was learned."""
        raise NotImplementedError

    def ejected(self, now_ms: float) -> frozenset[UpstreamId]:
        """Return the upstreams that are ejected now."""
        raise NotImplementedError
