"""Shares of customers' allowances, leased between instances."""

from collections.abc import Iterator, Mapping, Sequence

from cardamomtiller.allowance import NOTHING, Allowance
from cardamomtiller.catalog import Catalog
from cardamomtiller.identity import CustomerId, DomainName, Incarnation, InstanceId
from cardamomtiller.peer_pb2 import LeaseGrant, LeaseReport
from cardamomtiller.settings_pb2 import LeaseSettings


class LeaseAgent:
    """All lease roles of one instance; signatures, the protocol follows."""

    def __init__(
        self,
        own: InstanceId,
        incarnation: Incarnation,
        settings: LeaseSettings,
        now_ms: float,
    ) -> None:
        """Start without plans; nothing may be used."""
        self.generation = 0

    def set_plans(self, catalog: Catalog, now_ms: float) -> None:
        """Take over plans and customers."""

    def set_view(
        self,
        domain: DomainName,
        live: Mapping[DomainName, Sequence[InstanceId]],
        published_count: int,
        now_ms: float,
    ) -> None:
        """Take over the own domain, the live instances, the published number."""

    def set_traffic(
        self,
        demands: Mapping[CustomerId, Allowance],
        uses: Mapping[CustomerId, Allowance],
    ) -> None:
        """Replace demand and use of the customers with traffic here."""

    def is_report_due(self, now_ms: float) -> bool:
        """Tell whether ``reports_due`` has something to send."""
        return False

    def request_report(self, now_ms: float) -> None:
        """Ask for a report at once instead of at the next interval."""

    def reports_due(self, now_ms: float) -> Iterator[tuple[InstanceId, LeaseReport]]:
        """Iterate over the reports to send now, each with its receiver."""
        return iter(())

    def handle_report(self, report: LeaseReport, now_ms: float) -> LeaseGrant:
        """Answer the report of another instance."""
        return LeaseGrant()

    def handle_grant(self, grant: LeaseGrant, now_ms: float) -> None:
        """Accept the answer to a report."""

    def share_until(
        self, customer: CustomerId, now_ms: float
    ) -> tuple[Allowance, float]:
        """
        Return the share and the time until which it holds.

        It may change earlier when ``generation`` changes.
        """
        return NOTHING, now_ms

    def share(self, customer: CustomerId, now_ms: float) -> Allowance:
        """Return what a customer may use on this instance now."""
        return NOTHING
